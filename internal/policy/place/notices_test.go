package place_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/damaskport/damaskport/internal/policy/place"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/servers"
)

const (
	// noticeDrain is how long a draining server still accepts requests.
	noticeDrain = 2 * clock.Second
	// After a server answered 503 with Retry-After, any number of requests may still
	// reach it within noticeGrace, and at most maxArrivals from then until the
	// back-off ends.
	noticeGrace = 500 * clock.Millisecond
	maxArrivals = 2
	// actionsPerRun is the number of actions of one simulation.
	actionsPerRun = 1000
)

// actualServer is the actual state of a server, as opposed to the gateway's view.
type actualServer struct {
	start int64 // changes with each restart
	// drainAnnouncedMs is when the server, since its last restart, first announced
	// that it is draining; 0 is never. backOffs are the back-offs that it asked for
	// since its last restart.
	drainAnnouncedMs clock.Millis
	draining         bool
	backOffs         []*backOff
}

// backOff is a back-off that a server asked for.
type backOff struct {
	at, end  clock.Millis
	arrivals int // requests that arrived after noticeGrace and before end
}

// sentRequest is a request on its way through the gateway.
type sentRequest struct {
	arrivedMs clock.Millis
	id        string
	start     int64
}

// noticeSimulation simulates one gateway's server list, server notices (draining,
// back-off) and server table. Servers drain, ask for back-offs and restart, and the
// store is unavailable or returns stale entries.
type noticeSimulation struct {
	now     clock.Millis
	list    *servers.List
	notices *servers.Notices
	servers *place.ServerTable
	rnd     *rand.Rand
	actual  map[string]*actualServer
	seq     int64
	waiting []sentRequest
}

// refresh updates the server table from the server list and the notices, as the
// gateway does.
func (w *noticeSimulation) refresh() {
	var out []place.Server
	var keys []servers.Key
	for _, s := range w.list.Usable() {
		if !w.notices.Draining(s.Key()) {
			out = append(out, place.Server{ID: s.ID, Start: s.Start, Slots: 8})
			keys = append(keys, s.Key())
		}
	}
	w.servers.SetServers(out)
	for _, k := range keys {
		w.servers.Exclude(k.ID, w.notices.BackOffUntil(k))
	}
}

// stillAllowed reports whether r may still be sent to its server. The gateway makes
// this check before it uses a grant and before it sends the first byte.
func (w *noticeSimulation) stillAllowed(r sentRequest) bool {
	for _, s := range w.list.Usable() {
		if s.ID == r.id {
			return s.Start == r.start && !w.notices.Draining(s.Key()) && !w.servers.Excluded(w.now, s.ID)
		}
	}
	return false
}

// send delivers a request to a server, checks the invariants, and processes the
// notices in the answer.
func (w *noticeSimulation) send(t *rapid.T, r sentRequest) {
	s := w.actual[r.id]
	if s.start != r.start {
		return // The server has restarted since r chose it; only requests to its present start are checked.
	}
	if s.drainAnnouncedMs > 0 && r.arrivedMs > s.drainAnnouncedMs+noticeDrain {
		t.Fatalf("at %d a request that arrived at %d reached %s, which announced its drain at %d", w.now, r.arrivedMs, r.id, s.drainAnnouncedMs)
	}
	for _, p := range s.backOffs {
		if w.now <= p.at+noticeGrace || w.now >= p.end {
			continue
		}
		if p.arrivals++; p.arrivals > maxArrivals {
			t.Fatalf("at %d a third request reached %s, which asked at %d for a back-off until %d", w.now, r.id, p.at, p.end)
		}
	}
	key := servers.Key{ID: r.id, Start: r.start}
	if s.draining && w.notices.MarkDraining(w.now, key) {
		w.refresh()
	}
	if s.draining && s.drainAnnouncedMs == 0 {
		s.drainAnnouncedMs = w.now
	}
	if rapid.Bool().Draw(t, "pauses") {
		d := clock.Millis(rapid.IntRange(1, 6000).Draw(t, "pauseMs"))
		s.backOffs = append(s.backOffs, &backOff{at: w.now, end: w.now + d})
		w.servers.Exclude(r.id, w.notices.BackOff(w.now, key, d))
	}
}

// request chooses a server for a request, which is sent at once or waits for a
// grant.
func (w *noticeSimulation) request(t *rapid.T, waits bool) {
	c, ok := w.servers.Choose(w.now, place.Request{}, nil, w.rnd)
	if !ok {
		return
	}
	r := sentRequest{arrivedMs: w.now, id: c.ID}
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

func (w *noticeSimulation) putStoreEntry(id string) {
	w.seq++
	w.list.Put(servers.Server{ID: id, Pool: "app", Addr: "10.0.0.1:80", Seq: w.seq, Start: w.actual[id].start})
	w.refresh()
}

// TestServerNoticesAreObeyed runs random interleavings of list updates, answers,
// restarts, store outages and queue waits: no draining server gets a request that
// arrived after its drain time, and none gets more than two requests during a
// back-off that it asked for.
func TestServerNoticesAreObeyed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &noticeSimulation{
			now: 1000, list: servers.New(noticeDrain), notices: servers.NewNotices(), servers: place.NewServerTable("a"),
			rnd: rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed"))), actual: map[string]*actualServer{},
		}
		var ids []string
		for i := range rapid.IntRange(1, 3).Draw(t, "servers") {
			id := fmt.Sprint("s", i)
			ids = append(ids, id)
			w.actual[id] = &actualServer{start: 1}
			w.putStoreEntry(id)
		}
		server := rapid.SampledFrom(ids)
		actions := map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				w.now += clock.Millis(rapid.IntRange(1, 700).Draw(t, "ms"))
				if w.list.DropExpired(w.now) {
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
					if w.stillAllowed(r) {
						w.send(t, r)
					}
				}
				w.waiting = nil
			},
			"leaves": func(t *rapid.T) { w.actual[server.Draw(t, "server")].draining = true },
			"startsAnew": func(t *rapid.T) {
				id := server.Draw(t, "server")
				w.actual[id] = &actualServer{start: w.actual[id].start + 1}
			},
			"entry":       func(t *rapid.T) { w.putStoreEntry(server.Draw(t, "server")) },
			"entryLapses": func(t *rapid.T) { w.list.Remove(w.now, server.Draw(t, "server")); w.refresh() },
			"outage":      func(*rapid.T) { w.list.StoreUnreachable() },
			"storeBack":   func(*rapid.T) { w.list.Replace(w.now, nil); w.list.StoreAnswered(w.now, w.now); w.refresh() },
		}
		often := []string{"time", "requests", "granted", "time", "requests", "granted", "time", "requests", "entry"}
		name := rapid.SampledFrom(append(slices.Sorted(maps.Keys(actions)), append(often, often...)...))
		for range actionsPerRun {
			actions[name.Draw(t, "action")](t)
		}
	})
}

// TestNextAvailableIsTheEarliestEndOfBackOff has both servers ask for a back-off:
// NextAvailable returns the earlier end.
func TestNextAvailableIsTheEarliestEndOfBackOff(t *testing.T) {
	b := place.NewServerTable("a")
	b.SetServers([]place.Server{{ID: "x"}, {ID: "y"}})
	b.Exclude("x", 500)
	if _, _, ok := b.NextAvailable(100, place.Request{}, nil); ok {
		t.Error("NextAvailable returned a time although y is not excluded")
	}
	b.Exclude("y", 300)
	b.Exclude("y", 200)
	if at, _, ok := b.NextAvailable(100, place.Request{}, nil); !ok || at != 300 {
		t.Errorf("NextAvailable returned %d, %t; want 300: a later notice must not shorten the back-off", at, ok)
	}
	if _, ok := b.Choose(100, place.Request{}, nil, rand.New(rand.NewPCG(1, 1))); ok {
		t.Error("an excluded server was chosen")
	}
}

// TestLimitedServerIsLeftOutUntilItsNextPermit has one of two servers at its limit, first for
// requests that are not urgent and then for all.
func TestLimitedServerIsLeftOutUntilItsNextPermit(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	b := place.NewServerTable("a")
	b.SetServers([]place.Server{{ID: "x", Start: 1, Zone: "a", Slots: 4}, {ID: "y", Start: 1, Zone: "a", Slots: 4}})
	urgent := place.Request{Urgent: true}
	b.SetLimited("x", false, 300)
	chosen := func(now clock.Millis, r place.Request) map[string]bool {
		out := map[string]bool{}
		for range 100 {
			if c, ok := b.Choose(now, r, nil, rnd); ok {
				out[c.ID] = true
			}
		}
		return out
	}
	if diff := cmp.Diff(map[string]bool{"y": true}, chosen(100, place.Request{})); diff != "" {
		t.Errorf("not urgent (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(map[string]bool{"x": true, "y": true}, chosen(100, urgent)); diff != "" {
		t.Errorf("urgent (-want +got):\n%s", diff)
	}
	b.SetLimited("x", true, 300)
	b.SetLimited("y", true, 500)
	if got := chosen(100, urgent); len(got) > 0 {
		t.Errorf("%v was chosen although all are at their limits", got)
	}
	if at, limited, ok := b.NextAvailable(100, urgent, nil); at != 300 || !limited || !ok {
		t.Errorf("NextAvailable = %d, %t, %t; want 300, true, true", at, limited, ok)
	}
	if at, _, _ := b.NextAvailable(100, urgent, []string{"x"}); at != 500 {
		t.Errorf("NextAvailable = %d without x, want 500", at)
	}
	b.Exclude("x", 700)
	b.Exclude("y", 700)
	if at, limited, ok := b.NextAvailable(100, urgent, nil); at != 700 || limited || !ok {
		t.Errorf("NextAvailable = %d, %t, %t during a longer back-off; want 700, false, true", at, limited, ok)
	}
}

// TestServerSlowInItsNeedIsTriedAgain makes a server slow while it has a limit: it is tried
// again meanwhile, and used like the others once the limit has ended.
func TestServerSlowInItsNeedIsTriedAgain(t *testing.T) {
	rnd := rand.New(rand.NewPCG(2, 2))
	b := place.NewServerTable("a")
	b.SetServers([]place.Server{{ID: "x", Start: 1, Zone: "a", Slots: 4}, {ID: "y", Start: 1, Zone: "a", Slots: 4}})
	b.SetPaced("x", true)
	share := func(now clock.Millis, took map[string]clock.Millis) int {
		n := 0
		for range 200 {
			c, _ := b.Choose(now, place.Request{}, nil, rnd)
			b.Sent(c, place.Request{})
			b.Ended(now, c, place.Request{}, place.OutcomeOK, false, took[c.ID])
			if c.ID == "x" {
				n++
			}
		}
		return n
	}
	slow := map[string]clock.Millis{"x": 80, "y": 15}
	share(5000, slow)
	if n := share(5500, slow); n > 0 {
		t.Errorf("%d of 200 requests went to the slow server half a second after it was tried", n)
	}
	if n := share(6600, slow); n == 0 {
		t.Error("the slow server was not tried again")
	}
	b.SetPaced("x", false)
	if n := share(6700, map[string]clock.Millis{"x": 15, "y": 15}); n < 50 {
		t.Errorf("%d of 200 requests went to the server whose need has ended", n)
	}
}
