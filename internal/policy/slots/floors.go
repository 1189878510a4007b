package slots

import "math"

// maxFloorCreditRequests is the maximum floor credit of a class, in requests of
// Config.InitialOutputTokens.
const maxFloorCreditRequests = 2

// roundingTolerance is the tolerated rounding error of floor credits, in tokens.
const roundingTolerance = 1e-6

// floorState is the accounting of the floor of one class (rule 1 of the package
// comment). Amounts are charged tokens.
type floorState struct {
	percent float64 // the floor, 0 to 100; 0 for none
	// credit grows while the class has waiting requests and shrinks by the charges
	// for its requests. Only floor turns can make it negative.
	credit float64
	// earned is the credit that the class earned since its last offer, up to the credit
	// at which it is due; maxEarned is the most that it can earn before it is due.
	earned, maxEarned float64
	// passedOver counts the offers to other classes since the class became due.
	passedOver int
}

// spend subtracts tokens, which may be negative, from the credit. It reduces the credit
// below 0 only if floor is set, which means that the request is on a floor turn.
func (f *floorState) spend(tokens float64, floor bool) {
	left := f.credit - tokens
	if !floor {
		left = math.Max(left, math.Min(f.credit, 0))
	}
	f.maxEarned += math.Max(0, f.credit-left)
	f.credit = left
}

// resetEarned resets earned, maxEarned and passedOver after an offer to the class;
// maxCredit is the maximum credit of a class.
func (f *floorState) resetEarned(maxCredit float64) {
	f.earned, f.passedOver = 0, 0
	f.maxEarned = maxCredit + math.Max(0, -f.credit)
}

// floorsOn reports whether the configuration uses floors.
func (s *Scheduler) floorsOn() bool {
	return !s.cfg.NoFloors && s.cfg.Order != OrderFIFO
}

// maxFloorCredit returns the maximum floor credit of a class.
func (s *Scheduler) maxFloorCredit() float64 {
	return float64(maxFloorCreditRequests * s.cfg.InitialOutputTokens)
}

// dueCredit returns the credit from which class c, which must have a waiting request, is
// due for a floor turn: the expected cost of its next request, but at most the maximum
// credit.
func (s *Scheduler) dueCredit(c *classQueue) float64 {
	return math.Min(c.best().cost(), s.maxFloorCredit())
}

// due reports whether class c has a waiting request and enough credit for a floor turn.
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
	scale, maxCredit := s.floorScale(), s.maxFloorCredit()
	for _, t := range s.tiers {
		for _, c := range t.classes {
			if c.waiting == 0 || c.floor.percent == 0 {
				continue
			}
			f := &c.floor
			before := f.credit
			f.credit = math.Min(before+tokens*f.percent*scale, math.Max(before, maxCredit))
			f.earned += math.Max(0, math.Min(f.credit, s.dueCredit(c))-before)
		}
	}
}

// chargeFloors accounts for the output tokens of a request that it has not accounted for
// in earlier calls: they reduce the credit of the request's class, unless the request
// is on a floor turn, and all waiting classes earn credit for them. tokens is the total
// output of the request so far. In the first call for a request, the charge for the
// prompt is added, unless the request is resumed.
func (s *Scheduler) chargeFloors(it *item, tokens int) {
	if tokens <= it.floorChargedTokens {
		return
	}
	fresh := float64(tokens - it.floorChargedTokens)
	if it.floorChargedTokens == 0 && !it.r.Resumed {
		fresh += it.promptCost()
	}
	it.floorChargedTokens = tokens
	if !it.floor {
		it.class.floor.spend(fresh, false)
	}
	s.earnCredits(fresh)
}

// settleFloor makes the final charge for a request to the floor credit of its class when
// the request releases its slot. For a request on a floor turn, the estimate is
// replaced by the real cost, at least one token if it ran; if its offer lapsed (lapsed
// is set), the estimate remains charged.
func (s *Scheduler) settleFloor(it *item, lapsed bool) {
	if it.state == stateRunning {
		s.chargeFloors(it, max(it.tokens, 1))
	}
	if !it.floor || lapsed {
		return
	}
	used := float64(it.floorChargedTokens)
	if it.state != stateOffered {
		used += it.promptCost()
	}
	it.class.floor.spend(used-it.floorDeducted, true)
	if it.state == stateOffered {
		it.class.floor.credit = math.Min(it.class.floor.credit, s.maxFloorCredit())
	}
}

// recordOffer updates the floors after a slot was offered to a request. If it is on a
// floor turn, its estimated cost reduces the credit of its class. Other classes that
// are due count as passed over.
func (s *Scheduler) recordOffer(it *item) {
	if it.floor {
		it.floorDeducted = it.cost()
		it.class.floor.spend(it.floorDeducted, true)
	}
	it.class.floor.resetEarned(s.maxFloorCredit())
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
