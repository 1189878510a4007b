package deployment_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/damaskport/damaskport/internal/load/arrivals"
	"github.com/damaskport/damaskport/internal/load/deployment"
	"github.com/damaskport/damaskport/internal/load/openloop"
	"github.com/damaskport/damaskport/internal/runtime/logging"
)

const benchAccount = "bench"

// target is where a benchmark sends its requests.
type target struct {
	url, key, class, model string
	client                 *http.Client
}

// unloaded starts one entry before nine engines without delay.
func unloaded(b *testing.B) (path, direct target) {
	b.Helper()
	d, s := single(b, 64, 0, deployment.Ours)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
	b.Cleanup(client.CloseIdleConnections)
	path = target{d.Target(0), d.Keys()[benchAccount], s.Classes[0].Class.Name, s.Deployment.Model, client}
	direct = path
	direct.url = d.EngineURL(0)
	return path, direct
}

// single starts one entry before nine engines.
func single(b *testing.B, slots int, tokenMs float64, policy string) (*deployment.Deployment, arrivals.Scenario) {
	b.Helper()
	s, err := arrivals.Named(arrivals.Demo, arrivals.Colombo)
	if err != nil {
		b.Fatal(err)
	}
	s.Accounts = []arrivals.Account{{Name: benchAccount, Share: 1}}
	s.Deployment.Zones = s.Deployment.Zones[:1]
	s.Deployment.TokenMs = tokenMs
	s.Deployment.Slots = slots
	baseline, err := deployment.BaselineNamed(policy)
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(b.Context(), 20*time.Second)
	defer cancel()
	d, err := deployment.Start(ctx, s, baseline.Policy, logging.Discard())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		if err := d.Stop(); err != nil {
			b.Error(err)
		}
	})
	return d, s
}

// chat sends a request for one token and returns the time to the first event.
func (t target) chat(ctx context.Context) (time.Duration, error) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":"nonce:b tokens:1"}]}`, t.model)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, t.url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+t.key)
	req.Header.Set(openloop.HeaderClass, t.class)
	begin := time.Now()
	resp, err := t.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	r := bufio.NewReader(resp.Body)
	line, err := r.ReadString('\n')
	took := time.Since(begin)
	if err != nil || !strings.Contains(line, "b-0") {
		return 0, fmt.Errorf("status %d, first line %q, %v", resp.StatusCode, line, err)
	}
	rest, err := io.ReadAll(r)
	if err == nil && !strings.HasSuffix(string(rest), "data: [DONE]\n\n") {
		err = fmt.Errorf("no end mark in %q", rest)
	}
	return took, err
}

// BenchmarkFirstToken reports quantiles of the time to the first token
// straight from an engine and through entry and sidecar, taken in turn.
func BenchmarkFirstToken(b *testing.B) {
	path, direct := unloaded(b)
	times := map[target][]time.Duration{}
	for b.Loop() {
		for _, t := range []target{direct, path} {
			took, err := t.chat(b.Context())
			if err != nil {
				b.Fatal(err)
			}
			times[t] = append(times[t], took)
		}
	}
	for _, q := range []float64{50, 99} {
		d, p := quantile(times[direct], q), quantile(times[path], q)
		b.ReportMetric(millis(d), fmt.Sprintf("direct-p%g-ms", q))
		b.ReportMetric(millis(p-d), fmt.Sprintf("added-p%g-ms", q))
	}
}

// BenchmarkThroughput reports requests per second through one entry.
func BenchmarkThroughput(b *testing.B) {
	const callers = 128
	path, _ := unloaded(b)
	work := make(chan struct{})
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for range work {
				if _, err := path.chat(b.Context()); err != nil {
					b.Error(err)
				}
			}
		})
	}
	b.ResetTimer()
	for range b.N {
		work <- struct{}{}
	}
	close(work)
	wg.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}

// BenchmarkWaiting reports the memory of a request that waits in an entry,
// with its reservations at the sidecars and without its caller's side.
func BenchmarkWaiting(b *testing.B) {
	for _, n := range []int{1000, 2000, 4000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			d, s := single(b, 1, 60_000, "noShedding")
			before, goroutines := memory(), runtime.NumGoroutine()
			conns := make([]net.Conn, n)
			for i := range conns {
				conns[i] = send(b, d, s, i)
			}
			for runtime.NumGoroutine() < goroutines+n {
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(time.Second) // until the reservations have arrived
			b.ReportMetric(float64(memory()-before)/float64(n)/1024, "KiB/request")
			for _, c := range conns {
				_ = c.Close()
			}
		})
	}
}

// send writes a request on a connection of its own, without reading from it.
func send(b *testing.B, d *deployment.Deployment, s arrivals.Scenario, i int) net.Conn {
	b.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(d.Target(0), "http://"))
	if err != nil {
		b.Fatal(err)
	}
	q := arrivals.Request{Account: benchAccount, Nonce: strconv.Itoa(i), Tokens: 10, PromptChars: 200}
	system, user := q.Prompt()
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"system","content":%q},{"role":"user","content":%q}]}`, s.Deployment.Model, system, user)
	_, err = fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		d.Keys()[benchAccount], len(body), body)
	if err != nil {
		b.Fatal(err)
	}
	return c
}

// memory returns the bytes of the heap and the stacks in use.
func memory() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

func quantile(times []time.Duration, q float64) time.Duration {
	sorted := slices.Sorted(slices.Values(times))
	return sorted[min(len(sorted)-1, int(float64(len(sorted))*q/100))]
}

func millis(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
