package supervise

import (
	"context"
	"net"
	"net/http"

	"github.com/pkg/errors"
)

// Serve is the task of an HTTP server: it serves on ln until ctx ends, also
// when srv was shut down before.
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

// Accept is the task of a listener: it hands each connection to take until ctx
// ends. take must not block.
func Accept(ctx context.Context, ln net.Listener, take func(net.Conn)) error {
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
		take(conn)
	}
}
