package engine_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/damaskport/damaskport/internal/standin/engine"
	"github.com/damaskport/damaskport/internal/standin/fault"
)

func start(tb testing.TB, cfg engine.Config) (*engine.Engine, string) {
	tb.Helper()
	e := engine.New(cfg)
	srv := httptest.NewServer(e.Handler())
	tb.Cleanup(srv.Close)
	return e, srv.URL
}

// chat returns the text, the finish reason and whether the stream ended with [DONE].
func chat(ctx context.Context, url, fields, prompt string) (text, finish string, done bool, err error) {
	body := fmt.Sprintf(`{"model":"m","stream":true,"messages":[{"role":"user","content":%q}]%s}`, prompt, fields)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return "", "", false, err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", "", false, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	for event := range strings.SplitSeq(string(data), "\n\n") {
		payload := strings.TrimPrefix(event, "data: ")
		if payload == "[DONE]" {
			done = true
		}
		var chunk struct {
			Choices []struct {
				Delta        struct{ Content string }
				FinishReason string `json:"finish_reason"`
			}
		}
		if json.Unmarshal([]byte(payload), &chunk) == nil && len(chunk.Choices) == 1 {
			text += chunk.Choices[0].Delta.Content
			finish = chunk.Choices[0].FinishReason
		}
	}
	return text, finish, done, err
}

func TestResumeContinuesExactly(t *testing.T) {
	_, url := start(t, engine.Config{})
	for _, tt := range []struct{ fields, text, finish string }{
		{"", " N-0 N-1 N-2 N-3", "stop"},
		{`,"resume_tokens":2`, " N-2 N-3", "stop"},
		{`,"resume_tokens":4`, "", "stop"},
		{`,"max_tokens":3`, " N-0 N-1 N-2", "length"},
		{`,"max_completion_tokens":3,"resume_tokens":2`, " N-2", "length"},
	} {
		text, finish, done, err := chat(t.Context(), url, tt.fields, "nonce:N tokens:4")
		if text != tt.text || finish != tt.finish || !done || err != nil {
			t.Errorf("%s: %q %s done=%v %v, want %q %s", tt.fields, text, finish, done, err, tt.text, tt.finish)
		}
	}
	first, _, _, _ := chat(t.Context(), url, "", "nonce:N with a length that is drawn")
	second, _, _, _ := chat(t.Context(), url, "", "nonce:N with a length that is drawn")
	if first == "" || first != second {
		t.Error("the drawn length does not follow from the prompt")
	}
}

func TestCutMidwayHasNoEnd(t *testing.T) {
	e, url := start(t, engine.Config{})
	e.Faults().Add(fault.Fault{Path: "/v1/chat", Kind: fault.KindCutMidway, AfterTokens: 2, Count: 1})
	text, _, done, err := chat(t.Context(), url, "", "nonce:N tokens:4")
	if text != " N-0 N-1" || done || err == nil {
		t.Errorf("cut stream: %q done=%v err=%v", text, done, err)
	}
}

func TestCancelFreesTheSlotForTheBestPriority(t *testing.T) {
	e, url := start(t, engine.Config{Slots: 1, TokenMs: 1})
	var wg sync.WaitGroup
	run := func(id, nonce string, priority, tokens int) {
		wg.Go(func() {
			fields := fmt.Sprintf(`,"request_id":%q,"priority":%d`, id, priority)
			_, _, _, _ = chat(t.Context(), url, fields, fmt.Sprintf("nonce:%s tokens:%d", nonce, tokens))
		})
	}
	until := func(what string, cond func(engine.Load) bool) {
		for !cond(e.State().Load) {
			if t.Context().Err() != nil {
				t.Fatal(what)
			}
		}
	}
	run("long", "a", 5, 100000)
	until("nothing runs", func(l engine.Load) bool { return l.Running == 1 })
	run("low", "b", 5, 1)
	until("nothing waits", func(l engine.Load) bool { return l.Waiting == 1 })
	run("high", "c", 1, 1)
	until("one waits", func(l engine.Load) bool { return l.Waiting == 2 })
	res, err := http.Post(url+"/v1/cancel", "application/json", strings.NewReader(`{"request_id":"long"}`))
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	var out struct{ Generated int }
	if err := json.NewDecoder(res.Body).Decode(&out); err != nil {
		t.Fatal(err)
	}
	wg.Wait()
	var got []string
	for _, j := range e.State().Jobs {
		got = append(got, j.RequestID+" "+j.End)
	}
	if diff := cmp.Diff([]string{"long abort", "high stop", "low stop"}, got); diff != "" {
		t.Errorf("jobs (-want +got):\n%s", diff)
	}
	if n := e.State().Jobs[0].Generated; n != out.Generated {
		t.Errorf("cancel said %d tokens, the job made %d", out.Generated, n)
	}
}

func TestFencingAndSeen(t *testing.T) {
	_, url := start(t, engine.Config{CheckFencing: true})
	var got []int
	for _, number := range []string{"5", "4", ""} {
		body := `{"messages":[{"role":"user","content":"tokens:1"}]}`
		req, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/v1/chat/completions?q=secret", strings.NewReader(body))
		req.Header.Set("X-Fencing-Number", number)
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		got = append(got, res.StatusCode)
	}
	if diff := cmp.Diff([]int{200, 409, 409}, got); diff != "" {
		t.Errorf("statuses (-want +got):\n%s", diff)
	}
	res, err := http.Get(url + "/admin/seen")
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	data, _ := io.ReadAll(res.Body)
	if n := strings.Count(string(data), "q=secret"); n != 3 {
		t.Errorf("%d requests seen, want 3", n)
	}
}

func BenchmarkWholeAnswer(b *testing.B) {
	_, url := start(b, engine.Config{Slots: 64})
	body := `{"model":"m","messages":[{"role":"user","content":"nonce:N tokens:16"}]}`
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			res, err := http.Post(url+"/v1/chat/completions", "application/json", strings.NewReader(body))
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, res.Body)
			res.Body.Close()
		}
	})
}
