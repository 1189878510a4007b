package slots

import "math"

// maxSavedRequests is the maximum floor credit of a class, in requests of
// Config.InitialOutputTokens.
const maxSavedRequests = 2

// roundingTolerance is the tolerated rounding error of floor credits, in tokens.
const roundingTolerance = 1e-6

// floorState is the accounting of one class's floor. Amounts are charged tokens.
type floorState struct {
	percent float64
	// credit grows while the class has waiting requests and shrinks by the charges
	// for its requests. Only floor turns can make it negative.
	credit float64
	// earned is the credit earned since the class's last offer while it was not
	// due; maxEarned is the most that it can earn before it is due.
	earned, maxEarned float64
	// passedOver counts the offers to other classes since the class became due.
	passedOver int
}

// spend subtracts tokens, which may be negative, from the credit. Unless floor is
// set, it does not reduce the credit below 0.
func (f *floorState) spend(tokens float64, floor bool) {
	left := f.credit - tokens
	if !floor {
		left = math.Max(left, math.Min(f.credit, 0))
	}
	f.maxEarned += math.Max(0, f.credit-left)
	f.credit = left
}

// resetEarned restarts the count of earned tokens after an offer to the class;
// saved is the maximum credit.
func (f *floorState) resetEarned(saved float64) {
	f.earned, f.passedOver = 0, 0
	f.maxEarned = saved + math.Max(0, -f.credit)
}

// floorsOn reports whether the configuration uses floors.
func (s *Scheduler) floorsOn() bool {
	return !s.cfg.NoFloors && s.cfg.Order != OrderFIFO
}

// maxSavedTokens returns the maximum floor credit of a class.
func (s *Scheduler) maxSavedTokens() float64 {
	return float64(maxSavedRequests * s.cfg.InitialOutputTokens)
}

// dueCredit returns the credit at which class c, which must have a waiting
// request, is due: the expected cost of its next request, but at most the maximum
// credit.
func (s *Scheduler) dueCredit(c *classQueue) float64 {
	return math.Min(c.best().cost(), s.maxSavedTokens())
}

// due reports whether class c waits and has earned enough credit for a floor turn.
func (s *Scheduler) due(c *classQueue) bool {
	return c.waiting > 0 && c.floor.percent > 0 && c.floor.credit >= s.dueCredit(c)-roundingTolerance
}

// dueClass returns the due class whose last offer is the longest ago, or nil if
// no class is due.
func (s *Scheduler) dueClass() *classQueue {
	if !s.floorsOn() {
		return nil
	}
	var due *classQueue
	for _, t := range s.tiers {
		for _, c := range t.classes {
			if s.due(c) && (due == nil || c.lastOffer < due.lastOffer) {
				due = c
			}
		}
	}
	return due
}

// floorScale returns the credit that one percent of floor earns per charged
// token: 1/100, or less if the floors of the waiting classes sum to more than 100.
func (s *Scheduler) floorScale() float64 {
	total := 0.0
	for _, t := range s.tiers {
		for _, c := range t.classes {
			if c.waiting > 0 {
				total += c.floor.percent
			}
		}
	}
	return 1 / math.Max(100, total)
}

// earnCredits credits each waiting class with its floor's part of newly charged
// tokens.
func (s *Scheduler) earnCredits(tokens float64) {
	if !s.floorsOn() || tokens <= 0 {
		return
	}
	scale, saved := s.floorScale(), s.maxSavedTokens()
	for _, t := range s.tiers {
		for _, c := range t.classes {
			if c.waiting == 0 || c.floor.percent == 0 {
				continue
			}
			f := &c.floor
			before := f.credit
			f.credit = math.Min(before+tokens*f.percent*scale, math.Max(before, saved))
			f.earned += math.Max(0, math.Min(f.credit, s.dueCredit(c))-before)
		}
	}
}

// chargeFloors accounts for the tokens of a request beyond those accounted for
// before: its class spends them, unless it is a floor turn, and the waiting classes
// earn credit. tokens is the total output. The prompt is added to the first
// report, unless the request is resumed.
func (s *Scheduler) chargeFloors(it *item, tokens int) {
	if tokens <= it.floorCounted {
		return
	}
	fresh := float64(tokens - it.floorCounted)
	if it.floorCounted == 0 && !it.r.Resumed {
		fresh += it.promptCost()
	}
	it.floorCounted = tokens
	if !it.floor {
		it.class.floor.spend(fresh, false)
	}
	s.earnCredits(fresh)
}

// settleFloor makes the final charge to the floor of a request's class when the
// request releases its slot. A floor turn's estimate is replaced by the real cost,
// with at least one token if it ran; an offer that lapsed keeps the estimate.
func (s *Scheduler) settleFloor(it *item, lapsed bool) {
	if it.state == stateRunning {
		s.chargeFloors(it, max(it.tokens, 1))
	}
	if !it.floor || lapsed {
		return
	}
	used := float64(it.floorCounted)
	if it.state != stateOffered {
		used += it.promptCost()
	}
	it.class.floor.spend(used-it.floorSpent, true)
	if it.state == stateOffered {
		it.class.floor.credit = math.Min(it.class.floor.credit, s.maxSavedTokens())
	}
}

// recordOffer updates the floors after a slot is offered to a request: a floor turn
// spends its estimated cost, and other due classes count as passed over.
func (s *Scheduler) recordOffer(it *item) {
	if it.floor {
		it.floorSpent = it.cost()
		it.class.floor.spend(it.floorSpent, true)
	}
	it.class.floor.resetEarned(s.maxSavedTokens())
	if !s.floorsOn() {
		return
	}
	for _, t := range s.tiers {
		for _, c := range t.classes {
			switch {
			case c == it.class:
			case s.due(c):
				c.floor.passedOver++
			default:
				c.floor.passedOver = 0
			}
		}
	}
}
