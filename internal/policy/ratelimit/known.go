// Package ratelimit decides how many requests a backend server gets that has named a
// limit: the requests a second that it accepts from all gateways together.
//
// Known is what one gateway knows of such limits. An Issuer issues permits for a server,
// one for each request; one gateway runs it for all. Returns says when refused callers may
// return. The package is pure: the current time, by the monotonic clock, is an argument.
package ratelimit

import (
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/servers"
)

const (
	// unlistedKeepMs is how long a limit is kept after its server disappeared from the server
	// list. A server that runs is listed again within seconds of an outage of the store.
	unlistedKeepMs = 60 * clock.Second
	// reportEveryMs is how often a gateway reports a limit that is named unchanged.
	reportEveryMs = 2 * clock.Second
	// logEveryMs is the shortest time between two log lines about the limit of a server.
	logEveryMs = 2 * clock.Second
)

// Known holds the limits that servers have named, as far as one gateway knows them. A
// limit applies to one start of a server. Known is not safe for concurrent use.
type Known struct {
	limits map[servers.Key]knownLimit
}

// knownLimit is the limit of one start of a server.
type knownLimit struct {
	perSecond float64
	// seenMs is when the limit was last named or its server last listed.
	seenMs clock.Millis
	// reportedMs and loggedMs are when ReportDue and LogDue last returned true.
	reportedMs, loggedMs clock.Millis
}

// NewKnown returns a Known without limits.
func NewKnown() *Known { return &Known{limits: map[servers.Key]knownLimit{}} }

// Name records that a server accepts perSecond requests a second, and reports whether the
// limit is new or has changed.
func (k *Known) Name(now clock.Millis, s servers.Key, perSecond float64) (changed bool) {
	old, ok := k.limits[s]
	k.limits[s] = knownLimit{perSecond: perSecond, seenMs: now, reportedMs: old.reportedMs, loggedMs: old.loggedMs}
	return !ok || old.perSecond != perSecond
}

// LogDue reports whether a limit that has begun or changed is to be logged: one that changes
// all the time is, each logEveryMs.
func (k *Known) LogDue(now clock.Millis, s servers.Key) bool {
	l := k.limits[s]
	if l.loggedMs != 0 && now-l.loggedMs < logEveryMs {
		return false
	}
	l.loggedMs = now
	k.limits[s] = l
	return true
}

// ReportDue reports whether a limit that an answer has named is to be reported to the
// gateway that issues the server's permits. It is if it has changed, or reportEveryMs after
// the last report.
func (k *Known) ReportDue(now clock.Millis, s servers.Key, changed bool) bool {
	l := k.limits[s]
	if !changed && now-l.reportedMs < reportEveryMs {
		return false
	}
	l.reportedMs = now
	k.limits[s] = l
	return true
}

// End records that a server no longer names a limit, and reports whether one was known.
func (k *Known) End(s servers.Key) bool {
	_, ok := k.limits[s]
	delete(k.limits, s)
	return ok
}

// Limit returns the requests a second that a server accepts; ok is false if it has named
// no limit.
func (k *Known) Limit(s servers.Key) (perSecond float64, ok bool) {
	l, ok := k.limits[s]
	return l.perSecond, ok
}

// Len returns the number of limits.
func (k *Known) Len() int { return len(k.limits) }

// Sweep drops the limits of servers that were not listed for unlistedKeepMs.
func (k *Known) Sweep(now clock.Millis, listed func(s servers.Key) bool) {
	for s, l := range k.limits {
		switch {
		case listed(s):
			l.seenMs = now
			k.limits[s] = l
		case now-l.seenMs > unlistedKeepMs:
			delete(k.limits, s)
		}
	}
}
