package slots

import (
	"fmt"
	"math"

	"github.com/damaskport/damaskport/internal/runtime/supervise"
)

// failInvariant panics with a *supervise.InvariantError.
func failInvariant(invariant, format string, args ...any) {
	panic(&supervise.InvariantError{Invariant: invariant, Detail: fmt.Sprintf(format, args...)})
}

// check asserts the invariants that hold after every call. The full check, which takes
// time linear in the number of waiting requests, is made in every
// Config.CheckEvery-th call.
func (s *Scheduler) check() {
	if len(s.occupying) > s.cfg.Slots {
		failInvariant("slotsNotDoubled", "busy=%d slots=%d", len(s.occupying), s.cfg.Slots)
	}
	if !s.draining && s.free() > 0 && len(s.waitList) > 0 {
		failInvariant("noIdleSlot", "free=%d waiting=%d", s.free(), len(s.waitList))
	}
	s.checkFloors()
	s.decisions++
	if s.decisions%s.cfg.CheckEvery != 0 {
		return
	}
	s.counts.FullChecks++
	s.checkTotals()
	if len(s.waitList) > 0 {
		s.checkIndependence(s.waitList[s.decisions/s.cfg.CheckEvery%len(s.waitList)])
	}
}

// checkFloors asserts the guarantee of floors: a waiting class is due before it has
// earned more than floorState.maxEarned since its last offer, and once it is due, each
// other class is offered at most one slot before it.
func (s *Scheduler) checkFloors() {
	if !s.floorsOn() {
		return
	}
	classes := 0
	for _, t := range s.tiers {
		classes += len(t.classes)
	}
	for _, t := range s.tiers {
		for _, c := range t.classes {
			f := &c.floor
			if f.earned > f.maxEarned+roundingTolerance*(1+f.maxEarned) || f.passedOver >= classes {
				failInvariant("floorServed", "class=%s credit=%.3f earned=%.3f maxEarned=%.3f passedOver=%d", c.name, f.credit, f.earned, f.maxEarned, f.passedOver)
			}
		}
	}
}

// checkOrder asserts that offering the next slot to an item follows the order of
// service in the package comment; floor is set if the offer is a floor turn.
func (s *Scheduler) checkOrder(it *item, floor bool) {
	if floor {
		if !s.due(it.class) {
			failInvariant("floorTurnEarned", "id=%s class=%s credit=%.3f", it.r.ID, it.class.name, it.class.floor.credit)
		}
		return
	}
	for i := 0; i < it.r.Tier; i++ {
		if s.tiers[i].waiting > 0 {
			failInvariant("offersInOrder", "id=%s tier=%d waitingTier=%d", it.r.ID, it.r.Tier, i)
		}
	}
	if (s.decisions+1)%s.cfg.CheckEvery != 0 {
		return
	}
	for _, other := range s.waitList {
		if other.r.Tier == it.r.Tier && precedes(other, it) {
			failInvariant("offersInOrder", "id=%s counter=%.1f passedOver=%s passedOverCounter=%.1f", it.r.ID, it.acct.counter, other.r.ID, other.acct.counter)
		}
	}
}

// precedes reports whether a is served before b; both wait in the same tier and neither
// is on a floor turn.
func precedes(a, b *item) bool {
	if a.r.Resumed != b.r.Resumed {
		return a.r.Resumed
	}
	first, second := a.order, b.order
	if !a.r.Resumed {
		first.counter, second.counter = a.acct.counter, b.acct.counter
	}
	return first.less(second)
}

// checkPreemption asserts that victim may be preempted for a request of the tier forTier.
func (s *Scheduler) checkPreemption(victim *item, forTier int) {
	if victim.r.Tier <= forTier || victim.floor || !victim.r.Preemptible {
		failInvariant("preemptsLowerTier", "id=%s tier=%d forTier=%d floor=%t", victim.r.ID, victim.r.Tier, forTier, victim.floor)
	}
}

// checkTotals recomputes the totals that are maintained incrementally and
// asserts that they agree.
func (s *Scheduler) checkTotals() {
	waiting, nonPreempting := make([]int, len(s.tiers)), make([]int, len(s.tiers))
	work := make([]float64, len(s.tiers))
	for _, it := range s.waitList {
		waiting[it.r.Tier]++
		work[it.r.Tier] += it.estTokens
		if it.r.NonPreempting {
			nonPreempting[it.r.Tier]++
		}
	}
	for i, t := range s.tiers {
		if t.waiting != waiting[i] || t.nonPreempting != nonPreempting[i] || !approxEqual(t.work(), work[i]) {
			failInvariant("totals", "tier=%d waiting=%d counted=%d work=%.1f counted=%.1f", i, t.waiting, waiting[i], t.work(), work[i])
		}
	}
	occupied, stopping := make([]int, maxTiers), 0
	for _, it := range s.occupying {
		occupied[it.r.Tier]++
		if it.state == stateStopping {
			stopping++
		}
	}
	for i := range occupied {
		if occupied[i] != s.occupied[i] {
			failInvariant("totals", "tier=%d occupied=%d counted=%d", i, s.occupied[i], occupied[i])
		}
	}
	if stopping != s.stopping || len(s.items) != len(s.waitList)+len(s.occupying) {
		failInvariant("totals", "stopping=%d counted=%d items=%d", s.stopping, stopping, len(s.items))
	}
}

// checkIndependence asserts that lower tiers do not affect the estimate by which a
// waiting request may be shed: it recomputes the work ahead from the reservations of
// the request's own tier and the tiers above, and compares.
func (s *Scheduler) checkIndependence(it *item) {
	var want workAhead
	for _, other := range s.occupying {
		if other.r.Tier <= it.r.Tier {
			want.occupied++
		}
	}
	ownTokens := 0.0
	work := map[*account]float64{}
	for _, other := range s.waitList {
		switch {
		case other.r.Tier < it.r.Tier:
			want.tokens += other.estTokens * other.tier.startFraction
		case other.r.Tier == it.r.Tier:
			work[other.acct] += other.estTokens
			if other.acct == it.acct && other.order.less(it.order) {
				ownTokens += other.estTokens
			}
		}
	}
	counter := it.acct.counter + ownTokens/it.acct.share
	for a, w := range work {
		want.tokens += math.Min(w, math.Max(0, (counter-a.counter)*a.share)) * it.tier.startFraction
	}
	got := s.ahead(it)
	rounding := 1e-12 * counter * it.tier.byStart.total().share
	if got.occupied != want.occupied || math.Abs(got.tokens-want.tokens) > rounding && !approxEqual(got.tokens, want.tokens) {
		failInvariant("sheddingIgnoresLowerTiers", "id=%s occupied=%d want=%d tokens=%.3f want=%.3f",
			it.r.ID, got.occupied, want.occupied, got.tokens, want.tokens)
	}
}

// approxEqual reports whether a and b differ by at most 1e-6 times the larger absolute
// value, or by at most 1e-6 if both are below 1.
func approxEqual(a, b float64) bool {
	return math.Abs(a-b) <= 1e-6*math.Max(1, math.Max(math.Abs(a), math.Abs(b)))
}
