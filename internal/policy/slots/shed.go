package slots

import (
	"math"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	// arrivalMargin and waitingMargin multiply the time left before an estimate
	// is held against it, at arrival and while waiting.
	arrivalMargin = 1.0
	waitingMargin = 1.5
)

// credit adds the time that each waiting tier loses to lower tiers and floor turns.
func (s *Slots) credit(dt clock.Millis) {
	if len(s.waitList) == 0 {
		return
	}
	s.drain.pass(dt)
	lower := 0
	for i := len(s.tiers) - 1; i >= 0; i-- {
		t := s.tiers[i]
		if t.waiting > 0 {
			t.credit += float64(dt) * float64(lower+s.floors[i]) / float64(s.cfg.Slots)
		}
		lower += s.occupied[i]
	}
}

// leftMs returns the time until the extended deadline of it.
func (s *Slots) leftMs(it *item) float64 {
	if !it.hasTarget() {
		return math.Inf(1)
	}
	deadline := it.startBy
	if it.state == stateWaiting {
		deadline = it.expiry.deadline + it.tier.credit
	}
	return deadline - float64(s.now)
}

func (s *Slots) expired(it *item) bool {
	return s.leftMs(it) <= 0
}

// feasible tells whether a start after wait meets the deadline of it.
func (s *Slots) feasible(it *item, wait, margin float64) bool {
	if s.cfg.NoShedding || !it.hasTarget() {
		return true
	}
	left := s.leftMs(it)
	target := it.startBy - float64(it.r.ArrivedMs)
	first := math.Min(float64(s.firstTokenMs), target/2)
	return left > 0 && wait <= math.Max(0, left-first)*margin
}

// refuse drops a waiting or offered reservation and tells its entry.
func (s *Slots) refuse(it *item, reason RefuseReason) {
	v := s.verdict(it)
	v.Feasible = false
	switch reason {
	case RefuseInfeasible:
		s.counts.Infeasible++
	case RefuseExpired:
		s.counts.Expired++
	case RefuseLapsed:
		s.counts.Lapsed++
	}
	s.drop(it)
	s.actions = append(s.actions, Action{Kind: ActionRefuse, ID: it.r.ID, Entry: it.r.Entry, Verdict: v, Reason: reason})
}

// expire refuses the waiting requests whose extended deadline passed.
func (s *Slots) expire() {
	if s.cfg.NoShedding {
		return
	}
	for _, t := range s.tiers {
		for n := t.expiry.first(); n != nil && s.expired(n.value); n = t.expiry.first() {
			s.refuse(n.value, RefuseExpired)
		}
	}
}

// reestimate checks some of the waiting requests, all of them in turn.
func (s *Slots) reestimate() {
	if s.cfg.NoShedding {
		return
	}
	for n := min(reestimatesPerTick, len(s.waitList)); n > 0 && len(s.waitList) > 0; n-- {
		s.cursor++
		it := s.waitList[s.cursor%len(s.waitList)]
		if !s.feasible(it, s.waitMs(it, s.ahead(it)), waitingMargin) {
			s.refuse(it, RefuseInfeasible)
		}
	}
}
