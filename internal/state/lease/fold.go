// Package lease folds the leases stream and decides who holds each lease.
//
// A claim names the last accepted claim of its lease; it is accepted only if
// that is still the last one. The term of a lease is the offset of the
// accepted claim that started it, so later terms are greater. A renewal keeps
// the term.
//
// Validity is not in the stream. A holder counts it from before it sent the
// accepted claim, and a challenger waits the length of the lease and the
// clocks' drift from when it saw that claim; so the first interval ends before
// the second one on any clocks within the drift, and no two holders are valid
// at one time.
//
// A lease without a claim for ForgetMs of the log's time has no last claim
// any more. A reader that started behind the first record knows a lease after
// that time without a claim on it, or when a claim names an earlier one that
// it has read, since authors name accepted claims only. The log's time must
// not go back.
package lease

import (
	"encoding/json"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// ForgetMs is the time after which the last claim of a lease is forgotten.
const ForgetMs = 4 * MaxLength

// State is the state of one lease.
type State struct {
	// Last is the offset of the last accepted claim, or 0 when there is none.
	Last int64
	// Holder is empty when the lease was released or never taken.
	Holder   string
	Term     int64
	LengthMs clock.Millis
	AtMs     clock.Millis
}

// Decision is the verdict on one claim.
type Decision struct {
	Offset   int64
	Seq      int64
	Holder   string
	Lease    string
	Accepted bool
	Release  bool
}

type heldClaim struct {
	offset int64
	atMs   clock.Millis
	holder string
	seq    int64
	claim  Claim
}

// Fold is the state of the leases stream. It has a single owner.
type Fold struct {
	next    int64
	atMs    clock.Millis
	startMs clock.Millis // of the first record read, when earlier ones were missed
	missed  bool
	states  map[string]State
	// held are the claims on leases that are not known yet.
	held    map[string][]heldClaim
	invalid int
}

// New returns the Fold of the stream before its first record.
func New() *Fold {
	return &Fold{next: 1, states: map[string]State{}, held: map[string][]heldClaim{}}
}

// Next returns the offset of the next record to apply.
func (f *Fold) Next() int64 { return f.next }

// Invalid returns the number of records that could not be decoded. They
// change nothing.
func (f *Fold) Invalid() int { return f.invalid }

// Begin tells the Fold that the stream retains records from first on only.
func (f *Fold) Begin(first int64) {
	if first <= f.next {
		return
	}
	f.next = first
	f.missed = true
	f.startMs = 0
	clear(f.states)
	clear(f.held)
}

// Lookup returns the state of a lease, and whether it is known.
func (f *Fold) Lookup(name string) (State, bool) {
	s, ok := f.states[name]
	if ok && f.atMs < s.AtMs+ForgetMs {
		return s, true
	}
	return State{}, ok || f.settled(name)
}

// settled reports whether a lease that has no state has no last claim.
func (f *Fold) settled(name string) bool {
	if !f.missed {
		return true
	}
	since := f.startMs
	if held := f.held[name]; len(held) > 0 {
		since = held[len(held)-1].atMs
	}
	return since > 0 && f.atMs >= since+ForgetMs
}

// Apply folds one record and returns the decisions on its claims, and those
// on earlier claims that it makes known. A record that was applied before
// changes nothing.
func (f *Fold) Apply(offset int64, atMs clock.Millis, data []byte) []Decision {
	if offset < f.next {
		return nil
	}
	f.Begin(offset)
	f.next = offset + 1
	f.atMs = max(f.atMs, atMs)
	if f.startMs == 0 {
		f.startMs = f.atMs
	}
	var rec Record
	if err := json.Unmarshal(data, &rec); err != nil {
		f.invalid++
		return nil
	}
	var out []Decision
	for _, c := range rec.Claims {
		out = append(out, f.apply(heldClaim{offset, f.atMs, rec.Holder, rec.Seq, c})...)
	}
	return out
}

func (f *Fold) apply(c heldClaim) []Decision {
	name := c.claim.Lease
	if _, ok := f.Lookup(name); ok {
		delete(f.held, name)
		return []Decision{f.decide(c)}
	}
	f.held[name] = append(f.held[name], c)
	for i, h := range f.held[name] {
		if h.offset == c.claim.Seen {
			return f.replay(name, i)
		}
	}
	return nil
}

// replay decides the held claims of a lease from the i-th on, which is known
// to be accepted.
func (f *Fold) replay(name string, i int) []Decision {
	held := f.held[name]
	delete(f.held, name)
	var out []Decision
	for j, h := range held[i:] {
		if j == 0 {
			f.accept(h)
			out = append(out, h.decision(true))
			continue
		}
		out = append(out, f.decide(h))
	}
	return out
}

func (h heldClaim) decision(accepted bool) Decision {
	return Decision{
		Offset:   h.offset,
		Seq:      h.seq,
		Holder:   h.holder,
		Lease:    h.claim.Lease,
		Accepted: accepted,
		Release:  h.claim.Release,
	}
}

func (f *Fold) decide(h heldClaim) Decision {
	old := f.states[h.claim.Lease]
	if h.atMs >= old.AtMs+ForgetMs {
		old = State{}
	}
	if h.claim.Seen != old.Last {
		return h.decision(false)
	}
	if h.claim.Term != 0 && (old.Holder != h.holder || old.Term != h.claim.Term) {
		return h.decision(false)
	}
	f.accept(h)
	return h.decision(true)
}

// accept makes h the last claim of its lease.
func (f *Fold) accept(h heldClaim) {
	s := State{
		Last:     h.offset,
		Holder:   h.holder,
		Term:     h.claim.Term,
		LengthMs: h.claim.LengthMs,
		AtMs:     h.atMs,
	}
	if s.Term == 0 {
		s.Term = h.offset
	}
	if h.claim.Release {
		s.Holder = ""
	}
	f.states[h.claim.Lease] = s
}
