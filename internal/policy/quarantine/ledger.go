package quarantine

import (
	"cmp"
	"maps"
	"slices"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/servers"
)

const (
	// knownEndings is the number of ended servers from which on a subject is suspected although
	// requests with it were answered before; others are from the first one on.
	knownEndings = 3
	// answeredKeep is how long a subject with which a request was answered counts as known.
	answeredKeep = 600 * clock.Second
	// maxAnswered bounds the known parts, and the known requests.
	maxAnswered = 4096
)

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
	// Subjects are the suspected or refused subjects of the request.
	Subjects []string
	// ByRequest is set if the state is that of the request by itself, not of its parts.
	ByRequest bool
	// Endings is the largest number of ended servers that count against one of them.
	Endings int
	// Retrial is set if a suspected request has a refused subject that may be tried again.
	Retrial bool
	// Wait is set if a suspected request may not run before the result of a trial that runs
	// now is known.
	Wait bool
}

// Quarantined describes refused subjects, for operators.
type Quarantined struct {
	// Subjects are refused together: one request, or the parts that the evidence does not tell
	// apart; only requests that have all of them are refused.
	Subjects []string `json:"parts"`
	// Prompt holds the shared prompt parts that all tries of a refused request had.
	Prompt   []string     `json:"prompt,omitempty"`
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
	// answered and answeredRequests are when a request with a part, or a request, was last
	// answered at this gateway, or another one has told so.
	answered, answeredRequests marks
	// lastEndingMs is when the last server ended under a request.
	lastEndingMs clock.Millis
	// judged is the decision derived from the evidence; nil if that has changed.
	judged *judgement
}

// NewLedger returns a Ledger without evidence.
func NewLedger() *Ledger {
	return &Ledger{endings: map[servers.Key]Ending{}, cleared: marks{}, retrials: map[string][]clock.Millis{}, answered: marks{}, answeredRequests: marks{}}
}

// Merge adds evidence and returns the part of it that was not known yet. now bounds times
// that a wrong clock has put into the future.
func (l *Ledger) Merge(now clock.Millis, e Evidence) Evidence {
	var news Evidence
	for _, m := range e.Cleared {
		m.AtMs = min(m.AtMs, now)
		if l.cleared.add(m, maxMarks) {
			if !m.Operator {
				l.known(m.Subject).add(m, maxAnswered)
			}
			news.Cleared = append(news.Cleared, m)
		}
	}
	for _, m := range e.Retrials {
		m.AtMs = min(m.AtMs, now)
		if !slices.Contains(l.retrials[m.Subject], m.AtMs) && len(l.retrials[m.Subject]) < maxRetrials {
			l.retrials[m.Subject] = append(l.retrials[m.Subject], m.AtMs)
			news.Retrials = append(news.Retrials, m)
		}
	}
	for _, end := range e.Endings {
		end.AtMs = min(end.AtMs, now)
		l.lastEndingMs = max(l.lastEndingMs, end.AtMs)
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
	for _, s := range end.Suspects {
		s.Request = shortID(s.Request)
		has := func() bool {
			return slices.ContainsFunc(known.Suspects, func(o Suspect) bool { return o.Request == s.Request })
		}
		if !l.countsAgainstAny(s, known.AtMs) || has() {
			continue
		}
		known = known.withSuspect(s, l.endingsUnder)
		changed = changed || has()
	}
	if changed {
		l.endings[end.Server] = known
	}
	return changed
}

// endingsUnder returns how many servers ended under the request of s.
func (l *Ledger) endingsUnder(s Suspect) int {
	id, n := s.requestID(), 0
	for _, e := range l.endings {
		if slices.ContainsFunc(e.Suspects, func(o Suspect) bool { return id != "" && o.requestID() == id }) {
			n++
		}
	}
	return n
}

// isKnown reports whether a request with the subject was answered not long ago.
func (l *Ledger) isKnown(now clock.Millis, id string) bool {
	m, ok := l.known(id)[id]
	return ok && now-m.AtMs <= answeredKeep
}

// known returns the marks of what was answered for subjects like id.
func (l *Ledger) known(id string) marks {
	if IsRequest(id) {
		return l.answeredRequests
	}
	return l.answered
}

// countsAgainstAny reports whether the end of a server at a time counts against one of the
// subjects of s.
func (l *Ledger) countsAgainstAny(s Suspect, at clock.Millis) bool {
	return slices.ContainsFunc(s.Subjects, func(id string) bool { return l.counts(id, at) })
}

// counts reports whether the end of a server at a time counts against a subject, which was not
// cleared since.
func (l *Ledger) counts(id string, at clock.Millis) bool {
	m, ok := l.cleared[id]
	return !ok || at > m.AtMs+skewMargin || m.Operator && at > m.AtMs
}

// Answered records that a request with these subjects was answered, and returns the news for
// the other gateways: the subjects that had evidence against them.
func (l *Ledger) Answered(now clock.Millis, subjects []string) Evidence {
	var e Evidence
	for _, id := range subjects {
		if l.known(id).add(Mark{Subject: id, AtMs: now}, maxAnswered); len(l.endings) > 0 && l.judge().implicates(id) {
			e.Cleared = append(e.Cleared, Mark{Subject: id, AtMs: now})
		}
	}
	if e.Empty() {
		return e
	}
	return l.Merge(now, e)
}

// Lift clears a subject on behalf of an operator, and returns the news for the other gateways.
// With a prompt part it clears the requests that ended servers with it: they are mended
// together.
func (l *Ledger) Lift(now clock.Millis, subject string) Evidence {
	cleared := []Mark{{Subject: subject, AtMs: now, Operator: true}}
	for _, e := range l.orderedEndings() {
		for _, s := range e.Suspects {
			id := s.requestID()
			if id != "" && slices.Contains(s.Subjects, subject) && !slices.ContainsFunc(cleared, func(m Mark) bool { return m.Subject == id }) && len(cleared) < maxMarks {
				cleared = append(cleared, Mark{Subject: id, AtMs: now, Operator: true})
			}
		}
	}
	return l.Merge(now, Evidence{Cleared: cleared})
}

// Judge decides on a request of an account with these subjects.
func (l *Ledger) Judge(now clock.Millis, account string, subjects []string) Verdict {
	var v Verdict
	if len(l.endings) == 0 {
		return v
	}
	j := l.judge()
	// A request that was answered before may have come with other prompts then: its parts are
	// judged instead.
	leftToParts := func(id string) bool { return j.byPart[id] && l.isKnown(now, id) }
	for _, g := range j.refused {
		switch {
		case leftToParts(g.subjects[0]):
		case !containsAll(subjects, g.subjects) || !g.concerns(account) || g.innocent() && l.isKnown(now, g.subjects[0]):
			v.add(Suspected, common(subjects, g.subjects), len(g.endings))
		case l.retrialDue(now, g):
			v.add(Suspected, g.subjects, len(g.endings))
			v.Retrial = true
		case l.resultDue(now, g):
			v.add(Suspected, g.subjects, len(g.endings))
			v.Wait = true
		default:
			v.add(Refused, g.subjects, len(g.endings))
		}
	}
	for _, id := range subjects {
		n := len(j.against[id])
		if n == 0 || slices.Contains(v.Subjects, id) || leftToParts(id) {
			continue
		}
		if n >= knownEndings || !l.isKnown(now, id) {
			v.add(Suspected, []string{id}, n)
		}
	}
	return v
}

// add adds subjects in a state; the strictest state counts.
func (v *Verdict) add(s State, subjects []string, endings int) {
	if len(subjects) == 0 {
		return
	}
	byRequest := slices.ContainsFunc(subjects, IsRequest)
	if s > v.State {
		v.State, v.ByRequest = s, byRequest
	} else if s == v.State {
		v.ByRequest = v.ByRequest && byRequest
	}
	v.Subjects = append(v.Subjects, subjects...)
	v.Endings = max(v.Endings, endings)
}

// Evidence returns all evidence that counts.
func (l *Ledger) Evidence() Evidence {
	e := Evidence{Endings: l.orderedEndings()}
	// Marks of subjects without evidence are kept too: older evidence may come back from a record
	// that a gateway left behind.
	e.Cleared = slices.SortedFunc(maps.Values(l.cleared), func(a, b Mark) int {
		return cmp.Or(cmp.Compare(a.AtMs, b.AtMs), cmp.Compare(a.Subject, b.Subject))
	})
	for _, id := range slices.Sorted(maps.Keys(l.retrials)) {
		for _, at := range l.retrials[id] {
			if len(e.Retrials) < maxRetrialMarks {
				e.Retrials = append(e.Retrials, Mark{Subject: id, AtMs: at})
			}
		}
	}
	return e
}

// Quarantined returns the refused subjects.
func (l *Ledger) Quarantined() []Quarantined {
	out := []Quarantined{}
	for _, g := range l.judge().refused {
		q := Quarantined{Subjects: g.subjects, SinceMs: g.sinceMs, Accounts: g.accounts, Retrials: len(l.retrialsOf(g))}
		q.Endings = l.endingsOf(g)
		if g.isRequest() {
			q.Prompt = promptOf(g.subjects[0], q.Endings)
		}
		out = append(out, q)
	}
	return out
}

// endingsOf returns the endings that g explains.
func (l *Ledger) endingsOf(g group) []Ending {
	out := make([]Ending, 0, len(g.endings))
	for _, k := range g.endings {
		out = append(out, l.endings[k])
	}
	return out
}

// promptOf returns the shared prompt parts that all tries of a request had.
func promptOf(request string, endings []Ending) []string {
	var out []string
	first := true
	for _, e := range endings {
		for _, s := range e.Suspects {
			if s.requestID() != request {
				continue
			}
			parts := slices.DeleteFunc(slices.Clone(s.Subjects), IsRequest)
			if first {
				out, first = parts, false
			} else {
				out = common(parts, out)
			}
		}
	}
	return out
}

// Len returns the numbers of refused groups of parts, of refused requests and of endings.
func (l *Ledger) Len() (parts, requests, endings int) {
	if len(l.endings) == 0 {
		return 0, 0, 0
	}
	for _, g := range l.judge().refused {
		if g.isRequest() {
			requests++
		} else {
			parts++
		}
	}
	return parts, requests, len(l.endings)
}

// common returns the elements of some that are in all.
func common(all, some []string) []string {
	return slices.DeleteFunc(slices.Clone(some), func(id string) bool { return !slices.Contains(all, id) })
}

func containsAll(all, some []string) bool {
	return !slices.ContainsFunc(some, func(id string) bool { return !slices.Contains(all, id) })
}
