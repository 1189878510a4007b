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
	benchShards  = 4
	benchWindow  = clock.Hour
	benchTimeout = 5 * clock.Second
)

// countedLog counts the appends that reach the log, and the records that are read.
type countedLog struct {
	*logservice.Client
	appends, records *atomic.Int64
}

// Append counts and adds one record.
func (l countedLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	l.appends.Add(1)
	return l.Client.Append(ctx, stream, data)
}

// Read counts what it returns.
func (l countedLog) Read(ctx context.Context, stream string, from int64, limit int, wait clock.Millis) (logservice.Page, error) {
	page, err := l.Client.Read(ctx, stream, from, limit, wait)
	l.records.Add(int64(len(page.Records)))
	return page, err
}

// BenchmarkClaims measures claims per second, appends per second and records
// read per second, by the number of sidecars that share one log. Each sidecar
// has a fixed number of claims in progress.
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
			var duties, callers sync.WaitGroup
			all := startClaims(ctx, sidecars, log, &duties)
			var next atomic.Int64
			b.ResetTimer()
			for i, c := range all {
				for range inProgress {
					callers.Go(func() { claimUntil(ctx, c, i, &next, int64(b.N), &refused) })
				}
			}
			callers.Wait()
			took := b.Elapsed().Seconds()
			b.StopTimer()
			cancel()
			duties.Wait()
			b.ReportMetric(float64(b.N)/took, "claims/s")
			b.ReportMetric(float64(appends.Load())/took, "appends/s")
			b.ReportMetric(float64(records.Load())/took, "recordsRead/s")
			b.ReportMetric(float64(refused.Load()), "refused")
		})
	}
}

// startClaims runs n sidecars' claims until ctx ends.
func startClaims(ctx context.Context, n int, log claims.Log, wg *sync.WaitGroup) []*claims.Claims {
	var out []*claims.Claims
	for i := range n {
		c := claims.New(claims.Config{
			Incarnation: fmt.Sprint("sidecar-", i), Shards: benchShards, WindowMs: benchWindow, TimeoutMs: benchTimeout,
		}, log, clock.System{}, logging.Discard())
		c.SetPeers(n)
		out = append(out, c)
		wg.Go(func() {
			_ = supervise.New("bench", logging.Discard(), clock.System{}).Run(ctx, c.Tasks()...)
		})
	}
	return out
}

// claimUntil claims one key after the other until limit claims were made.
func claimUntil(ctx context.Context, c *claims.Claims, sidecar int, next *atomic.Int64, limit int64, refused *atomic.Int64) {
	for {
		n := next.Add(1)
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
