// Package callerconn wraps the connections of callers, below an HTTP server.
//
// It bounds the time in which a connection may be idle, and the size and time of a request's
// head; the time begins with the first byte. A request that is not read in time is answered as not
// run.
//
// A connection that is closed after an answer is closed in one direction first, and what its
// caller still sends is read and discarded: closing it with unread bytes would reset it, and
// destroy the answer before the caller has read it.
package callerconn

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// waitInterval is the interval at which Wait looks for connections that are being closed.
const waitInterval = 10 * clock.Millisecond

// Listener accepts the connections of callers.
type Listener struct {
	net.Listener
	clock  clock.Clock
	limits func() Limits
	// handling and lingering count the open connections with a request that is handled, and those
	// that are being closed.
	open, handling, lingering atomic.Int64
	cut                       atomic.Bool
}

// NewListener returns a Listener that accepts the connections of ln. limits returns the limits in
// force; it is called often, and by several goroutines at once.
func NewListener(ln net.Listener, c clock.Clock, limits func() Limits) *Listener {
	return &Listener{Listener: ln, clock: c, limits: limits}
}

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.open.Add(1)
	return &conn{Conn: nc, ln: l, phase: Phase{State: Idle, SinceMs: l.clock.Now(), Limits: l.limits()}}, nil
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// Attach makes srv report to l what it does with each connection. It must be called once, before
// srv serves l. The server must have no limits of its own for heads and idle connections.
func (l *Listener) Attach(srv *http.Server) {
	srv.ConnState = track
	srv.ConnContext = func(ctx context.Context, nc net.Conn) context.Context { return context.WithValue(ctx, connKey{}, nc) }
	next := srv.Handler
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			if !c.enter(Handled) {
				panic(http.ErrAbortHandler) // closed in the meantime, and answered as not run
			}
			l.handling.Add(1)
			defer func() {
				c.enter(Returned)
				l.handling.Add(-1)
			}()
		}
		next.ServeHTTP(w, r)
	})
}

// track tells the connection nc the state that the HTTP server gives it.
func track(nc net.Conn, st http.ConnState) {
	c, ok := nc.(*conn)
	switch {
	case ok && st == http.StateActive:
		c.enter(Read)
	case ok && st == http.StateIdle:
		c.enter(Idle)
	}
}

// Open returns the number of open connections, with those that are being closed.
func (l *Listener) Open() int { return int(l.open.Load()) }

// Cut makes closing a connection end it also while the handler has a request of it. Before, such a
// connection stays open until the handler has returned: the HTTP server may take it for idle.
func (l *Listener) Cut() { l.cut.Store(true) }

// Wait returns when no request is handled and no connection is being closed any more, or when ctx
// ends.
func (l *Listener) Wait(ctx context.Context) {
	for l.handling.Load()+l.lingering.Load() > 0 && l.clock.Sleep(ctx, waitInterval) == nil {
	}
}
