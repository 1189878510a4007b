package quarantine

import (
	"cmp"
	"maps"
	"slices"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/servers"
)

const (
	// minEndings is the number of ended servers from which on requests with a part are
	// refused, and minTrials how many of them must have ended under a trial: servers that
	// are killed take requests with them too, but rarely two trials in a row.
	minEndings = 3
	minTrials  = 2
	// knownEndings is the number of ended servers from which on a part is suspected although
	// requests with it were answered before; other parts are from the first one on.
	knownEndings = 3
	// answeredKeep is how long a part on which a request was answered counts as known.
	answeredKeep = 600 * clock.Second
	// maxAnswered bounds the known parts.
	maxAnswered = 4096
)

// retrialDelays are the times, from when a part was first refused, after which one request
// with it is tried again. There are no further ones: a part that is still refused then
// stays so until its evidence expires or an operator clears it.
var retrialDelays = []clock.Millis{5 * clock.Second, 600 * clock.Second}

// State is what may be done with a request.
type State int

const (
	// Clear requests are sent like any other.
	Clear State = iota
	// Suspected requests need the permission of the Examiner.
	Suspected
	// Refused requests are not sent.
	Refused
)

// String returns the name of the state in logs.
func (s State) String() string { return [...]string{"clear", "suspected", "refused"}[s] }

// Verdict is the decision on a request.
type Verdict struct {
	State State
	// Parts are the suspected or refused parts of the request.
	Parts []string
	// Endings is the largest number of ended servers that count against one of them.
	Endings int
	// Retrial is set if a suspected request has a refused part that may be tried again.
	Retrial bool
}

// Quarantined describes refused parts, for operators.
type Quarantined struct {
	// Parts are refused together: the evidence does not tell them apart, and only requests
	// that have all of them are refused.
	Parts    []string     `json:"parts"`
	SinceMs  clock.Millis `json:"sinceMs"`
	Accounts []string     `json:"accounts"`
	Retrials int          `json:"retrials"`
	Endings  []Ending     `json:"endings"`
}

// Ledger holds the evidence. It is not safe for concurrent use.
type Ledger struct {
	endings  map[servers.Key]Ending
	cleared  marks
	retrials map[string][]clock.Millis
	// answered is when a request with a part was last answered at this gateway, or another
	// one has told so.
	answered marks
	// judged is the decision derived from the evidence; nil if that has changed.
	judged *judgement
}

// NewLedger returns a Ledger without evidence.
func NewLedger() *Ledger {
	return &Ledger{endings: map[servers.Key]Ending{}, cleared: marks{}, retrials: map[string][]clock.Millis{}, answered: marks{}}
}

// Merge adds evidence and returns the part of it that was not known yet. now bounds times
// that a wrong clock has put into the future.
func (l *Ledger) Merge(now clock.Millis, e Evidence) Evidence {
	var news Evidence
	for _, m := range e.Cleared {
		m.AtMs = min(m.AtMs, now)
		if l.cleared.add(m, maxMarks) {
			if !m.Operator {
				l.answered.add(m, maxAnswered)
			}
			news.Cleared = append(news.Cleared, m)
		}
	}
	for _, m := range e.Retrials {
		m.AtMs = min(m.AtMs, now)
		if !slices.Contains(l.retrials[m.Part], m.AtMs) && len(l.retrials[m.Part]) <= len(retrialDelays) {
			l.retrials[m.Part] = append(l.retrials[m.Part], m.AtMs)
			news.Retrials = append(news.Retrials, m)
		}
	}
	for _, end := range e.Endings {
		end.AtMs = min(end.AtMs, now)
		if end.AtMs > now-evidenceKeep && l.addEnding(end) {
			news.Endings = append(news.Endings, end)
		}
	}
	if !news.Empty() {
		l.judged = nil
		l.drop(now)
	}
	return news
}

// addEnding adds the suspects of an ending to what is known of it, and reports whether that
// changed anything.
func (l *Ledger) addEnding(end Ending) (changed bool) {
	known, ok := l.endings[end.Server]
	if !ok {
		known = Ending{Server: end.Server, AtMs: end.AtMs}
	}
	known.AtMs = min(known.AtMs, end.AtMs)
	known.Suspects = slices.Clone(known.Suspects)
	for _, s := range end.Suspects {
		if len(known.Suspects) >= maxSuspects || !l.countsAgainstAny(s, known.AtMs) ||
			slices.ContainsFunc(known.Suspects, func(o Suspect) bool { return o.Request == s.Request }) {
			continue
		}
		known.Suspects = append(known.Suspects, s)
		changed = true
	}
	if changed {
		l.endings[end.Server] = known
	}
	return changed
}

// countsAgainstAny reports whether the end of a server at a time counts against one of the
// parts of s.
func (l *Ledger) countsAgainstAny(s Suspect, at clock.Millis) bool {
	return slices.ContainsFunc(s.Parts, func(id string) bool { return l.counts(id, at) })
}

// counts reports whether the end of a server at a time counts against a part: the part was
// not cleared since.
func (l *Ledger) counts(part string, at clock.Millis) bool {
	m, ok := l.cleared[part]
	return !ok || at > m.AtMs+skewMargin || m.Operator && at > m.AtMs
}

// drop removes evidence that counts against no part or is too old, and the oldest evidence
// beyond the bounds: first what no refusal rests on.
func (l *Ledger) drop(now clock.Millis) {
	maps.DeleteFunc(l.endings, func(_ servers.Key, e Ending) bool {
		return now-e.AtMs > evidenceKeep || !slices.ContainsFunc(e.Suspects, func(s Suspect) bool { return l.countsAgainstAny(s, e.AtMs) })
	})
	maps.DeleteFunc(l.cleared, func(_ string, m Mark) bool { return now-m.AtMs > evidenceKeep })
	for part, at := range l.retrials {
		at = slices.DeleteFunc(at, func(t clock.Millis) bool { return now-t > evidenceKeep || !l.counts(part, t) })
		l.retrials[part] = at
		if len(at) == 0 {
			delete(l.retrials, part)
		}
	}
	for len(l.endings) > maxEndings {
		needed := l.judge().needed
		oldest := slices.MinFunc(slices.Collect(maps.Values(l.endings)), func(a, b Ending) int {
			if needed[a.Server] != needed[b.Server] {
				if needed[b.Server] {
					return -1
				}
				return 1
			}
			return cmp.Compare(a.AtMs, b.AtMs)
		})
		delete(l.endings, oldest.Server)
	}
	l.judged = nil
}

// Answered records that a request with these parts was answered, and returns the news for
// the other gateways: the parts that had evidence against them.
func (l *Ledger) Answered(now clock.Millis, parts []string) Evidence {
	var e Evidence
	for _, id := range parts {
		if l.answered.add(Mark{Part: id, AtMs: now}, maxAnswered); len(l.endings) > 0 && l.judge().implicates(id) {
			e.Cleared = append(e.Cleared, Mark{Part: id, AtMs: now})
		}
	}
	if e.Empty() {
		return e
	}
	return l.Merge(now, e)
}

// Lift clears a part on behalf of an operator, and returns the news for the other gateways.
func (l *Ledger) Lift(now clock.Millis, part string) Evidence {
	return l.Merge(now, Evidence{Cleared: []Mark{{Part: part, AtMs: now, Operator: true}}})
}

// Judge decides on a request of an account with these parts.
func (l *Ledger) Judge(now clock.Millis, account string, parts []string) Verdict {
	var v Verdict
	if len(l.endings) == 0 {
		return v
	}
	j := l.judge()
	for _, g := range j.refused {
		if !containsAll(parts, g.parts) || !g.concerns(account) {
			v.add(Suspected, common(parts, g.parts), len(g.endings))
			continue
		}
		if n := len(l.retrialsOf(g)); n < len(retrialDelays) && now >= g.sinceMs+retrialDelays[n] {
			v.add(Suspected, g.parts, len(g.endings))
			v.Retrial = true
			continue
		}
		v.add(Refused, g.parts, len(g.endings))
	}
	for _, id := range parts {
		n := len(j.against[id])
		if n == 0 || slices.Contains(v.Parts, id) {
			continue
		}
		if m, ok := l.answered[id]; n >= knownEndings || !ok || now-m.AtMs > answeredKeep {
			v.add(Suspected, []string{id}, n)
		}
	}
	return v
}

// add adds parts in a state; the strictest state counts.
func (v *Verdict) add(s State, parts []string, endings int) {
	if len(parts) == 0 {
		return
	}
	v.State = max(v.State, s)
	v.Parts = append(v.Parts, parts...)
	v.Endings = max(v.Endings, endings)
}

// Retry returns the news of a retrial of refused parts that is about to begin; it is empty
// if a request with them may not be tried again now.
func (l *Ledger) Retry(now clock.Millis, parts []string) Evidence {
	var e Evidence
	for _, g := range l.judge().refused {
		if !containsAll(parts, g.parts) {
			continue
		}
		if n := len(l.retrialsOf(g)); n >= len(retrialDelays) || now < g.sinceMs+retrialDelays[n] {
			return Evidence{}
		}
		for _, id := range g.parts {
			e.Retrials = append(e.Retrials, Mark{Part: id, AtMs: now})
		}
	}
	return l.Merge(now, e)
}

// Evidence returns all evidence that counts.
func (l *Ledger) Evidence() Evidence {
	e := Evidence{Endings: slices.SortedFunc(maps.Values(l.endings), func(a, b Ending) int {
		return cmp.Or(cmp.Compare(a.AtMs, b.AtMs), cmp.Compare(a.Server.ID, b.Server.ID), cmp.Compare(a.Server.Start, b.Server.Start))
	})}
	// Marks of parts without evidence are kept too: older evidence may come back from a record
	// that a gateway left behind.
	e.Cleared = slices.SortedFunc(maps.Values(l.cleared), func(a, b Mark) int {
		return cmp.Or(cmp.Compare(a.AtMs, b.AtMs), cmp.Compare(a.Part, b.Part))
	})
	for _, part := range slices.Sorted(maps.Keys(l.retrials)) {
		for _, at := range l.retrials[part] {
			if len(e.Retrials) < maxMarks {
				e.Retrials = append(e.Retrials, Mark{Part: part, AtMs: at})
			}
		}
	}
	return e
}

// Quarantined returns the refused parts.
func (l *Ledger) Quarantined() []Quarantined {
	out := []Quarantined{}
	for _, g := range l.judge().refused {
		q := Quarantined{Parts: g.parts, SinceMs: g.sinceMs, Accounts: g.accounts, Retrials: len(l.retrialsOf(g))}
		for _, k := range g.endings {
			q.Endings = append(q.Endings, l.endings[k])
		}
		out = append(out, q)
	}
	return out
}

// Len returns the numbers of refused groups of parts and of endings.
func (l *Ledger) Len() (refused, endings int) {
	if len(l.endings) == 0 {
		return 0, 0
	}
	return len(l.judge().refused), len(l.endings)
}

func (l *Ledger) retrialsOf(g group) []clock.Millis { return l.retrials[g.parts[0]] }

// common returns the elements of some that are in all.
func common(all, some []string) []string {
	return slices.DeleteFunc(slices.Clone(some), func(id string) bool { return !slices.Contains(all, id) })
}

func containsAll(all, some []string) bool {
	return !slices.ContainsFunc(some, func(id string) bool { return !slices.Contains(all, id) })
}
