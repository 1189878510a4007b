package direct_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/damaskport/damaskport/internal/backend/direct"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const settle = 20 * clock.Millisecond

// limitedServer accepts one connection, and closes further ones at once.
type limitedServer struct {
	ln   net.Listener
	mu   sync.Mutex
	conn net.Conn
}

func newLimitedServer(t *testing.T) *limitedServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	s := &limitedServer{ln: ln}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			if s.conn != nil {
				_ = c.Close()
			} else {
				s.conn = c
				go answerAll(c)
			}
			s.mu.Unlock()
		}
	}()
	return s
}

func answerAll(c net.Conn) {
	br := bufio.NewReader(c)
	for {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		// A connection is kept only if its request was sent before the answer came.
		time.Sleep(10 * time.Millisecond)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

// TestServerWithTooManyConnectionsHasNotEnded tells a server that closes new connections from one
// whose process has ended.
func TestServerWithTooManyConnectionsHasNotEnded(t *testing.T) {
	s := newLimitedServer(t)
	p := direct.NewPool(s.ln.Addr().String(), clock.System{})
	ans, err := p.Do(t.Context(), direct.Request{Method: http.MethodGet, Target: "/", Host: "a.example", Header: http.Header{}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, ans.Body); err != nil {
		t.Fatal(err)
	}
	_ = ans.Body.Close()
	if l := p.Look(t.Context(), settle).Liveness(); l != direct.Alive {
		t.Error("a server that closes new connections, but not an idle one, counts as ended")
	}
	s.mu.Lock()
	_ = s.conn.Close()
	s.mu.Unlock()
	_ = s.ln.Close()
	if l := p.Look(t.Context(), settle).Liveness(); l != direct.Ended {
		t.Error("a server that refuses connections does not count as ended")
	}
}

func TestErrorOfAnAttemptTellsWhoseItIs(t *testing.T) {
	t.Parallel()
	type sign struct{ Local, AtLimit bool }
	for err, want := range map[error]sign{
		syscall.EMFILE: {Local: true}, syscall.ENFILE: {Local: true}, syscall.EADDRNOTAVAIL: {Local: true}, syscall.ENOBUFS: {Local: true},
		syscall.ECONNRESET: {AtLimit: true}, syscall.ECONNREFUSED: {}, syscall.EHOSTUNREACH: {}, context.DeadlineExceeded: {},
	} {
		e := &direct.NotSentError{Err: &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", err)}}
		if diff := cmp.Diff(want, sign{e.Local(), e.AtLimit()}); diff != "" {
			t.Errorf("%v: -want +got\n%s", err, diff)
		}
	}
}

// TestIdleConnectionIsLeftBeforeItsServerCloses guards against requests on a connection that its server is about
// to close: the server counts its idle time from an earlier moment.
func TestIdleConnectionIsLeftBeforeItsServerCloses(t *testing.T) {
	for announced, kept := range map[string]clock.Millis{"timeout=2": 1300, "max=9, timeout=1": 300, "": 4000} {
		for idle, want := range map[clock.Millis]int64{kept - 1: 1, kept: 2} {
			var opened atomic.Int64
			srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Keep-Alive", announced)
				time.Sleep(10 * time.Millisecond)
			}))
			srv.Config.ConnState = func(_ net.Conn, s http.ConnState) {
				if s == http.StateNew {
					opened.Add(1)
				}
			}
			srv.Start()
			c := clock.NewManual(clock.Hour, 0)
			p := direct.NewPool(srv.Listener.Addr().String(), c)
			for range 2 {
				a, err := p.Do(t.Context(), direct.Request{Method: http.MethodGet, Target: "/", Host: "a.example", Header: http.Header{}})
				if err != nil {
					t.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, a.Body)
				_ = a.Body.Close()
				c.Advance(idle)
			}
			if got := opened.Load(); got != want {
				t.Errorf("Keep-Alive %q, idle for %d ms: %d connections, want %d", announced, idle, got, want)
			}
			p.Close()
			srv.Close()
		}
	}
}
