package follow_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/damaskport/damaskport/internal/policy/follow"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	// drain is how long a leaving server still serves, and touch how long a gateway
	// must have been undisturbed for the bound to hold.
	drain = 2 * clock.Second
	touch = 3 * clock.Second
	// step is the time between two moments of a play.
	step     = 10 * clock.Millisecond
	playTime = 25 * clock.Second
	// deadCall is when a call on a connection that is dead fails, and longPause the
	// longest pause between failed calls.
	deadCall  = 400 * clock.Millisecond
	longPause = 1800 * clock.Millisecond
	beatEvery = 900 * clock.Millisecond
	// untold is one in how many changes of the list is too large to be told.
	untold = 3
	// upFor is how long a gateway counts as up that was heard.
	upFor = 1500 * clock.Millisecond
)

// message is a beat or a hint on its way.
type message struct {
	from, to int
	at       clock.Millis // of its arrival
	beat     clock.Millis // the sender's time, if it is a beat
	hint     bool
	list     int
	read     clock.Millis // the sender's time
	echoSent clock.Millis
	echoGot  clock.Millis
	echoed   bool
}

// gw is one gateway.
type gw struct {
	f      *follow.Follower
	list   int          // the last change that it knows
	offset clock.Millis // of its clock
	remote map[int]*clock.Remote
	// echo is the last beat of each other one: its time there and here.
	echo  map[int][2]clock.Millis
	heard map[int]clock.Millis
	// frozenTo and cutTo are until when it is suspended and cut off from the store.
	frozenTo, cutTo clock.Millis
	// calmSince is since when it is undisturbed.
	calmSince clock.Millis
	// busyTo is until when a read or a pause lasts, sent when it began, and answer
	// the list that it will have brought, -1 for a failure.
	busyTo   clock.Millis
	sent     clock.Millis
	answer   int
	failures int
	beatMs   clock.Millis
}

type world struct {
	t       *rapid.T
	now     clock.Millis
	changes []clock.Millis // when the list changed
	all     []*gw
	mail    []message
	lastAt  map[[2]int]clock.Millis
	slowTo  map[[2]int]clock.Millis // links that delay, until when
	slow    map[[2]int]clock.Millis // and by how much
}

func (w *world) clock(g *gw) clock.Millis { return w.now + g.offset }

func (w *world) post(m message) {
	link := [2]int{m.from, m.to}
	d := 2 * clock.Millisecond
	if w.now < w.slowTo[link] {
		d += w.slow[link]
	}
	// A connection keeps the order.
	m.at = max(w.now+d, w.lastAt[link])
	w.lastAt[link] = m.at
	w.mail = append(w.mail, m)
}

// deliver hands over what has arrived; a suspended gateway gets it when it wakes.
func (w *world) deliver() {
	kept := w.mail[:0]
	for _, m := range w.mail {
		g := w.all[m.to]
		if m.at > w.now || w.now < g.frozenTo {
			kept = append(kept, m)
			continue
		}
		g.heard[m.from] = w.now
		if !m.hint {
			g.echo[m.from] = [2]clock.Millis{m.beat, w.clock(g)}
			continue
		}
		now := w.clock(g)
		r := g.remote[m.from]
		if m.echoed {
			r.Echo(now, m.echoSent, m.echoGot)
		}
		if m.list%untold != 0 {
			g.list = max(g.list, m.list)
		}
		if asOf, ok := r.Own(now, m.read); ok {
			g.f.Told(now, asOf, g.list == m.list)
		}
	}
	w.mail = kept
}

func (w *world) rank(i int) int {
	n := 0
	for j := range i {
		if at, ok := w.all[i].heard[j]; ok && w.now-at < upFor {
			n++
		}
	}
	return n
}

// act lets one gateway go on.
func (w *world) act(i int) {
	g := w.all[i]
	if w.now-g.beatMs >= beatEvery {
		g.beatMs = w.now
		for j := range w.all {
			if j != i {
				w.post(message{from: i, to: j, beat: w.clock(g)})
			}
		}
	}
	if g.sent != 0 && w.now >= g.busyTo {
		w.end(i)
	}
	if g.sent != 0 || w.now < g.busyTo || g.f.DueMs(w.clock(g), w.rank(i)) > w.clock(g) {
		return
	}
	g.sent = w.now
	g.busyTo, g.answer = w.now+deadCall, -1
	if w.now >= g.cutTo {
		g.busyTo, g.answer = w.now+step, len(w.changes)
	}
}

// end ends a read.
func (w *world) end(i int) {
	g := w.all[i]
	sent := g.sent
	g.sent = 0
	if g.answer < 0 {
		if g.failures++; g.failures > 1 {
			g.busyTo = w.now + clock.Millis(rapid.IntRange(75, int(longPause)).Draw(w.t, "pause"))
		}
		return
	}
	g.failures = 0
	g.list = max(g.list, g.answer)
	g.f.Answered(w.clock(g), sent+g.offset)
	if w.rank(i) >= follow.Readers {
		return
	}
	for j := range w.all {
		if j == i {
			continue
		}
		m := message{from: i, to: j, hint: true, list: g.list, read: sent + g.offset}
		if e, ok := g.echo[j]; ok {
			m.echoed, m.echoSent, m.echoGot = true, e[0], e[1]
		}
		w.post(m)
	}
}

// trouble has something go wrong.
func (w *world) trouble() {
	lasts := clock.Millis(rapid.IntRange(100, 6000).Draw(w.t, "lasts"))
	i := rapid.IntRange(0, len(w.all)-1).Draw(w.t, "who")
	g := w.all[i]
	switch rapid.SampledFrom([]string{"freeze", "cut", "slow links", "slow link", "change", "change"}).Draw(w.t, "what") {
	case "freeze":
		g.frozenTo = max(g.frozenTo, w.now+lasts)
		g.calmSince = max(g.calmSince, g.frozenTo)
	case "cut":
		g.cutTo = max(g.cutTo, w.now+lasts)
		g.calmSince = max(g.calmSince, g.cutTo)
		if g.sent != 0 {
			g.answer, g.busyTo = -1, g.sent+deadCall
		}
	case "slow links":
		for j := range w.all {
			link := [2]int{i, j}
			w.slowTo[link] = w.now + lasts
			w.slow[link] = clock.Millis(rapid.IntRange(1, 5000).Draw(w.t, "delay"))
		}
	case "slow link":
		link := [2]int{i, rapid.IntRange(0, len(w.all)-1).Draw(w.t, "to")}
		w.slowTo[link] = w.now + lasts
		w.slow[link] = clock.Millis(rapid.IntRange(1, 5000).Draw(w.t, "delay"))
	case "change":
		w.changes = append(w.changes, w.now)
	}
}

// check fails if an undisturbed gateway lacks a change that is older than a list
// may be.
func (w *world) check(i int) {
	g := w.all[i]
	if w.now-g.calmSince < touch || g.list == len(w.changes) {
		return
	}
	if age := w.now - w.changes[g.list]; age > follow.For(drain).Most {
		w.t.Fatalf("at %d gateway %d does not know of a change %d ms ago (its list counts as %d ms old)", w.now, i, age, g.f.Age(w.clock(g)))
	}
}

// TestNoListIsOlderThanItMayBe plays gateways of which readers are suspended, cut
// off from the store, or cut off from others by connections that hold messages back
// for seconds, while servers come and go: an undisturbed gateway knows of each
// change before a leaving server ends to serve.
func TestNoListIsOlderThanItMayBe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, lastAt: map[[2]int]clock.Millis{}, slowTo: map[[2]int]clock.Millis{}, slow: map[[2]int]clock.Millis{}}
		for range rapid.IntRange(1, 5).Draw(t, "gateways") {
			w.all = append(w.all, &gw{
				f: follow.New(follow.For(drain)), offset: clock.Millis(rapid.IntRange(0, 1<<30).Draw(t, "offset")),
				remote: map[int]*clock.Remote{}, echo: map[int][2]clock.Millis{}, heard: map[int]clock.Millis{},
			})
		}
		for _, g := range w.all {
			for j := range w.all {
				g.remote[j] = &clock.Remote{}
			}
		}
		next := clock.Millis(0)
		for w.now = step; w.now < playTime; w.now += step {
			if w.now >= next {
				next = w.now + clock.Millis(rapid.IntRange(20, 2500).Draw(t, "next"))
				w.trouble()
			}
			w.deliver()
			for i, g := range w.all {
				if w.now >= g.frozenTo {
					w.act(i)
					w.check(i)
				}
			}
		}
	})
}

// TestFewRead plays a calm fleet: the first reader reads, nobody else does.
func TestFewRead(t *testing.T) {
	times := follow.For(drain)
	reader, standby, other := follow.New(times), follow.New(times), follow.New(times)
	reads := map[string]int{}
	ask := func(name string, f *follow.Follower, now clock.Millis, rank int) bool {
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
			standby.Told(now+2, now, true)
			other.Told(now+2, now, true)
		}
	}
	if reads["reader"] != 20 || reads["standby"] != 1 || reads["other"] != 1 {
		t.Errorf("reads in 10 s: %v, want 20 of the reader and the first ones of the others", reads)
	}
}

// TestListThatStaysAnotherIsReadSeldom has a reader tell another list for ever, as
// one that knows of a server that left what the store does not.
func TestListThatStaysAnotherIsReadSeldom(t *testing.T) {
	f := follow.New(follow.For(drain))
	f.Answered(1, 1)
	whole := 0
	for now := clock.Millis(500); now < 60*clock.Second; now += step {
		if now%500 == 0 {
			f.Told(now, now-2, false)
		}
		if f.DueMs(now, 9) <= now {
			if f.Whole(now) {
				whole++
			}
			f.Answered(now, now)
		}
	}
	if whole < 3 || whole > 15 {
		t.Errorf("the list was read whole %d times in a minute", whole)
	}
}
