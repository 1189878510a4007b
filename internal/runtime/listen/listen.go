// Package listen opens the TCP listeners of a process.
package listen

import (
	"fmt"
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// Address is an address to listen on.
type Address struct {
	// Setting is the name of the setting that gives the address.
	Setting string
	// HostPort is host:port; port 0 takes a free port.
	HostPort string
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

// Missing reports whether the machine does not have the address, or not yet.
func (e *Error) Missing() bool { return errors.Is(e.Err, syscall.EADDRNOTAVAIL) }

// All listens on all addresses in their order, or on none and returns an *Error. The address of
// callers should be the last one, so that no connection is accepted and then closed again.
func All(addrs ...Address) ([]net.Listener, error) {
	var open []net.Listener
	for _, a := range addrs {
		ln, err := net.Listen("tcp", a.HostPort)
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
