package direct

import (
	"context"
	"slices"
	"sync"
	"syscall"

	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/tcp"
)

const (
	maxIdlePerHost = 64
	// noReuseTime is how long connections are not reused after a response without a request ID
	// has arrived on a reused one.
	noReuseTime = 10 * clock.Second
)

// Pool keeps the idle connections to one backend server; a server that restarts gets a
// new Pool. It is safe for concurrent use.
type Pool struct {
	addr  string
	clock clock.Clock
	// Dialed, if not nil, is called before each attempt to open a connection.
	Dialed func()
	// Buffers, if not nil, gives the connections the sizes of their buffers.
	Buffers *tcp.Buffers

	mu     sync.Mutex
	idle   []*conn
	inUse  map[*conn]struct{}
	closed bool
	// acceptedMs is when the last connection was begun that the server accepted; 0 for none.
	acceptedMs clock.Millis
	// resetMs is when the server last reset a new connection; 0 for never.
	resetMs clock.Millis
	// left is the last open connection that the gateway itself closed.
	left leftConn
	// noReuseUntilMs is the time until which connections are closed after one request.
	noReuseUntilMs clock.Millis
}

// leftConn is a connection that the gateway closed while the server had it open.
type leftConn struct{ openedMs, leftMs clock.Millis }

// NewPool returns an empty Pool of connections to addr, given as host:port.
func NewPool(addr string, c clock.Clock) *Pool {
	return &Pool{addr: addr, clock: c, inUse: map[*conn]struct{}{}}
}

// Addr returns the address of the server.
func (p *Pool) Addr() string { return p.addr }

// get returns an idle connection that is alive, or a new one. It prefers the most
// recently used connection, so that surplus ones reach their idle timeout.
func (p *Pool) get(ctx context.Context) (*conn, error) {
	for {
		c := p.pop()
		if c == nil {
			break
		}
		if p.clock.Now()-c.idleSinceMs < c.idleTimeoutMs && c.alive() && p.settled(c) {
			return c, nil
		}
		_ = c.Close()
	}
	return p.open(ctx)
}

// open opens a connection for a request.
func (p *Pool) open(ctx context.Context) (*conn, error) {
	c, err := p.dial(ctx)
	if err == nil && !p.settled(c) {
		_ = c.Close()
		c, err = nil, &NotSentError{syscall.ECONNRESET}
	}
	if errors.Is(err, syscall.ECONNRESET) {
		p.reset()
	}
	return c, err
}

// dial opens a connection.
func (p *Pool) dial(ctx context.Context) (*conn, error) {
	if p.Dialed != nil {
		p.Dialed()
	}
	beganMs := p.clock.Now()
	c, err := p.connect(ctx)
	if err == nil || errors.Is(err, syscall.ECONNRESET) {
		p.accepted(beganMs)
	}
	if err != nil {
		return nil, err
	}
	c.openedMs = p.clock.Now()
	return c, nil
}

// closeDead closes the idle connections that the server has closed. It returns how many these were,
// and how many are left.
func (p *Pool) closeDead() (dead, left int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := len(p.idle)
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		dead := !c.alive()
		if dead {
			_ = c.Close()
		}
		return dead
	})
	return before - len(p.idle), len(p.idle)
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
	c.idleSinceMs = p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= maxIdlePerHost || c.idleSinceMs < p.noReuseUntilMs {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// Sweep closes the connections that have reached their idle timeout.
func (p *Pool) Sweep() {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now-c.idleSinceMs < c.idleTimeoutMs {
			kept = append(kept, c)
			continue
		}
		_ = c.Close()
	}
	p.idle = kept
}

// stopReuse closes the idle connections and reuses none for noReuseTime.
func (p *Pool) stopReuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noReuseUntilMs = p.clock.Now() + noReuseTime
	p.closeIdle()
}

// Close closes the idle connections; those in use are closed at the end of their request.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeIdle()
}

// closeIdle closes the idle connections; p.mu is held.
func (p *Pool) closeIdle() {
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}
