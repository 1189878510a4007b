package quarantine

import (
	"cmp"
	"maps"
	"slices"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/servers"
)

// drop removes evidence that counts against nothing or is too old, and what is beyond the
// bounds.
func (l *Ledger) drop(now clock.Millis) {
	for k, e := range l.endings {
		e.Suspects = slices.DeleteFunc(slices.Clone(e.Suspects), func(s Suspect) bool { return !l.countsAgainstAny(s, e.AtMs) })
		l.setEnding(k, e)
		if now-e.AtMs > evidenceKeep {
			delete(l.endings, k)
		}
	}
	maps.DeleteFunc(l.cleared, func(_ string, m Mark) bool { return now-m.AtMs > evidenceKeep })
	for id, at := range l.retrials {
		at = slices.DeleteFunc(at, func(t clock.Millis) bool { return now-t > evidenceKeep || !l.counts(id, t) })
		l.retrials[id] = at
		if len(at) == 0 {
			delete(l.retrials, id)
		}
	}
	l.judged = nil
	for l.beyondBounds() {
		l.evict()
		l.judged = nil
	}
}

// setEnding stores what is known of the end of a server, or drops it if it has no suspects.
func (l *Ledger) setEnding(k servers.Key, e Ending) {
	if len(e.Suspects) == 0 {
		delete(l.endings, k)
		return
	}
	l.endings[k] = e
}

func (l *Ledger) beyondBounds() bool {
	n := 0
	for _, e := range l.endings {
		for _, s := range e.Suspects {
			n += s.bytes()
		}
	}
	return len(l.endings) > maxEndings || n > maxSuspectBytes
}

// evict drops the oldest evidence against the account against which there is most, first what no
// refusal rests on, so that no account's evidence crowds out that of another.
func (l *Ledger) evict() {
	perAccount := map[string]int{}
	for _, e := range l.endings {
		for _, s := range e.Suspects {
			perAccount[s.Account] += s.bytes()
		}
	}
	account := largest(perAccount)
	j := l.judge()
	var oldest Ending
	oldestNeeded := true
	for k, e := range l.endings {
		for _, s := range e.Suspects {
			if s.Account != account {
				continue
			}
			needed := j.needs(k, s)
			if oldest.AtMs == 0 || oldestNeeded && !needed || oldestNeeded == needed && e.before(oldest) {
				oldest, oldestNeeded = e, needed
			}
		}
	}
	k := oldest.Server
	oldest.Suspects = slices.DeleteFunc(slices.Clone(oldest.Suspects), func(s Suspect) bool {
		return s.Account == account && j.needs(k, s) == oldestNeeded
	})
	l.setEnding(k, oldest)
}

// before reports whether e stands before o in the order of evidence.
func (e Ending) before(o Ending) bool {
	return cmp.Or(cmp.Compare(e.AtMs, o.AtMs), cmp.Compare(e.Server.ID, o.Server.ID), cmp.Compare(e.Server.Start, o.Server.Start)) < 0
}

// withSuspect returns e with one more suspect. Of more than maxSuspects, one of the account that
// has most is left out: an untried one rather than a trial, and one whose subjects ended few
// servers before rather than one that did so often. endings tells in how many a suspect was.
func (e Ending) withSuspect(s Suspect, endings func(s Suspect) int) Ending {
	all := append(slices.Clip(e.Suspects), s)
	if len(all) > maxSuspects {
		perAccount := map[string]int{}
		for _, o := range all {
			perAccount[o.Account]++
		}
		account := largest(perAccount)
		weight := func(o Suspect) int {
			switch {
			case o.Account != account:
				return maxEndings + 2
			case o.Trial:
				return maxEndings + 1
			}
			return endings(o)
		}
		weakest := slices.MinFunc(all, func(a, b Suspect) int {
			return cmp.Or(cmp.Compare(weight(a), weight(b)), cmp.Compare(b.Request, a.Request))
		})
		all = slices.DeleteFunc(all, func(o Suspect) bool { return o.Request == weakest.Request })
	}
	e.Suspects = all
	return e
}

// largest returns the key with the largest value, the first in order among equal ones.
func largest(counts map[string]int) string {
	keys := slices.Sorted(maps.Keys(counts))
	return slices.MaxFunc(keys, func(a, b string) int { return cmp.Or(cmp.Compare(counts[a], counts[b]), cmp.Compare(b, a)) })
}
