package direct

import (
	"slices"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	// limitKeep is how long after a server reset a new connection it counts as being at its limit, and
	// limitSettle how long a new connection to it must have been open before a request is written.
	limitKeep   = 2 * clock.Second
	limitSettle = 20 * clock.Millisecond
)

// settled reports whether a request may be written to c. A server at its limit resets a new connection
// only once it has accepted it, and what was written until then may have run.
func (p *Pool) settled(c *conn) bool {
	return c.served || !p.atLimit() || c.waitEnd(limitSettle.Duration()) == nil
}

// reset notes that the server has reset a new connection.
func (p *Pool) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetMs = p.clock.Now()
}

// atLimit reports whether the server has reset a new connection not long ago.
func (p *Pool) atLimit() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.resetMs != 0 && p.clock.Now()-p.resetMs < limitKeep
}

// accepted notes that the server accepted a connection that was begun at a time.
func (p *Pool) accepted(ms clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.acceptedMs = max(p.acceptedMs, ms)
}

// answered notes that the server answered a request that was sent on c at a time.
func (p *Pool) answered(c *conn, ms clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.answeredMs = ms
}

// signsSince returns when the last connection was begun that the server accepted, and whether it has
// answered what was sent after a time on a connection that was open then: a later one may be to
// another process.
func (p *Pool) signsSince(ms clock.Millis) (acceptedMs clock.Millis, answered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	is := func(c *conn) bool { return c.openedMs < ms && c.answeredMs > ms }
	answered = slices.ContainsFunc(p.idle, is)
	for c := range p.inUse {
		answered = answered || is(c)
	}
	return p.acceptedMs, answered
}

// use marks c as used by a request until the function that it returns is called.
func (p *Pool) use(c *conn) (done func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inUse[c] = struct{}{}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.inUse, c)
	}
}

// stateBefore returns the best state of the connections that were opened before a time. Idle ones that
// have served no request do not count: if a listener is closed as a handshake completes, the caller's end
// stays open with no process behind it.
func (p *Pool) stateBefore(ms clock.Millis) connState {
	p.mu.Lock()
	defer p.mu.Unlock()
	best := connClosed
	for c := range p.inUse {
		if c.openedMs < ms {
			best = max(best, c.state())
		}
	}
	for _, c := range p.idle {
		if c.served && c.openedMs < ms {
			best = max(best, c.state())
		}
	}
	return best
}

// noteLeft notes that the gateway itself is about to close c, if the server has not closed it: that
// it is gone then is no sign of the server's end.
func (p *Pool) noteLeft(c *conn) {
	if c.state() == connClosed {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.left = leftConn{openedMs: c.openedMs, leftMs: p.clock.Now()}
}

// leftSince reports whether the gateway has closed a connection since a time that was opened before another
// one, and open until then.
func (p *Pool) leftSince(ms, openedBefore clock.Millis) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.left.leftMs >= ms && p.left.openedMs < openedBefore
}
