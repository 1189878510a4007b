// Package listen opens the TCP listeners of a process.
package listen

import (
	"fmt"
	"net"
	"net/netip"
	"strings"
	"syscall"

	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/policy/socketbuffer"
)

// Address is an address to listen on.
type Address struct {
	// Setting is the name of the setting that gives the address.
	Setting string
	// HostPort is host:port; port 0 takes a free port.
	HostPort string
	// Optional is set if the process can serve while something else has the address.
	Optional bool
	// Buffers are the sizes of the buffers of accepted connections, also before they are accepted; zero
	// for socketbuffer.Fixed.
	Buffers socketbuffer.Sizes
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

// Taken reports whether something on the machine has the address: another process, or a connection,
// open or in TIME_WAIT.
func (e *Error) Taken() bool { return errors.Is(e.Err, syscall.EADDRINUSE) }

// Missing reports whether the machine does not have the address, or its name is not known, which may
// both change.
func (e *Error) Missing() bool {
	var lookup *net.DNSError
	return errors.Is(e.Err, syscall.EADDRNOTAVAIL) || errors.As(e.Err, &lookup)
}

// ConflictError reports two addresses of a process of which it can have only one.
type ConflictError struct {
	Own, Other Address
}

// Error names both settings.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s cannot be listened on beside %s, which is %s", e.Own.HostPort, e.Other.Setting, e.Other.HostPort)
}

// Conflict reports whether a process cannot listen on both a and b, each host:port. Names of hosts are
// not looked up.
func Conflict(a, b string) bool {
	x, errX := literal(a)
	y, errY := literal(b)
	if errX != nil || errY != nil {
		return a == b && !strings.HasSuffix(a, ":0")
	}
	return conflict(x, y)
}

func literal(hostPort string) (netip.AddrPort, error) {
	host, port, err := net.SplitHostPort(hostPort)
	if err != nil {
		return netip.AddrPort{}, err
	}
	if host == "" {
		host = netip.IPv6Unspecified().String()
	}
	return netip.ParseAddrPort(net.JoinHostPort(host, port))
}

// conflict reports whether the system gives a and b to one listener only. A listener on an unspecified
// address has those of both families.
func conflict(a, b netip.AddrPort) bool {
	x, y := a.Addr().Unmap(), b.Addr().Unmap()
	return a.Port() != 0 && a.Port() == b.Port() && (x == y || x.IsUnspecified() || y.IsUnspecified())
}

// All listens on all addresses in their order, or on none and returns an *Error.
func All(addrs ...Address) ([]net.Listener, error) {
	var h *Reserved
	return h.Listen(addrs...)
}
