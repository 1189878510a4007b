package direct_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/damaskport/damaskport/internal/backend/direct"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

func TestLookProves(t *testing.T) {
	const long, late = 8 * settle, clock.Second
	for name, tc := range map[string]struct {
		look direct.Look
		want direct.Liveness
	}{
		"nothing seen":                        {direct.Look{Elapsed: long}, direct.Unknown},
		"no reply":                            {direct.Look{Elapsed: long, Err: context.DeadlineExceeded}, direct.Unknown},
		"no files left":                       {direct.Look{Elapsed: long, Err: syscall.EMFILE}, direct.Unknown},
		"takes connections until too early":   {direct.Look{Elapsed: long, Listening: settle - 1}, direct.Unknown},
		"takes connections":                   {direct.Look{Elapsed: settle, Listening: settle}, direct.Alive},
		"closes others":                       {direct.Look{Elapsed: settle, Listening: settle, OthersClosed: true}, direct.Unknown},
		"closes others, takes connections":    {direct.Look{Elapsed: long, Listening: long, OthersClosed: true}, direct.Alive},
		"refuses":                             {direct.Look{Elapsed: 1, Refused: true}, direct.Ended},
		"refuses, took connections before":    {direct.Look{Elapsed: settle, Listening: settle - 1, Refused: true}, direct.Ended},
		"refuses, others are closed with it":  {direct.Look{Elapsed: late, Refused: true, OthersClosed: true}, direct.Ended},
		"closes":                              {direct.Look{Elapsed: 1, Closed: true}, direct.Ended},
		"closes, others are open":             {direct.Look{Elapsed: settle, Listening: settle, Closed: true, OthersOpen: true}, direct.Alive},
		"refuses, others are open so far":     {direct.Look{Elapsed: late - 1, Refused: true, OthersOpen: true}, direct.Unknown},
		"refuses, others stay open":           {direct.Look{Elapsed: late, Refused: true, OthersOpen: true}, direct.Alive},
		"refuses, the gateway left others":    {direct.Look{Elapsed: late, Refused: true, OthersLeft: true}, direct.Unknown},
		"refuses, answers what was sent then": {direct.Look{Elapsed: 1, Refused: true, Answered: true}, direct.Alive},
	} {
		tc.look.Settle = settle
		if got := tc.look.Liveness(); got != tc.want {
			t.Errorf("%s: %v, want %v", name, got, tc.want)
		}
	}
}

// TestLookAtServers plays what servers do with new connections after the end of an answer.
func TestLookAtServers(t *testing.T) {
	t.Parallel()
	reset := func(c net.Conn) {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	for name, tc := range map[string]struct {
		accept func(ln net.Listener, n int, c net.Conn)
		want   direct.Liveness
	}{
		"resets all":       {func(_ net.Listener, _ int, c net.Conn) { reset(c) }, direct.Alive},
		"resets all later": {func(_ net.Listener, _ int, c net.Conn) { time.AfterFunc(settle.Duration()/2, func() { reset(c) }) }, direct.Alive},
		"closes all":       {func(_ net.Listener, _ int, c net.Conn) { _ = c.Close() }, direct.Ended},
		"resets one": {func(_ net.Listener, n int, c net.Conn) {
			if n == 0 {
				reset(c)
			}
		}, direct.Alive},
		"ends with the first":                    {endWith(0, reset), direct.Ended},
		"ends with the second":                   {endWith(1, reset), direct.Ended},
		"ends with the second, which looks open": {endWith(1, func(net.Conn) {}), direct.Ended},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			go func() {
				for n := 0; ; n++ {
					c, err := ln.Accept()
					if err != nil {
						return
					}
					tc.accept(ln, n, c)
				}
			}()
			p := direct.NewPool(ln.Addr().String(), clock.System{})
			if l := p.Look(t.Context(), settle); l.Liveness() != tc.want {
				t.Errorf("the server counts as %v, want %v: %+v", l.Liveness(), tc.want, l)
			}
		})
	}
}

// endWith returns how a server accepts connections that resets all before the n-th, and ends with that one,
// which it leaves as leave does.
func endWith(last int, leave func(net.Conn)) func(ln net.Listener, n int, c net.Conn) {
	return func(ln net.Listener, n int, c net.Conn) {
		if n < last {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
			return
		}
		_ = ln.Close()
		leave(c)
	}
}

// TestServerThatClosedItsListenerIsAlive guards against taking a drained server that completes what it
// has for one that has ended.
func TestServerThatClosedItsListenerIsAlive(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := direct.NewPool(ln.Addr().String(), clock.System{})
	received, answer := make(chan struct{}), make(chan struct{})
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		_ = ln.Close()
		_, _ = http.ReadRequest(bufio.NewReader(c))
		close(received)
		<-answer
		_ = c.Close()
	}()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, err := p.Do(t.Context(), direct.Request{Method: http.MethodGet, Target: "/", Host: "a.example", Header: http.Header{}})
		if err == nil {
			t.Error("a connection that was closed without an answer gave one")
		}
	}()
	<-received
	time.Sleep(settle.Duration())
	if l := p.Look(t.Context(), settle); l.Liveness() != direct.Alive {
		t.Errorf("with a request that it works on, the server counts as %v: %+v", l.Liveness(), l)
	}
	close(answer)
	<-ended
	if l := p.Look(t.Context(), settle); l.Liveness() != direct.Ended {
		t.Errorf("with no connection left, the server counts as %v: %+v", l.Liveness(), l)
	}
}

// TestUnusedConnectionDoesNotHideTheEnd guards against taking a connection that the server never served, and
// that stays open without a process, for a sign that the server is alive.
func TestUnusedConnectionDoesNotHideTheEnd(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := direct.NewPool(ln.Addr().String(), clock.System{})
	if l := p.Look(t.Context(), settle); l.Liveness() != direct.Alive {
		t.Fatalf("a server that accepts connections counts as %v: %+v", l.Liveness(), l)
	}
	c, err := ln.Accept() // kept open: no process closes it
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = ln.Close()
	if l := p.Look(t.Context(), settle); l.Liveness() != direct.Ended {
		t.Errorf("a server that refuses connections counts as %v: %+v", l.Liveness(), l)
	}
}

// TestServerThatClosesConnectionsSlowlyHasEnded guards against a busy machine on which a process that
// ends closes its listener long after its connections.
func TestServerThatClosesConnectionsSlowlyHasEnded(t *testing.T) {
	const slowSettle = 200 * clock.Millisecond
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := direct.NewPool(ln.Addr().String(), clock.System{})
	go func() {
		first, err := ln.Accept()
		if err != nil {
			return
		}
		go answerAll(first)
		second, err := ln.Accept()
		if err != nil {
			return
		}
		_ = first.Close()
		time.Sleep(2 * slowSettle.Duration())
		_ = second.Close()
		_ = ln.Close()
	}()
	ans, err := p.Do(t.Context(), direct.Request{Method: http.MethodGet, Target: "/", Host: "a.example", Header: http.Header{}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, ans.Body); err != nil {
		t.Fatal(err)
	}
	_ = ans.Body.Close()
	if l := p.Look(t.Context(), slowSettle); l.Liveness() != direct.Ended {
		t.Errorf("the server counts as %v", l.Liveness())
	}
}
