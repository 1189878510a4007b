// Package direct sends requests over HTTP/1.1 to backend servers that have no
// sidecar. Each send is visible to its caller: a request is written to one
// connection at most, and nothing is sent again by itself.
package direct

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/damaskport/damaskport/internal/runtime/bounded"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	dialTimeout = 700 * time.Millisecond
	// unackedTimeout ends a connection whose peer acknowledges nothing; streams
	// give up after two seconds of silence at the earliest.
	unackedTimeout = 1500 * time.Millisecond
	// probeEvery and probeCount end an idle connection whose peer is gone.
	probeEvery = time.Second
	probeCount = 2
	readBuffer = 8 << 10
	// idleMargin is how long before its announced end an idle connection is
	// no longer used.
	idleMargin = 700 * clock.Millisecond
	// unannouncedIdle bounds the idle time when the server announces none.
	unannouncedIdle = 4 * clock.Second
	maxIdlePerHost  = 64
)

// NotSentError reports a send of which no byte reached the server.
type NotSentError struct{ Err error }

// Error returns the cause.
func (e *NotSentError) Error() string { return "not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// conn is a connection to one start of a server, used by one request at a time.
type conn struct {
	net.Conn
	// limit bounds what br reads of heads.
	limit *bounded.Reader
	br    *bufio.Reader
	bw    *bufio.Writer
	// sinceMs is when the connection became idle.
	sinceMs clock.Millis
	idleMs  clock.Millis
	// tainted is set once an answer to another request arrived, or one that does not
	// say to which it belongs: the connection is not used again.
	tainted bool
}

func dial(ctx context.Context, addr string) (*conn, error) {
	d := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeEvery, Interval: probeEvery, Count: probeCount},
		Control: func(_, _ string, c syscall.RawConn) error {
			var optErr error
			err := c.Control(func(fd uintptr) {
				optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout/time.Millisecond))
			})
			if err != nil {
				return err
			}
			return optErr
		},
	}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, &NotSentError{err}
	}
	limit := bounded.NewReader(c)
	return &conn{Conn: c, limit: limit, br: bufio.NewReaderSize(limit, readBuffer), bw: bufio.NewWriter(c), idleMs: unannouncedIdle}, nil
}

// alive reports whether an idle connection is open and has brought nothing:
// bytes without a request belong to none.
func (c *conn) alive() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, rerr := unix.Read(int(fd), b[:])
		quiet = errors.Is(rerr, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// note takes the server's word on how long an idle connection lasts.
func (c *conn) note(h http.Header) {
	for _, f := range strings.Split(h.Get("Keep-Alive"), ",") {
		v, ok := strings.CutPrefix(strings.TrimSpace(f), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(v); err == nil && s >= 0 {
			c.idleMs = clock.Millis(s)*clock.Second - idleMargin
		}
	}
}

// Pool keeps the idle connections to one start of a server. It is safe for
// concurrent use.
type Pool struct {
	addr  string
	clock clock.Clock
	// Dialed is called for each new connection; it may be nil.
	Dialed func()

	mu     sync.Mutex
	idle   []*conn
	closed bool
}

// NewPool returns a Pool of connections to addr.
func NewPool(addr string, c clock.Clock) *Pool {
	return &Pool{addr: addr, clock: c}
}

// get returns an idle connection that is alive, or a new one. The most lately
// used one goes first, so that the others can end.
func (p *Pool) get(ctx context.Context) (*conn, error) {
	for {
		c := p.pop()
		if c == nil {
			break
		}
		if p.clock.Now()-c.sinceMs < c.idleMs && c.alive() {
			return c, nil
		}
		_ = c.Close()
	}
	if p.Dialed != nil {
		p.Dialed()
	}
	return dial(ctx, p.addr)
}

func (p *Pool) pop() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

func (p *Pool) put(c *conn) {
	c.sinceMs = p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= maxIdlePerHost {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// Sweep closes the idle connections that have come to their end.
func (p *Pool) Sweep() {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now-c.sinceMs < c.idleMs {
			kept = append(kept, c)
			continue
		}
		_ = c.Close()
	}
	p.idle = kept
}

// Close closes the idle connections; those in use close when they are done.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}
