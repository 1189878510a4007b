package batch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/damaskport/damaskport/internal/policy/batch"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// stepper is a model engine that reads a chunk in each step while it has prompts,
// and gives tight streams an event every eventSteps steps.
type stepper struct {
	nextMs float64
	toRead []*stream
	events []*tightStream
}

type tightStream struct {
	id    string
	steps int
	left  int // events
	// lastMs is when the last event came, and pause the longest between two.
	lastMs, pause float64
}

const eventSteps = 8

// step takes the next step and returns what has begun and ended with it.
func (e *stepper) step() (begun, ended []string) {
	now := e.nextMs
	took := stepMs
	if len(e.toRead) > 0 {
		took += chunk / readPerMs
		room := chunk
		for len(e.toRead) > 0 && room > 0 {
			n := min(room, e.toRead[0].unread)
			e.toRead[0].unread -= n
			room -= n
			if e.toRead[0].unread <= 0 {
				begun = append(begun, e.toRead[0].id)
				e.toRead = e.toRead[1:]
			}
		}
	}
	e.nextMs = now + took
	kept := e.events[:0]
	for _, t := range e.events {
		if t.steps++; t.steps%eventSteps == 0 {
			t.pause = max(t.pause, e.nextMs-t.lastMs)
			t.lastMs = e.nextMs
			if t.left--; t.left == 0 {
				ended = append(ended, t.id)
				continue
			}
		}
		kept = append(kept, t)
	}
	e.events = kept
	return begun, ended
}

// pauses plays chats beside digests and drafts at one engine for 20 s, and
// returns how many of the chats had a pause that is too long, and the number of
// digests and drafts that were read. tell has the chats say what they bear.
func pauses(tell bool) (late, chats, read int) {
	const (
		pauseMs                = 400
		chatHz, digHz, draftHz = 6.0, 5.0, 1.0
		aheadMs                = 2 // between a grant and the engine
	)
	rnd := rand.New(rand.NewPCG(5, 6))
	s := batch.New(batch.Config{Slots: 64, MemoryTokens: 475000})
	e := &stepper{}
	unread := map[string]float64{}
	all := map[string]*tightStream{}
	var coming []*stream
	var begun, ended []string
	n := 0
	for now := clock.Millis(1); now < 20*clock.Second; now++ {
		add := func(prefix string, priority, tokens int, tight bool) {
			n++
			id := fmt.Sprint(prefix, n)
			r := batch.Request{
				ID: id, Entry: "e", Account: "a", Priority: priority, Unread: tokens, Tokens: tokens,
				TargetMs: now + 2000, DeadlineMs: now + 9000, Tight: tight,
			}
			if tight {
				if tell {
					r.PauseMs = pauseMs
				}
				s.Adopt(now, r, false)
				coming = append(coming, &stream{id: id, unread: float64(tokens), deadline: now + aheadMs})
				return
			}
			unread[id] = float64(tokens)
			s.Ask(now, r)
		}
		if rnd.Float64() < chatHz/1000 {
			add("chat", 0, 800, true)
		}
		if rnd.Float64() < digHz/1000 {
			add("digest", 1, 1000+rnd.IntN(4000), false)
		}
		if rnd.Float64() < draftHz/1000 {
			add("draft", 2, 8000+rnd.IntN(12000), false)
		}
		s.Tick(now)
		for _, a := range s.Actions() {
			if a.Granted {
				coming = append(coming, &stream{id: a.ID, unread: unread[a.ID], deadline: now + aheadMs})
			}
		}
		for len(coming) > 0 && coming[0].deadline <= now {
			e.toRead = append(e.toRead, coming[0])
			coming = coming[1:]
		}
		if e.nextMs > float64(now) {
			continue
		}
		e.nextMs = float64(now)
		// What the step before brought is known at its end.
		lastBegun, lastEnded := begun, ended
		begun, ended = e.step()
		for _, id := range lastBegun {
			s.Begun(now, id)
			if id[:4] != "chat" {
				read++
				s.Done(now, id)
				continue
			}
			t := &tightStream{id: id, left: 25, lastMs: float64(now)}
			e.events, all[id] = append(e.events, t), t
		}
		for _, id := range lastEnded {
			s.Done(now, id)
		}
	}
	for _, t := range all {
		chats++
		if t.pause > pauseMs {
			late++
		}
	}
	return late, chats, read
}

// TestRowsLeaveAStepFree plays short and long prompts beside chats whose events
// take eight steps: if each of them has a chunk of a prompt, the event is late.
func TestRowsLeaveAStepFree(t *testing.T) {
	before, n, readBefore := pauses(false)
	after, m, readAfter := pauses(true)
	t.Logf("late: %d of %d chats, %d other prompts read; with steps left free %d of %d, %d read", before, n, readBefore, after, m, readAfter)
	if after*4 > before {
		t.Errorf("%d chats late, %d without free steps: want a quarter at the most", after, before)
	}
	if readAfter < readBefore*8/10 {
		t.Errorf("%d other prompts read, %d without free steps", readAfter, readBefore)
	}
}

// TestPromptThatStallsGoesElsewhere has a draft ask for an engine where it would
// stall chats, however long it waits: it is told so in time to go elsewhere.
func TestPromptThatStallsGoesElsewhere(t *testing.T) {
	s := batch.New(batch.Config{Slots: 64, MemoryTokens: 475000})
	for i := range 3 {
		s.Adopt(1, batch.Request{ID: fmt.Sprint("chat", i), Entry: "e", Tight: true, PauseMs: 250, Unread: 300, Tokens: 600}, true)
	}
	ask(s, 1000, "long", func(r *batch.Request) { r.Unread = 14000 })
	ask(s, 1000, "short", func(r *batch.Request) { r.Unread = 6000 })
	var refused, started []string
	for now := clock.Millis(1000); now < 2500; now += 10 {
		s.Tick(now)
		for _, a := range s.Actions() {
			if a.Granted {
				started = append(started, a.ID)
				s.Begun(now+150, a.ID)
				continue
			}
			refused = append(refused, fmt.Sprintf("%s after %d ms", a.ID, now-1000))
		}
	}
	if len(refused) != 1 || refused[0] != "long after 350 ms" && refused[0] != "long after 310 ms" {
		t.Errorf("refused %v, want the long prompt after 300 ms", refused)
	}
	if len(started) != 1 || started[0] != "short" {
		t.Errorf("started %v, want the short prompt", started)
	}
}

// TestPromptThatInsistsStarts has the same draft ask where no other engine is
// left: it starts beside the chats instead of nowhere.
func TestPromptThatInsistsStarts(t *testing.T) {
	s := batch.New(batch.Config{Slots: 64, MemoryTokens: 475000})
	for i := range 3 {
		s.Adopt(1, batch.Request{ID: fmt.Sprint("chat", i), Entry: "e", Tight: true, PauseMs: 250, Unread: 300, Tokens: 600}, true)
	}
	ask(s, 1000, "long", func(r *batch.Request) { r.Unread, r.Insists = 14000, true })
	started := granted(s)
	for now := clock.Millis(1000); now < 2500; now += 10 {
		s.Tick(now)
		started = append(started, granted(s)...)
	}
	if len(started) != 1 {
		t.Errorf("started %v, want the long prompt", started)
	}
}
