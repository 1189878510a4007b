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
		"chats and what bears half as much again": {[]clock.Millis{400, 600, 1500}, 500},
		"alike":                   {[]clock.Millis{400, 450}, 0},
		"one that bears any":      {[]clock.Millis{0, 250, 1000}, 312},
		"none":                    {nil, 0},
		"chats of the same pause": {[]clock.Millis{250, 250, 1000}, 312},
	} {
		if got := place.TightPause(tc.pauses); got != tc.want {
			t.Errorf("%s: TightPause(%v) = %d, want %d", name, tc.pauses, got, tc.want)
		}
	}
}

// reader is an engine that reads prompts one after the other.
type reader struct {
	busySince, busyUntil float64
	lives                []*life // chats that run
}

type life struct {
	until   clock.Millis
	stalled bool
}

const (
	laneEngines   = 10
	laneReadPerMs = 48.0
	// laneStallMs is an event's steps, each with a chunk.
	laneStallMs = 330.0
	laneChatMs  = 2500
	chatTokens  = 800
)

// lane plays requests of a pool of engines.
type lane struct {
	rnd   *rand.Rand
	book  *place.Book
	all   map[string]*reader
	lives []*life
}

func newLane() *lane {
	p := &lane{rnd: rand.New(rand.NewPCG(3, 4)), book: place.NewBook("a"), all: map[string]*reader{}}
	var list []place.Server
	for i := range laneEngines {
		id := fmt.Sprint("s", i)
		list = append(list, place.Server{ID: id, Start: 1, Zone: "a", Slots: 64, CacheTokens: 400000})
		p.all[id] = &reader{}
	}
	p.book.SetServers(list)
	return p
}

func (p *lane) send(now clock.Millis, q place.Request) {
	c, ok := p.book.Choose(now, q, nil, p.rnd)
	if !ok {
		return
	}
	p.book.Sent(c, q)
	p.book.Begun(now, c, q)
	p.book.Ended(now, c, q, place.OutcomeOK, true, 0)
	e := p.all[c.ID]
	if e.busyUntil < float64(now) {
		e.busySince, e.busyUntil = float64(now), float64(now)
	}
	e.busyUntil += float64(q.Prompt) / laneReadPerMs
	if q.Prompt == chatTokens {
		l := &life{until: now + laneChatMs}
		p.lives, e.lives = append(p.lives, l), append(e.lives, l)
	}
}

// tell tells the load of all engines, and notes the chats that are stalled.
func (p *lane) tell(now clock.Millis) {
	for id, e := range p.all {
		kept := e.lives[:0]
		for _, l := range e.lives {
			l.stalled = l.stalled || e.busyUntil-e.busySince > laneStallMs && e.busyUntil > float64(now)
			if l.until > now {
				kept = append(kept, l)
			}
		}
		e.lives = kept
		left := clock.Millis(max(e.busyUntil-float64(now), 0))
		p.book.Told(now, id, batch.Load{FreeMs: left, ReadMs: left, Running: len(kept), Tight: len(kept), Speed: laneReadPerMs, Rate: 40})
	}
}

// stalledChats plays bursts of chats, digests and drafts for 30 s and returns how
// many chats were stalled by a row of prompts, of how many.
func stalledChats(tightDigests bool) (stalled, chats int) {
	const seconds, tellEvery = 30, 80
	p := newLane()
	kinds := []struct {
		hz float64
		q  place.Request
	}{
		{25, place.Request{Engine: true, Tight: true, Urgent: true, Prompt: chatTokens}},
		{25, place.Request{Engine: true, Tight: tightDigests, Urgent: true, Prompt: 2400}},
		{8, place.Request{Engine: true, Prompt: 9000}},
	}
	for now := clock.Millis(1); now < seconds*clock.Second; now++ {
		burst := 1.0
		if now/2000%2 == 1 {
			burst = 2
		}
		for _, k := range kinds {
			if p.rnd.Float64() < k.hz*burst/1000 {
				p.send(now, k.q)
			}
		}
		if now%tellEvery == 0 {
			p.tell(now)
		}
	}
	for _, l := range p.lives {
		if l.stalled {
			stalled++
		}
	}
	return stalled, len(p.lives)
}

// TestDigestsApartFromChats plays the load for which routes that bear somewhat
// longer pauses do not count as tight: their prompts in a row stall the chats.
func TestDigestsApartFromChats(t *testing.T) {
	together, n := stalledChats(true)
	apart, m := stalledChats(false)
	t.Logf("stalled: %d of %d chats with digests among them, %d of %d apart", together, n, apart, m)
	if apart*3 > together {
		t.Errorf("%d chats stalled apart, %d together: want a third at the most", apart, together)
	}
}
