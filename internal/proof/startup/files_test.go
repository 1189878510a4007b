package startup_test

import (
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/damaskport/damaskport/internal/proof/cluster"
)

// TestNoOpenFilesLeftDoesNotEndProcess guards against processes that end, or never serve again, because
// connections have all files that they may open: while they serve, read changed settings, and stop.
func TestNoOpenFilesLeftDoesNotEndProcess(t *testing.T) {
	t.Parallel()
	const files, conns = 80, 160
	eachRole(t, allRoles, func(t *testing.T, s *server) {
		t.Parallel()
		p := s.startLimited(t, cluster.Limits{Files: files})
		awaitStart(t, p)
		free := s.useAllFiles(t, conns)
		p.Signal(syscall.SIGHUP)
		time.Sleep(300 * time.Millisecond)
		if p.Exited() {
			t.Fatalf("ended with status %d", p.WaitExit())
		}
		free()
		c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		served := false
		for end := time.Now().Add(startTime); !served && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			if res, err := c.Get("http://" + s.lastAddr + "/metrics"); err == nil {
				_ = res.Body.Close()
				served = true
			}
		}
		if !served {
			t.Errorf("no answer %v after its connections were closed", startTime)
		}
		free = s.useAllFiles(t, conns)
		p.Signal(syscall.SIGTERM)
		if code := p.WaitExit(); code != 0 {
			t.Errorf("status %d after a planned stop, -1 for a signal, want 0", code)
		}
		free()
	})
}

// useAllFiles opens n connections to the process, and returns a function that closes them.
func (s *server) useAllFiles(t *testing.T, n int) (closeAll func()) {
	t.Helper()
	var open []net.Conn
	for range n {
		c, err := net.DialTimeout("tcp", s.lastAddr, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, c)
	}
	time.Sleep(300 * time.Millisecond)
	return func() {
		for _, c := range open {
			_ = c.Close()
		}
	}
}
