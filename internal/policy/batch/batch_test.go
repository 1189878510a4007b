package batch_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/damaskport/damaskport/internal/policy/batch"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// engine is a coarse simulation of a model engine: it prefills prompts one after the
// other in chunks, and meanwhile each running stream gets one token per chunk.
type engine struct {
	prefillQueue []*stream
	streams      []*stream
}

// stream is a request and its answer.
type stream struct {
	id              string
	tokensToPrefill float64
	tokensLeft      float64 // left to generate
	deadline        clock.Millis
	begun           bool
}

const (
	prefillTokensPerMs = 48.0
	chunkTokens        = 2048.0 // prompt tokens prefilled per decode step
	decodeStepMs       = 10.0   // duration of a decode step without prefill
)

// advance runs the engine for 1 ms and returns the streams that began and those
// that ended.
func (e *engine) advance() (begun, ended []*stream) {
	rate := 1 / decodeStepMs
	if len(e.prefillQueue) > 0 {
		rate = 1 / (decodeStepMs + chunkTokens/prefillTokensPerMs)
		r := e.prefillQueue[0]
		r.tokensToPrefill -= prefillTokensPerMs
		if r.tokensToPrefill <= 0 {
			r.begun = true
			begun = append(begun, r)
			e.streams = append(e.streams, r)
			e.prefillQueue = e.prefillQueue[1:]
		}
	}
	kept := e.streams[:0]
	for _, s := range e.streams {
		if s.tokensLeft -= rate; s.tokensLeft <= 0 {
			ended = append(ended, s)
			continue
		}
		kept = append(kept, s)
	}
	e.streams = kept
	return begun, ended
}

// simulateBurst simulates an overload of prompts of 12,000 tokens each, more than the
// engine can serve, and returns how many answers met their deadline and how many
// requests were refused. If scheduled is false, each request is sent to the engine
// when it arrives, without the scheduler.
func simulateBurst(scheduled bool) (served, refused int) {
	const seconds, perSecond, answer, timeLimit = 20, 4, 380, 15 * clock.Second
	s := batch.New(batch.Config{Slots: 64, MemoryTokens: 475000})
	e := &engine{}
	all := map[string]*stream{}
	n := 0
	for now := clock.Millis(1); now < (seconds+15)*clock.Second; now++ {
		if now < seconds*clock.Second && now%(clock.Second/perSecond) == 0 {
			n++
			st := &stream{id: fmt.Sprint(n), tokensToPrefill: 12000, tokensLeft: answer, deadline: now + timeLimit}
			all[st.id] = st
			if scheduled {
				s.Submit(now, batch.Request{
					ID: st.id, Entry: "e", Priority: 1, UncachedTokens: 12000, Tokens: 12400,
					TargetMs: now + 2500, DeadlineMs: st.deadline, AnswerMs: 7 * clock.Second,
				})
			} else {
				e.prefillQueue = append(e.prefillQueue, st)
			}
		}
		if at, ok := s.NextTick(now); ok && at-now <= 10 && now%10 == 0 {
			s.Tick(now)
		}
		for _, a := range s.Actions() {
			if a.Granted {
				e.prefillQueue = append(e.prefillQueue, all[a.ID])
			} else {
				refused++
			}
		}
		begun, ended := e.advance()
		for _, st := range begun {
			s.FirstEvent(now, st.id)
		}
		for _, st := range ended {
			s.Done(now, st.id)
			if now <= st.deadline {
				served++
			}
		}
	}
	return served, refused
}

// TestBurstOfLongPrompts checks that scheduling raises the number of streams that meet
// their deadline by at least a quarter. Without it each prompt is sent to the engine
// when it arrives, the engine prefills without a break, and the streams that have
// begun are too slow.
func TestBurstOfLongPrompts(t *testing.T) {
	unscheduled, _ := simulateBurst(false)
	scheduled, refused := simulateBurst(true)
	t.Logf("deadline met: %d unscheduled, %d scheduled (%d refused)", unscheduled, scheduled, refused)
	if scheduled < unscheduled*5/4 {
		t.Errorf("%d streams met their deadline with the scheduler, %d without: want a quarter more", scheduled, unscheduled)
	}
}

// submit submits a request with defaults that mod may change.
func submit(s *batch.Scheduler, now clock.Millis, id string, mod func(*batch.Request)) {
	r := batch.Request{ID: id, Entry: "e", Account: "a", Priority: 2, UncachedTokens: 9000, Tokens: 9000, TargetMs: now + 2000, DeadlineMs: now + 15000}
	if mod != nil {
		mod(&r)
	}
	s.Submit(now, r)
}

// granted returns the IDs of the requests granted since the last call. It drops the
// refusals.
func granted(s *batch.Scheduler) []string {
	var ids []string
	for _, a := range s.Actions() {
		if a.Granted {
			ids = append(ids, a.ID)
		}
	}
	return ids
}

func TestGrantOrder(t *testing.T) {
	s := batch.New(batch.Config{Slots: 64, MemoryTokens: 475000})
	submit(s, 0, "running", nil)
	submit(s, 0, "late", func(r *batch.Request) { r.TargetMs = 10 })
	submit(s, 0, "second", func(r *batch.Request) { r.TargetMs = 1800 })
	submit(s, 0, "urgent", func(r *batch.Request) { r.Priority, r.TargetMs = 1, 5000 })
	submit(s, 0, "sensitive", func(r *batch.Request) { r.LatencySensitive, r.Priority, r.UncachedTokens = true, 0, 600 })
	got := granted(s)
	for now := clock.Millis(10); len(got) < 5 && now < 10000; now += 10 {
		for _, id := range got {
			s.FirstEvent(now, id)
		}
		s.Tick(now)
		got = append(got, granted(s)...)
	}
	if diff := cmp.Diff([]string{"running", "sensitive", "urgent", "second", "late"}, got); diff != "" {
		t.Errorf("order of starts (-want +got):\n%s", diff)
	}
}

// TestInfeasibleRequestIsRefusedAtOnce submits a request that cannot meet its deadline: it
// must be refused at once, not at the deadline.
func TestInfeasibleRequestIsRefusedAtOnce(t *testing.T) {
	s := batch.New(batch.Config{Slots: 64, MemoryTokens: 475000})
	for i := range 12 {
		submit(s, 0, fmt.Sprint(i), func(r *batch.Request) { r.UncachedTokens = 30000 })
	}
	s.Actions()
	submit(s, 0, "hopeless", func(r *batch.Request) { r.UncachedTokens, r.DeadlineMs = 30000, 3000 })
	got := s.Actions()
	if len(got) != 1 || got[0].ID != "hopeless" || got[0].Granted {
		t.Fatalf("actions %+v, want a refusal", got)
	}
	// The prefill of the queued prompts takes about nine seconds; the retry-after time
	// is half of that.
	if after := got[0].RetryAfterMs; after < 4000 || after > 5000 {
		t.Errorf("retry after %d ms, want 4 to 5 s", after)
	}
}

// TestPrefillDutyCycleBesideLatencySensitiveStreams queues prompts of 5,000 tokens
// (three chunks each) while a latency-sensitive request (a chat) runs, whose stream
// tolerates about three chunks between two events: the prompts must not be
// prefilled back to back.
func TestPrefillDutyCycleBesideLatencySensitiveStreams(t *testing.T) {
	s := batch.New(batch.Config{Slots: 64, MemoryTokens: 475000})
	submit(s, 0, "chat", func(r *batch.Request) { r.LatencySensitive, r.Priority, r.UncachedTokens = true, 0, 600 })
	s.FirstEvent(15, "chat")
	granted(s)
	for i := range 20 {
		submit(s, 20, fmt.Sprint(i), func(r *batch.Request) { r.UncachedTokens, r.Tokens, r.TargetMs = 5000, 5000, 9000 })
	}
	prefilled := 0
	const until = 3000
	firstEvents := map[clock.Millis][]string{}
	for now := clock.Millis(20); now < until; now += 10 {
		for _, id := range granted(s) {
			prefilled += 5000
			firstEvents[now+110] = append(firstEvents[now+110], id)
		}
		for _, id := range firstEvents[now] {
			s.FirstEvent(now, id)
		}
		s.Tick(now)
	}
	if fraction := float64(prefilled) / 45 / until; fraction > 0.5 {
		t.Errorf("the engine prefilled for %.2f of the time beside a chat", fraction)
	}
	if prefilled == 0 {
		t.Error("no prompt was granted beside a chat")
	}
}

// TestSmallRequestAtFullEngineIsRefusedEarly fills the engine's slots with long
// streams: a small request must be refused early enough to try another engine.
func TestSmallRequestAtFullEngineIsRefusedEarly(t *testing.T) {
	s := batch.New(batch.Config{Slots: 4, MemoryTokens: 475000})
	for i := range 4 {
		submit(s, 0, fmt.Sprint(i), func(r *batch.Request) { r.UncachedTokens, r.Priority = 500, 0 })
	}
	if n := len(granted(s)); n != 4 {
		t.Fatalf("%d of 4 small requests started", n)
	}
	submit(s, 0, "fifth", func(r *batch.Request) { r.UncachedTokens, r.DeadlineMs = 500, 3000 })
	for now := clock.Millis(10); now < 3000; now += 10 {
		s.Tick(now)
		for _, a := range s.Actions() {
			if a.ID != "fifth" || a.Granted || now > 900 {
				t.Errorf("at %d: %+v, want a refusal of the fifth within 900 ms", now, a)
			}
			return
		}
	}
	t.Error("the fifth request was neither granted nor refused")
}

// TestUnreachableEngineRefusesQueuedRequests reports the engine as unreachable while
// requests are queued: they are refused, and nothing is granted while the engine
// counts as unreachable.
func TestUnreachableEngineRefusesQueuedRequests(t *testing.T) {
	s := batch.New(batch.Config{Slots: 64, MemoryTokens: 475000})
	for i := range 4 {
		submit(s, 0, fmt.Sprint(i), nil)
	}
	first := granted(s)
	for _, id := range first {
		s.Done(5, id)
	}
	started := len(granted(s))
	s.ReportUnreachable(5, "a")
	refused := 0
	for _, a := range s.Actions() {
		if !a.Granted {
			refused++
		}
	}
	if refused != 4-len(first)-started || s.Load(6).Waiting != 0 || s.Load(6).FreeMs < 3000 {
		t.Errorf("%d queued requests were refused, load %+v", refused, s.Load(6))
	}
	for i := range 4 {
		s.Done(10, fmt.Sprint(i))
	}
	submit(s, 10, "later", nil)
	s.Tick(100)
	if ids := granted(s); len(ids) > 0 {
		t.Errorf("%v granted at an unreachable engine", ids)
	}
	s.Tick(1000)
	if diff := cmp.Diff([]string{"later"}, granted(s)); diff != "" {
		t.Errorf("grants after the engine no longer counts as unreachable (-want +got):\n%s", diff)
	}
}

// TestContradictedUnreachableReportAffectsItsEntryOnly has entry a report the engine
// as unreachable while entry b still receives events from it: the second such report
// of a leads to the refusal of a's requests only.
func TestContradictedUnreachableReportAffectsItsEntryOnly(t *testing.T) {
	s := batch.New(batch.Config{Slots: 64, MemoryTokens: 475000})
	of := func(entry string) func(r *batch.Request) {
		return func(r *batch.Request) { r.Entry, r.UncachedTokens, r.Tokens = entry, 9000, 9000 }
	}
	submit(s, 0, "b0", of("b"))
	granted(s)
	s.ReportUnreachable(100, "a")
	submit(s, 110, "b1", of("b"))
	s.Tick(120)
	if ids := granted(s); len(ids) > 0 {
		t.Errorf("%v granted before the engine answered any entry", ids)
	}
	s.FirstEvent(300, "b0")
	s.Done(310, "b0")
	s.Tick(320)
	if diff := cmp.Diff([]string{"b1"}, granted(s)); diff != "" {
		t.Errorf("grants once the engine answered another entry (-want +got):\n%s", diff)
	}
	submit(s, 330, "b2", of("b"))
	submit(s, 330, "a2", of("a"))
	s.ReportUnreachable(340, "a")
	var refused []string
	for _, a := range s.Actions() {
		if !a.Granted {
			refused = append(refused, a.ID)
		}
	}
	if diff := cmp.Diff([]string{"a2"}, refused); diff != "" {
		t.Errorf("refused after the second report (-want +got):\n%s", diff)
	}
	if l := s.Load(350); l.FreeMs >= 3000 {
		t.Errorf("the engine counts as unreachable: %+v", l)
	}
}

// TestAccountOverItsShareGoesLast has the account "heavy" submit far more tokens than
// the account "light": a later request of "light" is granted before the queued ones
// of "heavy".
func TestAccountOverItsShareGoesLast(t *testing.T) {
	s := batch.New(batch.Config{Slots: 64, MemoryTokens: 475000})
	submit(s, 0, "light-1", func(r *batch.Request) { r.Account, r.UncachedTokens, r.Tokens = "light", 1000, 1000 })
	for i := range 9 {
		submit(s, 0, fmt.Sprintf("heavy-%d", i), func(r *batch.Request) { r.Account = "heavy" })
	}
	started := granted(s)
	for now := clock.Millis(10); now < 3000; now += 10 {
		if len(started) == 4 {
			submit(s, now, "light-2", func(r *batch.Request) { r.Account = "light" })
		}
		for _, id := range started {
			s.FirstEvent(now, id)
		}
		s.Tick(now)
		next := granted(s)
		if len(started) >= 4 && len(next) > 0 {
			if next[0] != "light-2" {
				t.Errorf("next grant %v, want light-2", next)
			}
			return
		}
		started = append(started, next...)
	}
	t.Error("want a grant of light-2 after the fourth grant, within 3 s")
}

// TestInvariants runs random operations: each request gets at most one decision, the
// number of running requests never exceeds the slots, and no requests are left after
// DropEntry of all entries.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 6
		s := batch.New(batch.Config{Slots: slots, MemoryTokens: 60000})
		verdicts := map[string]int{}
		running := map[string]string{}
		var now clock.Millis
		for i := range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(0, 300).Draw(t, "dt"))
			entry := rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "entry")
			switch rapid.IntRange(0, 5).Draw(t, "op") {
			case 0, 1:
				s.Submit(now, batch.Request{
					ID: fmt.Sprint(i), Entry: entry, Account: entry, Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
					LatencySensitive: rapid.Bool().Draw(t, "tight"), UncachedTokens: rapid.IntRange(0, 20000).Draw(t, "unread"),
					Tokens: rapid.IntRange(1, 30000).Draw(t, "tokens"), TargetMs: now + 1000, DeadlineMs: now + 5000,
				})
			case 2:
				s.Tick(now)
			case 3, 4:
				for id := range running {
					s.FirstEvent(now, id)
					s.Done(now, id)
					delete(running, id)
					break
				}
			case 5:
				s.DropEntry(now, entry)
				for id, e := range running {
					if e == entry {
						delete(running, id)
					}
				}
			}
			for _, a := range s.Actions() {
				verdicts[a.ID]++
				if verdicts[a.ID] > 1 {
					t.Fatalf("request %s got %d decisions", a.ID, verdicts[a.ID])
				}
				if a.Granted {
					running[a.ID] = a.Entry
				}
			}
			if l := s.Load(now); l.Running != len(running) || l.Running > slots || l.FreeMs < 0 || l.PrefillMs < 0 {
				t.Fatalf("load %+v with %d running", l, len(running))
			}
		}
		s.DropEntry(now, "e1")
		s.DropEntry(now, "e2")
		s.Actions()
		if !s.Idle() {
			t.Fatal("not idle after DropEntry of all entries")
		}
		if l := s.Load(now); l.Running != 0 || l.PrefillMs != 0 || l.Waiting != 0 || l.LatencySensitive != 0 {
			t.Fatalf("load %+v after DropEntry of all entries, want zero", l)
		}
	})
}

// TestResumedRequestHasTimeForItsNextEvent submits requests that have less time left than a whole
// answer takes. It guards against the refusal of those that resume an answer at an idle engine,
// while new ones, and those whose next event would come too late, are refused.
func TestResumedRequestHasTimeForItsNextEvent(t *testing.T) {
	for _, tc := range []struct {
		name        string
		resumed     bool
		deadline    clock.Millis
		wantGranted bool
	}{
		{"new", false, 1000, false},
		{"resumed", true, 1000, true},
		{"resumed, prefill takes longer", true, 150, false},
	} {
		s := batch.New(batch.Config{Slots: 64, MemoryTokens: 475000})
		submit(s, 0, tc.name, func(r *batch.Request) { r.Resumed, r.DeadlineMs, r.AnswerMs = tc.resumed, tc.deadline, 900 })
		if got := len(granted(s)) == 1; got != tc.wantGranted {
			t.Errorf("%s: granted %v, want %v", tc.name, got, tc.wantGranted)
		}
	}
}

// TestResumedRequestGoesBeforeNewOnes queues requests with one priority. It guards against resumed
// answers that wait for longer than their callers do, also if their account exceeds its share, and against
// accounts that pass others by resuming.
func TestResumedRequestGoesBeforeNewOnes(t *testing.T) {
	for name, tc := range map[string]struct {
		heavyTokens int
		want        []string
	}{
		"over the share":     {190000, []string{"running", "urgent", "resumed", "heavy", "over", "light", "new"}},
		"far over the share": {250000, []string{"running", "urgent", "resumed", "heavy", "light", "new", "over"}},
	} {
		s := batch.New(batch.Config{Slots: 64, MemoryTokens: 475000})
		submit(s, 0, "running", nil)
		submit(s, 0, "light", func(r *batch.Request) { r.Account, r.UncachedTokens, r.Tokens = "light", 8000, 0 })
		submit(s, 0, "new", nil)
		submit(s, 0, "resumed", func(r *batch.Request) { r.Resumed, r.TargetMs = true, 10 })
		submit(s, 0, "urgent", func(r *batch.Request) { r.Priority, r.TargetMs = 1, 5000 })
		submit(s, 0, "heavy", func(r *batch.Request) { r.Account, r.Tokens, r.Resumed = "heavy", tc.heavyTokens, true })
		submit(s, 0, "over", func(r *batch.Request) { r.Account, r.Resumed = "heavy", true })
		got := granted(s)
		for now := clock.Millis(10); len(got) < 7 && now < 10000; now += 10 {
			for _, id := range got {
				s.FirstEvent(now, id)
			}
			s.Tick(now)
			got = append(got, granted(s)...)
		}
		if diff := cmp.Diff(tc.want, got); diff != "" {
			t.Errorf("%s: order of starts (-want +got):\n%s", name, diff)
		}
	}
}

// TestEngineHasAllOfItsBackOff guards against a prompt that is granted before the engine's back-off is over: the
// clock may have read up to 1 ms less than the time at which it was asked for.
func TestEngineHasAllOfItsBackOff(t *testing.T) {
	for _, tt := range []struct{ pause, at, free clock.Millis }{{300, 300, 1}, {300, 301, 0}, {5000, 500, 1}, {5000, 501, 0}} {
		s := batch.New(batch.Config{Slots: 4, MemoryTokens: 1000})
		s.BackOff(1000, tt.pause)
		if free := s.Load(1000 + tt.at).FreeMs; free != tt.free {
			t.Errorf("%d ms after a back-off of %d ms: free in %d ms, want %d", tt.at, tt.pause, free, tt.free)
		}
	}
}
