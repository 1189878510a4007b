package route_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/damaskport/damaskport/internal/policy/route"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const seed = 20261203

func newRand() *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }

// fleet returns a router with n idle peers m0, m1 and so on, each with 8 slots, in
// zones a, b and c in rotation.
func fleet(cfg route.Config, n int) *route.Router {
	r := route.New(cfg)
	for i := range n {
		r.SetPeer(peer(i))
	}
	return r
}

func peer(i int) route.Peer {
	return route.Peer{
		Name: fmt.Sprintf("m%d", i), Zone: string(rune('a' + i%3)), Pool: "p", Slots: 8, Free: 8, TokenMs: 25,
	}
}

// choiceFraction returns the fraction of n choices whose first candidate satisfies f.
func choiceFraction(r *route.Router, now clock.Millis, q route.Request, n int, f func(name string) bool) float64 {
	rnd, hits := newRand(), 0
	for range n {
		if f(r.Choose(now, q, rnd).Candidates[0]) {
			hits++
		}
	}
	return float64(hits) / float64(n)
}

// named returns a predicate that holds for the name want.
func named(want string) func(string) bool { return func(name string) bool { return name == want } }

func TestPrefixAffinityWithinLoadBound(t *testing.T) {
	r := fleet(route.Config{Zone: "a", Candidates: 3}, 9)
	q := route.Request{Pool: "p", Prefixes: []uint64{1, 2}}
	r.RecordSent("m4", q.Prefixes)
	if got := choiceFraction(r, 0, q, 200, named("m4")); got != 1 {
		t.Errorf("share at the peer with the prefix = %.2f, want 1", got)
	}
	r.RecordSent("m5", []uint64{1})
	if got := choiceFraction(r, 0, q, 200, named("m4")); got != 1 {
		t.Errorf("share at the peer with the longest prefix = %.2f, want 1", got)
	}
	for range 7 {
		r.RecordSent("m4", nil)
	}
	if got := choiceFraction(r, 0, q, 200, named("m4")); got != 0 {
		t.Errorf("share at the overloaded peer with the prefix = %.2f, want 0", got)
	}
}

func TestLocalZonePreferredUnlessOverloaded(t *testing.T) {
	r := fleet(route.Config{Zone: "a", Candidates: 2}, 9)
	own := func(name string) bool { return name == "m0" || name == "m3" || name == "m6" }
	q := route.Request{Pool: "p"}
	if got := choiceFraction(r, 0, q, 500, own); got != 1 {
		t.Errorf("share of the entry's zone, all peers idle = %.2f, want 1", got)
	}
	for _, i := range []int{0, 3, 6} {
		p := peer(i)
		p.Free, p.WaitingByTier = 0, []int{4}
		r.SetPeer(p)
	}
	if got := choiceFraction(r, 0, q, 500, own); got != 0 {
		t.Errorf("share of the entry's zone, its peers overloaded = %.2f, want 0", got)
	}
}

// TestStragglerAvoidedUntilObservationAges has one peer that is five times as slow as
// the others: it must lose its requests, unless NoStragglers is set, and get some
// again two minutes after the last observation.
func TestStragglerAvoidedUntilObservationAges(t *testing.T) {
	got := map[bool]float64{}
	for _, off := range []bool{false, true} {
		r := fleet(route.Config{Zone: "z", Candidates: 2, NoStragglers: off}, 9)
		for range 64 {
			r.ObserveToken(0, "m4", 125)
		}
		got[off] = choiceFraction(r, 0, route.Request{Pool: "p"}, 2000, named("m4"))
		stale := peer(4)
		stale.ReportMs = 2 * clock.Minute
		r.SetPeer(stale)
		recovered := choiceFraction(r, 2*clock.Minute, route.Request{Pool: "p"}, 2000, named("m4"))
		if recovered < 0.05 {
			t.Errorf("share of the straggler two minutes later = %.3f, want at least 0.05", recovered)
		}
	}
	if got[false] > 0.01 || got[true] < 0.08 {
		t.Errorf("share of the straggler = %.3f, want at most 0.01; with NoStragglers %.3f, want at least 0.08", got[false], got[true])
	}
}

// TestStaleReportsAreDiscounted has one peer whose last report, with all slots free, is
// 10 s old, while new reports of the others show half of their slots free: its share of
// the requests must be small, unless NoReportAging is set.
func TestStaleReportsAreDiscounted(t *testing.T) {
	const now = 10 * clock.Second
	got := map[bool]float64{}
	for _, off := range []bool{false, true} {
		r := fleet(route.Config{Zone: "z", Candidates: 4, NoReportAging: off}, 9)
		for i := 1; i < 9; i++ {
			p := peer(i)
			p.Free, p.ReportMs = 4, now
			r.SetPeer(p)
		}
		got[off] = choiceFraction(r, now, route.Request{Pool: "p"}, 2000, named("m0"))
	}
	if got[false] > 0.25 || got[true] < 0.4 {
		t.Errorf("share of the peer with the old report = %.3f, want at most 0.25; with NoReportAging %.3f, want at least 0.4", got[false], got[true])
	}
}

// TestHigherTierPrefersPreemptiblePeer has one peer with half of its slots free and two
// without a free slot. Of the latter, a request must prefer the one with running
// requests that it may preempt.
func TestHigherTierPrefersPreemptiblePeer(t *testing.T) {
	r := route.New(route.Config{Zone: "a", Candidates: 3})
	for i, p := range []route.Peer{
		{Name: "sameTier", Free: 0, PreemptibleByTier: []int{0, 0, 0}},
		{Name: "lowerTier", Free: 0, PreemptibleByTier: []int{0, 2, 6}},
		{Name: "half", Free: 4, PreemptibleByTier: []int{0, 0, 4}},
	} {
		p.Zone, p.Pool, p.Slots, p.ReportMs = "a", "p", 8, clock.Millis(i)
		r.SetPeer(p)
	}
	var got []route.Choice
	for tier := range 3 {
		got = append(got, r.Choose(3, route.Request{Pool: "p", Tier: tier}, newRand()))
	}
	want := []route.Choice{
		{StartAt: "half", Candidates: []string{"half", "lowerTier", "sameTier"}},
		{StartAt: "half", Candidates: []string{"half", "lowerTier", "sameTier"}},
	}
	if diff := cmp.Diff(want, got[:2]); diff != "" {
		t.Errorf("choices of the higher tiers (-want +got):\n%s", diff)
	}
	if got[2].StartAt != "half" || got[2].Candidates[0] != "half" {
		t.Errorf("choice of the lowest tier %+v, want the peer with free slots first", got[2])
	}
}

// TestStartAtRequiresFreeSlot sends requests to a peer with two slots: while it has a free
// slot, it is chosen to start at; then only to reserve at; and not while it drains.
func TestStartAtRequiresFreeSlot(t *testing.T) {
	r := route.New(route.Config{Zone: "a"})
	p := peer(0)
	p.Slots, p.Free = 2, 2
	r.SetPeer(p)
	var got []route.Choice
	for range 3 {
		got = append(got, r.Choose(0, route.Request{Pool: "p"}, newRand()))
		r.RecordSent("m0", nil)
	}
	r.SetPeer(route.Peer{Name: "m0", Zone: "a", Pool: "p", Slots: 2, Free: 2, Leaving: true})
	got = append(got, r.Choose(0, route.Request{Pool: "p"}, newRand()))
	want := []route.Choice{
		{StartAt: "m0", Candidates: []string{"m0"}},
		{StartAt: "m0", Candidates: []string{"m0"}},
		{Candidates: []string{"m0"}},
		{},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("choices (-want +got):\n%s", diff)
	}
}

func TestRoundRobinAndLeastConnections(t *testing.T) {
	rr := fleet(route.Config{Routing: route.RoundRobin}, 3)
	q := route.Request{Pool: "p", Exclude: []string{"m1"}}
	var got []string
	for range 4 {
		got = append(got, rr.Choose(0, q, newRand()).StartAt)
	}
	if diff := cmp.Diff([]string{"m0", "m2", "m0", "m2"}, got); diff != "" {
		t.Errorf("round robin (-want +got):\n%s", diff)
	}
	lc := fleet(route.Config{Routing: route.LeastConnections}, 3)
	lc.RecordSent("m0", nil)
	lc.RecordSent("m2", nil)
	if got := lc.Choose(0, route.Request{Pool: "p"}, newRand()).StartAt; got != "m1" {
		t.Errorf("least connections = %s, want m1", got)
	}
}

func TestRendezvousKeepsOrderWhenNameLeaves(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	for i := range 500 {
		key := fmt.Sprint("key", i)
		before := route.Rendezvous(key, names, 5)
		after := route.Rendezvous(key, names[:4], 4)
		var want []string
		for _, n := range before {
			if n != "e" {
				want = append(want, n)
			}
		}
		if diff := cmp.Diff(want, after); diff != "" {
			t.Fatalf("order of %s (-want +got):\n%s", key, diff)
		}
	}
}

// TestSubsetIsBalancedAndStable checks for 60 entries and 200 sidecars in 4 zones that
// each entry gets k sidecars, that all sidecars get similarly many entries, and that
// few connections change when an entry and a sidecar are removed.
func TestSubsetIsBalancedAndStable(t *testing.T) {
	const k = 20
	var entries []string
	for i := range 60 {
		entries = append(entries, fmt.Sprint("e", i))
	}
	var sidecars []route.Sidecar
	for i := range 200 {
		sidecars = append(sidecars, route.Sidecar{Name: fmt.Sprint("m", i), Zone: fmt.Sprint("z", i%4)})
	}
	degree := map[string]int{}
	changed, total := 0, 0
	for _, e := range entries {
		got := route.SidecarSubset(e, entries, sidecars, k)
		if len(got) != k {
			t.Fatalf("%s connects to %d sidecars, want %d", e, len(got), k)
		}
		mine := map[string]bool{}
		for _, name := range got {
			degree[name]++
			mine[name] = true
		}
		for _, name := range route.SidecarSubset(e, entries[1:], sidecars[1:], k) {
			total++
			if !mine[name] {
				changed++
			}
		}
	}
	least, most := math.MaxInt, 0
	for _, m := range sidecars {
		least, most = min(least, degree[m.Name]), max(most, degree[m.Name])
	}
	t.Logf("entries per sidecar: min %d, max %d, mean 6; %d of %d connections changed", least, most, changed, total)
	if most > 7 || least < 3 || changed*100 > total*10 {
		t.Errorf("entries per sidecar: min %d, max %d, want 3 to 7; %d of %d connections changed, want at most 10%%", least, most, changed, total)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint("peers=", n), func(b *testing.B) {
			r, rnd := fleet(route.Config{Zone: "a", Candidates: 3}, n), newRand()
			for i := range n {
				r.RecordSent(peer(i).Name, []uint64{uint64(i)})
			}
			q := route.Request{Pool: "p", Prefixes: []uint64{0, 0}}
			now := clock.Millis(0)
			for i := 0; b.Loop(); i++ {
				if i%100 == 0 {
					now++
				}
				q.Prefixes[0] = uint64(i)
				r.Choose(now, q, rnd)
			}
		})
	}
}

func BenchmarkSubset(b *testing.B) {
	for _, n := range []int{360, 4600} {
		var entries []string
		for i := range 360 {
			entries = append(entries, fmt.Sprint("e", i))
		}
		var sidecars []route.Sidecar
		for i := range n {
			sidecars = append(sidecars, route.Sidecar{Name: fmt.Sprint("m", i), Zone: fmt.Sprint("z", i%7)})
		}
		b.Run(fmt.Sprint("entries=360/sidecars=", n), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				route.SidecarSubset(entries[i%360], entries, sidecars, 28)
			}
		})
	}
}
