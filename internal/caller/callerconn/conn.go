package callerconn

import (
	"net"
	"sync"
	"time"
)

const (
	// lingerTime is how long a connection stays open at most after its last answer, for its
	// caller to send the rest of a request and to read the answer; lingerPause is how long it
	// stays open while nothing arrives.
	lingerTime  = 10 * time.Second
	lingerPause = 2 * time.Second
	// discardBytes is the size of the buffer into which the rest of a request is read.
	discardBytes = 4 << 10
)

// conn is a connection of a caller.
type conn struct {
	net.Conn
	ln *Listener

	mu sync.Mutex
	// answered is set once something was written since the connection was last idle.
	answered bool
	// broken is set once a read or write failed, or the caller has sent its last byte: closing
	// the connection then harms no answer.
	broken bool
	// lingering is set once the connection is closed for writing, and closed once it is closed.
	lingering, closed bool
}

// Read reads from the caller.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.note(err)
	return n, err
}

// Write writes to the caller.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.answered = true
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.note(err)
	return n, err
}

// note records err, the result of a read or write. The HTTP server ends its own reads by a
// deadline, which says nothing about the connection.
func (c *conn) note(err error) {
	if err == nil || isTimeout(err) {
		return
	}
	c.mu.Lock()
	c.broken = true
	c.mu.Unlock()
}

func isTimeout(err error) bool {
	ne, ok := err.(net.Error)
	return ok && ne.Timeout()
}

// setIdle records that the last request was read and answered completely.
func (c *conn) setIdle() {
	c.mu.Lock()
	c.answered = false
	c.mu.Unlock()
}

// CloseWrite tells the caller that no more is sent, and discards what still arrives, until the
// caller closes the connection or its time is over.
func (c *conn) CloseWrite() error {
	if c.startLingering() {
		go c.linger()
	}
	return nil
}

// Close closes the connection, after an answer as CloseWrite does. It does not block.
func (c *conn) Close() error {
	if c.startLingering() {
		go c.linger()
		return nil
	}
	c.mu.Lock()
	lingering := c.lingering
	c.mu.Unlock()
	if lingering {
		return nil
	}
	return c.closeNow()
}

// startLingering closes the connection for writing, and reports whether linger has to be called:
// once, and only if its caller may still send and has an answer to read.
func (c *conn) startLingering() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || !c.answered || c.broken || c.lingering || c.closed || half.CloseWrite() != nil {
		return false
	}
	c.lingering = true
	c.ln.lingering.Add(1)
	return true
}

// linger reads and discards until the caller closes the connection or its time is over, and
// closes it.
func (c *conn) linger() {
	defer c.ln.lingering.Add(-1)
	buf := make([]byte, discardBytes)
	end := time.Now().Add(lingerTime)
	for {
		until := time.Now().Add(lingerPause)
		if until.After(end) {
			until = end
		}
		_ = c.Conn.SetReadDeadline(until)
		if _, err := c.Conn.Read(buf); err != nil {
			_ = c.closeNow()
			return
		}
	}
}

// closeNow closes the connection in both directions.
func (c *conn) closeNow() error {
	c.mu.Lock()
	again := c.closed
	c.closed = true
	c.mu.Unlock()
	if !again {
		c.ln.open.Add(-1)
	}
	return c.Conn.Close()
}
