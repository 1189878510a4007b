package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/damaskport/damaskport/internal/policy/place"
)

// TestEntriesUseTheSameAffinityServer has 12 entries, none of which has seen the
// others' requests, choose an engine for the first request of each of 200 shared
// prefixes. Each prefix should be prefilled at one engine, not at one per entry.
func TestEntriesUseTheSameAffinityServer(t *testing.T) {
	const engines, entries, prefixes = 160, 12, 200
	var list []place.Server
	for i := range engines {
		list = append(list, place.Server{ID: fmt.Sprint("engine-", i), Start: 1, Zone: "a", Slots: 64, CacheTokens: 470_000})
	}
	rnd := rand.New(rand.NewPCG(1, 2))
	var tables []*place.ServerTable
	for range entries {
		b := place.NewServerTable("a")
		b.SetServers(list)
		tables = append(tables, b)
	}
	repeated := 0
	for p := range prefixes {
		r := place.Request{Engine: true, Prompt: 12_000, Blocks: []place.Block{{ID: fmt.Sprint("part-", p), Tokens: 5_400}, {ID: "own", Tokens: 6_600}}}
		engineIDs := map[string]bool{}
		for _, b := range tables {
			c, ok := b.Choose(1000, r, nil, rnd)
			if !ok {
				t.Fatal("no server was chosen")
			}
			engineIDs[c.ID] = true
		}
		repeated += len(engineIDs) - 1
	}
	t.Logf("%d of %d requests prefilled a shared prefix again", repeated, prefixes*(entries-1))
	if limit := prefixes * (entries - 1) / 10; repeated > limit {
		t.Errorf("%d of %d requests prefilled a shared prefix again, want at most %d", repeated, prefixes*(entries-1), limit)
	}
}
