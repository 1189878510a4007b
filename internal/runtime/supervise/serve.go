package supervise

import (
	"context"
	"net"
	"net/http"

	"github.com/pkg/errors"
)

// Serve runs srv on ln until ctx ends, and then closes srv at once. If srv is shut down
// earlier, or ln returns http.ErrServerClosed, Serve still waits for ctx to end, so that the
// task does not end before ctx does. It is meant as the Run function of an HTTP server's task.
func Serve(ctx context.Context, srv *http.Server, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	err := srv.Serve(patientListener{ln})
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return nil
	}
	return err
}

// patientListener marks errors of Accept as temporary, unless the listener is closed: an
// http.Server logs such an error and goes on after a pause, and closes its listener after others.
type patientListener struct{ net.Listener }

// Accept returns the next connection. The error is an *acceptError or wraps net.ErrClosed or
// http.ErrServerClosed.
func (l patientListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
		err = &acceptError{err}
	}
	return c, err
}

// acceptError reports a connection that could not be accepted. Later ones may be.
type acceptError struct{ err error }

// Error returns the message of the cause.
func (e *acceptError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *acceptError) Unwrap() error { return e.err }

// Timeout and Temporary implement net.Error.
func (e *acceptError) Timeout() bool   { return false }
func (e *acceptError) Temporary() bool { return true }

// Accept accepts connections on ln until ctx ends, and then closes ln. It calls handle with
// each connection; handle must not block, as no other connection is accepted meanwhile. It is
// meant as the Run function of a listener's task.
func Accept(ctx context.Context, ln net.Listener, handle func(net.Conn)) error {
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	for {
		conn, err := ln.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		handle(conn)
	}
}
