package callerconn

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/damaskport/damaskport/internal/policy/budget"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	// lingerTime is how long a connection stays open at most after its last answer, for its
	// caller to send the rest of a request and to read the answer; lingerPause is how long it
	// stays open while nothing arrives.
	lingerTime  = 10 * time.Second
	lingerPause = 2 * time.Second
	// discardBytes is the size of the buffer into which the rest of a request is read.
	discardBytes = 4 << 10
	// refuseTime is how long the answer to a request that was not read may take to write. It
	// fits into the buffers of any connection that is not broken.
	refuseTime = 100 * time.Millisecond
	// unusedTime is how long a new connection stays open during a shutdown for its first request.
	unusedTime = 5 * clock.Second
)

// Codes of the answers to requests that are refused before they are read.
const (
	headerTooLarge     = "headerTooLarge"
	headerTimeout      = "headerTimeout"
	memoryFull         = "memoryFull"
	ending             = "ending"
	tooManyConnections = "tooManyConnections"
)

// conn is a connection of a caller. While no request is handled, its read deadlines are its own,
// and those of the HTTP server are ignored.
type conn struct {
	net.Conn
	ln *Listener

	mu       sync.Mutex
	phase    Phase
	boundary Boundary // of the current request
	// head is the memory held for the head of the current request, which has headBytes.
	head      budget.Request
	headBytes int64
	// deadline is set while a read deadline is in force that the handler has set.
	deadline bool
	// unused is set until the connection has had a request.
	unused bool
	// armedMs is the read deadline that is set on the connection; 0 if it is not known.
	armedMs clock.Millis
	// answered is set once something was written since the connection was last idle.
	answered bool
	// broken is set once a read or write failed, or the caller has sent its last byte: closing
	// the connection then harms no answer.
	broken bool
	// lingering is set once the connection is closed for writing, and closed once it is closed.
	lingering, closed bool
}

// Read reads from the caller. When the time of a head is over or the head is too long, it answers the
// request.
func (c *conn) Read(p []byte) (int, error) {
	for {
		if !c.arm() {
			return 0, os.ErrDeadlineExceeded
		}
		n, err := c.Conn.Read(p)
		if c.noteRead(p[:n], err) {
			return n, err
		}
	}
}

// arm sets the read deadline of the phase. It returns false if nothing is read any more.
func (c *conn) arm() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	limits := c.ln.limits()
	if c.phase.TooLong(limits) {
		c.refuse(http.StatusRequestHeaderFieldsTooLarge, headerTooLarge)
	}
	at, ok := c.phase.Deadline(limits)
	if ok && at != c.armedMs {
		c.armedMs = at
		// The clock is read first: a pause between the two readings would set the deadline too early, and
		// reads would fail at once until the phase is over.
		left := at - c.ln.clock.Now()
		_ = c.Conn.SetReadDeadline(time.Now().Add(left.Duration()))
	}
	return !c.over()
}

// over reports whether nothing that arrives is handled any more. It must be called with mu held.
func (c *conn) over() bool {
	return c.phase.State == Closing || c.closed && c.phase.State < Handled
}

// noteRead records that p or err was read, and reports whether that is the result of Read too.
func (c *conn) noteRead(p []byte, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.over():
		return false
	case err == nil:
		c.phase = c.phase.Received(len(p), c.ln.clock.Now(), c.ln.limits())
		c.boundary = c.boundary.Received(p)
		return c.holdHead()
	case !isTimeout(err):
		c.broken = true
		return true
	}
	var over bool
	if c.phase, over = c.phase.Waited(c.ln.clock.Now(), c.ln.limits()); over && c.phase.State == Head {
		c.refuse(http.StatusRequestTimeout, headerTimeout)
	}
	return over
}

// holdHead holds the memory that the fields of a head cost which is about to be parsed. If there is none, it
// refuses the request and returns false. It must be called with mu held.
func (c *conn) holdHead() bool {
	if c.phase.State > Head {
		return true
	}
	more := budget.HeadBytes(c.boundary.Lines()) - c.headBytes
	if more <= 0 || c.head.For(budget.Serve).Take(more) {
		c.headBytes += max(more, 0)
		return true
	}
	c.refuse(http.StatusServiceUnavailable, memoryFull)
	return false
}

// releaseHead ends the holding of memory for the head. It must be called with mu held.
func (c *conn) releaseHead() {
	c.head.Release()
	c.headBytes = 0
}

func isTimeout(err error) bool {
	ne, ok := err.(net.Error)
	return ok && ne.Timeout()
}

// refuse answers the request that is arriving as not run. The connection is used for nothing else
// from then on. It must be called with mu held.
func (c *conn) refuse(status int, code string) {
	c.phase, c.answered = Phase{State: Closing}, true
	c.releaseHead()
	c.ln.refused(code)
	body, retry := `{"error":"`+code+`"}`, ""
	switch {
	case code == memoryFull:
		retry = "Retry-After: 1\r\n"
	case status == http.StatusServiceUnavailable:
		retry = "Retry-After: 0\r\n" // at another process
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refuseTime))
	_, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n%sConnection: close\r\n\r\n%s",
		status, http.StatusText(status), len(body), retry, body)
	c.broken = c.broken || err != nil
}

// Write writes to the caller. After refuse, which has written the answer, it writes nothing.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	refused := c.phase.State == Closing
	c.answered = true
	c.mu.Unlock()
	if refused {
		return len(p), nil
	}
	n, err := c.Conn.Write(p)
	if err != nil {
		c.mu.Lock()
		c.broken = true
		c.mu.Unlock()
	}
	return n, err
}

// SetReadDeadline sets the deadline of reads while a request is handled.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, own := c.phase.Deadline(c.ln.limits()); own {
		return nil
	}
	c.deadline = !t.IsZero()
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets the deadlines of reads and writes.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// enter begins a phase with the state s. It returns false if the request was refused.
func (c *conn) enter(s State) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase.State == Closing {
		return false
	}
	c.phase = Phase{State: s}
	if s == Idle {
		c.phase.SinceMs, c.phase.Limits, c.answered = c.ln.clock.Now(), c.ln.limits(), false
		if n := c.boundary.Behind(); n > 0 {
			c.phase = c.phase.Received(n, c.phase.SinceMs, c.phase.Limits)
		}
		c.releaseHead()
		c.boundary = c.boundary.Next()
		return c.holdHead()
	}
	if c.armedMs != 0 {
		c.armedMs = 0
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
	return true
}

// handle begins to handle a request with a body of length bytes, negative for chunks. It returns false if
// the request was refused or the connection is closed.
func (c *conn) handle(length int64) bool {
	c.mu.Lock()
	over := c.over() || c.lingering
	c.boundary, c.unused, c.deadline = c.boundary.Framed(length), false, false
	c.mu.Unlock()
	return !over && c.enter(Handled)
}

// more reports whether the request that is handled has arrived whole, and a part of a further one.
func (c *conn) more() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.boundary.Behind() > 0 || c.boundary.Ended() && c.unread()
}

// bodyWaits reports whether a part of the body of the request that is handled has arrived and was not
// read.
func (c *conn) bodyWaits() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.boundary.Ended() && c.unread()
}

// unread reports whether bytes have arrived that were not read.
func (c *conn) unread() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	n, ierr := 0, error(nil)
	err = raw.Control(func(fd uintptr) { n, ierr = unix.IoctlGetInt(int(fd), unix.SIOCINQ) })
	return err == nil && ierr == nil && n > 0
}

// closeIdle closes the connection if no request has arrived on it, and reports whether it is closed. A
// caller has unusedTime to send the first request.
func (c *conn) closeIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch p := c.phase; {
	case p.State > Head, c.boundary.HeadArrived(), c.unread(),
		p.State == Idle && c.unused && c.ln.clock.Now()-p.SinceMs < unusedTime:
		return false
	}
	_ = c.close()
	return true
}

// waitsSince returns since when the connection waits for a request or for the rest of its head, and whether
// it does.
func (c *conn) waitsSince() (clock.Millis, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	waits := c.phase.State <= Head && !c.boundary.HeadArrived() && !c.closed && !c.lingering
	return c.phase.SinceMs, waits
}

// evict closes a connection that waits for a request at once, also if an answer has not been read whole. A
// request of which a part has arrived is answered as not run.
func (c *conn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase.State > Head || c.boundary.HeadArrived() || c.closed || c.lingering {
		return
	}
	if c.phase.State == Head {
		c.refuse(http.StatusServiceUnavailable, tooManyConnections)
	} else {
		c.ln.refused(tooManyConnections)
	}
	_ = c.closeNow()
}

// turnAway answers the first request of a connection that there is no room for, and closes it.
func (c *conn) turnAway() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refuse(http.StatusServiceUnavailable, tooManyConnections)
	_ = c.closeNow()
}

// limitRest limits the time for the rest of a body that the handler does not read, for which the HTTP server
// waits before it sends an answer. A deadline that the handler has set stays in force.
func (c *conn) limitRest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase.State == Handled && !c.deadline && c.boundary.BodyArrives() {
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	}
}

// CloseWrite tells the caller that no more is sent, and discards what still arrives, until the
// caller closes the connection or its time is over.
func (c *conn) CloseWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startLingering()
	return nil
}

// Close closes the connection, after an answer as CloseWrite does. A request that has begun to
// arrive and will not be handled is answered first. While a request is handled, Close does nothing
// before Listener.Cut: the HTTP server closes the connection again when the handler has returned.
// Close does not block.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.close()
}

// close is Close with mu held.
func (c *conn) close() error {
	if c.phase.State == Handled && !c.ln.cut.Load() {
		return nil
	}
	if c.phase.Unanswered() && !c.answered && !c.broken && !c.closed {
		c.refuse(http.StatusServiceUnavailable, ending)
	}
	if c.startLingering() {
		return nil
	}
	return c.closeNow()
}

// startLingering begins to linger if the caller may still send and has an answer to read, and
// reports whether the connection lingers. It must be called with mu held.
func (c *conn) startLingering() bool {
	if c.lingering {
		return true
	}
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || !c.answered || c.broken || c.closed || half.CloseWrite() != nil {
		return false
	}
	c.lingering = true
	c.ln.conns.Delete(c)
	c.ln.lingering.Add(1)
	go c.linger()
	return true
}

// linger reads and discards until the caller closes the connection or its time is over, and
// closes it.
func (c *conn) linger() {
	defer c.ln.lingering.Add(-1)
	buf := make([]byte, discardBytes)
	end := time.Now().Add(lingerTime)
	for err := error(nil); err == nil; {
		until := time.Now().Add(lingerPause)
		if until.After(end) {
			until = end
		}
		_ = c.Conn.SetReadDeadline(until)
		_, err = c.Conn.Read(buf)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.closeNow()
}

// closeNow closes the connection in both directions. It must be called with mu held.
func (c *conn) closeNow() error {
	if !c.closed {
		c.closed = true
		c.releaseHead()
		c.ln.conns.Delete(c)
		c.ln.open.Add(-1)
	}
	return c.Conn.Close()
}
