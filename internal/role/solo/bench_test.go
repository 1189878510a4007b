package solo_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/damaskport/damaskport/internal/role/solo"
	"github.com/damaskport/damaskport/internal/runtime/logging"
)

// BenchmarkPath compares the first token through entry and sidecar with the
// first token straight from an engine without delay, by callers in parallel.
func BenchmarkPath(b *testing.B) {
	cfg := solo.Defaults()
	cfg.TokenMs, cfg.Slots, cfg.Services = 0, 64, 1
	s, err := solo.New(cfg, logging.Discard())
	if err != nil {
		b.Fatal(err)
	}
	ctx := b.Context()
	go func() { _ = s.Run(ctx) }()
	if err := s.WaitReady(ctx); err != nil {
		b.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	for _, callers := range []int{1, 64} {
		for _, target := range []struct{ name, url string }{{"direct", s.EngineURL(0)}, {"routed", s.URL()}} {
			b.Run(fmt.Sprintf("%s/callers=%d", target.name, callers), func(b *testing.B) {
				measure(b, client, target.url, s.Key("demo"), callers)
			})
		}
	}
}

func measure(b *testing.B, client *http.Client, url, key string, callers int) {
	var mu sync.Mutex
	var all []time.Duration
	work := make(chan int, b.N)
	for i := range b.N {
		work <- i
	}
	close(work)
	var wg sync.WaitGroup
	began := time.Now()
	for range callers {
		wg.Go(func() {
			for range work {
				d := firstToken(b, client, url, key)
				mu.Lock()
				all = append(all, d)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	took := time.Since(began)
	slices.Sort(all)
	b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99-us")
	b.ReportMetric(float64(len(all))/took.Seconds(), "requests/s")
}

func firstToken(b *testing.B, client *http.Client, url, key string) time.Duration {
	req, err := http.NewRequestWithContext(b.Context(), http.MethodPost, url+"/v1/chat/completions", strings.NewReader(chat("n", 4, true)))
	if err != nil {
		b.Error(err)
		return 0
	}
	req.Header.Set("Authorization", "Bearer "+key)
	began := time.Now()
	res, err := client.Do(req)
	if err != nil {
		b.Error(err)
		return 0
	}
	defer res.Body.Close()
	var first [1]byte
	if _, err := io.ReadFull(res.Body, first[:]); err != nil {
		b.Error(err)
	}
	took := time.Since(began)
	if res.StatusCode != http.StatusOK {
		b.Errorf("status %d", res.StatusCode)
	}
	_, _ = io.Copy(io.Discard, res.Body)
	return took
}
