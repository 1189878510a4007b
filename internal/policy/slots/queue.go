package slots

import (
	"math"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	meanWeight = 1.0 / 16 // weight of a new sample in a running mean
	keptWeight = 1.0 / 64 // weight of a new sample in tierQueue.kept
)

// mean is an exponentially weighted running mean; 0 until the first sample.
type mean float64

func (m *mean) add(sample float64) {
	if *m == 0 {
		*m = mean(sample)
		return
	}
	*m += mean((sample - float64(*m)) * meanWeight)
}

type state int

const (
	stateWaiting state = iota + 1
	stateOffered
	stateRunning
	stateStopping
)

// item is a reservation with its place in the queues.
type item struct {
	r       Reservation
	state   state
	seq     uint64
	est     float64 // expected output tokens
	startBy float64 // time by which it has to start; infinite without a target
	charged float64 // tokens charged to the account
	tokens  int
	floor   bool    // started on a floor turn
	spent   float64 // floor credit that its class spent on it in advance
	counted int     // tokens that the floors have counted

	tier  *tierQueue
	acct  *account
	class *classQueue
	flow  *flow

	order     key // order within the flow
	expiry    key
	waitIndex int

	lapseMs      clock.Millis
	startMs      clock.Millis
	firstMs      clock.Millis // time of the first token, 0 before
	sampleMs     clock.Millis
	sampleTokens int
}

// hasTarget tells whether the first-token target is held against it.
func (it *item) hasTarget() bool {
	return it.r.DeadlineMs > 0 && !it.r.Resumed
}

func (it *item) promptCost() float64 {
	return float64(it.r.PromptTokens) / promptTokensPerToken
}

// cost is what it is expected to be charged.
func (it *item) cost() float64 {
	return it.est + it.promptCost()
}

// account is a client account within a tier.
type account struct {
	seq     uint64
	counter float64 // charged tokens divided by share
	share   float64
	work    float64 // expected tokens of its waiting requests
	waiting int
	tokens  mean // output length
	flows   []*flow
}

func (a *account) startKey() key {
	return key{counter: a.counter, seq: a.seq}
}

func (a *account) finishKey() key {
	return key{counter: a.counter + a.work/a.share, seq: a.seq}
}

// flow is the waiting work of one account in one class.
type flow struct {
	acct  *account
	class *classQueue
	items tree[*item]
	order key // order within the class; valid while items wait
}

// classQueue is the waiting work of one class.
type classQueue struct {
	name    string
	tier    *tierQueue
	flows   tree[*flow]
	waiting int
	floor   floorState
	resumed tree[*item] // waiting requests that were preempted, by deadline
	offered uint64      // number of the last offer
	tokens  mean
}

// tierQueue is the waiting work of one tier.
type tierQueue struct {
	number int
	// idleTokens bounds the tokens that an account may lag behind the others.
	idleTokens    float64
	accounts      map[string]*account
	classes       []*classQueue
	byName        map[string]*classQueue
	byStart       tree[*account] // waiting accounts by counter
	byFinish      tree[*account] // waiting accounts by the counter at which their work is done
	expiry        tree[*item]
	waiting       int
	above         float64 // observed share of the slots held by the tiers above
	nonPreempting int     // waiting requests for which nothing is preempted
	level         float64 // counter of the account served last
	credit        float64 // time lost to lower tiers and floor turns, ms
	tokens        mean
	// kept is the part of the waiting requests that start here; the others are
	// cancelled, as when another sidecar's offer was taken.
	kept float64
}

func newTier(number int, idleTokens float64) *tierQueue {
	return &tierQueue{number: number, idleTokens: idleTokens, kept: 1, accounts: map[string]*account{}, byName: map[string]*classQueue{}}
}

func (t *tierQueue) account(name string, share int, seq uint64) *account {
	a := t.accounts[name]
	if a == nil {
		a = &account{seq: seq, share: 1, counter: t.floor()}
		t.accounts[name] = a
	}
	if weight := float64(max(share, 1)); a.share != weight {
		t.detach(a)
		a.share = weight
		t.attach(a)
	}
	return a
}

func (t *tierQueue) class(name string) *classQueue {
	c := t.byName[name]
	if c == nil {
		c = &classQueue{name: name, tier: t}
		t.byName[name] = c
		t.classes = append(t.classes, c)
	}
	return c
}

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

// lifted returns the counter at which a takes part once it waits.
func (t *tierQueue) lifted(a *account) float64 {
	if a.waiting > 0 {
		return a.counter
	}
	return math.Max(a.counter, t.floor()-t.idleTokens/a.share)
}

// floor returns the smallest counter that waits, or the last one served.
func (t *tierQueue) floor() float64 {
	if first := t.byStart.first(); first != nil {
		return first.key.counter
	}
	return t.level
}

// detach takes a out of the ordered sets before its counter, share or work changes.
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
		broken("queuesConsistent", "tier=%d counter=%f work=%f", t.number, a.counter, a.work)
	}
}

// attach puts a back after the change.
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

func (t *tierQueue) push(it *item) {
	a := it.acct
	a.counter = t.lifted(a)
	t.detach(a)
	it.flow = a.flow(it.class)
	it.flow.items.insert(it.order, sums{n: 1, work: it.est}, it)
	a.waiting++
	a.work = a.queued()
	t.attach(a)
	it.class.waiting++
	t.waiting++
	if it.r.NonPreempting {
		t.nonPreempting++
	}
	if it.r.Resumed {
		it.class.resumed.insert(it.order, sums{}, it)
	}
	if it.hasTarget() {
		it.expiry = key{deadline: it.startBy - t.credit, seq: it.seq}
		t.expiry.insert(it.expiry, sums{}, it)
	}
}

func (t *tierQueue) pull(it *item) {
	a := it.acct
	t.detach(a)
	it.flow.items.remove(it.order)
	a.waiting--
	a.work = a.queued()
	t.attach(a)
	it.class.waiting--
	t.waiting--
	if it.r.NonPreempting {
		t.nonPreempting--
	}
	if it.r.Resumed {
		it.class.resumed.remove(it.order)
	}
	if it.hasTarget() {
		t.expiry.remove(it.expiry)
	}
}

// left records that a waiting or offered request started here, or was cancelled.
func (t *tierQueue) left(started bool) {
	sample := 0.0
	if started {
		sample = 1
	}
	t.kept += (sample - t.kept) * keptWeight
}

// work returns the expected tokens of the waiting requests of t.
func (t *tierQueue) work() float64 {
	return t.byStart.total().work
}

// queued returns the expected tokens of the waiting requests of a.
func (a *account) queued() float64 {
	work := 0.0
	for _, f := range a.flows {
		work += f.items.total().work
	}
	return work
}

// charge adds tokens, which may be negative, to the counter of a.
func (t *tierQueue) charge(a *account, tokens float64) {
	t.detach(a)
	a.counter += tokens / a.share
	t.attach(a)
}

// best returns the request that rules 3 and 4 choose.
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
