package ratelimit

import (
	"encoding/json"
	"math"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/servers"
)

const (
	// minRate is the rate of permits, in requests a second, at which a server is tried
	// whose limit is lower: only its answers tell that it no longer needs the limit.
	minRate = 0.2
	// burstPermits and burstMs bound the permits that collect while nobody asks for them:
	// burstPermits, and those of burstMs.
	burstPermits = 2
	burstMs      = 250 * clock.Millisecond
	// warmUpBurstMs is burstMs for servers that warm up: they bear less above their rate.
	warmUpBurstMs = 100 * clock.Millisecond
	// warmUpHoldMs is how long a new Issuer grants no permits for a server that warms up:
	// as long as two gateways may differ in when they notice that their link is cut.
	warmUpHoldMs = 250 * clock.Millisecond
	// urgentReserve is the number of permits that are kept for urgent requests, at most
	// those of one second.
	urgentReserve = 1.0
	// maxSpreadMs bounds the time over which the next asks of refused gateways are spread.
	maxSpreadMs = clock.Second
	// malformedGraceMs is how long a limit outlasts its last valid naming while answers
	// name malformed limits.
	malformedGraceMs = 10 * clock.Second
	// endedKeepMs is how long it is known that a limit has ended. Gateways that have not
	// heard so by then learn it from their next answer.
	endedKeepMs = 10 * clock.Second
	// unusedKeepMs is how long the state of a limit is kept without a message about it.
	unusedKeepMs = 60 * clock.Second
)

// Limit is the limit of a server, or its end. The domain type is also the wire type.
type Limit struct {
	Server servers.Key `json:"server"`
	// PerSecond is the number of requests a second that the server accepts.
	PerSecond float64 `json:"perSecond"`
	// Ended is set if the server no longer names a limit.
	Ended bool `json:"ended,omitempty"`
}

// UnmarshalJSON decodes a limit. A negative rate is a *servers.FieldError.
func (l *Limit) UnmarshalJSON(data []byte) error {
	type plain Limit
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return err
	}
	if p.PerSecond < 0 {
		return &servers.FieldError{Field: "perSecond", Reason: "must not be negative"}
	}
	*l = Limit(p)
	return nil
}

// Answer answers a gateway that asked for a permit.
type Answer struct {
	// Unlimited is set if the server has no limit any more, so that no permit is needed.
	Unlimited bool `json:"unlimited,omitempty"`
	// Permit is the number of the granted permit, which counts up from 1 for each server;
	// 0 if none was granted.
	Permit uint64 `json:"permit,omitempty"`
	// WaitMs is the time after which the gateway may ask again if none was granted.
	WaitMs clock.Millis `json:"waitMs,omitempty"`
	// PerSecond is the limit in force.
	PerSecond float64 `json:"perSecond"`
}

// Issuer issues the permits for requests to servers that have named a limit. For each
// server one gateway does so for all, which keeps the sum over all gateways within the
// limit. A new Issuer begins without permits, so that none is issued twice when a server's
// limit moves to another gateway. It is not safe for concurrent use.
type Issuer struct {
	buckets map[servers.Key]*bucket
	// warmUps holds the permits for servers that warm up.
	warmUps map[servers.Key]*bucket
}

// bucket is a token bucket of permits for one start of a server.
type bucket struct {
	perSecond float64
	tokens    float64
	filledMs  clock.Millis // when tokens was last computed
	usedMs    clock.Millis // time of the last message about the limit
	namedMs   clock.Millis // when the limit was last named
	endedMs   clock.Millis // when the limit ended; 0 while it holds
	issued    uint64       // permits issued
	// issuedAtNaming is the value of issued when the limit was last named: an answer to a
	// request with a later permit was made after that.
	issuedAtNaming uint64
	spreadMs       clock.Millis // when the gateway refused last may ask again
	changed        bool         // the rate has changed since TakeChanged
}

// NewIssuer returns an Issuer that knows no limits.
func NewIssuer() *Issuer {
	return &Issuer{buckets: map[servers.Key]*bucket{}, warmUps: map[servers.Key]*bucket{}}
}

// Name records that a server has named a limit, and reports whether the limit begins with
// that.
func (i *Issuer) Name(now clock.Millis, s servers.Key, perSecond float64) (begins bool) {
	b := i.buckets[s]
	if b == nil {
		b = &bucket{}
		i.buckets[s] = b
		begins = true
	}
	if b.endedMs != 0 {
		begins = true
	}
	if begins {
		b.tokens, b.filledMs, b.endedMs, b.spreadMs = 0, now, 0, 0
	}
	b.changed = b.changed || !begins && b.perSecond != perSecond
	b.perSecond, b.usedMs, b.namedMs, b.issuedAtNaming = perSecond, now, now, b.issued
	return begins
}

// End records that the answer to the request with a permit names no limit, or a malformed
// one, and reports whether the limit ends with that: it does not if it was named after the
// permit was issued, as the answer may be older than that.
func (i *Issuer) End(now clock.Millis, s servers.Key, permit uint64, malformed bool) bool {
	b := i.buckets[s]
	if b == nil || b.endedMs != 0 || permit <= b.issuedAtNaming || permit > b.issued {
		return false
	}
	if malformed && now-b.namedMs <= malformedGraceMs {
		return false
	}
	b.endedMs, b.usedMs = now, now
	return true
}

// Ask decides whether a gateway may send a request to a server. perSecond is the limit as
// far as the gateway knows it, which counts if the Issuer knows none. share is the part of
// the limit, above 0 and up to 1, that this Issuer may use: less than 1 while other
// gateways cannot be reached, which may have elected an issuer of their own.
func (i *Issuer) Ask(now clock.Millis, s servers.Key, perSecond float64, urgent bool, share float64) Answer {
	b := i.buckets[s]
	if b == nil {
		i.Name(now, s, perSecond)
		b = i.buckets[s]
	}
	b.usedMs = now
	if b.endedMs != 0 {
		return Answer{Unlimited: true}
	}
	rate := max(b.perSecond, minRate) * share / float64(clock.Second)
	return b.take(now, rate, urgent, burstMs)
}

// AskWarmUp decides whether a gateway may send a request to a server that warms up and accepts
// perSecond requests a second while it does. A limit that the server has named counts if it is
// smaller. urgent and share are as in Ask. A new Issuer grants nothing for warmUpHoldMs: the
// gateway that issued before may not know yet that others have replaced it.
func (i *Issuer) AskWarmUp(now clock.Millis, s servers.Key, perSecond float64, urgent bool, share float64) Answer {
	if named := i.buckets[s]; named != nil && named.endedMs == 0 {
		perSecond = min(perSecond, named.perSecond)
	}
	rate := max(perSecond, minRate) * share / float64(clock.Second)
	b := i.warmUps[s]
	if b == nil {
		b = &bucket{filledMs: now, tokens: -rate * float64(warmUpHoldMs)}
		i.warmUps[s] = b
	}
	b.perSecond, b.usedMs = perSecond, now
	return b.take(now, rate, urgent, warmUpBurstMs)
}

// take takes a permit, if there is one, from a bucket that fills at a rate in permits a
// millisecond.
func (b *bucket) take(now clock.Millis, rate float64, urgent bool, burst clock.Millis) Answer {
	b.fill(now, rate, burst)
	need := 1.0
	if !urgent {
		need += min(urgentReserve, rate*float64(clock.Second))
	}
	if b.tokens >= need {
		b.tokens--
		b.issued++
		return Answer{Permit: b.issued, PerSecond: b.perSecond}
	}
	next := now + clock.Millis(math.Ceil((need-b.tokens)/rate))
	return Answer{WaitMs: b.spread(next, clock.Millis(1/rate)) - now, PerSecond: b.perSecond}
}

// fill adds the permits that have become due, at a rate in permits a millisecond. burst is the
// time whose permits collect beside burstPermits.
func (b *bucket) fill(now clock.Millis, rate float64, burst clock.Millis) {
	b.tokens = min(b.tokens+float64(now-b.filledMs)*rate, burstPermits+rate*float64(burst))
	b.filledMs = now
}

// spread returns when a refused gateway may ask again: at next, when the next permit is
// due, or later by one interval for each gateway that was refused before, so that not all
// ask at once.
func (b *bucket) spread(next, interval clock.Millis) clock.Millis {
	b.spreadMs += interval
	if b.spreadMs < next || b.spreadMs > next+max(maxSpreadMs, interval) {
		b.spreadMs = next
	}
	return b.spreadMs
}

// Forget drops the state of a limit whose end another Issuer has announced.
func (i *Issuer) Forget(s servers.Key) { delete(i.buckets, s) }

// Limits returns up to limit of the limits in force.
func (i *Issuer) Limits(limit int) []Limit {
	var out []Limit
	for s, b := range i.buckets {
		if len(out) < limit && b.endedMs == 0 {
			out = append(out, Limit{Server: s, PerSecond: b.perSecond})
		}
	}
	return out
}

// TakeChanged returns the limits whose rate has changed since the last call.
func (i *Issuer) TakeChanged() []Limit {
	var out []Limit
	for s, b := range i.buckets {
		if b.changed && b.endedMs == 0 {
			out = append(out, Limit{Server: s, PerSecond: b.perSecond})
		}
		b.changed = false
	}
	return out
}

// Sweep drops the state of limits that have ended or are no longer used. The limit of a
// server that is still used later is named again with the next Ask.
func (i *Issuer) Sweep(now clock.Millis) {
	for s, b := range i.buckets {
		if b.endedMs != 0 && now-b.endedMs > endedKeepMs || now-b.usedMs > unusedKeepMs {
			delete(i.buckets, s)
		}
	}
	for s, b := range i.warmUps {
		if now-b.usedMs > unusedKeepMs {
			delete(i.warmUps, s)
		}
	}
}
