package solo_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/damaskport/damaskport/internal/operator/admin"
	"github.com/damaskport/damaskport/internal/role/solo"
	"github.com/damaskport/damaskport/internal/runtime/logging"
	"github.com/damaskport/damaskport/internal/state/directory"
)

// loaded is a deployment of one entry for the measurement of memory. The
// class of its requests has no target, so that none is shed.
func loaded(b *testing.B, slots int, tokenMs float64) *solo.Solo {
	b.Helper()
	cfg := solo.Defaults()
	cfg.Engines, cfg.Services, cfg.Slots, cfg.TokenMs = 1, 1, slots, tokenMs
	cfg.MaxWaiting = 10_000
	cfg.Classes = []directory.Class{{Name: "batch", Tier: 2, Pools: []string{solo.ModelPool, solo.ServicePool}, Resume: true}}
	cfg.Accounts = []directory.Account{{Name: "demo", Share: 1, Classes: []string{"batch"}}}
	s, err := solo.New(cfg, logging.Discard())
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	go func() { _ = s.Run(ctx) }()
	if err := s.WaitReady(b.Context()); err != nil {
		b.Fatal(err)
	}
	return s
}

// send opens one connection and sends a chat completion on it.
func send(b *testing.B, s *solo.Solo, nonce string, tokens int) net.Conn {
	b.Helper()
	u, err := url.Parse(s.URL())
	if err != nil {
		b.Fatal(err)
	}
	conn, err := net.Dial("tcp", u.Host)
	if err != nil {
		b.Fatal(err)
	}
	body := chat(nonce, tokens, true)
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		u.Host, s.Key("demo"), len(body), body)
	if err != nil {
		b.Fatal(err)
	}
	return conn
}

// inUse returns the bytes of the heap and of the stacks in use.
func inUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// waitForStatus returns once the entry's status shows enough requests that
// wait in it, and that run at the servers.
func waitForStatus(b *testing.B, s *solo.Solo, enough func(waiting, running int) bool) {
	b.Helper()
	deadline := time.Now().Add(time.Minute)
	for {
		waiting, running := status(b, s)
		if enough(waiting, running) {
			return
		}
		if time.Now().After(deadline) {
			b.Fatalf("%d waiting and %d running after a minute", waiting, running)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func status(b *testing.B, s *solo.Solo) (waiting, running int) {
	b.Helper()
	res, err := http.Get(s.AdminURL() + "/v1/status")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	var st admin.Status
	if err := json.NewDecoder(res.Body).Decode(&st); err != nil {
		b.Fatal(err)
	}
	for _, c := range st.Classes {
		waiting += c.Waiting
	}
	for _, server := range st.Servers {
		running += server.Running
	}
	return waiting, running
}

// BenchmarkWaiting measures memory and processor time per waiting request: the
// entry's and the sidecar's part together, beside the kernel's buffers.
func BenchmarkWaiting(b *testing.B) {
	for _, n := range []int{1000, 4000, 9000} {
		b.Run(fmt.Sprint("waiting=", n), func(b *testing.B) {
			for range b.N {
				s := loaded(b, 1, 60_000)
				first := send(b, s, "first", 1000)
				defer func() { _ = first.Close() }()
				waitForStatus(b, s, func(_, running int) bool { return running == 1 })
				before, cpu := inUse(), processorTime(b)
				for i := range n {
					c := send(b, s, fmt.Sprint("w", i), 1)
					defer func() { _ = c.Close() }()
				}
				waitForStatus(b, s, func(waiting, _ int) bool { return waiting == n })
				cpu = processorTime(b) - cpu
				b.ReportMetric((inUse()-before)/float64(n), "B/request")
				b.ReportMetric(float64(cpu.Microseconds())/float64(n), "cpu-us/request")
			}
		})
	}
}

// BenchmarkStreams measures memory per stream that is being answered: entry,
// sidecar and the stand-in of the engine together.
func BenchmarkStreams(b *testing.B) {
	for _, n := range []int{250, 1000, 2000} {
		b.Run(fmt.Sprint("streams=", n), func(b *testing.B) {
			for range b.N {
				s := loaded(b, n, 60_000)
				before := inUse()
				for i := range n {
					c := send(b, s, fmt.Sprint("s", i), 1000)
					defer func() { _ = c.Close() }()
				}
				waitForStatus(b, s, func(_, running int) bool { return running == n })
				b.ReportMetric((inUse()-before)/float64(n), "B/stream")
			}
		})
	}
}

// BenchmarkTokens measures processor time per token of streamed answers: the
// caller, entry, sidecar and the stand-in of the engine together, with one
// write per token.
func BenchmarkTokens(b *testing.B) {
	const tokens = 100
	for _, n := range []int{8, 32, 128} {
		b.Run(fmt.Sprint("streams=", n), func(b *testing.B) {
			s := loaded(b, n, 5)
			cpu := processorTime(b)
			b.ResetTimer()
			for range b.N {
				done := make(chan error, n)
				for i := range n {
					c := send(b, s, fmt.Sprint("t", i), tokens)
					go func() { done <- readToEnd(c) }()
				}
				for range n {
					if err := <-done; err != nil {
						b.Error(err)
					}
				}
			}
			cpu = processorTime(b) - cpu
			b.ReportMetric(float64(cpu.Nanoseconds())/float64(b.N*n*tokens), "cpu-ns/token")
		})
	}
}

// readToEnd reads a streamed answer up to its end mark.
func readToEnd(c net.Conn) error {
	defer func() { _ = c.Close() }()
	sc := bufio.NewScanner(c)
	for sc.Scan() {
		if strings.HasPrefix(sc.Text(), "data: [DONE]") {
			return nil
		}
	}
	return fmt.Errorf("stream ended without its end mark: %v", sc.Err())
}
