// Package crowd bounds what the clients of an address use together, at which not callers but operators,
// gateways, entries and sidecars are expected: connections that wait, the fields of requests' heads, and the
// time in which a request is sent and its answer is read.
package crowd

import (
	"cmp"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/caller/callerconn"
)

const (
	// operatorFields is the most fields of a request's head, operatorHeadBytes the most bytes.
	operatorFields, operatorHeadBytes = 256, 16 << 10
	// Times in which a client of an operators' address sends a head and a whole request, reads an answer, and
	// may leave a connection unused.
	headTime, requestTime, answerTime, idleTime = 5 * time.Second, 30 * time.Second, 30 * time.Second, 2 * time.Minute
	// roomShare is the part of the connections that are closed at once, as its inverse.
	roomShare = 64
)

// Names of what a client is closed for.
const (
	TooManyConnections = "tooManyConnections"
	TooManyFields      = "tooManyFields"
)

// errFields ends the reading of a head with too many fields.
var errFields = errors.New("the head of the request has too many fields")

// Limits bound the clients of an address.
type Limits struct {
	// Conns is the most connections that wait; beyond it those are closed that have waited longest. 0 means no limit.
	Conns int
	// Total is the most connections, also of those that don't wait; beyond it those are closed that wait,
	// the newest last. 0 means no limit.
	Total int
	// Fields is the most fields of a request's head; 0 means no limit.
	Fields int
	// Closed is called with the reason when a connection is closed for a limit; nil if nobody asks.
	Closed func(reason string)
}

// Listener accepts connections within Limits. A connection waits until something calls Busy.
type Listener struct {
	net.Listener
	limits Limits

	mu    sync.Mutex
	conns map[*Conn]struct{}
	seq   int64
}

// Listen returns a Listener that accepts the connections of ln.
func Listen(ln net.Listener, l Limits) *Listener {
	return &Listener{Listener: ln, limits: l, conns: map[*Conn]struct{}{}}
}

// Operators returns ln with the limits of an operators' address, and a server for it. files is the number of files that the
// process may have open; 0 if it is not known. An answer that is not read ends with its time.
func Operators(ln net.Listener, h http.Handler, files int, closed func(reason string)) (*http.Server, net.Listener) {
	srv := &http.Server{
		Handler: h, ReadHeaderTimeout: headTime, ReadTimeout: requestTime, WriteTimeout: answerTime, IdleTimeout: idleTime,
		MaxHeaderBytes: operatorHeadBytes,
	}
	return srv, Listen(ln, Limits{Conns: operatorConns(files), Fields: operatorFields, Closed: closed}).Attach(srv, false)
}

// Attach makes srv tell the listener of heads that have been read. If keep is set, a connection does not wait while
// a request of it is handled. It must be called before srv serves the listener, which it returns.
func (l *Listener) Attach(srv *http.Server, keep bool) net.Listener {
	srv.ConnState = func(nc net.Conn, st http.ConnState) {
		c, ok := nc.(*Conn)
		switch {
		case ok && st == http.StateActive:
			c.headRead(keep)
		case ok && st == http.StateIdle:
			c.idle()
		}
	}
	return l
}

// Conn is an accepted connection.
type Conn struct {
	net.Conn
	ln *Listener

	// Guarded by ln.mu.
	order int64 // in which connections began to wait
	busy  bool

	mu       sync.Mutex
	reading  bool // a head is awaited or arrives
	boundary callerconn.Boundary
}

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: nc, ln: l, reading: true}
	l.mu.Lock()
	l.seq++
	c.order = l.seq
	l.conns[c] = struct{}{}
	victims := l.victims()
	l.mu.Unlock()
	for _, v := range victims {
		l.closed(TooManyConnections)
		_ = v.Close()
	}
	return c, nil
}

// victims returns the connections that have to be closed, those that have waited longest first. It must be called
// with mu held.
func (l *Listener) victims() []*Conn {
	most, total := l.limits.Conns, l.limits.Total
	if most <= 0 || len(l.conns) <= most {
		return nil
	}
	var waiting []*Conn
	for c := range l.conns {
		if !c.busy {
			waiting = append(waiting, c)
		}
	}
	over := len(waiting) - most
	if total > 0 {
		over = max(over, len(l.conns)-total)
	}
	if over <= 0 {
		return nil
	}
	slices.SortFunc(waiting, func(a, b *Conn) int { return cmp.Compare(a.order, b.order) })
	return waiting[:min(max(over, most/roomShare), len(waiting))]
}

func (l *Listener) closed(reason string) {
	if l.limits.Closed != nil {
		l.limits.Closed(reason)
	}
}

// Busy marks the connection as one that is in use from now on, and is not closed for others.
func (c *Conn) Busy() {
	c.ln.mu.Lock()
	defer c.ln.mu.Unlock()
	c.busy = true
}

func (c *Conn) headRead(keep bool) {
	c.mu.Lock()
	c.reading = false
	c.mu.Unlock()
	if keep {
		c.Busy()
	}
}

func (c *Conn) idle() {
	c.mu.Lock()
	c.reading, c.boundary = true, callerconn.Boundary{}
	c.mu.Unlock()
	l := c.ln
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	c.busy, c.order = false, l.seq
}

// Read reads from the client. It fails if the head that arrives has too many fields.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ln.limits.Fields <= 0 || !c.reading {
		return n, err
	}
	if c.boundary = c.boundary.Received(p[:n]); c.boundary.Lines() > c.ln.limits.Fields {
		c.ln.closed(TooManyFields)
		return 0, errFields
	}
	return n, err
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.ln.mu.Lock()
	delete(c.ln.conns, c)
	c.ln.mu.Unlock()
	return c.Conn.Close()
}
