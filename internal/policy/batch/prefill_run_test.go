package batch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/damaskport/damaskport/internal/policy/batch"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// stepEngine is a model engine that prefills one chunk in each decode step while it
// has prompts, and sends an event of a latency-sensitive stream every eventSteps
// steps.
type stepEngine struct {
	nextMs       float64
	prefillQueue []*stream
	events       []*sensitiveStream
}

type sensitiveStream struct {
	id         string
	stepCount  int
	eventsLeft int // events
	// lastEventMs is when the last event was sent, and longestPauseMs the longest time between
	// two events (ms).
	lastEventMs, longestPauseMs float64
}

const eventSteps = 8

// step runs the next decode step and returns the IDs of the streams that began
// and ended with it.
func (e *stepEngine) step() (begun, ended []string) {
	now := e.nextMs
	took := decodeStepMs
	if len(e.prefillQueue) > 0 {
		took += chunkTokens / prefillTokensPerMs
		room := chunkTokens
		for len(e.prefillQueue) > 0 && room > 0 {
			n := min(room, e.prefillQueue[0].tokensToPrefill)
			e.prefillQueue[0].tokensToPrefill -= n
			room -= n
			if e.prefillQueue[0].tokensToPrefill <= 0 {
				begun = append(begun, e.prefillQueue[0].id)
				e.prefillQueue = e.prefillQueue[1:]
			}
		}
	}
	e.nextMs = now + took
	kept := e.events[:0]
	for _, t := range e.events {
		if t.stepCount++; t.stepCount%eventSteps == 0 {
			t.longestPauseMs = max(t.longestPauseMs, e.nextMs-t.lastEventMs)
			t.lastEventMs = e.nextMs
			if t.eventsLeft--; t.eventsLeft == 0 {
				ended = append(ended, t.id)
				continue
			}
		}
		kept = append(kept, t)
	}
	e.events = kept
	return begun, ended
}

const chatITLTargetMs = 400 // ITL target of chats, ms

// mixedLoad simulates latency-sensitive chats beside short prompts (digests) and long
// ones (drafts) at one engine.
type mixedLoad struct {
	scheduler    *batch.Scheduler
	engine       stepEngine
	promptTokens map[string]float64
	chats        map[string]*sensitiveStream
	inTransit    []*stream // granted, not yet received by the engine
	// begun and ended are the results of the step that is running.
	begun, ended         []string
	submitted, prefilled int
}

// submit submits a request of a kind. Chats are sent to the engine without queueing;
// with tell, they carry their ITL target.
func (m *mixedLoad) submit(now clock.Millis, kind string, priority, tokens int, tell bool) {
	m.submitted++
	id := fmt.Sprint(kind, m.submitted)
	r := batch.Request{
		ID: id, Entry: "e", Account: "a", Priority: priority, UncachedTokens: tokens, Tokens: tokens,
		TargetMs: now + 2000, DeadlineMs: now + 9000, LatencySensitive: kind == "chat",
	}
	m.promptTokens[id] = float64(tokens)
	if !r.LatencySensitive {
		m.scheduler.Submit(now, r)
		return
	}
	if tell {
		r.ITLTargetMs = chatITLTargetMs
	}
	m.scheduler.Adopt(now, r, false)
	m.send(now, id)
}

func (m *mixedLoad) send(now clock.Millis, id string) {
	const aheadMs = 2 // from the grant until the engine receives the request
	m.inTransit = append(m.inTransit, &stream{id: id, tokensToPrefill: m.promptTokens[id], deadline: now + aheadMs})
}

// advance passes granted requests on to the engine and, when the running decode
// step is over, reports its results to the scheduler and runs the next one.
func (m *mixedLoad) advance(now clock.Millis) {
	m.scheduler.Tick(now)
	for _, a := range m.scheduler.Actions() {
		if a.Granted {
			m.send(now, a.ID)
		}
	}
	for len(m.inTransit) > 0 && m.inTransit[0].deadline <= now {
		m.engine.prefillQueue = append(m.engine.prefillQueue, m.inTransit[0])
		m.inTransit = m.inTransit[1:]
	}
	if m.engine.nextMs > float64(now) {
		return
	}
	m.engine.nextMs = float64(now)
	begun, ended := m.begun, m.ended
	m.begun, m.ended = m.engine.step()
	for _, id := range begun {
		m.scheduler.FirstEvent(now, id)
		if id[:4] != "chat" {
			m.prefilled++
			m.scheduler.Done(now, id)
			continue
		}
		t := &sensitiveStream{id: id, eventsLeft: 25, lastEventMs: float64(now)}
		m.engine.events, m.chats[id] = append(m.engine.events, t), t
	}
	for _, id := range ended {
		m.scheduler.Done(now, id)
	}
}

// simulateMixedLoad simulates 20 s and returns how many chats missed their ITL target, the
// number of chats, and the number of other prompts prefilled. With tell, the
// scheduler knows the chats' ITL target.
func simulateMixedLoad(tell bool) (late, chats, read int) {
	const chatHz, digHz, draftHz = 6.0, 5.0, 1.0
	rnd := rand.New(rand.NewPCG(5, 6))
	m := &mixedLoad{scheduler: batch.New(batch.Config{Slots: 64, MemoryTokens: 475000}), promptTokens: map[string]float64{}, chats: map[string]*sensitiveStream{}}
	for now := clock.Millis(1); now < 20*clock.Second; now++ {
		if rnd.Float64() < chatHz/1000 {
			m.submit(now, "chat", 0, 800, tell)
		}
		if rnd.Float64() < digHz/1000 {
			m.submit(now, "digest", 1, 1000+rnd.IntN(4000), tell)
		}
		if rnd.Float64() < draftHz/1000 {
			m.submit(now, "draft", 2, 8000+rnd.IntN(12000), tell)
		}
		m.advance(now)
	}
	for _, t := range m.chats {
		if t.longestPauseMs > chatITLTargetMs {
			late++
		}
	}
	return late, len(m.chats), m.prefilled
}

// TestPrefillRunsLeaveADecodeStepFree runs short and long prompts beside chats with an event
// every eight decode steps: if each of these steps carries a prefill chunk, the
// event misses the ITL target.
func TestPrefillRunsLeaveADecodeStepFree(t *testing.T) {
	before, n, readBefore := simulateMixedLoad(false)
	after, m, readAfter := simulateMixedLoad(true)
	t.Logf("ITL target missed: %d of %d chats, %d other prompts prefilled; with steps left free %d of %d, %d prefilled", before, n, readBefore, after, m, readAfter)
	if after*4 > before {
		t.Errorf("%d chats missed the ITL target, %d without free steps: want at most a quarter", after, before)
	}
	if readAfter < readBefore*8/10 {
		t.Errorf("%d other prompts prefilled, %d without free steps", readAfter, readBefore)
	}
}

// TestStallingPromptIsRefusedEarly queues a long prompt at an engine where it
// would always stall chats: it is refused early enough to try another engine.
func TestStallingPromptIsRefusedEarly(t *testing.T) {
	s := batch.New(batch.Config{Slots: 64, MemoryTokens: 475000})
	for i := range 3 {
		s.Adopt(1, batch.Request{ID: fmt.Sprint("chat", i), Entry: "e", LatencySensitive: true, ITLTargetMs: 250, UncachedTokens: 300, Tokens: 600}, true)
	}
	submit(s, 1000, "long", func(r *batch.Request) { r.UncachedTokens = 14000 })
	submit(s, 1000, "short", func(r *batch.Request) { r.UncachedTokens = 6000 })
	var refused, started []string
	for now := clock.Millis(1000); now < 2500; now += 10 {
		s.Tick(now)
		for _, a := range s.Actions() {
			if a.Granted {
				started = append(started, a.ID)
				s.FirstEvent(now+150, a.ID)
				continue
			}
			refused = append(refused, fmt.Sprintf("%s after %d ms", a.ID, now-1000))
		}
	}
	if len(refused) != 1 || refused[0] != "long after 350 ms" && refused[0] != "long after 310 ms" {
		t.Errorf("refused %v, want the long prompt after 300 ms", refused)
	}
	if len(started) != 1 || started[0] != "short" {
		t.Errorf("granted %v, want the short prompt", started)
	}
}

// TestInsistingPromptIsGranted submits the same prompt with NoAlternative, as when no
// other engine is left: it is granted beside the chats.
func TestInsistingPromptIsGranted(t *testing.T) {
	s := batch.New(batch.Config{Slots: 64, MemoryTokens: 475000})
	for i := range 3 {
		s.Adopt(1, batch.Request{ID: fmt.Sprint("chat", i), Entry: "e", LatencySensitive: true, ITLTargetMs: 250, UncachedTokens: 300, Tokens: 600}, true)
	}
	submit(s, 1000, "long", func(r *batch.Request) { r.UncachedTokens, r.NoAlternative = 14000, true })
	started := granted(s)
	for now := clock.Millis(1000); now < 2500; now += 10 {
		s.Tick(now)
		started = append(started, granted(s)...)
	}
	if len(started) != 1 {
		t.Errorf("granted %v, want the long prompt", started)
	}
}
