package callerconn_test

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

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

// pausedClock pauses the process before the given reading.
type pausedClock struct {
	clock.System
	readings atomic.Int64
	pausedAt int64
	pause    time.Duration
}

func (c *pausedClock) Now() clock.Millis {
	if c.readings.Add(1) == c.pausedAt {
		time.Sleep(c.pause)
	}
	return c.System.Now()
}

// TestPausedConnectionWaits guards against idle connections that are read without end, or closed early, after
// the process was paused between two readings of the time.
func TestPausedConnectionWaits(t *testing.T) {
	const idle, maxReadings = 200 * time.Millisecond, 20
	for pausedAt := int64(1); pausedAt <= 4; pausedAt++ {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		c := &pausedClock{pausedAt: pausedAt, pause: idle / 4}
		l := callerconn.NewListener(ln, c, func() callerconn.Limits { return callerconn.Limits{IdleMs: clock.FromDuration(idle)} })
		srv := &http.Server{}
		l.Attach(srv)
		go func() { _ = srv.Serve(l) }()
		nc, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		_, err = nc.Read(make([]byte, 1))
		if took := time.Since(began); err != io.EOF || took < idle {
			t.Errorf("paused before reading %d: %v after %v, want %v after %v", pausedAt, err, took, io.EOF, idle)
		}
		if n := c.readings.Load(); n > maxReadings {
			t.Errorf("paused before reading %d: %d readings of the time, want at most %d", pausedAt, n, maxReadings)
		}
		_, _ = nc.Close(), srv.Close()
	}
}
