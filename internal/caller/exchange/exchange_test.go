package exchange_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/damaskport/damaskport/internal/caller/exchange"
	"github.com/damaskport/damaskport/internal/caller/openai"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/stream/sse"
)

// statusOnlyCodec is a codec that reports failures by status only, and writes nothing into
// a response that has begun.
type statusOnlyCodec struct{}

// Refuse writes the status of f without a body.
func (statusOnlyCodec) Refuse(w http.ResponseWriter, f *exchange.Failure) { w.WriteHeader(f.Status) }

// Break does nothing.
func (statusOnlyCodec) Break(io.Writer, *exchange.Failure) {}

var codecs = map[string]exchange.Codec{"openai": openai.Codec{}, "statusOnly": statusOnlyCodec{}}

// attempt is the scripted result of one send: events, or a failure.
type attempt struct {
	events    []string
	truncated bool // the response breaks off after the events
	failure   *exchange.Failure
	retry     bool // the request is retried after a truncated response
}

// scriptedSteps implements exchange.Steps with the results in attempts, one for each send.
type scriptedSteps struct {
	caller   *exchange.Caller
	attempts []attempt
	sends    int
}

var errTruncated = errors.New("response truncated")

// Send returns the next attempt.
func (s *scriptedSteps) Send(context.Context) (attempt, *exchange.Failure) {
	a := s.attempts[s.sends]
	s.sends++
	return a, a.failure
}

// Pass writes the events to the caller.
func (s *scriptedSteps) Pass(_ context.Context, a attempt) error {
	for _, e := range a.events {
		s.caller.Head(http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}})
		if err := s.caller.Write(sse.Append(nil, []byte(e)), false); err != nil {
			return err
		}
	}
	if a.truncated {
		return errTruncated
	}
	return nil
}

// Again allows a retry if the attempt says so.
func (s *scriptedSteps) Again(_ context.Context, a attempt, _ error) *exchange.Failure {
	if a.retry {
		return nil
	}
	return &exchange.Failure{Status: http.StatusBadGateway, Code: "interrupted", Message: "response truncated"}
}

// Fail reports f to the caller.
func (s *scriptedSteps) Fail(f *exchange.Failure) { s.caller.Fail(f) }

func TestRunWithEachCodec(t *testing.T) {
	overloaded := &exchange.Failure{Status: http.StatusTooManyRequests, Code: "overloaded", NotRun: true, RetryAfterMs: 1500}
	tests := []struct {
		name     string
		attempts []attempt
		status   int
		events   []string // expected at the start of the body with each codec
		complete bool
		sends    int
	}{
		{"complete", []attempt{{events: []string{"a", "b"}}}, 200, []string{"a", "b"}, true, 1},
		{"rejected", []attempt{{failure: overloaded}}, 429, nil, true, 1},
		{"retried before the first event", []attempt{{truncated: true, retry: true}, {events: []string{"a"}}}, 200, []string{"a"}, true, 2},
		{"resumed", []attempt{{events: []string{"a"}, truncated: true, retry: true}, {events: []string{"b"}}}, 200, []string{"a", "b"}, true, 2},
		{"failed before the first event", []attempt{{truncated: true}}, 502, nil, true, 1},
		{"failed after an event", []attempt{{events: []string{"a"}, truncated: true}}, 200, []string{"a"}, false, 1},
		{"no server to resume on", []attempt{{events: []string{"a"}, truncated: true, retry: true}, {failure: overloaded}}, 200, []string{"a"}, false, 2},
	}
	for name, codec := range codecs {
		for _, tc := range tests {
			t.Run(name+"/"+tc.name, func(t *testing.T) {
				var s *scriptedSteps
				srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					c := clock.System{}
					s = &scriptedSteps{caller: exchange.NewCaller(w, codec, c, c.Now()), attempts: tc.attempts}
					exchange.Run(r.Context(), s)
				}))
				defer srv.Close()
				res, err := http.Get(srv.URL)
				if err != nil {
					t.Fatal(err)
				}
				defer res.Body.Close()
				data, err := io.ReadAll(res.Body)
				srv.Close() // waits for the handler, so that s can be read
				if (err == nil) != tc.complete {
					t.Errorf("read error %v, want a complete response: %v", err, tc.complete)
				}
				var want []byte
				for _, e := range tc.events {
					want = sse.Append(want, []byte(e))
				}
				if !strings.HasPrefix(string(data), string(want)) {
					t.Errorf("got %q, want the prefix %q", data, want)
				}
				if diff := cmp.Diff([]int{tc.status, tc.sends}, []int{res.StatusCode, s.sends}); diff != "" {
					t.Error(diff)
				}
			})
		}
	}
}

// TestHeadDoesNotGuessContentType checks that a response without a content type gets none,
// and that only the first call of Head has an effect.
func TestHeadDoesNotGuessContentType(t *testing.T) {
	w := httptest.NewRecorder()
	c := exchange.NewCaller(w, statusOnlyCodec{}, clock.System{}, 0)
	c.Head(http.StatusAccepted, http.Header{"X-A": {"1"}})
	c.Head(http.StatusOK, http.Header{"X-A": {"2"}})
	if err := c.Write([]byte("<html>"), true); err != nil {
		t.Fatal(err)
	}
	res := w.Result()
	if diff := cmp.Diff([]any{202, "1", ""}, []any{res.StatusCode, res.Header.Get("X-A"), res.Header.Get("Content-Type")}); diff != "" {
		t.Error(diff)
	}
}

func TestProgress(t *testing.T) {
	c := clock.NewManual(1000, 0)
	caller := exchange.NewCaller(httptest.NewRecorder(), statusOnlyCodec{}, c, 900)
	caller.Head(http.StatusOK, nil)
	for _, pause := range []clock.Millis{0, 30, 20} {
		c.Advance(pause)
		if err := caller.Write([]byte("xy"), false); err != nil {
			t.Fatal(err)
		}
	}
	got := caller.Progress()
	if diff := cmp.Diff([]any{true, 3, int64(6), clock.Millis(100), clock.Millis(30)}, []any{got.Begun, got.Writes, got.Bytes, got.FirstMs, got.PauseMs}); diff != "" {
		t.Error(diff)
	}
}

// TestReadBody writes raw requests to TCP connections, because it needs bodies that are
// truncated or stall.
func TestReadBody(t *testing.T) {
	const limit = 100
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, f := exchange.ReadBody(w, r, exchange.BodyLimits{
			Bytes: limit, Time: 200 * time.Millisecond, Memory: memory(func(int64) bool { return r.Header.Get("Full") == "" }),
		})
		if f != nil {
			openai.Codec{}.Refuse(w, f)
			return
		}
		fmt.Fprintf(w, "%d bytes", len(data))
	}))
	defer srv.Close()
	chunked := func(body string) string {
		return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	tests := []struct {
		name, rest string
		closeWrite bool // the client closes its sending side
		status     int
		body       string
	}{
		{"known length", "Content-Length: 3\r\n\r\nabc", false, 200, "3 bytes"},
		{"none", "\r\n", false, 200, "0 bytes"},
		{"chunked", chunked("abc"), false, 200, "3 bytes"},
		{"too large", "Content-Length: 101\r\n\r\n" + strings.Repeat("x", 101), false, 413, "bodyTooLarge"},
		{"too large, chunked", chunked(strings.Repeat("x", 101)), false, 413, "bodyTooLarge"},
		{"truncated", "Content-Length: 9\r\n\r\nabc", true, 400, "3 of 9 bytes"},
		{"no memory", "Full: 1\r\nContent-Length: 3\r\n\r\nabc", false, 503, "memoryFull"},
		{"no memory, chunked", "Full: 1\r\n" + chunked("abc"), false, 503, "memoryFull"},
		{"slow", "Content-Length: 9\r\n\r\nabc", false, 408, "bodyTimeout"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", srv.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\n"+tc.rest); err != nil {
				t.Fatal(err)
			}
			if tc.closeWrite {
				if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
					t.Fatal(err)
				}
			}
			_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer res.Body.Close()
			data, err := io.ReadAll(res.Body)
			if err != nil || res.StatusCode != tc.status || !strings.Contains(string(data), tc.body) {
				t.Errorf("status %d, %q, %v; want %d, %q", res.StatusCode, data, err, tc.status, tc.body)
			}
		})
	}
}

func TestEndToEnd(t *testing.T) {
	in := http.Header{
		"Connection": {"keep-alive, X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"5"}, "Content-Length": {"3"},
		"Transfer-Encoding": {"chunked"}, "Accept": {"a", "b"},
	}
	if diff := cmp.Diff(http.Header{"Accept": {"a", "b"}}, exchange.EndToEnd(in)); diff != "" {
		t.Error(diff)
	}
}
