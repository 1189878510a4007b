package slots

import (
	"math"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	// arrivalMargin and waitingMargin are the factors by which the estimated wait
	// may exceed the time left until the deadline before a request is refused, at
	// arrival and while it waits.
	arrivalMargin = 1.0
	waitingMargin = 1.5
)

// addLostTime extends the deadlines of the waiting requests of each tier by the share of
// the slots that lower tiers and floor turns occupy, times dt, the time in ms since the
// last call.
func (s *Scheduler) addLostTime(dt clock.Millis) {
	if len(s.waitList) == 0 {
		return
	}
	s.completions.elapse(dt)
	lower := 0
	for i := len(s.tiers) - 1; i >= 0; i-- {
		t := s.tiers[i]
		if t.waiting > 0 {
			t.lostMs += float64(dt) * float64(lower+s.floorSlots[i]) / float64(s.cfg.Slots)
		}
		lower += s.occupied[i]
	}
}

// leftMs returns the time in ms until the extended deadline of a request; infinity
// if it has none.
func (s *Scheduler) leftMs(it *item) float64 {
	if !it.hasDeadline() {
		return math.Inf(1)
	}
	deadline := it.startBy
	if it.state == stateWaiting {
		deadline = it.expiry.deadline + it.tier.lostMs
	}
	return deadline - float64(s.now)
}

// expired reports whether the extended deadline of a request has passed.
func (s *Scheduler) expired(it *item) bool {
	return s.leftMs(it) <= 0
}

// feasible reports whether a request that is expected to start after wait ms counts as
// meeting its deadline. The time left until the deadline is reduced by the expected time
// to first token, but at most by half of the time from arrival to startBy; wait may be
// margin times the result.
func (s *Scheduler) feasible(it *item, wait, margin float64) bool {
	if s.cfg.NoShedding || !it.hasDeadline() {
		return true
	}
	left := s.leftMs(it)
	target := it.startBy - float64(it.r.ArrivedMs)
	first := math.Min(float64(s.firstTokenMs), target/2)
	return left > 0 && wait <= math.Max(0, left-first)*margin
}

// refuse drops a waiting or offered reservation and queues an ActionRefuse for
// its entry.
func (s *Scheduler) refuse(it *item, reason RefuseReason) {
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

// expire refuses the waiting requests whose extended deadline has passed.
func (s *Scheduler) expire() {
	if s.cfg.NoShedding {
		return
	}
	for _, t := range s.tiers {
		for n := t.expiry.first(); n != nil && s.expired(n.value); n = t.expiry.first() {
			s.refuse(n.value, RefuseExpired)
		}
	}
}

// reestimate refuses waiting requests that are no longer expected to meet their
// deadline. Each call checks up to reestimatesPerTick of them, in rotation.
func (s *Scheduler) reestimate() {
	if s.cfg.NoShedding {
		return
	}
	for n := min(reestimatesPerTick, len(s.waitList)); n > 0 && len(s.waitList) > 0; n-- {
		s.reestimateIndex++
		it := s.waitList[s.reestimateIndex%len(s.waitList)]
		if !s.feasible(it, s.waitMs(it, s.ahead(it)), waitingMargin) {
			s.refuse(it, RefuseInfeasible)
		}
	}
}
