package quarantine

import (
	"cmp"
	"maps"
	"slices"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/servers"
)

const (
	// minEndings is the number of ended servers from which on a subject is refused.
	minEndings = 3
	// minTrials is how many of them must have ended under a trial for a prompt part to be
	// refused: servers that are killed take requests with them too, but rarely two trials in a
	// row. A request is refused without one, and tried once more at once.
	minTrials = 2
)

// group is a set of subjects that the evidence does not tell apart, and that together explain
// the end of servers: prompt parts, or one request.
type group struct {
	subjects []string
	accounts []string
	// sinceMs is when the last server ended that was needed for the refusal.
	sinceMs clock.Millis
	endings []servers.Key // oldest first
	// trials is how many of the endings came under a trial.
	trials int
	// unexplained is how many of the endings no other refused group explains.
	unexplained int
	// doubted is set if servers went on to end without a refused subject to explain it.
	doubted bool
}

// isRequest reports whether g is a request, not a set of prompt parts.
func (g group) isRequest() bool { return IsRequest(g.subjects[0]) }

// concerns reports whether requests of an account are refused. What the requests of one
// account caused is not held against the others, whose requests are tried first.
func (g group) concerns(account string) bool {
	return len(g.accounts) > 1 || slices.Contains(g.accounts, account)
}

// judgement is what follows from the evidence.
type judgement struct {
	refused []group
	// against are the endings that count against a subject and are not explained by a
	// refused part, oldest first.
	against map[string][]servers.Key
	// byPart holds the requests, of those with minEndings or more, that had a prompt part on all
	// the ended servers against which evidence counts too.
	byPart map[string]bool
}

// implicates reports whether evidence counts against a subject.
func (j *judgement) implicates(id string) bool {
	return len(j.against[id]) > 0 || slices.ContainsFunc(j.refused, func(g group) bool { return slices.Contains(g.subjects, id) })
}

// needs reports whether a refusal rests on a suspect of the end of server k.
func (j *judgement) needs(k servers.Key, s Suspect) bool {
	return slices.ContainsFunc(j.refused, func(g group) bool {
		return containsAll(s.Subjects, g.subjects) && slices.Contains(g.endings, k)
	})
}

// judge derives the judgement, unless the evidence has not changed since the last call.
//
// A request is refused unless another one explains about the same endings: the trials of either
// tell them apart. Of the parts, those against which most endings count are refused first,
// and explain these endings, so that parts that were only on the same requests or servers are
// not refused for them.
func (l *Ledger) judge() *judgement {
	if l.judged != nil {
		return l.judged
	}
	ordered := l.orderedEndings()
	j := &judgement{against: l.requestsWithEvidence(ordered), byPart: map[string]bool{}}
	parts := l.partsWithEvidence(ordered, j.against)
	for _, id := range slices.Sorted(maps.Keys(j.against)) {
		if len(j.against[id]) < minEndings {
			continue
		}
		g := l.newGroup([]string{id}, j.against[id], 0)
		j.byPart[id] = slices.ContainsFunc(promptOf(id, l.endingsOf(g)), func(part string) bool { return len(parts[part]) > 0 })
		if !confounded(id, j.against) {
			j.refused = append(j.refused, g)
		}
	}
	for {
		g, ok := l.strongest(parts)
		if !ok {
			break
		}
		j.refused = append(j.refused, g)
		for id, keys := range parts {
			keys = slices.DeleteFunc(keys, func(k servers.Key) bool { return slices.Contains(g.endings, k) })
			if parts[id] = keys; len(keys) == 0 {
				delete(parts, id)
			}
		}
	}
	maps.Copy(j.against, parts)
	j.explain()
	j.doubt(ordered)
	l.judged = j
	return j
}

// explain counts the endings of each group that no other one explains.
func (j *judgement) explain() {
	groups := map[servers.Key]int{}
	for _, g := range j.refused {
		for _, k := range g.endings {
			groups[k]++
		}
	}
	for i, g := range j.refused {
		for _, k := range g.endings {
			if groups[k] == 1 {
				j.refused[i].unexplained++
			}
		}
	}
}

// innocent reports whether a refused request that was answered not long ago may be a victim of
// what else ends servers.
func (g group) innocent() bool { return g.isRequest() && (g.doubted || g.unexplained < minEndings) }

// doubt marks the groups after whose refusal servers ended that no refused subject explains.
func (j *judgement) doubt(ordered []Ending) {
	for _, e := range ordered {
		if slices.ContainsFunc(e.Suspects, func(s Suspect) bool { return j.needs(e.Server, s) }) {
			continue
		}
		for i := range j.refused {
			j.refused[i].doubted = j.refused[i].doubted || e.AtMs > j.refused[i].sinceMs
		}
	}
}

// confounded reports whether another request was on two thirds or more of the servers that ended
// under a request, and the other way round.
func confounded(id string, requests map[string][]servers.Key) bool {
	mine := requests[id]
	for other, theirs := range requests {
		if other == id {
			continue
		}
		both := 0
		for _, k := range theirs {
			if slices.Contains(mine, k) {
				both++
			}
		}
		if 3*both >= 2*max(len(mine), len(theirs)) {
			return true
		}
	}
	return false
}

// orderedEndings returns the endings, oldest first.
func (l *Ledger) orderedEndings() []Ending {
	return slices.SortedFunc(maps.Values(l.endings), func(a, b Ending) int {
		return cmp.Or(cmp.Compare(a.AtMs, b.AtMs), cmp.Compare(a.Server.ID, b.Server.ID), cmp.Compare(a.Server.Start, b.Server.Start))
	})
}

// requestsWithEvidence returns the endings that count against each request, oldest first.
func (l *Ledger) requestsWithEvidence(ordered []Ending) map[string][]servers.Key {
	out := map[string][]servers.Key{}
	for _, e := range ordered {
		for _, s := range e.Suspects {
			if id := s.requestID(); id != "" && l.counts(id, e.AtMs) && !slices.Contains(out[id], e.Server) {
				out[id] = append(out[id], e.Server)
			}
		}
	}
	return out
}

// partsWithEvidence returns the endings that count against each prompt part, oldest first.
// requests are the endings that count against requests: one that ended several servers, and was
// never answered, counts once against its parts and explains the end of the others.
func (l *Ledger) partsWithEvidence(ordered []Ending, requests map[string][]servers.Key) map[string][]servers.Key {
	out := map[string][]servers.Key{}
	for _, e := range ordered {
		if slices.ContainsFunc(e.Suspects, func(s Suspect) bool {
			id := s.requestID()
			_, known := l.answeredRequests[id]
			return !known && slices.Index(requests[id], e.Server) > 0
		}) {
			continue
		}
		for _, s := range e.Suspects {
			for _, id := range s.Subjects {
				if !IsRequest(id) && l.counts(id, e.AtMs) && !slices.Contains(out[id], e.Server) {
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
	alike := []string{best}
	for _, id := range slices.Sorted(maps.Keys(against)) {
		if id != best && slices.Equal(against[id], against[best]) {
			alike = append(alike, id)
		}
	}
	slices.Sort(alike)
	return l.newGroup(alike, against[best], minTrials), true
}

// newGroup returns the group of subjects that explain endings, of which so many must have come
// under trials.
func (l *Ledger) newGroup(subjects []string, endings []servers.Key, needTrials int) group {
	g := group{subjects: subjects, endings: slices.Clone(endings)}
	id := subjects[0]
	for i, k := range g.endings {
		g.trials += l.trials(id, g.endings[i:i+1])
		if g.sinceMs == 0 && i+1 >= minEndings && g.trials >= needTrials {
			g.sinceMs = l.endings[k].AtMs
		}
		for _, s := range l.endings[k].Suspects {
			if slices.Contains(s.Subjects, id) && !slices.Contains(g.accounts, s.Account) {
				g.accounts = append(g.accounts, s.Account)
			}
		}
	}
	slices.Sort(g.accounts)
	return g
}

// trials returns how many of the endings came under a trial of a request with the subject.
func (l *Ledger) trials(id string, keys []servers.Key) int {
	n := 0
	for _, k := range keys {
		if slices.ContainsFunc(l.endings[k].Suspects, func(s Suspect) bool { return s.Trial && slices.Contains(s.Subjects, id) }) {
			n++
		}
	}
	return n
}
