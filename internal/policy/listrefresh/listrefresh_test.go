package listrefresh_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/damaskport/damaskport/internal/policy/listrefresh"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	// drain is how long a draining server still accepts requests; minFaultFree is how
	// long a gateway must have been without a fault (not suspended, not cut off from
	// the store) before the age of its list is checked.
	drain        = 2 * clock.Second
	minFaultFree = 3 * clock.Second
	// step is the time resolution of the simulation.
	step          = 10 * clock.Millisecond
	simulatedTime = 25 * clock.Second
	// deadCallTimeout is the time until a call on a dead connection fails;
	// maxCallBackOff is the longest back-off between failed calls.
	deadCallTimeout   = 400 * clock.Millisecond
	maxCallBackOff    = 1800 * clock.Millisecond
	heartbeatInterval = 900 * clock.Millisecond
	// Each list whose number is a multiple of oversizedEvery is too large for an update:
	// a gateway has to read it from the store.
	oversizedEvery = 3
	// liveFor is how long a gateway counts as live after its last message arrived.
	liveFor = 1500 * clock.Millisecond
)

// message is a heartbeat or an update in transit between two gateways.
type message struct {
	from, to    int          // numbers of the gateways
	arrivalMs   clock.Millis // by the simulation's clock
	heartbeatMs clock.Millis // of a heartbeat: when it was sent, by the sender's clock
	isUpdate    bool
	list        int          // of an update: number of the last change in the sender's list
	readMs      clock.Millis // of an update: when the list was read, by the sender's clock
	// An update returns the receiver's last heartbeat, if echoed is set: echoSentMs is
	// when it was sent, by the receiver's clock, and echoArrivedMs when it arrived, by the
	// sender's clock.
	echoSentMs    clock.Millis
	echoArrivedMs clock.Millis
	echoed        bool
}

// gateway is a simulated gateway. Its maps are keyed by the numbers of other gateways.
type gateway struct {
	follower *listrefresh.Follower
	list     int                   // number of the last change in its list
	offset   clock.Millis          // added to the simulation time to get its clock
	remote   map[int]*clock.Remote // estimates of the others' clocks
	// echo holds the last heartbeat of each other gateway: when it was sent, by the
	// sender's clock, and when it arrived, by this gateway's clock.
	echo          map[int][2]clock.Millis
	lastMessageMs map[int]clock.Millis // when the last message arrived
	// The gateway is suspended until suspendedUntil, and cut off from the store until
	// storeLostUntil.
	suspendedUntil, storeLostUntil clock.Millis
	// faultFreeSince is the time from which it has been neither suspended nor cut off
	// from the store.
	faultFreeSince clock.Millis
	// busyUntil is the end of the present read or back-off. While a read runs, readSentMs is
	// when it began (else 0), and answer is the number of the last change that it will
	// return; -1 if it will fail.
	busyUntil       clock.Millis
	readSentMs      clock.Millis
	answer          int
	failures        int          // failed reads in a row
	lastHeartbeatMs clock.Millis // when it last sent a heartbeat
}

// fleetSimulation simulates gateways, the store and the links between gateways. A link
// is keyed by the numbers of its sender and its receiver.
type fleetSimulation struct {
	t                *rapid.T
	now              clock.Millis
	changes          []clock.Millis // times at which the list in the store changed
	gateways         []*gateway
	inTransit        []message
	lastArrivalMs    map[[2]int]clock.Millis // arrival time of the last message on a link
	linkDelayedUntil map[[2]int]clock.Millis // time until which a link delays messages
	linkDelay        map[[2]int]clock.Millis // by how much it delays them, ms
}

// clock returns the time by the gateway's clock.
func (w *fleetSimulation) clock(g *gateway) clock.Millis { return w.now + g.offset }

// send sends a message. It arrives after 2 ms, or later if its link delays messages.
func (w *fleetSimulation) send(m message) {
	link := [2]int{m.from, m.to}
	d := 2 * clock.Millisecond
	if w.now < w.linkDelayedUntil[link] {
		d += w.linkDelay[link]
	}
	// A connection keeps messages in order.
	m.arrivalMs = max(w.now+d, w.lastArrivalMs[link])
	w.lastArrivalMs[link] = m.arrivalMs
	w.inTransit = append(w.inTransit, m)
}

// deliver processes the messages that have arrived; a suspended gateway processes
// them when it resumes.
func (w *fleetSimulation) deliver() {
	kept := w.inTransit[:0]
	for _, m := range w.inTransit {
		g := w.gateways[m.to]
		if m.arrivalMs > w.now || w.now < g.suspendedUntil {
			kept = append(kept, m)
			continue
		}
		g.lastMessageMs[m.from] = w.now
		if !m.isUpdate {
			g.echo[m.from] = [2]clock.Millis{m.heartbeatMs, w.clock(g)}
			continue
		}
		now := w.clock(g)
		r := g.remote[m.from]
		if m.echoed {
			r.Echo(now, m.echoSentMs, m.echoArrivedMs)
		}
		if m.list%oversizedEvery != 0 {
			g.list = max(g.list, m.list)
		}
		if asOf, ok := r.Own(now, m.readMs); ok {
			g.follower.Update(now, asOf, g.list == m.list)
		}
	}
	w.inTransit = kept
}

// rank returns the number of gateways before i that i considers live.
func (w *fleetSimulation) rank(i int) int {
	n := 0
	for j := range i {
		if at, ok := w.gateways[i].lastMessageMs[j]; ok && w.now-at < liveFor {
			n++
		}
	}
	return n
}

// runStep runs gateway i for one step: it sends heartbeats, finishes a read that is
// over, and starts the next read if it is due.
func (w *fleetSimulation) runStep(i int) {
	g := w.gateways[i]
	if w.now-g.lastHeartbeatMs >= heartbeatInterval {
		g.lastHeartbeatMs = w.now
		for j := range w.gateways {
			if j != i {
				w.send(message{from: i, to: j, heartbeatMs: w.clock(g)})
			}
		}
	}
	if g.readSentMs != 0 && w.now >= g.busyUntil {
		w.finishRead(i)
	}
	if g.readSentMs != 0 || w.now < g.busyUntil || g.follower.DueMs(w.clock(g), w.rank(i)) > w.clock(g) {
		return
	}
	g.readSentMs = w.now
	g.busyUntil, g.answer = w.now+deadCallTimeout, -1
	if w.now >= g.storeLostUntil {
		g.busyUntil, g.answer = w.now+step, len(w.changes)
	}
}

// finishRead ends the read of gateway i. If it succeeded and the gateway is a store
// reader, it sends updates to the other gateways.
func (w *fleetSimulation) finishRead(i int) {
	g := w.gateways[i]
	sent := g.readSentMs
	g.readSentMs = 0
	if g.answer < 0 {
		if g.failures++; g.failures > 1 {
			g.busyUntil = w.now + clock.Millis(rapid.IntRange(75, int(maxCallBackOff)).Draw(w.t, "pause"))
		}
		return
	}
	g.failures = 0
	g.list = max(g.list, g.answer)
	g.follower.Answered(w.clock(g), sent+g.offset)
	if w.rank(i) >= listrefresh.Readers {
		return
	}
	for j := range w.gateways {
		if j == i {
			continue
		}
		m := message{from: i, to: j, isUpdate: true, list: g.list, readMs: sent + g.offset}
		if e, ok := g.echo[j]; ok {
			m.echoed, m.echoSentMs, m.echoArrivedMs = true, e[0], e[1]
		}
		w.send(m)
	}
}

// injectFault injects a random fault or a change of the list.
func (w *fleetSimulation) injectFault() {
	lasts := clock.Millis(rapid.IntRange(100, 6000).Draw(w.t, "lasts"))
	i := rapid.IntRange(0, len(w.gateways)-1).Draw(w.t, "who")
	g := w.gateways[i]
	switch rapid.SampledFrom([]string{"freeze", "cut", "slow links", "slow link", "change", "change"}).Draw(w.t, "what") {
	case "freeze":
		g.suspendedUntil = max(g.suspendedUntil, w.now+lasts)
		g.faultFreeSince = max(g.faultFreeSince, g.suspendedUntil)
	case "cut":
		g.storeLostUntil = max(g.storeLostUntil, w.now+lasts)
		g.faultFreeSince = max(g.faultFreeSince, g.storeLostUntil)
		if g.readSentMs != 0 {
			g.answer, g.busyUntil = -1, g.readSentMs+deadCallTimeout
		}
	case "slow links":
		for j := range w.gateways {
			link := [2]int{i, j}
			w.linkDelayedUntil[link] = w.now + lasts
			w.linkDelay[link] = clock.Millis(rapid.IntRange(1, 5000).Draw(w.t, "delay"))
		}
	case "slow link":
		link := [2]int{i, rapid.IntRange(0, len(w.gateways)-1).Draw(w.t, "to")}
		w.linkDelayedUntil[link] = w.now + lasts
		w.linkDelay[link] = clock.Millis(rapid.IntRange(1, 5000).Draw(w.t, "delay"))
	case "change":
		w.changes = append(w.changes, w.now)
	}
}

// check fails if gateway i, without a fault for minFaultFree, lacks a change of the
// list that is older than Times.MaxAge.
func (w *fleetSimulation) check(i int) {
	g := w.gateways[i]
	if w.now-g.faultFreeSince < minFaultFree || g.list == len(w.changes) {
		return
	}
	if age := w.now - w.changes[g.list]; age > listrefresh.TimesFor(drain).MaxAge {
		w.t.Fatalf("at %d gateway %d lacks a change made %d ms ago (it estimates the age of its list as %d ms)", w.now, i, age, g.follower.Age(w.clock(g)))
	}
}

// TestListAgeStaysWithinBound simulates gateways while the list of servers changes. Any
// gateway may be suspended, lose the store, or have its messages to other gateways
// delayed by seconds. A gateway that has been neither suspended nor cut off from the
// store for minFaultFree must have each change in its list within Times.MaxAge,
// before a draining server stops accepting requests.
func TestListAgeStaysWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &fleetSimulation{t: t, lastArrivalMs: map[[2]int]clock.Millis{}, linkDelayedUntil: map[[2]int]clock.Millis{}, linkDelay: map[[2]int]clock.Millis{}}
		for range rapid.IntRange(1, 5).Draw(t, "gateways") {
			w.gateways = append(w.gateways, &gateway{
				follower: listrefresh.New(listrefresh.TimesFor(drain)), offset: clock.Millis(rapid.IntRange(0, 1<<30).Draw(t, "offset")),
				remote: map[int]*clock.Remote{}, echo: map[int][2]clock.Millis{}, lastMessageMs: map[int]clock.Millis{},
			})
		}
		for _, g := range w.gateways {
			for j := range w.gateways {
				g.remote[j] = &clock.Remote{}
			}
		}
		next := clock.Millis(0)
		for w.now = step; w.now < simulatedTime; w.now += step {
			if w.now >= next {
				next = w.now + clock.Millis(rapid.IntRange(20, 2500).Draw(t, "next"))
				w.injectFault()
			}
			w.deliver()
			for i, g := range w.gateways {
				if w.now >= g.suspendedUntil {
					w.runStep(i)
					w.check(i)
				}
			}
		}
	})
}

// TestOnlyFirstReaderReadsRegularly simulates a first reader, a standby reader and a
// third gateway without faults: only the first reader reads the store regularly, the
// others read it once at their start.
func TestOnlyFirstReaderReadsRegularly(t *testing.T) {
	times := listrefresh.TimesFor(drain)
	reader, standby, other := listrefresh.New(times), listrefresh.New(times), listrefresh.New(times)
	reads := map[string]int{}
	readIfDue := func(name string, f *listrefresh.Follower, now clock.Millis, rank int) bool {
		if f.DueMs(now, rank) > now {
			return false
		}
		reads[name]++
		f.Answered(now, now)
		return true
	}
	for now := clock.Millis(1); now < 10*clock.Second; now += step {
		answered := readIfDue("reader", reader, now, 0)
		readIfDue("standby", standby, now, 1)
		readIfDue("other", other, now, 7)
		if answered {
			standby.Update(now+2, now, true)
			other.Update(now+2, now, true)
		}
	}
	if reads["reader"] != 20 || reads["standby"] != 1 || reads["other"] != 1 {
		t.Errorf("reads in 10 s: %v, want 20 by the reader and 1 by each other gateway", reads)
	}
}

// TestPersistentDifferenceBacksOff has a reader send a list that always differs, as when
// the reader was notified by a server itself that it drains and the store does not
// show it: the gateway must not make a full read on every update.
func TestPersistentDifferenceBacksOff(t *testing.T) {
	f := listrefresh.New(listrefresh.TimesFor(drain))
	f.Answered(1, 1)
	fullReads := 0
	for now := clock.Millis(500); now < 60*clock.Second; now += step {
		if now%500 == 0 {
			f.Update(now, now-2, false)
		}
		if f.DueMs(now, 9) <= now {
			if f.NeedsFullRead(now) {
				fullReads++
			}
			f.Answered(now, now)
		}
	}
	if fullReads < 3 || fullReads > 15 {
		t.Errorf("%d full reads of the list in a minute, want 3 to 15", fullReads)
	}
}
