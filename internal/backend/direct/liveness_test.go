package direct_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/damaskport/damaskport/internal/backend/direct"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

func TestLookProves(t *testing.T) {
	refused, reset := &direct.NotSentError{Err: syscall.ECONNREFUSED}, &direct.NotSentError{Err: syscall.ECONNRESET}
	for name, tc := range map[string]struct {
		look direct.Look
		want direct.Liveness
	}{
		"stays open":           {direct.Look{}, direct.Alive},
		"closed":               {direct.Look{Closed: true}, direct.Ended},
		"closed, others open":  {direct.Look{Closed: true, OthersOpen: true}, direct.Alive},
		"reset":                {direct.Look{DialErr: reset}, direct.Ended},
		"reset, others open":   {direct.Look{DialErr: reset, OthersOpen: true}, direct.Alive},
		"refused":              {direct.Look{DialErr: refused}, direct.Ended},
		"refused, others open": {direct.Look{DialErr: refused, OthersOpen: true}, direct.Ended},
		"time-out":             {direct.Look{DialErr: context.DeadlineExceeded}, direct.Unknown},
		"time-out, others":     {direct.Look{DialErr: context.DeadlineExceeded, OthersOpen: true}, direct.Unknown},
		"no files left":        {direct.Look{DialErr: syscall.EMFILE}, direct.Unknown},
	} {
		if got := tc.look.Liveness(); got != tc.want {
			t.Errorf("%s: %v, want %v", name, got, tc.want)
		}
	}
}

// TestServerThatClosesConnectionsSlowlyHasEnded guards against a busy machine on which a process that
// ends closes its listener long after its connections.
func TestServerThatClosesConnectionsSlowlyHasEnded(t *testing.T) {
	const slowSettle = 200 * time.Millisecond
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := direct.NewPool(ln.Addr().String(), clock.System{})
	go func() {
		first, err := ln.Accept()
		if err != nil {
			return
		}
		go answerAll(first)
		second, err := ln.Accept()
		if err != nil {
			return
		}
		_ = first.Close()
		time.Sleep(2 * slowSettle)
		_ = second.Close()
		_ = ln.Close()
	}()
	ans, err := p.Do(t.Context(), direct.Request{Method: http.MethodGet, Target: "/", Host: "a.example", Header: http.Header{}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, ans.Body); err != nil {
		t.Fatal(err)
	}
	_ = ans.Body.Close()
	if l := p.Liveness(t.Context(), slowSettle); l != direct.Ended {
		t.Errorf("the server counts as %v", l)
	}
}
