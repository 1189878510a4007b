package slots

import (
	"math"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	meanWeight          = 1.0 / 16 // weight of a new sample in a running mean
	startFractionWeight = 1.0 / 64 // weight of a new sample in tierQueue.startFraction
)

// mean is an exponentially weighted running mean; 0 until the first sample.
type mean float64

// add adds a sample to the mean.
func (m *mean) add(sample float64) {
	if *m == 0 {
		*m = mean(sample)
		return
	}
	*m += mean((sample - float64(*m)) * meanWeight)
}

// state is the state of an item. In stateRunning and stateStopping, the request has
// started.
type state int

const (
	stateWaiting state = iota + 1
	stateOffered
	stateRunning
	stateStopping // preempted, not ended yet
)

// item is a request known to the scheduler, with its position in the queues.
type item struct {
	r         Reservation
	state     state
	seq       uint64  // arrival number, unique
	estTokens float64 // expected output tokens
	startBy   float64 // latest start to meet the deadline, ms; infinite without a deadline
	charged   float64 // tokens charged to the account
	tokens    int     // output tokens reported in this attempt
	// floor is set if the request is on a floor turn: its slot was offered in order to
	// meet the guaranteed minimum (floor) of its class, see the package comment.
	floor bool
	// floorDeducted is the estimated cost that was deducted from the floor credit of the
	// class when the request was offered on a floor turn; 0 otherwise.
	floorDeducted      float64
	floorChargedTokens int // output tokens that chargeFloors has accounted for

	tier  *tierQueue
	acct  *account
	class *classQueue
	flow  *flow

	order     key // order within the flow
	expiry    key // key in tierQueue.expiry
	waitIndex int // index in Scheduler.waitList

	lapseMs      clock.Millis // time at which the offer lapses
	startMs      clock.Millis // time at which the request started to run
	firstMs      clock.Millis // time of the first progress report; 0 before
	sampleMs     clock.Millis // time and output tokens at the last sample of the time per token
	sampleTokens int
}

// hasDeadline reports whether the request may be shed for missing its deadline.
// A resumed request is not shed.
func (it *item) hasDeadline() bool {
	return it.r.DeadlineMs > 0 && !it.r.Resumed
}

// promptCost returns the charge for the prompt, in output tokens.
func (it *item) promptCost() float64 {
	return float64(it.r.PromptTokens) / promptTokensPerOutputToken
}

// cost returns the expected charge for prompt and output, in output tokens.
func (it *item) cost() float64 {
	return it.estTokens + it.promptCost()
}

// account is a client account within a tier.
type account struct {
	seq     uint64  // unique number, which orders accounts with equal counters
	counter float64 // charged tokens divided by share; the smallest is served first
	share   float64 // weight within the tier, at least 1
	work    float64 // expected output tokens of its waiting requests
	waiting int     // number of its waiting requests
	tokens  mean    // output tokens per request
	flows   []*flow
}

// startKey is the account's key in tierQueue.byStart.
func (a *account) startKey() key {
	return key{counter: a.counter, seq: a.seq}
}

// finishKey is the account's key in tierQueue.byFinish.
func (a *account) finishKey() key {
	return key{counter: a.counter + a.work/a.share, seq: a.seq}
}

// flow is the queue of one account's waiting requests in one class.
type flow struct {
	acct  *account
	class *classQueue
	items tree[*item]
	order key // order within the class; valid unless items is empty
}

// classQueue holds the waiting requests of one class.
type classQueue struct {
	name      string
	tier      *tierQueue
	flows     tree[*flow]
	waiting   int
	floor     floorState
	resumed   tree[*item] // waiting requests that resume after a preemption, by deadline
	lastOffer uint64      // value of Scheduler.offers at the last offer to the class
	tokens    mean        // output tokens per completed request
}

// tierQueue holds the waiting requests of one tier.
type tierQueue struct {
	number int
	// idleTokens is the maximum credit of an idle account, see Config.MaxIdleCreditTokens.
	idleTokens        float64
	accounts          map[string]*account
	classes           []*classQueue
	byName            map[string]*classQueue
	byStart           tree[*account] // waiting accounts by counter
	byFinish          tree[*account] // waiting accounts by the counter that they reach once all their waiting requests are served
	expiry            tree[*item]    // waiting requests with a deadline, by startBy minus the value of lostMs at arrival
	waiting           int
	shareAbove        float64 // average share of the slots that the tiers above occupy, 0 to 1
	nonPreempting     int     // waiting requests marked NonPreempting
	lastServedCounter float64 // counter of the account served last
	lostMs            float64 // time lost to lower tiers and floor turns while requests waited, ms
	tokens            mean    // output tokens per request
	// startFraction is the average fraction of waiting requests that start here;
	// the others are cancelled, for example because another sidecar's offer was accepted.
	startFraction float64
}

func newTier(number int, idleTokens float64) *tierQueue {
	return &tierQueue{number: number, idleTokens: idleTokens, startFraction: 1, accounts: map[string]*account{}, byName: map[string]*classQueue{}}
}

// account returns the account with the given name, creating it if needed, and sets its
// share. seq is the number of a new account.
func (t *tierQueue) account(name string, share int, seq uint64) *account {
	a := t.accounts[name]
	if a == nil {
		a = &account{seq: seq, share: 1, counter: t.lowestCounter()}
		t.accounts[name] = a
	}
	if weight := float64(max(share, 1)); a.share != weight {
		t.detach(a)
		a.share = weight
		t.attach(a)
	}
	return a
}

// class returns the queue of the class with the given name, creating it if needed.
func (t *tierQueue) class(name string) *classQueue {
	c := t.byName[name]
	if c == nil {
		c = &classQueue{name: name, tier: t}
		t.byName[name] = c
		t.classes = append(t.classes, c)
	}
	return c
}

// flow returns the queue of the account's requests in class c, creating it if needed.
func (a *account) flow(c *classQueue) *flow {
	for _, f := range a.flows {
		if f.class == c {
			return f
		}
	}
	f := &flow{acct: a, class: c}
	a.flows = append(a.flows, f)
	return f
}

// counterOnArrival returns the counter of account a when another request of it starts to
// wait. If no request of a waits yet, the counter is raised so that it is not further
// below lowestCounter than the maximum idle credit divided by the share.
func (t *tierQueue) counterOnArrival(a *account) float64 {
	if a.waiting > 0 {
		return a.counter
	}
	return math.Max(a.counter, t.lowestCounter()-t.idleTokens/a.share)
}

// lowestCounter returns the smallest counter of the waiting accounts, or the one
// served last if none waits.
func (t *tierQueue) lowestCounter() float64 {
	if first := t.byStart.first(); first != nil {
		return first.key.counter
	}
	return t.lastServedCounter
}

// detach removes account a from the trees that are ordered by its counter. It must be
// called before the counter, share or waiting work of a changes, as the keys in the
// trees depend on these; attach inserts a again.
func (t *tierQueue) detach(a *account) {
	if a.waiting == 0 {
		return
	}
	found := t.byStart.remove(a.startKey()) && t.byFinish.remove(a.finishKey())
	for _, f := range a.flows {
		if f.items.root != nil {
			found = f.class.flows.remove(f.order) && found
		}
	}
	if !found {
		failInvariant("queuesConsistent", "tier=%d counter=%f work=%f", t.number, a.counter, a.work)
	}
}

// attach inserts account a into the trees from which detach removed it.
func (t *tierQueue) attach(a *account) {
	if a.waiting == 0 {
		return
	}
	own := sums{n: a.waiting, work: a.work, share: a.share, shareCounter: a.share * a.counter}
	t.byStart.insert(a.startKey(), own, a)
	t.byFinish.insert(a.finishKey(), own, a)
	for _, f := range a.flows {
		if head := f.items.first(); head != nil {
			f.order = head.key
			f.order.counter = a.counter
			f.class.flows.insert(f.order, sums{}, f)
		}
	}
}

// push adds a waiting request to the queues of its tier, class and account.
func (t *tierQueue) push(it *item) {
	a := it.acct
	a.counter = t.counterOnArrival(a)
	t.detach(a)
	it.flow = a.flow(it.class)
	it.flow.items.insert(it.order, sums{n: 1, work: it.estTokens}, it)
	a.waiting++
	a.work = a.waitingTokens()
	t.attach(a)
	it.class.waiting++
	t.waiting++
	if it.r.NonPreempting {
		t.nonPreempting++
	}
	if it.r.Resumed {
		it.class.resumed.insert(it.order, sums{}, it)
	}
	if it.hasDeadline() {
		it.expiry = key{deadline: it.startBy - t.lostMs, seq: it.seq}
		t.expiry.insert(it.expiry, sums{}, it)
	}
}

// remove removes a waiting request from the queues of its tier, class and account.
func (t *tierQueue) remove(it *item) {
	a := it.acct
	t.detach(a)
	it.flow.items.remove(it.order)
	a.waiting--
	a.work = a.waitingTokens()
	t.attach(a)
	it.class.waiting--
	t.waiting--
	if it.r.NonPreempting {
		t.nonPreempting--
	}
	if it.r.Resumed {
		it.class.resumed.remove(it.order)
	}
	if it.hasDeadline() {
		t.expiry.remove(it.expiry)
	}
}

// observeDeparture updates startFraction after a waiting or offered request started
// here or was cancelled.
func (t *tierQueue) observeDeparture(started bool) {
	sample := 0.0
	if started {
		sample = 1
	}
	t.startFraction += (sample - t.startFraction) * startFractionWeight
}

// work returns the sum of the expected output tokens of the tier's waiting requests.
func (t *tierQueue) work() float64 {
	return t.byStart.total().work
}

// waitingTokens returns the sum of the expected output tokens of the account's waiting
// requests.
func (a *account) waitingTokens() float64 {
	work := 0.0
	for _, f := range a.flows {
		work += f.items.total().work
	}
	return work
}

// charge adds tokens, which may be negative, divided by the share to the counter of
// account a.
func (t *tierQueue) charge(a *account, tokens float64) {
	t.detach(a)
	a.counter += tokens / a.share
	t.attach(a)
}

// best returns the tier's next request to be served: a resumed one if any waits, else
// the one that rules 3 and 4 of the package comment select; nil if none waits.
func (t *tierQueue) best() *item {
	var resumed *node[*item]
	for _, c := range t.classes {
		n := c.resumed.first()
		if n != nil && (resumed == nil || n.key.less(resumed.key)) {
			resumed = n
		}
	}
	if resumed != nil {
		return resumed.value
	}
	var best *node[*flow]
	for _, c := range t.classes {
		n := c.flows.first()
		if n != nil && (best == nil || n.key.less(best.key)) {
			best = n
		}
	}
	if best == nil {
		return nil
	}
	return best.value.items.first().value
}

// best returns the class's next request to be served, by the rules of tierQueue.best.
func (c *classQueue) best() *item {
	if n := c.resumed.first(); n != nil {
		return n.value
	}
	n := c.flows.first()
	if n == nil {
		return nil
	}
	return n.value.items.first().value
}
