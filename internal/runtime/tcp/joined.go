package tcp

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/policy/whole"
)

// ErrUploadLost is the error in place of the end of a connection over which the upload did not arrive: an answer
// that ends with that connection is not whole.
var ErrUploadLost = errors.New("the connection ended before the request had arrived")

// DeliveryInterval is the time between two calls of Delivered for data that is on its way: the system reports no event.
const DeliveryInterval = 5 * time.Millisecond

// Joined is a connection for net/http whose reader learns what its writer does. net/http reads and writes in two
// goroutines, and the system reports a reset to the first of them that asks: the other one sees a plain end.
//
// Between Begin and the end of the answer, Read reports the end of the connection only once the request has
// arrived, and ErrUploadLost if it has not. It waits for that until the connection is closed.
type Joined struct {
	net.Conn
	closing chan struct{}
	close   sync.Once

	mu      sync.Mutex
	changed chan struct{} // closed at the next change of what follows
	lost    bool          // a write failed
	writes  int
	// writing is set while the request is written; wrote is set once all of it is in the writer's
	// buffer, which the write after wroteAt flushes.
	writing, wrote bool
	wroteAt        int
}

// NewJoined returns c as a Joined.
func NewJoined(c net.Conn) *Joined {
	return &Joined{Conn: c, closing: make(chan struct{}), changed: make(chan struct{})}
}

// Begin notes that a request is about to be written.
func (c *Joined) Begin() { c.change(func() { c.writing, c.wrote = true, false }) }

// Wrote notes that the request was written to the buffer of the connection's writer, or why it could not be. The
// buffer isn't empty then: its flush is the next write.
func (c *Joined) Wrote(err error) {
	c.change(func() { c.wrote, c.wroteAt, c.lost = true, c.writes, c.lost || err != nil })
}

func (c *Joined) change(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
	close(c.changed)
	c.changed = make(chan struct{})
}

// Write writes p.
func (c *Joined) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.change(func() { c.writes, c.lost = c.writes+1, c.lost || err != nil })
	return n, err
}

// Read reads into p.
func (c *Joined) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && err == io.EOF && c.await() == whole.Failed {
		return 0, ErrUploadLost
	}
	return n, err
}

// Close closes the connection.
func (c *Joined) Close() error {
	c.close.Do(func() { close(c.closing) })
	return c.Conn.Close()
}

// upload returns the state of the request's sending, and a channel that is closed at its next change.
func (c *Joined) upload() (whole.Upload, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.lost:
		return whole.Failed, c.changed
	case c.writing && (!c.wrote || c.writes == c.wroteAt):
		return whole.Running, c.changed
	}
	switch Delivered(c.Conn) {
	case Acknowledged:
		return whole.Sent, c.changed
	case Lost:
		return whole.Failed, c.changed
	default:
		return whole.Running, c.changed
	}
}

// await returns the state of the upload once it isn't running. A connection that is closed meanwhile has lost it.
func (c *Joined) await() whole.Upload {
	again := time.NewTicker(DeliveryInterval)
	defer again.Stop()
	for {
		u, changed := c.upload()
		if u != whole.Running {
			return u
		}
		select {
		case <-changed:
		case <-again.C:
		case <-c.closing:
			return whole.Failed
		}
	}
}
