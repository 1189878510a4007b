package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/damaskport/damaskport/internal/policy/place"
)

// TestEntriesUseTheSameAffinityServer has many entries, which have not seen each other's
// requests, place the first requests of many shared prefixes in a large fleet.
// Each prefix should be prefilled at one engine, not at one per entry.
func TestEntriesUseTheSameAffinityServer(t *testing.T) {
	const engines, entries, parts = 160, 12, 200
	var list []place.Server
	for i := range engines {
		list = append(list, place.Server{ID: fmt.Sprint("engine-", i), Start: 1, Zone: "a", Slots: 64, CacheTokens: 470_000})
	}
	rnd := rand.New(rand.NewPCG(1, 2))
	var books []*place.ServerTable
	for range entries {
		b := place.NewServerTable("a")
		b.SetServers(list)
		books = append(books, b)
	}
	again := 0
	for p := range parts {
		r := place.Request{Engine: true, Prompt: 12_000, Blocks: []place.Block{{ID: fmt.Sprint("part-", p), Tokens: 5_400}, {ID: "own", Tokens: 6_600}}}
		read := map[string]bool{}
		for _, b := range books {
			c, ok := b.Choose(1000, r, nil, rnd)
			if !ok {
				t.Fatal("no server was chosen")
			}
			read[c.ID] = true
		}
		again += len(read) - 1
	}
	t.Logf("%d of %d requests prefilled a shared prefix again", again, parts*(entries-1))
	if most := parts * (entries - 1) / 10; again > most {
		t.Errorf("%d of %d requests prefilled a shared prefix again, want at most %d", again, parts*(entries-1), most)
	}
}
