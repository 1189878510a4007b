package solo_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/damaskport/damaskport/internal/operator/admin"
	"github.com/damaskport/damaskport/internal/policy/budget"
	"github.com/damaskport/damaskport/internal/role/solo"
	"github.com/damaskport/damaskport/internal/standin/fault"
	"github.com/damaskport/damaskport/internal/state/directory"
)

// open starts a streamed chat and returns a reader of it once the first token
// has arrived.
func open(t *testing.T, s *solo.Solo, class, body string) (*bufio.Reader, io.Closer) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.URL()+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+s.Key("demo"))
	req.Header.Set("X-Damaskport-Class", class)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	if res.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(res.Body)
		t.Fatalf("status %d: %s", res.StatusCode, data)
	}
	r := bufio.NewReader(res.Body)
	if _, err := r.Peek(1); err != nil {
		t.Fatal(err)
	}
	return r, res.Body
}

func TestStreamEndsWhenItsKeyIsWithdrawn(t *testing.T) {
	cfg := solo.Defaults()
	s := start(t, cfg)
	r, body := open(t, s, "interactive", chat("long", 100_000, true))
	defer body.Close()
	id, _, _ := directory.SplitKey(s.Key("demo"))
	began := time.Now()
	result, err := admin.NewClient(s.AdminURL(), http.DefaultClient).Change(t.Context(), directory.Change{
		ID: "withdraw", Author: "test", Ops: []directory.Op{{WithdrawKey: id}},
	})
	if err != nil || !result.Accepted {
		t.Fatalf("%+v %v", result, err)
	}
	data, err := io.ReadAll(r)
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("the stream went on for %s", took)
	}
	if err == nil {
		t.Error("the stream ended as if it were whole")
	}
	if _, done := streamed(t, data); done || !strings.Contains(string(data), `"code":"invalidKey"`) {
		t.Errorf("end mark %t, last bytes: %.200s", done, data[max(0, len(data)-200):])
	}
	if status, _, _ := post(t, s.URL()+"/v1/chat/completions", s.Key("demo"), chat("new", 1, true)); status != http.StatusUnauthorized {
		t.Errorf("a new request got status %d", status)
	}
}

func TestPreemptedStreamIsResumedExactly(t *testing.T) {
	cfg := solo.Defaults()
	cfg.Engines, cfg.Slots, cfg.TokenMs = 1, 1, 4
	s := start(t, cfg)
	r, body := open(t, s, "batch", chat("low", 150, true))
	defer body.Close()
	status, _, data := post(t, s.URL()+"/v1/chat/completions", s.Key("demo"), chat("high", 20, true), "X-Damaskport-Class", "urgent")
	content, done := streamed(t, data)
	if diff := cmp.Diff(want("high", 20), content); status != 200 || !done || diff != "" {
		t.Fatalf("urgent: status %d, end mark %t, %s", status, done, diff)
	}
	data, err := io.ReadAll(r)
	if err != nil {
		t.Fatal(err)
	}
	content, done = streamed(t, data)
	if diff := cmp.Diff(want("low", 150), content); !done || diff != "" {
		t.Fatalf("batch: end mark %t, %s", done, diff)
	}
	if jobs := s.Engines()[0].State().Jobs; len(jobs) != 3 {
		t.Fatalf("the engine ran %d jobs, want 3: the batch request was not preempted and resumed once", len(jobs))
	}
}

func TestStreamGoesOnElsewhereWhenAnEngineBreaksOff(t *testing.T) {
	cfg := solo.Defaults()
	cfg.TokenMs = 1
	s := start(t, cfg)
	for _, e := range s.Engines() {
		e.Faults().Add(fault.Fault{Path: "/v1/chat/completions", Kind: fault.KindCutMidway, AfterTokens: 7, Count: 1})
	}
	status, _, data := post(t, s.URL()+"/v1/chat/completions", s.Key("demo"), chat("cut", 40, true))
	content, done := streamed(t, data)
	if diff := cmp.Diff(want("cut", 40), content); status != 200 || !done || diff != "" {
		t.Fatalf("status %d, end mark %t, %s", status, done, diff)
	}
}

// TestEventsWithoutEndLeaveMemory guards against a deployment whose memory is used up by engines that never end an
// event. What the test itself holds is small.
func TestEventsWithoutEndLeaveMemory(t *testing.T) {
	const callers, maxHeap = 16, 128 << 20
	cfg := solo.Defaults()
	cfg.Held = budget.NewHeld(32 << 20)
	s := start(t, cfg)
	for _, e := range s.Engines() {
		e.Faults().Add(fault.Fault{Path: "/v1/chat/completions", Kind: fault.KindEndless})
	}
	peak := make(chan uint64)
	done := make(chan struct{})
	go func() {
		var most uint64
		for open := true; open; {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			most = max(most, m.HeapInuse)
			select {
			case <-done:
				open = false
			case <-time.After(5 * time.Millisecond):
			}
		}
		peak <- most
	}()
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			body := strings.NewReader(chat("endless", 4, i%2 == 0))
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, s.URL()+"/v1/chat/completions", body)
			if err != nil {
				t.Error(err)
				return
			}
			r.Header.Set("Authorization", "Bearer "+s.Key("demo"))
			if res, err := http.DefaultClient.Do(r); err == nil {
				_, _ = io.Copy(io.Discard, res.Body)
				_ = res.Body.Close()
			}
		})
	}
	wg.Wait()
	close(done)
	most := <-peak
	t.Logf("at most %d MB in use", most>>20)
	if most > maxHeap {
		t.Errorf("%d MB in use, want at most %d", most>>20, maxHeap>>20)
	}
	for _, e := range s.Engines() {
		e.Faults().Clear()
	}
	if status, _, data := post(t, s.URL()+"/v1/chat/completions", s.Key("demo"), chat("after", 4, true)); status != http.StatusOK {
		t.Errorf("status %d after it: %s", status, data)
	}
	if n := cfg.Held.Events().Bytes(); n != 0 {
		t.Errorf("%d bytes are still held of events", n)
	}
}

func TestUsageReportsSumToWhatTheEnginesGenerated(t *testing.T) {
	cfg := solo.Defaults()
	cfg.TokenMs, cfg.UsageWindowMs, cfg.Entries = 0, 400, 2
	s := start(t, cfg)
	const requests, tokens = 30, 11
	for i := range requests {
		url := s.URLs()[i%2]
		if status, _, data := post(t, url+"/v1/chat/completions", s.Key("demo"), chat("u", tokens, i%3 == 0)); status != http.StatusOK {
			t.Fatalf("status %d: %s", status, data)
		}
	}
	reported := func() (n int64) {
		for _, r := range s.Platform().State().Usage {
			n += int64(r.OutputTokens) + int64(r.CorrectionTokens)
		}
		return n
	}
	deadline := time.Now().Add(20 * time.Second)
	for reported() < requests*tokens && time.Now().Before(deadline) {
		time.Sleep(20 * time.Millisecond)
	}
	if diff := cmp.Diff(int64(requests*tokens), reported()); diff != "" {
		t.Fatal(diff)
	}
	seen := map[string]bool{}
	for _, r := range s.Platform().State().Usage {
		key := fmt.Sprint(r.Account, r.WindowStartMs)
		if seen[key] {
			t.Errorf("window %d of %s was reported twice", r.WindowStartMs, r.Account)
		}
		seen[key] = true
	}
}

// TestStreamsOutliveTheCrashOfTheirServers breaks off more streams at once than
// the retry budget allows retries.
func TestStreamsOutliveTheCrashOfTheirServers(t *testing.T) {
	cfg := solo.Defaults()
	cfg.Slots, cfg.TokenMs = 16, 2
	s := start(t, cfg)
	for _, e := range s.Engines() {
		e.Faults().Add(fault.Fault{Path: "/v1/chat/completions", Kind: fault.KindCutMidway, AfterTokens: 5, Count: 16})
	}
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Go(func() {
			nonce := fmt.Sprintf("c%d", i)
			status, _, data := post(t, s.URL()+"/v1/chat/completions", s.Key("demo"), chat(nonce, 30, true))
			content, done := streamed(t, data)
			if diff := cmp.Diff(want(nonce, 30), content); status != 200 || !done || diff != "" {
				t.Errorf("status %d, end mark %t, %s", status, done, diff)
			}
		})
	}
	wg.Wait()
}

func TestOverloadIsRefusedAtOnce(t *testing.T) {
	cfg := solo.Defaults()
	cfg.Engines, cfg.Slots, cfg.TokenMs = 1, 1, 10
	s := start(t, cfg)
	var wg sync.WaitGroup
	var mu sync.Mutex
	shed, served := 0, 0
	for range 40 {
		wg.Go(func() {
			began := time.Now()
			status, h, data := post(t, s.URL()+"/v1/chat/completions", s.Key("demo"), chat("o", 50, true), "X-Damaskport-Class", "urgent")
			mu.Lock()
			defer mu.Unlock()
			switch status {
			case http.StatusOK:
				served++
			case http.StatusTooManyRequests:
				shed++
				if took := time.Since(began); took > time.Second || h.Get("Retry-After") == "" || !strings.Contains(string(data), `"notRun":true`) {
					t.Errorf("after %s, Retry-After %q: %s", took, h.Get("Retry-After"), data)
				}
			default:
				t.Errorf("status %d: %s", status, data)
			}
		})
	}
	wg.Wait()
	if shed == 0 || served == 0 {
		t.Fatalf("%d shed, %d served", shed, served)
	}
}
