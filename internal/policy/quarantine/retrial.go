package quarantine

import (
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// The times, from when a subject was first refused, after which one request with it is tried
// again. There are no further ones: a subject that is still refused then stays so until its
// evidence expires or an operator clears it. A request that was refused without a trial is tried
// at once, since servers that end for another reason take the same request with them too.
var (
	retrialDelays = []clock.Millis{5 * clock.Second, 600 * clock.Second}
	untriedDelays = []clock.Millis{0, 5 * clock.Second, 600 * clock.Second}
	maxRetrials   = len(untriedDelays)
)

const (
	// calmTime is the time without the end of a server after which a retrial is worth one of
	// the few: its result is not that of another cause. It is not waited for after maxCalmWait.
	calmTime    = 5 * clock.Second
	maxCalmWait = clock.Minute
)

// resultWait is how long requests wait for the result of the first trial of a refused one.
const resultWait = 1500 * clock.Millisecond

// untried reports whether g is a request none of whose endings came under a trial.
func (g group) untried() bool { return g.isRequest() && g.trials == 0 }

// retrialDue reports whether a request with the subjects of g may be tried again now.
func (l *Ledger) retrialDue(now clock.Millis, g group) bool {
	delays, n := retrialDelays, len(l.retrialsOf(g))
	if g.untried() {
		delays = untriedDelays
	}
	if n >= len(delays) || now < g.sinceMs+delays[n] {
		return false
	}
	return delays[n] == 0 || now >= min(l.lastEndingMs+calmTime, g.sinceMs+maxCalmWait)
}

// resultDue reports whether a request that was refused without a trial is being tried now.
func (l *Ledger) resultDue(now clock.Millis, g group) bool {
	tried := l.retrialsOf(g)
	return g.untried() && len(tried) == 1 && now < tried[0]+resultWait
}

func (l *Ledger) retrialsOf(g group) []clock.Millis { return l.retrials[g.subjects[0]] }

// MayRetry reports whether a request with refused subjects may be tried again now.
func (l *Ledger) MayRetry(now clock.Millis, subjects []string) bool {
	due := false
	for _, g := range l.judge().refused {
		if containsAll(subjects, g.subjects) {
			if !l.retrialDue(now, g) {
				return false
			}
			due = true
		}
	}
	return due
}

// Retry returns the news of a retrial of refused subjects that is about to be sent to a server;
// it is empty if a request with them may not be tried again now.
func (l *Ledger) Retry(now clock.Millis, subjects []string) Evidence {
	if !l.MayRetry(now, subjects) {
		return Evidence{}
	}
	var e Evidence
	for _, g := range l.judge().refused {
		if containsAll(subjects, g.subjects) {
			for _, id := range g.subjects {
				e.Retrials = append(e.Retrials, Mark{Subject: id, AtMs: now})
			}
		}
	}
	return l.Merge(now, e)
}
