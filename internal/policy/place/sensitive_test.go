package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/damaskport/damaskport/internal/policy/batch"
	"github.com/damaskport/damaskport/internal/policy/place"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

func TestITLBound(t *testing.T) {
	for name, tc := range map[string]struct {
		targets []clock.Millis
		want    clock.Millis
	}{
		"a second target 1.5 times the first": {[]clock.Millis{400, 600, 1500}, 500},
		"similar targets":                     {[]clock.Millis{400, 450}, 0},
		"one without a target":                {[]clock.Millis{0, 250, 1000}, 312},
		"no routes":                           {nil, 0},
		"two routes with the same target":     {[]clock.Millis{250, 250, 1000}, 312},
	} {
		if got := place.ITLBound(tc.targets); got != tc.want {
			t.Errorf("%s: ITLBound(%v) = %d, want %d", name, tc.targets, got, tc.want)
		}
	}
}

// simulatedEngine is a simulated engine that prefills prompts one after the other.
type simulatedEngine struct {
	busySince, busyUntil float64       // start and end, in ms, of the present run of prefills
	chats                []*chatStream // running chats
}

// chatStream is the answer to a chat, a latency-sensitive request.
type chatStream struct {
	until   clock.Millis // end of the answer
	stalled bool         // see stallMs
}

const (
	engineCount = 10
	prefillRate = 48.0 // prompt tokens/ms
	// A chat counts as stalled if its engine prefills without a break for more than
	// stallMs: then every decode step between two events of the chat also carries a
	// prefill chunk.
	stallMs        = 330.0
	chatDurationMs = 2500
	chatTokens     = 800 // prompt tokens; also identifies chats
)

// poolSimulation simulates a pool of engines and one entry that sends requests to
// them.
type poolSimulation struct {
	rnd     *rand.Rand
	servers *place.ServerTable
	engines map[string]*simulatedEngine
	chats   []*chatStream
}

func newPoolSimulation() *poolSimulation {
	p := &poolSimulation{rnd: rand.New(rand.NewPCG(3, 4)), servers: place.NewServerTable("a"), engines: map[string]*simulatedEngine{}}
	var list []place.Server
	for i := range engineCount {
		id := fmt.Sprint("s", i)
		list = append(list, place.Server{ID: id, Start: 1, Zone: "a", Slots: 64, CacheTokens: 400000})
		p.engines[id] = &simulatedEngine{}
	}
	p.servers.SetServers(list)
	return p
}

// send sends q to the engine that the server table chooses.
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
	e.busyUntil += float64(q.Prompt) / prefillRate
	if q.Prompt == chatTokens {
		l := &chatStream{until: now + chatDurationMs}
		p.chats, e.chats = append(p.chats, l), append(e.chats, l)
	}
}

// reportLoads reports the loads of all engines to the server table, and marks the
// chats that are stalled.
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
		backlogMs := clock.Millis(max(e.busyUntil-float64(now), 0))
		p.servers.ReportLoad(now, id, batch.Load{FreeMs: backlogMs, PrefillMs: backlogMs, Running: len(kept), LatencySensitive: len(kept), PrefillRate: prefillRate, MeanPrefillRate: 40})
	}
}

// stalledChats simulates bursts of three kinds of requests for 30 s: chats
// (latency-sensitive, 800 prompt tokens), digests (urgent, 2400) and drafts (9000).
// It returns how many chats were stalled, and the number of chats. With
// sensitiveDigests, digests count as latency-sensitive as well.
func stalledChats(sensitiveDigests bool) (stalled, chats int) {
	const seconds, reportInterval = 30, 80
	p := newPoolSimulation()
	kinds := []struct {
		ratePerSecond float64
		request       place.Request
	}{
		{25, place.Request{Engine: true, LatencySensitive: true, Urgent: true, Prompt: chatTokens}},
		{25, place.Request{Engine: true, LatencySensitive: sensitiveDigests, Urgent: true, Prompt: 2400}},
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
		if now%reportInterval == 0 {
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

// TestDigestsAreKeptApartFromChats checks that digests must not count as latency-sensitive,
// although their ITL target is only somewhat longer than that of chats: they would
// be sent to the servers of the chats, where their prompts, prefilled one after the
// other, stall the chats.
func TestDigestsAreKeptApartFromChats(t *testing.T) {
	together, n := stalledChats(true)
	apart, m := stalledChats(false)
	t.Logf("stalled chats: %d of %d with digests on the same servers, %d of %d with digests elsewhere", together, n, apart, m)
	if apart*3 > together {
		t.Errorf("%d chats stalled with digests elsewhere, %d with digests beside them: want at most a third", apart, together)
	}
}
