package slots

import (
	"math"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// tier returns the queue of the tier with the given number, creating it and the
// tiers above it if needed.
func (s *Scheduler) tier(number int) *tierQueue {
	for len(s.tiers) <= number {
		s.tiers = append(s.tiers, newTier(len(s.tiers), float64(s.cfg.MaxIdleCreditTokens)))
	}
	return s.tiers[number]
}

// newItem returns an item for r without queueing it. It clamps the fields of r to their
// ranges. With OrderFIFO it replaces the tier by 0; with OrderFIFO or NoShares it
// replaces the account by a common one.
func (s *Scheduler) newItem(r Reservation) *item {
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
	if it.class.lastOffer == 0 {
		it.class.floor.resetEarned(s.maxFloorCredit())
	}
	it.class.floor.percent = float64(min(max(r.FloorPercent, 0), 100))
	it.estTokens = s.estimateTokens(it)
	it.startBy = s.startBy(it)
	it.order = key{deadline: it.startBy, arrived: int64(r.ArrivedMs), seq: it.seq}
	if s.cfg.Order == OrderFIFO {
		it.order.deadline = 0
	}
	return it
}

// estimateTokens returns the expected output tokens of a request, at least 1: the first
// known one of the reservation's estimate, the mean output of its account, the mean
// output of its class and Config.InitialOutputTokens.
func (s *Scheduler) estimateTokens(it *item) float64 {
	est := float64(s.cfg.InitialOutputTokens)
	switch {
	case it.r.EstOutputTokens > 0:
		return float64(it.r.EstOutputTokens)
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

// startBy returns the time in ms by which a request has to start to meet its
// deadline, or infinity without a deadline. For a whole-answer deadline the
// expected generation time is subtracted, but at most half of the time between
// arrival and deadline.
func (s *Scheduler) startBy(it *item) float64 {
	if it.r.DeadlineMs <= 0 {
		return math.Inf(1)
	}
	deadline := float64(it.r.DeadlineMs)
	if !it.r.WholeAnswer {
		return deadline
	}
	half := math.Max(0, deadline-float64(it.r.ArrivedMs)) / 2
	return deadline - math.Min(it.estTokens*float64(s.tokenMs), half)
}

// add registers an item by its id and by its entry.
func (s *Scheduler) add(it *item) {
	s.items[it.r.ID] = it
	ofEntry := s.entries[it.r.Entry]
	if ofEntry == nil {
		ofEntry = map[*item]struct{}{}
		s.entries[it.r.Entry] = ofEntry
	}
	ofEntry[it] = struct{}{}
}

// enqueue adds an item to the waiting requests.
func (s *Scheduler) enqueue(it *item) {
	it.state = stateWaiting
	it.tier.push(it)
	it.waitIndex = len(s.waitList)
	s.waitList = append(s.waitList, it)
}

// dequeue removes an item from the waiting requests.
func (s *Scheduler) dequeue(it *item) {
	it.tier.remove(it)
	last := s.waitList[len(s.waitList)-1]
	s.waitList[it.waitIndex] = last
	last.waitIndex = it.waitIndex
	s.waitList[len(s.waitList)-1] = nil
	s.waitList = s.waitList[:len(s.waitList)-1]
}

// occupy offers a slot to a request and charges the estimated cost to its account.
// floor is set if the request is on a floor turn.
func (s *Scheduler) occupy(it *item, floor bool) {
	it.state = stateOffered
	it.floor = floor
	it.lapseMs = s.now + s.cfg.OfferTimeoutMs
	it.tier.lastServedCounter = math.Max(it.tier.lastServedCounter, it.acct.counter)
	it.charged = it.cost()
	it.tier.charge(it.acct, it.charged)
	s.occupying = append(s.occupying, it)
	s.occupied[it.r.Tier]++
	if floor {
		s.floorSlots[it.r.Tier]++
	}
	s.offers++
	it.class.lastOffer = s.offers
	s.recordOffer(it)
}

// begin marks an offered request as running.
func (s *Scheduler) begin(it *item) {
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

// mayPreempt reports whether an item is running and may be preempted. A request that was
// started to meet the floor of its class (a floor turn) may not.
func (s *Scheduler) mayPreempt(it *item) bool {
	return it.state == stateRunning && it.r.Preemptible && !it.floor
}

// drop removes a request in any state. If it occupies a slot, the slot is freed and the
// estimated charge is replaced by the actual one.
func (s *Scheduler) drop(it *item) {
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

// release frees the slot of an offered, running or stopping request, and corrects the
// charges to its account and to the floor of its class by the actual output.
func (s *Scheduler) release(it *item) {
	if s.mayPreempt(it) {
		s.preemptible[it.r.Tier]--
	}
	if it.state == stateStopping {
		s.stopping--
	}
	if it.state == stateRunning && len(s.waitList) > 0 {
		s.completions.finish()
	}
	used := 0.0
	if it.state != stateOffered {
		used = float64(it.tokens) + it.promptCost()
	}
	s.settleFloor(it, it.state == stateOffered && it.lapseMs <= s.now)
	it.tier.charge(it.acct, used-it.charged)
	s.occupied[it.r.Tier]--
	if it.floor {
		s.floorSlots[it.r.Tier]--
	}
	for i, other := range s.occupying {
		if other == it {
			s.occupying = append(s.occupying[:i], s.occupying[i+1:]...)
			break
		}
	}
}

// next returns the waiting request that is offered the next free slot, and whether it is
// on a floor turn; nil if none waits.
func (s *Scheduler) next() (*item, bool) {
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

// dispatch offers the free slots to waiting requests, then preempts running requests
// for the requests that still wait.
func (s *Scheduler) dispatch() {
	for !s.draining && s.free() > 0 && len(s.waitList) > 0 {
		it, floor := s.next()
		s.checkOrder(it, floor)
		s.dequeue(it)
		s.occupy(it, floor)
		s.actions = append(s.actions, Action{Kind: ActionOffer, ID: it.r.ID, Entry: it.r.Entry, Verdict: s.verdict(it)})
	}
	s.preempt()
	s.check()
}

// preempt stops lower-tier requests until the stopping requests free enough
// slots for the waiting requests of each tier and the tiers above it.
func (s *Scheduler) preempt() {
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

// victim returns the running request to preempt for a request of tier: of the
// lowest tier with preemptible work, the one with the fewest tokens, then the
// newest. It returns nil if no lower tier has preemptible work.
func (s *Scheduler) victim(tier int) *item {
	lowest := len(s.tiers) - 1
	for lowest > tier && s.preemptible[lowest] == 0 {
		lowest--
	}
	if lowest <= tier {
		return nil
	}
	var victim *item
	for _, it := range s.occupying {
		if it.r.Tier != lowest || !s.mayPreempt(it) {
			continue
		}
		if victim == nil || it.tokens < victim.tokens || it.tokens == victim.tokens && it.seq > victim.seq {
			victim = it
		}
	}
	return victim
}

// stop preempts the request victim for a waiting request of the tier forTier.
func (s *Scheduler) stop(victim *item, forTier int) {
	s.checkPreemption(victim, forTier)
	s.preemptible[victim.r.Tier]--
	victim.state = stateStopping
	s.stopping++
	s.counts.Preempted++
	s.actions = append(s.actions, Action{Kind: ActionPreempt, ID: victim.r.ID, Entry: victim.r.Entry, Verdict: s.verdict(victim)})
}

// advance sets the scheduler's time to now: it updates the averages over time and the
// extensions of deadlines, and refuses requests whose offer lapsed or whose deadline
// passed. The time does not go back if now is earlier.
func (s *Scheduler) advance(now clock.Millis) {
	if now > s.now {
		s.addLostTime(now - s.now)
		s.observeShareAbove(now - s.now)
		s.now = now
	}
	lapsed := false
	for i := 0; i < len(s.occupying); {
		it := s.occupying[i]
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
