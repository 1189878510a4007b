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

const chatPause = 400 // ms

// mix plays chats beside digests and drafts at one engine.
type mix struct {
	s      *batch.Scheduler
	e      stepper
	unread map[string]float64
	chats  map[string]*tightStream
	coming []*stream // granted, on their way to the engine
	// begun and ended are those of the step that runs.
	begun, ended []string
	n, read      int
}

// ask has a request of a kind come. Chats are sent at once; with tell they say
// what they bear.
func (m *mix) ask(now clock.Millis, kind string, priority, tokens int, tell bool) {
	m.n++
	id := fmt.Sprint(kind, m.n)
	r := batch.Request{
		ID: id, Entry: "e", Account: "a", Priority: priority, Unread: tokens, Tokens: tokens,
		TargetMs: now + 2000, DeadlineMs: now + 9000, Tight: kind == "chat",
	}
	m.unread[id] = float64(tokens)
	if !r.Tight {
		m.s.Ask(now, r)
		return
	}
	if tell {
		r.PauseMs = chatPause
	}
	m.s.Adopt(now, r, false)
	m.send(now, id)
}

func (m *mix) send(now clock.Millis, id string) {
	const aheadMs = 2 // between a grant and the engine
	m.coming = append(m.coming, &stream{id: id, unread: m.unread[id], deadline: now + aheadMs})
}

// advance brings what was granted to the engine, and takes its next step when
// the last one is over: what that brought is known then.
func (m *mix) advance(now clock.Millis) {
	m.s.Tick(now)
	for _, a := range m.s.Actions() {
		if a.Granted {
			m.send(now, a.ID)
		}
	}
	for len(m.coming) > 0 && m.coming[0].deadline <= now {
		m.e.toRead = append(m.e.toRead, m.coming[0])
		m.coming = m.coming[1:]
	}
	if m.e.nextMs > float64(now) {
		return
	}
	m.e.nextMs = float64(now)
	begun, ended := m.begun, m.ended
	m.begun, m.ended = m.e.step()
	for _, id := range begun {
		m.s.Begun(now, id)
		if id[:4] != "chat" {
			m.read++
			m.s.Done(now, id)
			continue
		}
		t := &tightStream{id: id, left: 25, lastMs: float64(now)}
		m.e.events, m.chats[id] = append(m.e.events, t), t
	}
	for _, id := range ended {
		m.s.Done(now, id)
	}
}

// pauses plays 20 s, and returns how many of the chats had a pause that is too
// long, and the number of digests and drafts that were read.
func pauses(tell bool) (late, chats, read int) {
	const chatHz, digHz, draftHz = 6.0, 5.0, 1.0
	rnd := rand.New(rand.NewPCG(5, 6))
	m := &mix{s: batch.New(batch.Config{Slots: 64, MemoryTokens: 475000}), unread: map[string]float64{}, chats: map[string]*tightStream{}}
	for now := clock.Millis(1); now < 20*clock.Second; now++ {
		if rnd.Float64() < chatHz/1000 {
			m.ask(now, "chat", 0, 800, tell)
		}
		if rnd.Float64() < digHz/1000 {
			m.ask(now, "digest", 1, 1000+rnd.IntN(4000), tell)
		}
		if rnd.Float64() < draftHz/1000 {
			m.ask(now, "draft", 2, 8000+rnd.IntN(12000), tell)
		}
		m.advance(now)
	}
	for _, t := range m.chats {
		if t.pause > chatPause {
			late++
		}
	}
	return late, len(m.chats), m.read
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
