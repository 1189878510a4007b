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
	running              int
}

type life struct {
	until   clock.Millis
	stalled bool
}

// stalledChats plays 10 engines with bursts of chats, digests and drafts for 30 s
// and returns how many chats were stalled by a row of prompts, of how many.
func stalledChats(tightDigests bool) (stalled, chats int) {
	const (
		engines, seconds       = 10, 30
		readPerMs              = 48.0
		stallMs                = 330.0 // an event's steps, each with a chunk
		chatMs                 = 2500
		chatHz, digHz, draftHz = 25.0, 25.0, 8.0
	)
	r := rand.New(rand.NewPCG(3, 4))
	b := place.NewBook("a")
	var list []place.Server
	all := map[string]*reader{}
	for i := range engines {
		id := fmt.Sprint("s", i)
		list = append(list, place.Server{ID: id, Start: 1, Zone: "a", Slots: 64, CacheTokens: 400000})
		all[id] = &reader{}
	}
	b.SetServers(list)
	var lives []*life
	send := func(now clock.Millis, q place.Request) {
		c, ok := b.Choose(now, q, nil, r)
		if !ok {
			return
		}
		b.Sent(c, q)
		b.Begun(now, c, q)
		b.Ended(now, c, q, place.OutcomeOK, true, 0)
		e := all[c.ID]
		if e.busyUntil < float64(now) {
			e.busySince, e.busyUntil = float64(now), float64(now)
		}
		e.busyUntil += float64(q.Prompt) / readPerMs
		if q.Tight && q.Prompt == 800 {
			l := &life{until: now + chatMs}
			lives, e.lives = append(lives, l), append(e.lives, l)
		}
	}
	for now := clock.Millis(1); now < seconds*clock.Second; now++ {
		burst := 1.0
		if now/2000%2 == 1 {
			burst = 2
		}
		for _, k := range []struct {
			hz float64
			q  place.Request
		}{
			{chatHz, place.Request{Engine: true, Tight: true, Urgent: true, Prompt: 800}},
			{digHz, place.Request{Engine: true, Tight: tightDigests, Urgent: true, Prompt: 2400}},
			{draftHz, place.Request{Engine: true, Prompt: 9000}},
		} {
			if r.Float64() < k.hz*burst/1000 {
				send(now, k.q)
			}
		}
		if now%80 != 0 {
			continue
		}
		for id, e := range all {
			kept := e.lives[:0]
			for _, l := range e.lives {
				if e.busyUntil-e.busySince > stallMs && e.busyUntil > float64(now) {
					l.stalled = true
				}
				if l.until > now {
					kept = append(kept, l)
				}
			}
			e.lives = kept
			left := clock.Millis(max(e.busyUntil-float64(now), 0))
			b.Told(now, id, batch.Load{FreeMs: left, ReadMs: left, Running: len(e.lives), Tight: len(e.lives), Speed: readPerMs, Rate: 40})
		}
	}
	for _, l := range lives {
		if l.stalled {
			stalled++
		}
	}
	return stalled, len(lives)
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
