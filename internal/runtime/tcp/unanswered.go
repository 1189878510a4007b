package tcp

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Unanswered is a connection for calls that must not arrive after their sender has given them up. From the
// first byte of a call to the first byte of its answer, closing the connection resets it: the system then sends
// none of the call again, and a network that still holds a part of it drops that. The system resets it also if
// the process ends. Without a call it is closed in order.
//
// A frozen process cannot close the connection; UnackedTimeout bounds for how long its system goes on sending.
type Unanswered struct {
	net.Conn
	raw syscall.RawConn

	mu      sync.Mutex
	pending bool
}

// NewUnanswered returns c, a connection of TCP, as an Unanswered.
func NewUnanswered(c net.Conn) (*Unanswered, error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil, errors.Errorf("a %T has no socket", c)
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &Unanswered{Conn: c, raw: raw}, nil
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// DialUnanswered returns a DialFunc that opens connections with dial and returns them as an *Unanswered.
func DialUnanswered(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		u, err := NewUnanswered(c)
		if err != nil {
			_ = c.Close()
			return nil, err
		}
		return u, nil
	}
}

// Write writes a part of a call.
func (c *Unanswered) Write(p []byte) (int, error) {
	if err := c.setPending(true); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Read reads a part of an answer.
func (c *Unanswered) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		// An error leaves the connection one that is reset.
		_ = c.setPending(false)
	}
	return n, err
}

// SyscallConn implements syscall.Conn.
func (c *Unanswered) SyscallConn() (syscall.RawConn, error) { return c.raw, nil }

// setPending notes whether a call is unanswered.
func (c *Unanswered) setPending(pending bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == pending {
		return nil
	}
	if err := Set(c.raw, ResetOnClose(pending)); err != nil {
		return err
	}
	c.pending = pending
	return nil
}

// ResetOnClose makes the system reset the connection when it is closed, or close it in order.
func ResetOnClose(on bool) Option {
	return func(fd int) error {
		linger := unix.Linger{}
		if on {
			linger.Onoff = 1
		}
		return errors.Wrap(unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &linger), "set SO_LINGER")
	}
}

// UnackedTimeout makes the system close a connection whose peer has not acknowledged data for d, rounded up to
// milliseconds; 0 for the system's own limit.
func UnackedTimeout(d time.Duration) Option {
	return func(fd int) error {
		ms := (d + time.Millisecond - 1) / time.Millisecond
		return errors.Wrap(unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ms)), "set TCP_USER_TIMEOUT")
	}
}
