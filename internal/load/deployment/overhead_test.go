package deployment_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
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
	s, err := arrivals.Named(arrivals.Demo, arrivals.Colombo)
	if err != nil {
		b.Fatal(err)
	}
	s.Accounts = []arrivals.Account{{Name: benchAccount, Share: 1}}
	s.Deployment.Zones = s.Deployment.Zones[:1]
	s.Deployment.TokenMs = 0
	s.Deployment.Slots = 64
	baseline, err := deployment.BaselineNamed(deployment.Ours)
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(b.Context(), 20*time.Second)
	defer cancel()
	d, err := deployment.Start(ctx, s, baseline.Policy, logging.Discard())
	if err != nil {
		b.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
	b.Cleanup(func() {
		client.CloseIdleConnections()
		if err := d.Stop(); err != nil {
			b.Error(err)
		}
	})
	path = target{d.Target(0), d.Keys()[benchAccount], s.Classes[0].Class.Name, s.Deployment.Model, client}
	direct = path
	direct.url = d.EngineURL(0)
	return path, direct
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

func quantile(times []time.Duration, q float64) time.Duration {
	sorted := slices.Sorted(slices.Values(times))
	return sorted[min(len(sorted)-1, int(float64(len(sorted))*q/100))]
}

func millis(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
