// Package tcp opens outgoing connections with the socket options that all roles share.
package tcp

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/damaskport/damaskport/internal/policy/socketbuffer"
)

// Option sets an option of the socket fd before it is connected.
type Option func(fd int) error

// NewDialer returns a dialer that gives up after timeout; 0 sets no limit. The local port that the
// system picks for a connection stays free for listeners, also while the connection is in TIME_WAIT. Its
// buffers have fixed sizes; Buffers.Dial replaces them.
func NewDialer(timeout time.Duration, opts ...Option) *net.Dialer {
	opts = append([]Option{reuseAddr, fixedBuffers}, opts...)
	return &net.Dialer{Timeout: timeout, Control: func(_, _ string, c syscall.RawConn) error { return Set(c, opts...) }}
}

func reuseAddr(fd int) error {
	return errors.Wrap(unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1), "set SO_REUSEADDR")
}

// fixedBuffers limits the buffers where the system allows it; without the limit a connection works too.
func fixedBuffers(fd int) error {
	_ = BufferSizes(socketbuffer.Fixed())(fd)
	return nil
}

// Set applies opts to the socket of c.
func Set(c syscall.RawConn, opts ...Option) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		for _, opt := range opts {
			if optErr = opt(int(fd)); optErr != nil {
				return
			}
		}
	})
	if err != nil {
		return err
	}
	return optErr
}
