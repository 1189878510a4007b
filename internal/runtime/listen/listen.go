// Package listen opens the TCP listeners of a process.
package listen

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"syscall"

	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/policy/socketbuffer"
	"github.com/damaskport/damaskport/internal/runtime/tcp"
)

// Address is an address to listen on.
type Address struct {
	// Setting is the name of the setting that gives the address.
	Setting string
	// HostPort is host:port; port 0 takes a free port.
	HostPort string
	// Buffers are the sizes of the buffers of accepted connections, also before they are accepted; zero
	// for socketbuffer.Fixed.
	Buffers socketbuffer.Sizes
}

// open listens on the address. Without the sizes of buffers, if the system refuses them, it listens too.
func (a Address) open() (net.Listener, error) {
	sizes := cmp.Or(a.Buffers, socketbuffer.Fixed())
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		_ = tcp.Set(c, tcp.BufferSizes(sizes))
		return nil
	}}
	return lc.Listen(context.Background(), "tcp", a.HostPort)
}

// Error reports an address on which the process cannot listen.
type Error struct {
	Address
	Err error
}

// Error names the setting and the address.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Setting, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Temporary reports whether the address may become available: another process has it, or the
// machine does not have it yet.
func (e *Error) Temporary() bool {
	return errors.Is(e.Err, syscall.EADDRINUSE) || errors.Is(e.Err, syscall.EADDRNOTAVAIL)
}

// All listens on all addresses in their order, or on none and returns an *Error. The address of
// callers should be the last one, so that no connection is accepted and then closed again.
func All(addrs ...Address) ([]net.Listener, error) {
	var open []net.Listener
	for _, a := range addrs {
		ln, err := a.open()
		if err != nil {
			for _, l := range open {
				_ = l.Close()
			}
			return nil, &Error{a, err}
		}
		open = append(open, ln)
	}
	return open, nil
}
