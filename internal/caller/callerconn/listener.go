// Package callerconn wraps the connections of callers, below an HTTP server. A connection that
// is closed after an answer is closed in one direction first, and what its caller still sends is
// read and discarded: closing it with unread bytes would reset it, and destroy the answer before
// the caller has read it.
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

// Listener accepts the connections of callers for an http.Server, which must call Track as its
// ConnState.
type Listener struct {
	net.Listener
	clock           clock.Clock
	open, lingering atomic.Int64
}

// NewListener returns a Listener that accepts the connections of ln.
func NewListener(ln net.Listener, c clock.Clock) *Listener { return &Listener{Listener: ln, clock: c} }

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.open.Add(1)
	return &conn{Conn: nc, ln: l}, nil
}

// Open returns the number of open connections, with those that are being closed.
func (l *Listener) Open() int { return int(l.open.Load()) }

// Track tells the connection nc the state that the HTTP server gives it.
func (l *Listener) Track(nc net.Conn, st http.ConnState) {
	if c, ok := nc.(*conn); ok && st == http.StateIdle {
		c.setIdle()
	}
}

// Wait returns when no connection is being closed any more, or when ctx ends.
func (l *Listener) Wait(ctx context.Context) {
	for l.lingering.Load() > 0 && l.clock.Sleep(ctx, waitInterval) == nil {
	}
}
