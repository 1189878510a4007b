package place_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/damaskport/damaskport/internal/policy/place"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/servers"
)

const (
	noticeDrain = 2 * clock.Second
	// noticeBorne is the time right after a 503 with a pause in which requests may
	// still arrive, and noticeMost how many may arrive then until its end.
	noticeBorne = 500 * clock.Millisecond
	noticeMost  = 2
	// noticeSteps is the number of steps of one play.
	noticeSteps = 1000
)

// truth is a server as it is.
type truth struct {
	start int64
	// leftMs is when the gateway passed on an answer of this start that said that
	// it leaves; 0 is never. pauses are the pauses that this start asked for.
	leftMs  clock.Millis
	leaving bool
	pauses  []*pause
}

type pause struct {
	at, end  clock.Millis
	arrivals int
}

// sent is a request on its way through the gateway.
type sent struct {
	arrivedMs clock.Millis
	id        string
	start     int64
}

// noticeWorld is one gateway's list, notices and book before servers that leave,
// ask for pauses and start anew, and a store that is away or tells old entries.
type noticeWorld struct {
	now     clock.Millis
	list    *servers.List
	notices *servers.Notices
	book    *place.Book
	rnd     *rand.Rand
	truth   map[string]*truth
	seq     int64
	waiting []sent
}

// refresh brings list and notices together, as the gateway does.
func (w *noticeWorld) refresh() {
	var out []place.Server
	var keys []servers.Key
	for _, s := range w.list.Usable() {
		if !w.notices.Left(s.Key()) {
			out = append(out, place.Server{ID: s.ID, Start: s.Start, Slots: 8})
			keys = append(keys, s.Key())
		}
	}
	w.book.SetServers(out)
	for _, k := range keys {
		w.book.Close(k.ID, w.notices.PausedUntil(k))
	}
}

// takes is what is asked before a turn is used and before the first byte.
func (w *noticeWorld) takes(r sent) bool {
	for _, s := range w.list.Usable() {
		if s.ID == r.id {
			return s.Start == r.start && !w.notices.Left(s.Key()) && !w.book.Closed(w.now, s.ID)
		}
	}
	return false
}

// send has a request reach a server, checks the rules, and takes in the answer.
func (w *noticeWorld) send(t *rapid.T, r sent) {
	s := w.truth[r.id]
	if s.start != r.start {
		return // Another start; the test knows rules of present starts only.
	}
	if s.leftMs > 0 && r.arrivedMs > s.leftMs+noticeDrain {
		t.Fatalf("at %d a request of %d reached %s, which said at %d that it leaves", w.now, r.arrivedMs, r.id, s.leftMs)
	}
	for _, p := range s.pauses {
		if w.now <= p.at+noticeBorne || w.now >= p.end {
			continue
		}
		if p.arrivals++; p.arrivals > noticeMost {
			t.Fatalf("at %d a third request reached %s, which asked at %d for a pause until %d", w.now, r.id, p.at, p.end)
		}
	}
	key := servers.Key{ID: r.id, Start: r.start}
	if s.leaving && w.notices.Leave(w.now, key) {
		w.refresh()
	}
	if s.leaving && s.leftMs == 0 {
		s.leftMs = w.now
	}
	if rapid.Bool().Draw(t, "pauses") {
		d := clock.Millis(rapid.IntRange(1, 6000).Draw(t, "pauseMs"))
		s.pauses = append(s.pauses, &pause{at: w.now, end: w.now + d})
		w.book.Close(r.id, w.notices.Pause(w.now, key, d))
	}
}

// request places a request, which is sent at once or waits for a turn.
func (w *noticeWorld) request(t *rapid.T, waits bool) {
	c, ok := w.book.Choose(w.now, place.Request{}, nil, w.rnd)
	if !ok {
		return
	}
	r := sent{arrivedMs: w.now, id: c.ID}
	for _, s := range w.list.Usable() {
		if s.ID == c.ID {
			r.start = s.Start
		}
	}
	if waits {
		w.waiting = append(w.waiting, r)
		return
	}
	w.send(t, r)
}

func (w *noticeWorld) put(id string) {
	w.seq++
	w.list.Put(servers.Server{ID: id, Pool: "app", Addr: "10.0.0.1:80", Seq: w.seq, Start: w.truth[id].start})
	w.refresh()
}

// TestWordsOfServersAreKept plays random interleavings of lists, answers, starts,
// outages and waits: no server gets a request that arrived after the time of a
// leaving server, nor more than two in a pause that it asked for.
func TestWordsOfServersAreKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &noticeWorld{
			now: 1000, list: servers.New(noticeDrain), notices: servers.NewNotices(), book: place.NewBook("a"),
			rnd: rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed"))), truth: map[string]*truth{},
		}
		var ids []string
		for i := range rapid.IntRange(1, 3).Draw(t, "servers") {
			id := fmt.Sprint("s", i)
			ids = append(ids, id)
			w.truth[id] = &truth{start: 1}
			w.put(id)
		}
		server := rapid.SampledFrom(ids)
		actions := map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				w.now += clock.Millis(rapid.IntRange(1, 700).Draw(t, "ms"))
				if w.list.Tick(w.now) {
					w.refresh()
				}
				w.notices.Sweep(w.now, func(id string) bool {
					return slices.ContainsFunc(w.list.Usable(), func(s servers.Server) bool { return s.ID == id })
				})
			},
			"requests": func(t *rapid.T) {
				waits := rapid.Bool().Draw(t, "wait")
				for range rapid.IntRange(1, 6).Draw(t, "requests") {
					w.request(t, waits)
				}
			},
			"granted": func(t *rapid.T) {
				for _, r := range w.waiting {
					if w.takes(r) {
						w.send(t, r)
					}
				}
				w.waiting = nil
			},
			"leaves":      func(t *rapid.T) { w.truth[server.Draw(t, "server")].leaving = true },
			"startsAnew":  func(t *rapid.T) { id := server.Draw(t, "server"); w.truth[id] = &truth{start: w.truth[id].start + 1} },
			"entry":       func(t *rapid.T) { w.put(server.Draw(t, "server")) },
			"entryLapses": func(t *rapid.T) { w.list.Remove(w.now, server.Draw(t, "server")); w.refresh() },
			"outage":      func(*rapid.T) { w.list.Away() },
			"storeBack":   func(*rapid.T) { w.list.Replace(w.now, nil); w.list.Answered(w.now, w.now); w.refresh() },
		}
		often := []string{"time", "requests", "granted", "time", "requests", "granted", "time", "requests", "entry"}
		name := rapid.SampledFrom(append(slices.Sorted(maps.Keys(actions)), append(often, often...)...))
		for range noticeSteps {
			actions[name.Draw(t, "action")](t)
		}
	})
}

// TestAllClosedTellsTheFirstToOpen has all servers want a pause.
func TestAllClosedTellsTheFirstToOpen(t *testing.T) {
	b := place.NewBook("a")
	b.SetServers([]place.Server{{ID: "x"}, {ID: "y"}})
	b.Close("x", 500)
	if _, ok := b.Opens(100); ok {
		t.Error("a server is open")
	}
	b.Close("y", 300)
	b.Close("y", 200)
	if at, ok := b.Opens(100); !ok || at != 300 {
		t.Errorf("opens at %d, %t; want 300: a later word shortens nothing", at, ok)
	}
	if _, ok := b.Choose(100, place.Request{}, nil, rand.New(rand.NewPCG(1, 1))); ok {
		t.Error("a closed server was chosen")
	}
}
