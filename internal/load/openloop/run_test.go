package openloop_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"github.com/damaskport/damaskport/internal/load/arrivals"
	"github.com/damaskport/damaskport/internal/load/openloop"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

var userMessage = regexp.MustCompile(`nonce:(\S+) tokens:(\d+)`)

// fake answers with what reply writes.
func fake(t *testing.T, reply func(w http.ResponseWriter, nonce string, n int)) string {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			Messages []struct{ Content string } `json:"messages"`
		}
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			t.Error(err)
			return
		}
		if r.Header.Get("Authorization") != "Bearer secret" || r.Header.Get(openloop.HeaderClass) != "c" {
			t.Errorf("key %q and class %q arrived", r.Header.Get("Authorization"), r.Header.Get(openloop.HeaderClass))
		}
		m := userMessage.FindStringSubmatch(body.Messages[1].Content)
		n, _ := strconv.Atoi(m[2])
		reply(w, m[1], n)
	}))
	t.Cleanup(srv.Close)
	return srv.URL
}

func token(w http.ResponseWriter, text string) {
	_, _ = fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q},\"finish_reason\":null}]}\n\n", text)
}

func tokens(w http.ResponseWriter, nonce string, from, to int) {
	for i := from; i < to; i++ {
		token(w, fmt.Sprintf(" %s-%d", nonce, i))
	}
}

func finish(w http.ResponseWriter) {
	_, _ = fmt.Fprint(w, "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n")
}

func one(retries bool) arrivals.Schedule {
	return arrivals.Schedule{
		Scenario: arrivals.Scenario{Accounts: []arrivals.Account{{Name: "a", Share: 1}}},
		Duration: 5 * clock.Second,
		Requests: []arrivals.Request{{Account: "a", Class: "c", Tokens: 4, Nonce: "N", Retries: retries}},
	}
}

func TestRunJudgesAnswers(t *testing.T) {
	defer goleak.VerifyNone(t)
	tests := []struct {
		name  string
		reply func(w http.ResponseWriter, nonce string, n int)
		want  openloop.Outcome
	}{
		{"whole", func(w http.ResponseWriter, nonce string, n int) { tokens(w, nonce, 0, n); finish(w) }, openloop.Complete},
		{"no end mark", func(w http.ResponseWriter, nonce string, n int) { tokens(w, nonce, 0, n) }, openloop.Truncated},
		{"clean end too early", func(w http.ResponseWriter, nonce string, n int) { tokens(w, nonce, 0, n-1); finish(w) }, openloop.Truncated},
		{"token twice", func(w http.ResponseWriter, nonce string, n int) {
			tokens(w, nonce, 0, 2)
			tokens(w, nonce, 1, n)
			finish(w)
		}, openloop.Duplicated},
		{"token left out", func(w http.ResponseWriter, nonce string, n int) {
			tokens(w, nonce, 0, 1)
			tokens(w, nonce, 2, n)
			finish(w)
		}, openloop.Wrong},
		{"too long", func(w http.ResponseWriter, nonce string, n int) { tokens(w, nonce, 0, n+1); finish(w) }, openloop.Wrong},
		{"other caller's", func(w http.ResponseWriter, _ string, n int) { tokens(w, "M", 0, n); finish(w) }, openloop.Wrong},
		{"cut connection", func(w http.ResponseWriter, nonce string, n int) {
			tokens(w, nonce, 0, n-1)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, openloop.Failed},
		{"error event", func(w http.ResponseWriter, nonce string, _ int) {
			tokens(w, nonce, 0, 1)
			_, _ = fmt.Fprint(w, "data: {\"error\":{\"message\":\"interrupted\",\"code\":\"interrupted\"}}\n\n")
		}, openloop.Failed},
		{"plain failure", func(w http.ResponseWriter, _ string, _ int) { http.Error(w, "no", http.StatusBadGateway) }, openloop.Failed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			url := fake(t, tt.reply)
			got, err := openloop.Run(t.Context(), one(false), openloop.Options{URL: url, Keys: map[string]string{"a": "secret"}})
			if err != nil {
				t.Fatal(err)
			}
			if len(got) != 1 || got[0].Outcome != tt.want {
				t.Errorf("got %+v, want the outcome %s", got, tt.want)
			}
		})
	}
}

func TestRunRepeatsAfterRetryAfter(t *testing.T) {
	calls := 0
	url := fake(t, func(w http.ResponseWriter, nonce string, n int) {
		calls++
		if calls == 1 {
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusTooManyRequests)
			_, _ = fmt.Fprint(w, `{"error":{"message":"full","code":"overloaded","notRun":true}}`)
			return
		}
		tokens(w, nonce, 0, n)
		finish(w)
	})
	got, err := openloop.Run(t.Context(), one(true), openloop.Options{URL: url, Keys: map[string]string{"a": "secret"}})
	if err != nil {
		t.Fatal(err)
	}
	s := got[0]
	if s.Retry == nil {
		t.Fatalf("the request was not repeated: %+v", s)
	}
	type view struct {
		Outcome, Second openloop.Outcome
		Code            string
		RetryAfter      clock.Millis
	}
	want := view{openloop.Refused, openloop.Complete, "overloaded", clock.Second}
	if diff := cmp.Diff(want, view{s.Outcome, s.Retry.Outcome, s.Code, s.RetryAfterMs}); diff != "" {
		t.Error(diff)
	}
	if waited := s.Retry.ArrivalMs - s.ArrivalMs; waited < clock.Second {
		t.Errorf("repeated after %d ms, want at least 1000", waited)
	}
}
