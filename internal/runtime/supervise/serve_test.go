package supervise_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/damaskport/damaskport/internal/runtime/supervise"
)

// failingListener fails the first calls of Accept.
type failingListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.ENOBUFS}
	}
	return l.Listener.Accept()
}

// TestFailedAcceptDoesNotEndServing guards against processes that live on and accept no more
// connections after the system was short of memory once.
func TestFailedAcceptDoesNotEndServing(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &failingListener{Listener: ln}
	l.failures.Store(3)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		done <- supervise.Serve(ctx, &http.Server{Handler: http.NotFoundHandler()}, l)
	}()
	res, err := http.Get("http://" + ln.Addr().String())
	if err != nil {
		t.Fatalf("no answer after failed accepts: %v", err)
	}
	_ = res.Body.Close()
	cancel()
	if err := <-done; err != nil {
		t.Errorf("Serve = %v", err)
	}
}
