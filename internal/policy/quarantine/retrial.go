package quarantine

import (
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// The times, from when a subject was first refused, after which one request with it is tried
// again. There are no further ones: a subject that is still refused then stays so until its
// evidence expires or an operator clears it. A request that was refused without a trial is tried
// at once, since servers that end for another reason take the same request with them too.
var (
	partRetrials    = []clock.Millis{5 * clock.Second, 600 * clock.Second}
	requestRetrials = []clock.Millis{clock.Minute, 600 * clock.Second}
	untriedRetrials = []clock.Millis{0, 5 * clock.Second, 600 * clock.Second}
	maxRetrials     = len(untriedRetrials)
)

// resultWait is how long requests wait for the result of the first trial of a refused one.
const resultWait = 1500 * clock.Millisecond

// retrialDelays returns the times at which a request with the refused subjects may be tried
// again.
func (g group) retrialDelays() []clock.Millis {
	switch {
	case !g.isRequest():
		return partRetrials
	case g.trials == 0:
		return untriedRetrials
	}
	return requestRetrials
}

// retrialDue reports whether a request with the subjects of g may be tried again now.
func (l *Ledger) retrialDue(now clock.Millis, g group) bool {
	delays, n := g.retrialDelays(), len(l.retrialsOf(g))
	return n < len(delays) && now >= g.sinceMs+delays[n]
}

// resultDue reports whether a request that was refused without a trial is being tried now.
func (l *Ledger) resultDue(now clock.Millis, g group) bool {
	tried := l.retrialsOf(g)
	return g.isRequest() && g.trials == 0 && len(tried) == 1 && now < tried[0]+resultWait
}

func (l *Ledger) retrialsOf(g group) []clock.Millis { return l.retrials[g.subjects[0]] }

// Retry returns the news of a retrial of refused subjects that is about to begin; it is empty
// if a request with them may not be tried again now.
func (l *Ledger) Retry(now clock.Millis, subjects []string) Evidence {
	var e Evidence
	for _, g := range l.judge().refused {
		if !containsAll(subjects, g.subjects) {
			continue
		}
		if !l.retrialDue(now, g) {
			return Evidence{}
		}
		for _, id := range g.subjects {
			e.Retrials = append(e.Retrials, Mark{Subject: id, AtMs: now})
		}
	}
	return l.Merge(now, e)
}
