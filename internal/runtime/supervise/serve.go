package supervise

import (
	"context"
	"net"
	"net/http"

	"github.com/pkg/errors"
)

// Serve runs srv on ln until ctx ends, and then closes srv at once. If srv is shut down
// earlier, Serve still waits for ctx to end, so that the task does not end before ctx does. It
// is meant as the Run function of an HTTP server's task.
func Serve(ctx context.Context, srv *http.Server, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	err := srv.Serve(ln)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return nil
	}
	return err
}

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
