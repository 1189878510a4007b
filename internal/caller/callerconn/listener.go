// Package callerconn wraps the connections of callers, below an HTTP server.
//
// It bounds the time in which a connection may be idle, and the size and time of a request's
// head; the time begins with the first byte. A request that is not read in time is answered as not
// run.
//
// A connection that is closed after an answer is closed in one direction first, and what its
// caller still sends is read and discarded: closing it with unread bytes would reset it, and
// destroy the answer before the caller has read it.
//
// A connection that is to be closed goes on while further requests have arrived on it. After an answer
// that announces the close, nothing is taken for a request.
package callerconn

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/policy/budget"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// waitInterval is the interval at which Wait looks for connections that are being closed.
const waitInterval = 10 * clock.Millisecond

// roomShare is the part of the connections that are closed at once, as its inverse.
const roomShare = 64

// unreadBytes is how much of a body that the handler did not read is read for the requests behind it.
const unreadBytes = 256 << 10

// Listener accepts the connections of callers.
type Listener struct {
	net.Listener
	clock  clock.Clock
	limits func() Limits
	// handling and lingering count the open connections with a request that is handled, and those
	// that are being closed.
	open, handling, lingering atomic.Int64
	closing, ended, cut       atomic.Bool
	conns                     sync.Map // open connections that do not linger, as keys of type *conn
	// held bounds the memory of heads; nil for no bound.
	held *budget.Held
	// maxConns is the most open connections; 0 for no limit.
	maxConns func() int
	// onRefused is called with the code of each request or connection that is refused unread; nil if nobody asks.
	onRefused func(code string)
}

// Bounds limit what all connections of a Listener use together, and tell of what is refused for it.
type Bounds struct {
	// Held bounds the memory of heads that are parsed; nil for no bound.
	Held *budget.Held
	// MaxConns returns the most connections that may be open: beyond it, those are closed that have waited
	// longest for a request; 0 for no limit.
	MaxConns func() int
	// Refused is called with the code of each request or connection that is refused unread. It must not block.
	Refused func(code string)
}

// Bound sets the bounds of l. It must be called before l accepts connections.
func (l *Listener) Bound(b Bounds) { l.held, l.maxConns, l.onRefused = b.Held, b.MaxConns, b.Refused }

func (l *Listener) refused(code string) {
	if l.onRefused != nil {
		l.onRefused(code)
	}
}

// NewListener returns a Listener that accepts the connections of ln. limits returns the limits in
// force; it is called often, and by several goroutines at once.
func NewListener(ln net.Listener, c clock.Clock, limits func() Limits) *Listener {
	return &Listener{Listener: ln, clock: c, limits: limits}
}

// Accept returns the next connection. The error is http.ErrServerClosed after Shutdown.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil && l.ended.Load() {
			return nil, http.ErrServerClosed
		}
		if err != nil {
			return nil, err
		}
		if l.makeRoom() {
			return l.accepted(nc), nil
		}
		l.accepted(nc).turnAway()
	}
}

// accepted returns nc as an open connection.
func (l *Listener) accepted(nc net.Conn) *conn {
	l.open.Add(1)
	c := &conn{head: l.held.Request(), Conn: nc, ln: l, phase: Phase{State: Idle, SinceMs: l.clock.Now(), Limits: l.limits()}, unused: true}
	l.conns.Store(c, nil)
	return c
}

// makeRoom closes connections that have waited longest for a request if there are too many for another one.
// It closes several at once: each search looks at all connections. It returns false if none waits.
func (l *Listener) makeRoom() bool {
	if l.maxConns == nil {
		return true
	}
	most := l.maxConns()
	if most <= 0 || l.Open() < most {
		return true
	}
	type waiting struct {
		c       *conn
		sinceMs clock.Millis
	}
	var all []waiting
	for k := range l.conns.Range {
		c := k.(*conn)
		if since, ok := c.waitsSince(); ok {
			all = append(all, waiting{c, since})
		}
	}
	slices.SortFunc(all, func(a, b waiting) int { return cmp.Compare(a.sinceMs, b.sinceMs) })
	for _, w := range all[:min(max(most/roomShare, l.Open()-most+1), len(all))] {
		w.c.evict()
	}
	return l.Open() < most
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
			if !c.handle(bodyLength(r)) {
				panic(http.ErrAbortHandler) // closed in the meantime, and answered as not run
			}
			a := &announcer{ResponseWriter: w, c: c, r: r}
			l.handling.Add(1)
			defer func() {
				c.enter(Returned)
				l.handling.Add(-1)
			}()
			next.ServeHTTP(a, r)
			a.announce()
			return
		}
		next.ServeHTTP(w, r)
	})
}

// bodyLength returns the length of the body of r in bytes, negative for chunks.
func bodyLength(r *http.Request) int64 {
	if len(r.TransferEncoding) > 0 {
		return -1
	}
	return r.ContentLength
}

// announcer announces with an answer that the connection closes after it, unless further requests have
// arrived: the HTTP server would drop them.
type announcer struct {
	http.ResponseWriter
	c         *conn
	r         *http.Request
	announced bool
}

// Unwrap returns the HTTP server's writer, for http.ResponseController.
func (a *announcer) Unwrap() http.ResponseWriter { return a.ResponseWriter }

// WriteHeader sends the head of the answer.
func (a *announcer) WriteHeader(status int) {
	if status >= http.StatusOK {
		a.announce()
	}
	a.ResponseWriter.WriteHeader(status)
}

// Write writes to the body of the answer.
func (a *announcer) Write(p []byte) (int, error) {
	a.announce()
	return a.ResponseWriter.Write(p)
}

// announce sets the header Connection before the head of the answer.
func (a *announcer) announce() {
	if a.announced {
		return
	}
	a.announced = true
	a.c.limitRest()
	h := a.Header()
	if h.Get("Connection") != "close" && !a.c.ln.closing.Load() {
		return
	}
	a.discardBody()
	if a.c.more() {
		h.Del("Connection")
	} else {
		h.Set("Connection", "close")
	}
}

// discardBody reads what has arrived of a body that the handler did not read. If that is not all of it,
// the HTTP server closes the connection after the answer.
func (a *announcer) discardBody() {
	if !a.c.bodyWaits() || a.r.Header.Get("Expect") != "" {
		return
	}
	// Errors of deadlines are ignored: the connection is broken.
	rc := http.NewResponseController(a.ResponseWriter)
	_ = rc.SetReadDeadline(time.Now().Add(lookTime.Duration()))
	// Unless the body ends, the deadline stays set: the HTTP server would wait for the rest.
	if _, err := io.CopyN(io.Discard, a.r.Body, unreadBytes); err == io.EOF {
		_ = rc.SetReadDeadline(time.Time{})
	}
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

// CloseAfterAnswers makes each connection close after its next answer, once no further request has
// arrived on it.
func (l *Listener) CloseAfterAnswers() { l.closing.Store(true) }

// Shutdown closes the listener, and each connection after its answers or once it is idle. It returns nil
// when all connections have been closed, some of which may linger, or the error of ctx.
func (l *Listener) Shutdown(ctx context.Context) error {
	l.CloseAfterAnswers()
	if !l.ended.Swap(true) {
		if err := l.Listener.Close(); err != nil {
			return errors.Wrap(err, "close listener")
		}
	}
	for {
		// A connection that was accepted just before is known after this pause.
		if err := l.clock.Sleep(ctx, waitInterval); err != nil {
			return err
		}
		open := 0
		for k := range l.conns.Range {
			if !k.(*conn).closeIdle() {
				open++
			}
		}
		if open == 0 {
			return nil
		}
	}
}

// Cut makes closing a connection end it also while the handler has a request of it. Before, such a
// connection stays open until the handler has returned: the HTTP server may take it for idle.
func (l *Listener) Cut() { l.cut.Store(true) }

// Wait returns when no request is handled and no connection is being closed any more, or when ctx
// ends.
func (l *Listener) Wait(ctx context.Context) {
	for l.handling.Load()+l.lingering.Load() > 0 && l.clock.Sleep(ctx, waitInterval) == nil {
	}
}
