package batch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/damaskport/damaskport/internal/policy/batch"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// stepEngine simulates a model engine step by step: it prefills one chunk in each
// decode step while it has prompts, and sends an event of each latency-sensitive
// stream every eventSteps steps.
type stepEngine struct {
	nextMs       float64 // when the next decode step starts
	prefillQueue []*stream
	events       []*sensitiveStream // running streams
}

// sensitiveStream is the answer to a latency-sensitive request.
type sensitiveStream struct {
	id         string
	stepCount  int // decode steps since its start
	eventsLeft int // events left to send
	// lastEventMs is when the last event was sent; longestPauseMs is the longest time
	// between two events so far, in ms.
	lastEventMs, longestPauseMs float64
}

const eventSteps = 8 // decode steps per event of a stream

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

// mixedLoad simulates three kinds of requests at one engine: chats, which are
// latency-sensitive, digests with prompts of 1,000 to 5,000 tokens, and drafts with
// prompts of 8,000 to 20,000 tokens.
type mixedLoad struct {
	scheduler    *batch.Scheduler
	engine       stepEngine
	promptTokens map[string]float64
	chats        map[string]*sensitiveStream
	inTransit    []*stream // granted, not yet received by the engine
	// begun and ended are the IDs of the streams that begin and end with the present
	// decode step; they are reported when it is over.
	begun, ended         []string
	submitted, prefilled int // requests submitted; digests and drafts prefilled
}

// submit submits a request of a kind ("chat", "digest" or "draft"). Chats are sent to
// the engine without queueing; if withTarget is set, they carry their ITL target.
func (m *mixedLoad) submit(now clock.Millis, kind string, priority, tokens int, withTarget bool) {
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
	if withTarget {
		r.ITLTargetMs = chatITLTargetMs
	}
	m.scheduler.Adopt(now, r, false)
	m.send(now, id)
}

// send sends a granted request to the engine.
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

// simulateMixedLoad simulates 20 s and returns how many chats missed their ITL target,
// the number of chats, and the number of other prompts prefilled. If withTarget is
// set, the scheduler knows the chats' ITL target.
func simulateMixedLoad(withTarget bool) (missed, chats, prefilled int) {
	const chatHz, digestHz, draftHz = 6.0, 5.0, 1.0
	rnd := rand.New(rand.NewPCG(5, 6))
	m := &mixedLoad{scheduler: batch.New(batch.Config{Slots: 64, MemoryTokens: 475000}), promptTokens: map[string]float64{}, chats: map[string]*sensitiveStream{}}
	for now := clock.Millis(1); now < 20*clock.Second; now++ {
		if rnd.Float64() < chatHz/1000 {
			m.submit(now, "chat", 0, 800, withTarget)
		}
		if rnd.Float64() < digestHz/1000 {
			m.submit(now, "digest", 1, 1000+rnd.IntN(4000), withTarget)
		}
		if rnd.Float64() < draftHz/1000 {
			m.submit(now, "draft", 2, 8000+rnd.IntN(12000), withTarget)
		}
		m.advance(now)
	}
	for _, t := range m.chats {
		if t.longestPauseMs > chatITLTargetMs {
			missed++
		}
	}
	return missed, len(m.chats), m.prefilled
}

// TestPrefillRunsLeaveADecodeStepFree runs short and long prompts beside
// latency-sensitive requests (chats) that get an event every eight decode steps. If
// each of these steps carries a prefill chunk, the event misses the ITL target. The
// scheduler avoids this if it knows the target: at most a quarter as many chats miss
// it, and at least 80% as many other prompts are prefilled.
func TestPrefillRunsLeaveADecodeStepFree(t *testing.T) {
	missedUnknown, chatsUnknown, prefilledUnknown := simulateMixedLoad(false)
	missedKnown, chatsKnown, prefilledKnown := simulateMixedLoad(true)
	t.Logf("target unknown to the scheduler: %d of %d chats missed it, %d other prompts prefilled; known: %d of %d, %d prefilled", missedUnknown, chatsUnknown, prefilledUnknown, missedKnown, chatsKnown, prefilledKnown)
	if missedKnown*4 > missedUnknown {
		t.Errorf("%d chats missed the ITL target known to the scheduler, %d missed the unknown one: want at most a quarter", missedKnown, missedUnknown)
	}
	if prefilledKnown < prefilledUnknown*8/10 {
		t.Errorf("%d other prompts prefilled with the ITL target known to the scheduler, %d with it unknown: want at least 80%%", prefilledKnown, prefilledUnknown)
	}
}

// TestStallingPromptIsRefusedEarly queues a prompt at an engine with running chats that
// is so long that it would always make them miss their ITL target: it is refused
// early enough to try another engine.
func TestStallingPromptIsRefusedEarly(t *testing.T) {
	s := batch.New(batch.Config{Slots: 64, MemoryTokens: 475000})
	for i := range 3 {
		s.Adopt(1, batch.Request{ID: fmt.Sprint("chat", i), Entry: "e", LatencySensitive: true, ITLTargetMs: 250, UncachedTokens: 300, Tokens: 600}, true)
	}
	submit(s, 1000, "long-prompt", func(r *batch.Request) { r.UncachedTokens = 14000 })
	submit(s, 1000, "short-prompt", func(r *batch.Request) { r.UncachedTokens = 6000 })
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
	if len(refused) != 1 || refused[0] != "long-prompt after 350 ms" && refused[0] != "long-prompt after 310 ms" {
		t.Errorf("refused %v, want the long prompt after 300 ms", refused)
	}
	if len(started) != 1 || started[0] != "short-prompt" {
		t.Errorf("granted %v, want the short prompt", started)
	}
}

// TestPromptWithoutAlternativeIsGranted submits the long prompt of
// TestStallingPromptIsRefusedEarly with NoAlternative set: it is granted although it
// stalls the chats.
func TestPromptWithoutAlternativeIsGranted(t *testing.T) {
	s := batch.New(batch.Config{Slots: 64, MemoryTokens: 475000})
	for i := range 3 {
		s.Adopt(1, batch.Request{ID: fmt.Sprint("chat", i), Entry: "e", LatencySensitive: true, ITLTargetMs: 250, UncachedTokens: 300, Tokens: 600}, true)
	}
	submit(s, 1000, "long-prompt", func(r *batch.Request) { r.UncachedTokens, r.NoAlternative = 14000, true })
	started := granted(s)
	for now := clock.Millis(1000); now < 2500; now += 10 {
		s.Tick(now)
		started = append(started, granted(s)...)
	}
	if len(started) != 1 {
		t.Errorf("granted %v, want the long prompt", started)
	}
}
