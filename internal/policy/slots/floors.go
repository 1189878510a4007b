package slots

import "math"

// savedRequests bounds the tokens that a class saves up, in requests of
// Config.OutputTokens.
const savedRequests = 2

// rounding is the error that sums of parts of tokens may have.
const rounding = 1e-6

// floorState is the floor of one class, in charged tokens.
type floorState struct {
	percent float64
	// credit is earned while the class waits and spent by what its work is
	// charged. Only work on floor turns takes it below 0.
	credit float64
	// earned counts the tokens earned since the last offer while the class was
	// not due; most is what it may earn before it is due.
	earned, most float64
	// passed counts the offers to others since the class is due.
	passed int
}

// spend takes tokens, which may be negative, from the credit.
func (f *floorState) spend(tokens float64, floor bool) {
	left := f.credit - tokens
	if !floor {
		left = math.Max(left, math.Min(f.credit, 0))
	}
	f.most += math.Max(0, f.credit-left)
	f.credit = left
}

// offered begins a new count of what the class earns until it is due.
func (f *floorState) offered(saved float64) {
	f.earned, f.passed = 0, 0
	f.most = saved + math.Max(0, -f.credit)
}

func (s *Slots) floorsOn() bool {
	return !s.cfg.NoFloors && s.cfg.Order != OrderFIFO
}

func (s *Slots) savedTokens() float64 {
	return float64(savedRequests * s.cfg.OutputTokens)
}

// need returns the credit at which c, which waits, is due: the expected charge
// of its next request, or all that a class may save if that is less.
func (s *Slots) need(c *classQueue) float64 {
	return math.Min(c.best().cost(), s.savedTokens())
}

func (s *Slots) due(c *classQueue) bool {
	return c.waiting > 0 && c.floor.percent > 0 && c.floor.credit >= s.need(c)-rounding
}

// dueClass returns the class whose floor chooses the next request, or nil.
func (s *Slots) dueClass() *classQueue {
	if !s.floorsOn() {
		return nil
	}
	var due *classQueue
	for _, t := range s.tiers {
		for _, c := range t.classes {
			if s.due(c) && (due == nil || c.offered < due.offered) {
				due = c
			}
		}
	}
	return due
}

// floorScale returns the part of a token that one percent of a floor earns.
func (s *Slots) floorScale() float64 {
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

// earn adds the floors' part of tokens that were charged here to the classes that wait.
func (s *Slots) earn(tokens float64) {
	if !s.floorsOn() || tokens <= 0 {
		return
	}
	scale, saved := s.floorScale(), s.savedTokens()
	for _, t := range s.tiers {
		for _, c := range t.classes {
			if c.waiting == 0 || c.floor.percent == 0 {
				continue
			}
			f := &c.floor
			before := f.credit
			f.credit = math.Min(before+tokens*f.percent*scale, math.Max(before, saved))
			f.earned += math.Max(0, math.Min(f.credit, s.need(c))-before)
		}
	}
}

// counts the tokens that it used and that no floor has counted yet. A resumed
// request's prompt counts no second time.
func (s *Slots) count(it *item, tokens int) {
	if tokens <= it.counted {
		return
	}
	fresh := float64(tokens - it.counted)
	if it.counted == 0 && !it.r.Resumed {
		fresh += it.promptCost()
	}
	it.counted = tokens
	if !it.floor {
		it.class.floor.spend(fresh, false)
	}
	s.earn(fresh)
}

// settle ends the account of it with the floor of its class: a floor turn has
// spent what it used. A turn that ran without a token counts as one token; one
// that was not answered counts as its estimate.
func (s *Slots) settle(it *item, lapsed bool) {
	if it.state == stateRunning {
		s.count(it, max(it.tokens, 1))
	}
	if !it.floor || lapsed {
		return
	}
	used := float64(it.counted)
	if it.state != stateOffered {
		used += it.promptCost()
	}
	it.class.floor.spend(used-it.spent, true)
	if it.state == stateOffered {
		it.class.floor.credit = math.Min(it.class.floor.credit, s.savedTokens())
	}
}

// turned records an offer of it with the floors: one on a floor turn spends its
// estimate; the other classes that are due were passed over.
func (s *Slots) turned(it *item) {
	if it.floor {
		it.spent = it.cost()
		it.class.floor.spend(it.spent, true)
	}
	it.class.floor.offered(s.savedTokens())
	if !s.floorsOn() {
		return
	}
	for _, t := range s.tiers {
		for _, c := range t.classes {
			switch {
			case c == it.class:
			case s.due(c):
				c.floor.passed++
			default:
				c.floor.passed = 0
			}
		}
	}
}
