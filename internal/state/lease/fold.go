// Package lease decides, from the leases stream of a shared log, which process
// holds each lease.
//
// A claim names the last accepted claim on its lease and is accepted only if
// that is still the last one (compare and swap). The term of a lease is the
// offset of the accepted claim that started it, so later terms are greater. A
// renewal keeps the term.
//
// The stream does not say until when a lease is valid. The holder counts the
// lease length from just before it sent the accepted claim. A challenger, that is,
// a process that wants a lease that another one holds, waits for the lease length plus
// the maximum clock drift from when it read that claim. So the lease ends before the
// challenger claims it, and no two processes hold it at the same time, provided that
// clocks stay within the drift.
//
// ForgetMs after the last accepted claim on a lease, in log time (the time that
// the log gives to records), that claim is forgotten and the lease counts as
// never taken. A reader that missed the first records of the stream knows the
// state of a lease once no claim on it was recorded for ForgetMs, or once a
// claim names an earlier one that the reader has read, since authors name
// only accepted claims. Log time must not decrease.
package lease

import (
	"encoding/json"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// ForgetMs is the log time after which the last claim on a lease is forgotten.
const ForgetMs = 4 * MaxLength

// State is the state of one lease.
type State struct {
	// Last is the offset of the last accepted claim, or 0 when there is none.
	Last int64
	// Holder is empty if the lease was released or never taken.
	Holder   string
	Term     int64
	LengthMs clock.Millis
	// AtMs is the log time of the last accepted claim.
	AtMs clock.Millis
}

// Decision says whether one claim is accepted.
type Decision struct {
	Offset   int64
	Seq      int64
	Holder   string
	Lease    string
	Accepted bool
	Release  bool
}

// recordedClaim is a claim with the record that contains it.
type recordedClaim struct {
	offset int64
	atMs   clock.Millis
	holder string
	seq    int64
	claim  Claim
}

// Fold is the state of the leases stream, computed from its records in order. It is
// not safe for concurrent use.
type Fold struct {
	next       int64        // offset of the next record
	atMs       clock.Millis // log time of the latest record
	startMs    clock.Millis // log time of the first record read since the last gap
	incomplete bool         // records before that first one were missed
	states     map[string]State
	// undecided are the claims on leases whose state is not known yet, by lease.
	undecided map[string][]recordedClaim
	invalid   int // number of records that could not be decoded
}

// New returns the state of a stream before its first record.
func New() *Fold {
	return &Fold{next: 1, states: map[string]State{}, undecided: map[string][]recordedClaim{}}
}

// Next returns the offset of the next record to apply.
func (f *Fold) Next() int64 { return f.next }

// Invalid returns the number of records that could not be decoded. They
// change nothing.
func (f *Fold) Invalid() int { return f.invalid }

// SetOldest reports that the oldest record that the log retains is at offset first.
// If records before it were not applied, the states of all leases become unknown.
func (f *Fold) SetOldest(first int64) {
	if first <= f.next {
		return
	}
	f.next = first
	f.incomplete = true
	f.startMs = 0
	clear(f.states)
	clear(f.undecided)
}

// Lookup returns the state of a lease, and whether it is known. The state of a lease
// that was never taken, or whose last claim is forgotten, is the zero State.
func (f *Fold) Lookup(name string) (State, bool) {
	s, ok := f.states[name]
	if ok && f.atMs < s.AtMs+ForgetMs {
		return s, true
	}
	return State{}, ok || f.knownUnclaimed(name)
}

// knownUnclaimed reports whether a lease without an entry in states is known to have
// no accepted claim that counts: no records were missed, or none of its claims was
// recorded for ForgetMs.
func (f *Fold) knownUnclaimed(name string) bool {
	if !f.incomplete {
		return true
	}
	since := f.startMs
	if claims := f.undecided[name]; len(claims) > 0 {
		since = claims[len(claims)-1].atMs
	}
	return since > 0 && f.atMs >= since+ForgetMs
}

// Apply applies one record. It returns the decisions on the record's claims, and
// on earlier claims that could not be decided before. It ignores a record that
// was applied before.
func (f *Fold) Apply(offset int64, atMs clock.Millis, data []byte) []Decision {
	if offset < f.next {
		return nil
	}
	f.SetOldest(offset)
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
		out = append(out, f.applyClaim(recordedClaim{offset, f.atMs, rec.Holder, rec.Seq, c})...)
	}
	return out
}

// applyClaim decides a claim, or stores it if the state of its lease is unknown.
func (f *Fold) applyClaim(c recordedClaim) []Decision {
	name := c.claim.Lease
	if _, ok := f.Lookup(name); ok {
		delete(f.undecided, name)
		return []Decision{f.decide(c)}
	}
	f.undecided[name] = append(f.undecided[name], c)
	for i, h := range f.undecided[name] {
		if h.offset == c.claim.LastAccepted {
			return f.decideStored(name, i)
		}
	}
	return nil
}

// decideStored decides the undecided claims on a lease, starting with the one at index i,
// which is known to be accepted. Earlier ones are dropped without a decision.
func (f *Fold) decideStored(name string, i int) []Decision {
	claims := f.undecided[name]
	delete(f.undecided, name)
	var out []Decision
	for j, h := range claims[i:] {
		if j == 0 {
			f.accept(h)
			out = append(out, h.decision(true))
			continue
		}
		out = append(out, f.decide(h))
	}
	return out
}

// decision returns the decision on the claim.
func (h recordedClaim) decision(accepted bool) Decision {
	return Decision{
		Offset:   h.offset,
		Seq:      h.seq,
		Holder:   h.holder,
		Lease:    h.claim.Lease,
		Accepted: accepted,
		Release:  h.claim.Release,
	}
}

// decide accepts or rejects a claim on a lease whose state is known.
func (f *Fold) decide(h recordedClaim) Decision {
	old := f.states[h.claim.Lease]
	if h.atMs >= old.AtMs+ForgetMs {
		old = State{}
	}
	if h.claim.LastAccepted != old.Last {
		return h.decision(false)
	}
	if h.claim.Term != 0 && (old.Holder != h.holder || old.Term != h.claim.Term) {
		return h.decision(false)
	}
	f.accept(h)
	return h.decision(true)
}

// accept makes h the last accepted claim on its lease.
func (f *Fold) accept(h recordedClaim) {
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
