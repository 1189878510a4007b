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

// silent is a codec whose failures have a status only, and nothing within a
// stream.
type silent struct{}

// Refuse answers with the status of f.
func (silent) Refuse(w http.ResponseWriter, f *exchange.Failure) { w.WriteHeader(f.Status) }

// Break writes nothing.
func (silent) Break(io.Writer, *exchange.Failure) {}

var codecs = map[string]exchange.Codec{"openai": openai.Codec{}, "silent": silent{}}

// attempt is one send of a script: it brings events, or a failure.
type attempt struct {
	events  []string
	cut     bool // behind the events
	failure *exchange.Failure
	again   bool // after the cut
}

// script answers by attempts in their order.
type script struct {
	caller   *exchange.Caller
	attempts []attempt
	sends    int
}

var errCut = errors.New("cut")

// Send takes the next attempt.
func (s *script) Send(context.Context) (attempt, *exchange.Failure) {
	a := s.attempts[s.sends]
	s.sends++
	return a, a.failure
}

// Pass hands the events over.
func (s *script) Pass(_ context.Context, a attempt) error {
	for _, e := range a.events {
		s.caller.Head(http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}})
		if err := s.caller.Write(sse.Append(nil, []byte(e)), false); err != nil {
			return err
		}
	}
	if a.cut {
		return errCut
	}
	return nil
}

// Again follows the script.
func (s *script) Again(_ context.Context, a attempt, _ error) *exchange.Failure {
	if a.again {
		return nil
	}
	return &exchange.Failure{Status: http.StatusBadGateway, Code: "interrupted", Message: "cut"}
}

// Fail gives the final answer.
func (s *script) Fail(f *exchange.Failure) { s.caller.Fail(f) }

func TestRunUnderEachCodec(t *testing.T) {
	full := &exchange.Failure{Status: http.StatusTooManyRequests, Code: "overloaded", NotRun: true, RetryAfterMs: 1500}
	tests := []struct {
		name     string
		attempts []attempt
		status   int
		events   []string // that both codecs hand over
		whole    bool
		sends    int
	}{
		{"whole", []attempt{{events: []string{"a", "b"}}}, 200, []string{"a", "b"}, true, 1},
		{"refused", []attempt{{failure: full}}, 429, nil, true, 1},
		{"sent again before the first event", []attempt{{cut: true, again: true}, {events: []string{"a"}}}, 200, []string{"a"}, true, 2},
		{"resumed", []attempt{{events: []string{"a"}, cut: true, again: true}, {events: []string{"b"}}}, 200, []string{"a", "b"}, true, 2},
		{"given up before the first event", []attempt{{cut: true}}, 502, nil, true, 1},
		{"given up behind an event", []attempt{{events: []string{"a"}, cut: true}}, 200, []string{"a"}, false, 1},
		{"no server to resume at", []attempt{{events: []string{"a"}, cut: true, again: true}, {failure: full}}, 200, []string{"a"}, false, 2},
	}
	for name, codec := range codecs {
		for _, tc := range tests {
			t.Run(name+"/"+tc.name, func(t *testing.T) {
				var s *script
				srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					c := clock.System{}
					s = &script{caller: exchange.NewCaller(w, codec, c, c.Now()), attempts: tc.attempts}
					exchange.Run(r.Context(), s)
				}))
				defer srv.Close()
				res, err := http.Get(srv.URL)
				if err != nil {
					t.Fatal(err)
				}
				defer res.Body.Close()
				data, err := io.ReadAll(res.Body)
				srv.Close() // the handler has ended
				if (err == nil) != tc.whole {
					t.Errorf("end %v, want whole %v", err, tc.whole)
				}
				var want []byte
				for _, e := range tc.events {
					want = sse.Append(want, []byte(e))
				}
				if !strings.HasPrefix(string(data), string(want)) {
					t.Errorf("got %q, want %q first", data, want)
				}
				if diff := cmp.Diff([]int{tc.status, tc.sends}, []int{res.StatusCode, s.sends}); diff != "" {
					t.Error(diff)
				}
			})
		}
	}
}

func TestHeadNamesNoTypeOfItsOwn(t *testing.T) {
	w := httptest.NewRecorder()
	c := exchange.NewCaller(w, silent{}, clock.System{}, 0)
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
	caller := exchange.NewCaller(httptest.NewRecorder(), silent{}, c, 900)
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

// TestReadBody sends bodies over a connection of their own, since what counts
// is when their bytes come.
func TestReadBody(t *testing.T) {
	const limit = 100
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, f := exchange.ReadBody(w, r, exchange.BodyLimits{Bytes: limit, Time: 200 * time.Millisecond})
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
		half       bool // closes its side
		status     int
		body       string
	}{
		{"known length", "Content-Length: 3\r\n\r\nabc", false, 200, "3 bytes"},
		{"none", "\r\n", false, 200, "0 bytes"},
		{"chunked", chunked("abc"), false, 200, "3 bytes"},
		{"too large", "Content-Length: 101\r\n\r\n" + strings.Repeat("x", 101), false, 413, "bodyTooLarge"},
		{"too large, chunked", chunked(strings.Repeat("x", 101)), false, 413, "bodyTooLarge"},
		{"cut", "Content-Length: 9\r\n\r\nabc", true, 400, "3 of 9 bytes"},
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
			if tc.half {
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
