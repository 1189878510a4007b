package slots

import (
	"math"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

func (s *Slots) tier(number int) *tierQueue {
	for len(s.tiers) <= number {
		s.tiers = append(s.tiers, newTier(len(s.tiers), float64(s.cfg.IdleTokens)))
	}
	return s.tiers[number]
}

// newItem returns an item for r that is in no queue yet.
func (s *Slots) newItem(r Reservation) *item {
	r.Tier = min(max(r.Tier, 0), maxTiers-1)
	r.PromptTokens = max(r.PromptTokens, 0)
	if s.cfg.Order == OrderFIFO {
		r.Tier = 0
	}
	name, share := r.Account, r.Share
	if s.cfg.NoShares || s.cfg.Order == OrderFIFO {
		name, share = "", 1
	}
	s.seq++
	it := &item{r: r, seq: s.seq, tier: s.tier(r.Tier)}
	it.acct = it.tier.account(name, share, s.seq)
	it.class = it.tier.class(r.Class)
	if it.class.offered == 0 {
		it.class.floor.offered(s.savedTokens())
	}
	it.class.floor.percent = float64(min(max(r.FloorPercent, 0), 100))
	it.est = s.estimateTokens(it)
	it.startBy = s.startBy(it)
	it.order = key{deadline: it.startBy, arrived: int64(r.ArrivedMs), seq: it.seq}
	if s.cfg.Order == OrderFIFO {
		it.order.deadline = 0
	}
	return it
}

func (s *Slots) estimateTokens(it *item) float64 {
	est := float64(s.cfg.OutputTokens)
	switch {
	case it.r.EstTokens > 0:
		return float64(it.r.EstTokens)
	case it.acct.tokens > 0:
		est = float64(it.acct.tokens)
	case it.class.tokens > 0:
		est = float64(it.class.tokens)
	}
	if it.r.MaxTokens > 0 {
		est = math.Min(est, float64(it.r.MaxTokens))
	}
	return math.Max(1, est)
}

// startBy returns the time by which it has to start: its deadline, less the
// expected time of generation if the deadline is that of the whole answer, but
// at least half of the time from its arrival.
func (s *Slots) startBy(it *item) float64 {
	if it.r.DeadlineMs <= 0 {
		return math.Inf(1)
	}
	deadline := float64(it.r.DeadlineMs)
	if !it.r.WholeAnswer {
		return deadline
	}
	half := math.Max(0, deadline-float64(it.r.ArrivedMs)) / 2
	return deadline - math.Min(it.est*float64(s.tokenMs), half)
}

func (s *Slots) add(it *item) {
	s.items[it.r.ID] = it
	of := s.entries[it.r.Entry]
	if of == nil {
		of = map[*item]struct{}{}
		s.entries[it.r.Entry] = of
	}
	of[it] = struct{}{}
}

func (s *Slots) enqueue(it *item) {
	it.state = stateWaiting
	it.tier.push(it)
	it.waitIndex = len(s.waitList)
	s.waitList = append(s.waitList, it)
}

func (s *Slots) dequeue(it *item) {
	it.tier.pull(it)
	last := s.waitList[len(s.waitList)-1]
	s.waitList[it.waitIndex] = last
	last.waitIndex = it.waitIndex
	s.waitList[len(s.waitList)-1] = nil
	s.waitList = s.waitList[:len(s.waitList)-1]
}

// occupy gives it a slot and charges its account by the estimate.
func (s *Slots) occupy(it *item, floor bool) {
	it.state = stateOffered
	it.floor = floor
	it.lapseMs = s.now + s.cfg.OfferTimeoutMs
	it.tier.level = math.Max(it.tier.level, it.acct.counter)
	it.charged = it.cost()
	it.tier.charge(it.acct, it.charged)
	s.busy = append(s.busy, it)
	s.occupied[it.r.Tier]++
	if floor {
		s.floors[it.r.Tier]++
	}
	s.offers++
	it.class.offered = s.offers
	s.turned(it)
}

// begin turns an occupied slot into a running request.
func (s *Slots) begin(it *item) {
	it.state = stateRunning
	it.startMs = s.now
	it.sampleMs = s.now
	if s.mayPreempt(it) {
		s.preemptible[it.r.Tier]++
	}
	s.counts.Started++
	if it.floor {
		s.counts.FloorTurns++
	}
}

func (s *Slots) mayPreempt(it *item) bool {
	return it.state == stateRunning && it.r.Preemptible && !it.floor
}

// drop forgets it in any state and corrects what it was charged.
func (s *Slots) drop(it *item) {
	delete(s.items, it.r.ID)
	of := s.entries[it.r.Entry]
	delete(of, it)
	if len(of) == 0 {
		delete(s.entries, it.r.Entry)
	}
	if it.state == stateWaiting {
		s.dequeue(it)
		return
	}
	s.release(it)
}

func (s *Slots) release(it *item) {
	if s.mayPreempt(it) {
		s.preemptible[it.r.Tier]--
	}
	if it.state == stateStopping {
		s.stopping--
	}
	if it.state == stateRunning && len(s.waitList) > 0 {
		s.drain.finish()
	}
	used := 0.0
	if it.state != stateOffered {
		used = float64(it.tokens) + it.promptCost()
	}
	s.settle(it, it.state == stateOffered && it.lapseMs <= s.now)
	it.tier.charge(it.acct, used-it.charged)
	s.occupied[it.r.Tier]--
	if it.floor {
		s.floors[it.r.Tier]--
	}
	for i, other := range s.busy {
		if other == it {
			s.busy = append(s.busy[:i], s.busy[i+1:]...)
			break
		}
	}
}

// next returns the request that the next free slot goes to, and whether it is
// on a floor turn.
func (s *Slots) next() (*item, bool) {
	if due := s.dueClass(); due != nil {
		return due.best(), true
	}
	for _, t := range s.tiers {
		if t.waiting > 0 {
			return t.best(), false
		}
	}
	return nil, false
}

// dispatch offers the free slots and preempts for what still waits.
func (s *Slots) dispatch() {
	for !s.leaving && s.free() > 0 && len(s.waitList) > 0 {
		it, floor := s.next()
		s.checkOrder(it, floor)
		s.dequeue(it)
		s.occupy(it, floor)
		s.actions = append(s.actions, Action{Kind: ActionOffer, ID: it.r.ID, Entry: it.r.Entry, Verdict: s.verdict(it)})
	}
	s.preempt()
	s.check()
}

// preempt stops lower-tier work for the waiting requests that will find no slot.
func (s *Slots) preempt() {
	if s.cfg.NoPreemption || s.cfg.Order == OrderFIFO {
		return
	}
	need := 0
	for _, t := range s.tiers {
		need += t.waiting - t.nonPreempting
		if t.waiting == t.nonPreempting {
			continue
		}
		for need > s.stopping {
			victim := s.victim(t.number)
			if victim == nil {
				break
			}
			s.stop(victim, t.number)
		}
	}
}

// victim returns the request to be preempted for tier, or nil.
func (s *Slots) victim(tier int) *item {
	lowest := len(s.tiers) - 1
	for lowest > tier && s.preemptible[lowest] == 0 {
		lowest--
	}
	if lowest <= tier {
		return nil
	}
	var victim *item
	for _, it := range s.busy {
		if it.r.Tier != lowest || !s.mayPreempt(it) {
			continue
		}
		if victim == nil || it.tokens < victim.tokens || it.tokens == victim.tokens && it.seq > victim.seq {
			victim = it
		}
	}
	return victim
}

func (s *Slots) stop(victim *item, forTier int) {
	s.checkPreemption(victim, forTier)
	s.preemptible[victim.r.Tier]--
	victim.state = stateStopping
	s.stopping++
	s.counts.Preempted++
	s.actions = append(s.actions, Action{Kind: ActionPreempt, ID: victim.r.ID, Entry: victim.r.Entry, Verdict: s.verdict(victim)})
}

// advance moves the time forward: credits, offers that lapsed, deadlines that passed.
func (s *Slots) advance(now clock.Millis) {
	if now > s.now {
		s.credit(now - s.now)
		s.noteAbove(now - s.now)
		s.now = now
	}
	lapsed := false
	for i := 0; i < len(s.busy); {
		it := s.busy[i]
		if it.state == stateOffered && it.lapseMs <= s.now {
			s.refuse(it, RefuseLapsed)
			lapsed = true
			continue
		}
		i++
	}
	s.expire()
	if lapsed {
		s.dispatch()
	}
}
