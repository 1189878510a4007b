package callerconn_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/damaskport/damaskport/internal/caller/callerconn"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// TestCloseDoesNotCutAnswer guards against answers that are lost because a server that shuts down took
// a connection for idle on which a request had just been read.
func TestCloseDoesNotCutAnswer(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := callerconn.NewListener(ln, clock.System{}, func() callerconn.Limits {
		return callerconn.Limits{IdleMs: clock.Minute, HeadMs: clock.Minute}
	})
	conns := make(chan net.Conn, 1)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = (<-conns).Close() // as http.Server.Shutdown does
		w.WriteHeader(http.StatusNoContent)
	})}
	l.Attach(srv)
	track := srv.ConnState
	srv.ConnState = func(c net.Conn, st http.ConnState) {
		if st == http.StateNew {
			conns <- c
		}
		track(c, st)
	}
	go func() { _ = srv.Serve(l) }()
	defer srv.Close()
	res, err := http.Post("http://"+ln.Addr().String(), "", nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	_ = res.Body.Close()
	if res.StatusCode != http.StatusNoContent {
		t.Errorf("status %d, want 204", res.StatusCode)
	}
}
