package listrefresh_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/damaskport/damaskport/internal/policy/listrefresh"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	// drain is how long a leaving server still serves; touch is how long a
	// gateway must have been undisturbed before the bound on its list's age is
	// checked.
	drain          = 2 * clock.Second
	minUndisturbed = 3 * clock.Second
	// step is the time resolution of the simulation.
	step          = 10 * clock.Millisecond
	simulatedTime = 25 * clock.Second
	// deadCallTimeout is when a call on a dead connection fails; maxCallBackOff
	// is the longest back-off between failed calls.
	deadCallTimeout   = 400 * clock.Millisecond
	maxCallBackOff    = 1800 * clock.Millisecond
	heartbeatInterval = 900 * clock.Millisecond
	// Each change whose number is a multiple of oversizedEvery is too large for an
	// update.
	oversizedEvery = 3
	// liveFor is how long a gateway counts as live after its last message.
	liveFor = 1500 * clock.Millisecond
)

// message is a heartbeat or an update in transit.
type message struct {
	from, to    int
	arrivalMs   clock.Millis // arrival time
	heartbeatMs clock.Millis // of a heartbeat: when it was sent, by the sender's clock
	isUpdate    bool
	list        int
	readMs      clock.Millis // when the list was read, by the sender's clock
	echoSent    clock.Millis
	echoGot     clock.Millis
	echoed      bool
}

// gateway is a simulated gateway.
type gateway struct {
	f      *listrefresh.Follower
	list   int          // number of the last change in its list
	offset clock.Millis // added to the simulation time to get its clock
	remote map[int]*clock.Remote
	// echo is the last heartbeat of each other gateway: when it was sent by the
	// sender's clock, and when it arrived by this one's.
	echo          map[int][2]clock.Millis
	lastMessageMs map[int]clock.Millis
	// frozenTo is until when it is suspended, cutTo until when it is cut off from
	// the store.
	frozenTo, cutTo clock.Millis
	// undisturbedSince is since when it is undisturbed.
	undisturbedSince clock.Millis
	// busyTo is the end of a read or of a back-off. While a read runs, sent is
	// when it began (else 0), and answer is the list that it will return; -1 for
	// a failure.
	busyTo          clock.Millis
	readSent        clock.Millis
	answer          int
	failures        int
	lastHeartbeatMs clock.Millis
}

type fleetSimulation struct {
	t             *rapid.T
	now           clock.Millis
	changes       []clock.Millis // times at which the list in the store changed
	gateways      []*gateway
	inTransit     []message
	lastAt        map[[2]int]clock.Millis
	linkDelayedTo map[[2]int]clock.Millis // until when a link delays messages
	linkDelay     map[[2]int]clock.Millis // by how much
}

// clock returns the time by the gateway's clock.
func (w *fleetSimulation) clock(g *gateway) clock.Millis { return w.now + g.offset }

// post sends a message.
func (w *fleetSimulation) post(m message) {
	link := [2]int{m.from, m.to}
	d := 2 * clock.Millisecond
	if w.now < w.linkDelayedTo[link] {
		d += w.linkDelay[link]
	}
	// A connection keeps messages in order.
	m.arrivalMs = max(w.now+d, w.lastAt[link])
	w.lastAt[link] = m.arrivalMs
	w.inTransit = append(w.inTransit, m)
}

// deliver processes the messages that have arrived; a suspended gateway processes
// them when it resumes.
func (w *fleetSimulation) deliver() {
	kept := w.inTransit[:0]
	for _, m := range w.inTransit {
		g := w.gateways[m.to]
		if m.arrivalMs > w.now || w.now < g.frozenTo {
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
			r.Echo(now, m.echoSent, m.echoGot)
		}
		if m.list%oversizedEvery != 0 {
			g.list = max(g.list, m.list)
		}
		if asOf, ok := r.Own(now, m.readMs); ok {
			g.f.Update(now, asOf, g.list == m.list)
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

// runStep runs one gateway for a step: heartbeats, the end of a read, the start of
// the next one.
func (w *fleetSimulation) runStep(i int) {
	g := w.gateways[i]
	if w.now-g.lastHeartbeatMs >= heartbeatInterval {
		g.lastHeartbeatMs = w.now
		for j := range w.gateways {
			if j != i {
				w.post(message{from: i, to: j, heartbeatMs: w.clock(g)})
			}
		}
	}
	if g.readSent != 0 && w.now >= g.busyTo {
		w.finishRead(i)
	}
	if g.readSent != 0 || w.now < g.busyTo || g.f.DueMs(w.clock(g), w.rank(i)) > w.clock(g) {
		return
	}
	g.readSent = w.now
	g.busyTo, g.answer = w.now+deadCallTimeout, -1
	if w.now >= g.cutTo {
		g.busyTo, g.answer = w.now+step, len(w.changes)
	}
}

// finishRead finishes the read of a gateway and, if it is a store reader, sends updates.
func (w *fleetSimulation) finishRead(i int) {
	g := w.gateways[i]
	sent := g.readSent
	g.readSent = 0
	if g.answer < 0 {
		if g.failures++; g.failures > 1 {
			g.busyTo = w.now + clock.Millis(rapid.IntRange(75, int(maxCallBackOff)).Draw(w.t, "pause"))
		}
		return
	}
	g.failures = 0
	g.list = max(g.list, g.answer)
	g.f.Answered(w.clock(g), sent+g.offset)
	if w.rank(i) >= listrefresh.Readers {
		return
	}
	for j := range w.gateways {
		if j == i {
			continue
		}
		m := message{from: i, to: j, isUpdate: true, list: g.list, readMs: sent + g.offset}
		if e, ok := g.echo[j]; ok {
			m.echoed, m.echoSent, m.echoGot = true, e[0], e[1]
		}
		w.post(m)
	}
}

// injectFault injects a random fault or a change of the list.
func (w *fleetSimulation) injectFault() {
	lasts := clock.Millis(rapid.IntRange(100, 6000).Draw(w.t, "lasts"))
	i := rapid.IntRange(0, len(w.gateways)-1).Draw(w.t, "who")
	g := w.gateways[i]
	switch rapid.SampledFrom([]string{"freeze", "cut", "slow links", "slow link", "change", "change"}).Draw(w.t, "what") {
	case "freeze":
		g.frozenTo = max(g.frozenTo, w.now+lasts)
		g.undisturbedSince = max(g.undisturbedSince, g.frozenTo)
	case "cut":
		g.cutTo = max(g.cutTo, w.now+lasts)
		g.undisturbedSince = max(g.undisturbedSince, g.cutTo)
		if g.readSent != 0 {
			g.answer, g.busyTo = -1, g.readSent+deadCallTimeout
		}
	case "slow links":
		for j := range w.gateways {
			link := [2]int{i, j}
			w.linkDelayedTo[link] = w.now + lasts
			w.linkDelay[link] = clock.Millis(rapid.IntRange(1, 5000).Draw(w.t, "delay"))
		}
	case "slow link":
		link := [2]int{i, rapid.IntRange(0, len(w.gateways)-1).Draw(w.t, "to")}
		w.linkDelayedTo[link] = w.now + lasts
		w.linkDelay[link] = clock.Millis(rapid.IntRange(1, 5000).Draw(w.t, "delay"))
	case "change":
		w.changes = append(w.changes, w.now)
	}
}

// check fails if an undisturbed gateway lacks a change that is older than the age
// that its list may reach.
func (w *fleetSimulation) check(i int) {
	g := w.gateways[i]
	if w.now-g.undisturbedSince < minUndisturbed || g.list == len(w.changes) {
		return
	}
	if age := w.now - w.changes[g.list]; age > listrefresh.TimesFor(drain).MaxAge {
		w.t.Fatalf("at %d gateway %d lacks a change made %d ms ago (it estimates the age of its list as %d ms)", w.now, i, age, g.f.Age(w.clock(g)))
	}
}

// TestListAgeStaysWithinBound simulates gateways of which readers are suspended,
// cut off from the store, or cut off from others by connections that delay
// messages for seconds, while servers come and go: an undisturbed gateway knows
// of each change before a leaving server stops serving.
func TestListAgeStaysWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &fleetSimulation{t: t, lastAt: map[[2]int]clock.Millis{}, linkDelayedTo: map[[2]int]clock.Millis{}, linkDelay: map[[2]int]clock.Millis{}}
		for range rapid.IntRange(1, 5).Draw(t, "gateways") {
			w.gateways = append(w.gateways, &gateway{
				f: listrefresh.New(listrefresh.TimesFor(drain)), offset: clock.Millis(rapid.IntRange(0, 1<<30).Draw(t, "offset")),
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
				if w.now >= g.frozenTo {
					w.runStep(i)
					w.check(i)
				}
			}
		}
	})
}

// TestOnlyFirstReaderReadsRegularly simulates an undisturbed fleet: only the first reader reads
// regularly.
func TestOnlyFirstReaderReadsRegularly(t *testing.T) {
	times := listrefresh.TimesFor(drain)
	reader, standby, other := listrefresh.New(times), listrefresh.New(times), listrefresh.New(times)
	reads := map[string]int{}
	ask := func(name string, f *listrefresh.Follower, now clock.Millis, rank int) bool {
		if f.DueMs(now, rank) > now {
			return false
		}
		reads[name]++
		f.Answered(now, now)
		return true
	}
	for now := clock.Millis(1); now < 10*clock.Second; now += step {
		told := ask("reader", reader, now, 0)
		ask("standby", standby, now, 1)
		ask("other", other, now, 7)
		if told {
			standby.Update(now+2, now, true)
			other.Update(now+2, now, true)
		}
	}
	if reads["reader"] != 20 || reads["standby"] != 1 || reads["other"] != 1 {
		t.Errorf("reads in 10 s: %v, want 20 of the reader and the initial one of each other gateway", reads)
	}
}

// TestPersistentDifferenceBacksOff has a reader send a list that differs for
// ever, as when it knows from the server itself of a drain that the store does
// not show.
func TestPersistentDifferenceBacksOff(t *testing.T) {
	f := listrefresh.New(listrefresh.TimesFor(drain))
	f.Answered(1, 1)
	whole := 0
	for now := clock.Millis(500); now < 60*clock.Second; now += step {
		if now%500 == 0 {
			f.Update(now, now-2, false)
		}
		if f.DueMs(now, 9) <= now {
			if f.NeedsFullRead(now) {
				whole++
			}
			f.Answered(now, now)
		}
	}
	if whole < 3 || whole > 15 {
		t.Errorf("the list was read whole %d times in a minute", whole)
	}
}
