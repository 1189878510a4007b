package place_test

import (
	"math/rand/v2"
	"testing"

	"github.com/damaskport/damaskport/internal/policy/place"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// TestEqualServersShareRequests lets eight entries send few requests each to two equal servers,
// whose times vary by little and now and then by much: neither server is left out by most of
// the entries.
func TestEqualServersShareRequests(t *testing.T) {
	const entries, trials, requests, window = 8, 200, 60, 10
	few := 0
	for trial := range trials {
		rnd := rand.New(rand.NewPCG(uint64(trial), 1))
		n := map[string]int{}
		for range entries {
			b := place.NewServerTable("a")
			b.SetServers([]place.Server{{ID: "x", Start: 1, Zone: "a", Slots: 8}, {ID: "y", Start: 1, Zone: "a", Slots: 8}})
			for i := range requests {
				now := clock.Millis(1 + 200*i)
				c, _ := b.Choose(now, place.Request{}, nil, rnd)
				took := clock.Millis(rnd.IntN(2))
				if rnd.IntN(30) == 0 {
					took = clock.Millis(5 + rnd.IntN(40))
				}
				b.Sent(c, place.Request{})
				b.Ended(now+took, c, place.Request{}, place.OutcomeOK, false, took)
				if i >= requests-window {
					n[c.ID]++
				}
			}
		}
		if min(n["x"], n["y"]) < entries*window/4 {
			few++
		}
	}
	if few > 0 {
		t.Errorf("in %d of %d trials one of two equal servers got less than a quarter of the requests", few, trials)
	}
}

// TestAllServersWithLimitsAreUsed gives all servers limits: each of them may be chosen.
func TestAllServersWithLimitsAreUsed(t *testing.T) {
	b, rnd := place.NewServerTable("a"), rand.New(rand.NewPCG(1, 1))
	b.SetServers([]place.Server{{ID: "x", Start: 1, Zone: "a", Slots: 8}, {ID: "y", Start: 1, Zone: "a", Slots: 8}})
	b.SetPaced("x", true)
	b.SetPaced("y", true)
	n := map[string]int{}
	for i := range 100 {
		c, _ := b.Choose(clock.Millis(1+10*i), place.Request{}, nil, rnd)
		b.Sent(c, place.Request{})
		b.Ended(clock.Millis(2+10*i), c, place.Request{}, place.OutcomeOK, false, 1)
		n[c.ID]++
	}
	if n["x"] < 20 || n["y"] < 20 {
		t.Errorf("requests by server: %v", n)
	}
}
