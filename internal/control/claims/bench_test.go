package claims_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/damaskport/damaskport/internal/control/claims"
	"github.com/damaskport/damaskport/internal/platform/logservice"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/logging"
	"github.com/damaskport/damaskport/internal/runtime/supervise"
	"github.com/damaskport/damaskport/internal/standin/platform"
)

const (
	shards        = 4
	window        = clock.Hour
	appendTimeout = 5 * clock.Second
)

// countedLog is a log client that counts appends sent to the log and records read
// from it.
type countedLog struct {
	*logservice.Client
	appends, records *atomic.Int64
}

// Append counts the append and passes it on.
func (l countedLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	l.appends.Add(1)
	return l.Client.Append(ctx, stream, data)
}

// Read reads a page and counts its records.
func (l countedLog) Read(ctx context.Context, stream string, from int64, limit int, wait clock.Millis) (logservice.Page, error) {
	page, err := l.Client.Read(ctx, stream, from, limit, wait)
	l.records.Add(int64(len(page.Records)))
	return page, err
}

// BenchmarkClaims measures claims per second, appends per second and records read per
// second, by the number of sidecars that share one log. Each sidecar has 64 claims in
// progress.
func BenchmarkClaims(b *testing.B) {
	const inProgress = 64
	for _, sidecars := range []int{1, 4, 16, 32} {
		b.Run(fmt.Sprint("sidecars=", sidecars), func(b *testing.B) {
			srv := httptest.NewServer(platform.New(platform.Config{AppendsPerSecond: 400}).Handler())
			defer srv.Close()
			var appends, records, refused atomic.Int64
			log := countedLog{
				logservice.New(srv.URL, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}), &appends, &records,
			}
			ctx, cancel := context.WithCancel(b.Context())
			var tasks, callers sync.WaitGroup
			allClaims := startClaims(ctx, sidecars, log, &tasks)
			var started atomic.Int64
			b.ResetTimer()
			for i, c := range allClaims {
				for range inProgress {
					callers.Go(func() { runCaller(ctx, c, i, &started, int64(b.N), &refused) })
				}
			}
			callers.Wait()
			seconds := b.Elapsed().Seconds()
			b.StopTimer()
			cancel()
			tasks.Wait()
			b.ReportMetric(float64(b.N)/seconds, "claims/s")
			b.ReportMetric(float64(appends.Load())/seconds, "appends/s")
			b.ReportMetric(float64(records.Load())/seconds, "recordsRead/s")
			b.ReportMetric(float64(refused.Load()), "refused")
		})
	}
}

// startClaims runs the claims of n sidecars until ctx ends.
func startClaims(ctx context.Context, n int, log claims.Log, wg *sync.WaitGroup) []*claims.Claims {
	var out []*claims.Claims
	for i := range n {
		c := claims.New(claims.Config{
			Incarnation: fmt.Sprint("sidecar-", i), Shards: shards, WindowMs: window, TimeoutMs: appendTimeout,
		}, log, clock.System{}, logging.Discard())
		c.SetPeers(n)
		out = append(out, c)
		wg.Go(func() {
			_ = supervise.New("bench", logging.Discard(), clock.System{}).Run(ctx, c.Tasks()...)
		})
	}
	return out
}

// runCaller claims one new key after the other until all sidecars together have made
// limit claims.
func runCaller(ctx context.Context, c *claims.Claims, sidecar int, started *atomic.Int64, limit int64, refused *atomic.Int64) {
	for {
		n := started.Add(1)
		if n > limit || ctx.Err() != nil {
			return
		}
		attempt := fmt.Sprintf("%d-%d-%d", sidecar, n, time.Now().UnixNano())
		if _, ok := c.Claim(ctx, "account", "/booking", "key-"+attempt, attempt); !ok {
			refused.Add(1)
			continue
		}
		c.Finish(attempt, http.StatusOK)
	}
}
