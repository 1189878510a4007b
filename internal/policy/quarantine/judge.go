package quarantine

import (
	"cmp"
	"maps"
	"slices"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/servers"
)

// group is a set of parts that the evidence does not tell apart, and that together explain
// the end of servers.
type group struct {
	parts    []string
	accounts []string
	// sinceMs is when the last server ended that was needed for the refusal.
	sinceMs clock.Millis
	endings []servers.Key // oldest first
}

// concerns reports whether requests of an account are refused. What the requests of one
// account caused is not held against the others, whose requests are tried first.
func (g group) concerns(account string) bool {
	return len(g.accounts) > 1 || slices.Contains(g.accounts, account)
}

// judgement is what follows from the evidence.
type judgement struct {
	refused []group
	// against are the endings that count against a part and are not explained by a refused
	// one, oldest first.
	against map[string][]servers.Key
	// needed are the endings on which refusals rest.
	needed map[servers.Key]bool
}

// implicates reports whether evidence counts against a part.
func (j *judgement) implicates(part string) bool {
	return len(j.against[part]) > 0 || slices.ContainsFunc(j.refused, func(g group) bool { return slices.Contains(g.parts, part) })
}

// judge derives the judgement, unless the evidence has not changed since the last call.
// Parts against which most endings count are refused first, and explain these endings, so
// that parts that were only on the same requests or servers are not refused for them.
func (l *Ledger) judge() *judgement {
	if l.judged != nil {
		return l.judged
	}
	j := &judgement{against: l.partsWithEvidence(), needed: map[servers.Key]bool{}}
	for {
		g, ok := l.strongest(j.against)
		if !ok {
			break
		}
		j.refused = append(j.refused, g)
		for _, k := range g.endings {
			j.needed[k] = true
		}
		for id, keys := range j.against {
			keys = slices.DeleteFunc(keys, func(k servers.Key) bool { return j.needed[k] })
			if j.against[id] = keys; len(keys) == 0 {
				delete(j.against, id)
			}
		}
	}
	l.judged = j
	return j
}

// partsWithEvidence returns the endings that count against each part, oldest first.
func (l *Ledger) partsWithEvidence() map[string][]servers.Key {
	out := map[string][]servers.Key{}
	ordered := slices.SortedFunc(maps.Values(l.endings), func(a, b Ending) int {
		return cmp.Or(cmp.Compare(a.AtMs, b.AtMs), cmp.Compare(a.Server.ID, b.Server.ID), cmp.Compare(a.Server.Start, b.Server.Start))
	})
	for _, e := range ordered {
		for _, s := range e.Suspects {
			for _, id := range s.Parts {
				if l.counts(id, e.AtMs) && !slices.Contains(out[id], e.Server) {
					out[id] = append(out[id], e.Server)
				}
			}
		}
	}
	return out
}

// strongest returns the parts to refuse next: those against which the most endings count,
// if these are enough.
func (l *Ledger) strongest(against map[string][]servers.Key) (group, bool) {
	best := ""
	for _, id := range slices.Sorted(maps.Keys(against)) {
		if len(against[id]) >= minEndings && (best == "" || len(against[id]) > len(against[best])) && l.trials(id, against[id]) >= minTrials {
			best = id
		}
	}
	if best == "" {
		return group{}, false
	}
	g := group{endings: slices.Clone(against[best])}
	for _, id := range slices.Sorted(maps.Keys(against)) {
		if slices.Equal(against[id], g.endings) {
			g.parts = append(g.parts, id)
		}
	}
	trials := 0
	for i, k := range g.endings {
		trials += l.trials(best, g.endings[i:i+1])
		if g.sinceMs == 0 && i+1 >= minEndings && trials >= minTrials {
			g.sinceMs = l.endings[k].AtMs
		}
		for _, s := range l.endings[k].Suspects {
			if slices.Contains(s.Parts, best) && !slices.Contains(g.accounts, s.Account) {
				g.accounts = append(g.accounts, s.Account)
			}
		}
	}
	slices.Sort(g.accounts)
	return g, true
}

// trials returns how many of the endings came under a trial of a request with the part.
func (l *Ledger) trials(part string, keys []servers.Key) int {
	n := 0
	for _, k := range keys {
		if slices.ContainsFunc(l.endings[k].Suspects, func(s Suspect) bool { return s.Trial && slices.Contains(s.Parts, part) }) {
			n++
		}
	}
	return n
}
