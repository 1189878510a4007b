package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/damaskport/damaskport/internal/policy/batch"
	"github.com/damaskport/damaskport/internal/policy/place"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

func TestTightPause(t *testing.T) {
	for name, tc := range map[string]struct {
		pauses []clock.Millis
		want   clock.Millis
	}{
		"chats and a target half as long again": {[]clock.Millis{400, 600, 1500}, 500},
		"similar targets":                       {[]clock.Millis{400, 450}, 0},
		"one without a target":                  {[]clock.Millis{0, 250, 1000}, 312},
		"no routes":                             {nil, 0},
		"two chats with the same target":        {[]clock.Millis{250, 250, 1000}, 312},
	} {
		if got := place.ITLBound(tc.pauses); got != tc.want {
			t.Errorf("%s: TightPause(%v) = %d, want %d", name, tc.pauses, got, tc.want)
		}
	}
}

// laneEngine is a simulated engine that prefills prompts one after the other.
type laneEngine struct {
	busySince, busyUntil float64
	chats                []*chatStream // running chats
}

type chatStream struct {
	until   clock.Millis
	stalled bool
}

const (
	laneEngines     = 10
	lanePrefillRate = 48.0
	// stallMs is the length of an uninterrupted run of prefills, in ms, from
	// which chats count as stalled: each decode step of an event then carries a
	// chunk.
	stallMs        = 330.0
	chatDurationMs = 2500
	chatTokens     = 800
)

// poolSimulation simulates the requests of a pool of engines.
type poolSimulation struct {
	rnd     *rand.Rand
	servers *place.ServerTable
	engines map[string]*laneEngine
	chats   []*chatStream
}

func newPoolSimulation() *poolSimulation {
	p := &poolSimulation{rnd: rand.New(rand.NewPCG(3, 4)), servers: place.NewServerTable("a"), engines: map[string]*laneEngine{}}
	var list []place.Server
	for i := range laneEngines {
		id := fmt.Sprint("s", i)
		list = append(list, place.Server{ID: id, Start: 1, Zone: "a", Slots: 64, CacheTokens: 400000})
		p.engines[id] = &laneEngine{}
	}
	p.servers.SetServers(list)
	return p
}

func (p *poolSimulation) send(now clock.Millis, q place.Request) {
	c, ok := p.servers.Choose(now, q, nil, p.rnd)
	if !ok {
		return
	}
	p.servers.Sent(c, q)
	p.servers.FirstEvent(now, c, q)
	p.servers.Ended(now, c, q, place.OutcomeOK, true, 0)
	e := p.engines[c.ID]
	if e.busyUntil < float64(now) {
		e.busySince, e.busyUntil = float64(now), float64(now)
	}
	e.busyUntil += float64(q.Prompt) / lanePrefillRate
	if q.Prompt == chatTokens {
		l := &chatStream{until: now + chatDurationMs}
		p.chats, e.chats = append(p.chats, l), append(e.chats, l)
	}
}

// reportLoads reports the load of all engines, and marks the chats that are stalled.
func (p *poolSimulation) reportLoads(now clock.Millis) {
	for id, e := range p.engines {
		kept := e.chats[:0]
		for _, l := range e.chats {
			l.stalled = l.stalled || e.busyUntil-e.busySince > stallMs && e.busyUntil > float64(now)
			if l.until > now {
				kept = append(kept, l)
			}
		}
		e.chats = kept
		left := clock.Millis(max(e.busyUntil-float64(now), 0))
		p.servers.ReportLoad(now, id, batch.Load{FreeMs: left, PrefillMs: left, Running: len(kept), LatencySensitive: len(kept), PrefillRate: lanePrefillRate, MeanPrefillRate: 40})
	}
}

// stalledChats simulates bursts of chats, digests and drafts for 30 s and returns
// how many chats were stalled by prefills in a row, and the number of chats. With
// tightDigests, digests count as latency-sensitive.
func stalledChats(tightDigests bool) (stalled, chats int) {
	const seconds, tellEvery = 30, 80
	p := newPoolSimulation()
	kinds := []struct {
		ratePerSecond float64
		request       place.Request
	}{
		{25, place.Request{Engine: true, LatencySensitive: true, Urgent: true, Prompt: chatTokens}},
		{25, place.Request{Engine: true, LatencySensitive: tightDigests, Urgent: true, Prompt: 2400}},
		{8, place.Request{Engine: true, Prompt: 9000}},
	}
	for now := clock.Millis(1); now < seconds*clock.Second; now++ {
		burst := 1.0
		if now/2000%2 == 1 {
			burst = 2
		}
		for _, k := range kinds {
			if p.rnd.Float64() < k.ratePerSecond*burst/1000 {
				p.send(now, k.request)
			}
		}
		if now%tellEvery == 0 {
			p.reportLoads(now)
		}
	}
	for _, l := range p.chats {
		if l.stalled {
			stalled++
		}
	}
	return stalled, len(p.chats)
}

// TestDigestsApartFromChats checks that treating digests, whose ITL target is
// somewhat longer, as latency-sensitive would stall the chats: their prompts are
// prefilled in a row.
func TestDigestsApartFromChats(t *testing.T) {
	together, n := stalledChats(true)
	apart, m := stalledChats(false)
	t.Logf("stalled chats: %d of %d with digests on the same servers, %d of %d with digests elsewhere", together, n, apart, m)
	if apart*3 > together {
		t.Errorf("%d chats stalled with digests elsewhere, %d with digests beside them: want at most a third", apart, together)
	}
}
