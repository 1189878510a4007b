package slots

import (
	"math"
	"slices"
	"sort"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// Scheduler is the scheduler of one sidecar.
type Scheduler struct {
	cfg     Config
	now     clock.Millis
	seq     uint64                        // item.seq of the newest item
	items   map[string]*item              // by reservation id
	entries map[string]map[*item]struct{} // by entry
	tiers   []*tierQueue
	// occupied, preemptible and floorSlots count slots by tier: all that are
	// occupied, those with a request that may be preempted, and those on floor turns.
	occupied        []int
	preemptible     []int
	floorSlots      []int
	occupying       []*item  // offered, running and stopping requests
	stopping        int      // number of stopping requests
	waitList        []*item  // waiting requests, in no order
	reestimateIndex int      // position of reestimate in waitList
	draining        bool     // the sidecar is draining: no new offers are made
	actions         []Action // not returned by Actions yet
	counts          Counts
	decisions       int    // calls of check
	offers          uint64 // offers since the start

	tokenMs          mean           // observed time per output token, ms
	firstTokenMs     mean           // observed time from start to first token, ms
	completions      completionRate // observed rate of completed requests
	nextReestimateMs clock.Millis   // when reestimate is to be called next
}

// New returns a Scheduler with all slots free.
func New(cfg Config) *Scheduler {
	cfg.Slots = max(cfg.Slots, 1)
	if cfg.OfferTimeoutMs <= 0 {
		cfg.OfferTimeoutMs = defaultOfferTimeout
	}
	if cfg.ReestimateMs <= 0 {
		cfg.ReestimateMs = defaultReestimate
	}
	if cfg.InitialTokenMs <= 0 {
		cfg.InitialTokenMs = defaultTokenMs
	}
	if cfg.InitialOutputTokens <= 0 {
		cfg.InitialOutputTokens = defaultOutputTokens
	}
	if cfg.MaxIdleCreditTokens == 0 {
		cfg.MaxIdleCreditTokens = idleCreditRequests * cfg.InitialOutputTokens
	}
	cfg.MaxIdleCreditTokens = max(cfg.MaxIdleCreditTokens, 0)
	if cfg.CheckEvery <= 0 {
		cfg.CheckEvery = 4096
	}
	return &Scheduler{
		cfg:          cfg,
		items:        map[string]*item{},
		entries:      map[string]map[*item]struct{}{},
		occupied:     make([]int, maxTiers),
		preemptible:  make([]int, maxTiers),
		floorSlots:   make([]int, maxTiers),
		tokenMs:      mean(cfg.InitialTokenMs),
		firstTokenMs: mean(cfg.InitialTokenMs),
	}
}

// TryStart starts r immediately if a slot is free and no request waits, and reports
// whether it did. If not, r is not queued. The Verdict is the estimate for r.
func (s *Scheduler) TryStart(now clock.Millis, r Reservation) (Verdict, bool) {
	s.advance(now)
	if it := s.items[r.ID]; it != nil {
		return s.verdict(it), false
	}
	it := s.newItem(r)
	v := s.verdict(it)
	if s.draining || s.free() == 0 || len(s.waitList) > 0 || !s.cfg.NoShedding && s.expired(it) {
		return v, false
	}
	a := it.acct
	it.tier.detach(a)
	a.counter = it.tier.counterOnArrival(a)
	it.tier.attach(a)
	s.add(it)
	s.occupy(it, false)
	s.begin(it)
	s.check()
	return v, true
}

// Reserve returns the estimate for r, and queues r if it is feasible. For a known id
// it returns the current estimate and clears NonPreempting if r does not set it.
func (s *Scheduler) Reserve(now clock.Millis, r Reservation) Verdict {
	s.advance(now)
	if it := s.items[r.ID]; it != nil {
		s.allowPreemption(it, r)
		return s.verdict(it)
	}
	it := s.newItem(r)
	v := s.verdict(it)
	if !v.Feasible {
		if !s.draining {
			s.counts.Infeasible++
		}
		return v
	}
	s.add(it)
	s.enqueue(it)
	s.dispatch()
	return v
}

// allowPreemption clears NonPreempting of a waiting request if r, a later reservation
// with the same id, does not set it.
func (s *Scheduler) allowPreemption(it *item, r Reservation) {
	if it.state != stateWaiting || !it.r.NonPreempting || r.NonPreempting {
		return
	}
	it.r.NonPreempting = false
	it.tier.nonPreempting--
	s.dispatch()
}

// Cancel removes a request in any state and frees its slot, if it occupies one. Unknown
// ids are ignored.
func (s *Scheduler) Cancel(now clock.Millis, id string) {
	s.advance(now)
	if it := s.items[id]; it != nil {
		if it.state == stateWaiting || it.state == stateOffered {
			it.tier.observeDeparture(false)
		}
		s.drop(it)
	}
	s.dispatch()
}

// Accept starts an offered request. It returns false if there is no such offer,
// for example because it lapsed.
func (s *Scheduler) Accept(now clock.Millis, id string) bool {
	s.advance(now)
	it := s.items[id]
	if it == nil || it.state != stateOffered {
		return false
	}
	it.tier.observeDeparture(true)
	s.begin(it)
	s.dispatch()
	return true
}

// Decline removes the reservation of an offered request, whose entry does not accept the
// offer, and frees the slot.
func (s *Scheduler) Decline(now clock.Millis, id string) {
	s.advance(now)
	if it := s.items[id]; it != nil && it.state == stateOffered {
		it.tier.observeDeparture(false)
		s.drop(it)
	}
	s.dispatch()
}

// Progress records that a running or stopping request has generated tokens output
// tokens in total so far.
func (s *Scheduler) Progress(now clock.Millis, id string, tokens int) {
	s.advance(now)
	it := s.items[id]
	if it == nil || it.state < stateRunning || tokens <= it.tokens {
		return
	}
	s.observe(it, tokens, false)
	s.chargeFloors(it, tokens)
	if excess := float64(tokens) + it.promptCost() - it.charged; excess > 0 {
		it.tier.charge(it.acct, excess)
		it.charged += excess
	}
}

// Finish removes a running or stopping request, which has ended, and frees its slot.
// tokens is its total number of output tokens.
func (s *Scheduler) Finish(now clock.Millis, id string, tokens int) {
	s.advance(now)
	it := s.items[id]
	if it == nil || it.state < stateRunning {
		return
	}
	if tokens > 0 {
		s.observe(it, max(tokens, it.tokens), true)
	}
	if it.state == stateRunning && tokens > 0 {
		it.acct.tokens.add(float64(tokens))
		it.class.tokens.add(float64(tokens))
		it.tier.tokens.add(float64(tokens))
	}
	s.drop(it)
	s.dispatch()
}

// DropEntry removes the waiting and offered reservations of an entry. Its running
// requests continue.
func (s *Scheduler) DropEntry(now clock.Millis, entry string) {
	s.advance(now)
	var dropped []*item
	for it := range s.entries[entry] {
		if it.state == stateWaiting || it.state == stateOffered {
			dropped = append(dropped, it)
		}
	}
	sort.Slice(dropped, func(i, j int) bool { return dropped[i].seq < dropped[j].seq })
	for _, it := range dropped {
		s.drop(it)
	}
	s.dispatch()
}

// Drain refuses all waiting and future reservations. Pending offers may still be
// accepted, and running requests continue.
func (s *Scheduler) Drain(now clock.Millis) {
	s.advance(now)
	s.draining = true
	for len(s.waitList) > 0 {
		s.refuse(s.waitList[0], RefuseLeaving)
	}
}

// Tick handles lapsed offers and passed deadlines, and every Config.ReestimateMs
// refuses waiting requests that are no longer expected to meet their deadline.
func (s *Scheduler) Tick(now clock.Millis) {
	s.advance(now)
	if s.now >= s.nextReestimateMs {
		s.nextReestimateMs = s.now + s.cfg.ReestimateMs
		s.reestimate()
	}
	s.dispatch()
}

// Actions returns and clears the actions that accumulated since the last call.
func (s *Scheduler) Actions() []Action {
	out := s.actions
	s.actions = nil
	return out
}

// NextDeadline returns the time at which Tick has to be called next; false if
// there is nothing to wait for.
func (s *Scheduler) NextDeadline() (clock.Millis, bool) {
	at := clock.Millis(math.MaxInt64)
	for _, it := range s.occupying {
		if it.state == stateOffered {
			at = min(at, it.lapseMs)
		}
	}
	if len(s.waitList) > 0 {
		at = min(at, max(s.nextReestimateMs, s.now+1))
	}
	for _, t := range s.tiers {
		if n := t.expiry.first(); n != nil && !s.cfg.NoShedding {
			deadline := clock.Millis(math.Ceil(n.key.deadline + t.lostMs))
			at = min(at, max(deadline, s.now+minExpiryInterval))
		}
	}
	return at, at != math.MaxInt64
}

// Load returns a snapshot of the current load.
func (s *Scheduler) Load() Load {
	l := Load{
		Slots:                s.cfg.Slots,
		Free:                 s.free(),
		TokenMs:              float64(s.tokenMs),
		FirstTokenMs:         float64(s.firstTokenMs),
		CompletionsPerSecond: s.completionsPerMs() * float64(clock.Second),
		WaitingByTier:        make([]int, len(s.tiers)),
	}
	l.PreemptibleByTier = slices.Clone(s.preemptible[:len(s.tiers)])
	for _, it := range s.occupying {
		if it.state == stateOffered {
			l.Offered++
		} else {
			l.Running++
		}
	}
	for i, t := range s.tiers {
		l.WaitingByTier[i] = t.waiting
		for _, c := range t.classes {
			if c.waiting > 0 {
				l.Classes = append(l.Classes, ClassLoad{Class: c.name, Tier: i, Waiting: c.waiting})
			}
		}
	}
	return l
}

// Counts returns the totals of scheduling events and invariant checks since New.
// Only tests read them, to check and compare schedulers.
func (s *Scheduler) Counts() Counts {
	return s.counts
}

// free returns the number of unoccupied slots.
func (s *Scheduler) free() int {
	return s.cfg.Slots - len(s.occupying)
}
