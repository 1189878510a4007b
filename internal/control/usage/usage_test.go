package usage_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/damaskport/damaskport/internal/control/lease"
	"github.com/damaskport/damaskport/internal/control/usage"
	"github.com/damaskport/damaskport/internal/platform/logservice"
	reports "github.com/damaskport/damaskport/internal/platform/usage"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/logging"
	"github.com/damaskport/damaskport/internal/standin/fault"
	"github.com/damaskport/damaskport/internal/standin/platform"
)

// Times are short, so that a test covers many windows.
const (
	windowMs = 200 * clock.Millisecond
	cycleMs  = 20 * clock.Millisecond
	lengthMs = 300 * clock.Millisecond
)

// startReporter runs the Reporter of a single shard until the returned function is
// called.
func startReporter(url, name string) func() {
	ctx, cancel := context.WithCancel(context.Background())
	log := logservice.New(url, http.DefaultClient)
	leases := lease.New(lease.Config{Holder: name, LengthMs: lengthMs}, log, clock.System{}, logging.Discard())
	cfg := usage.Config{
		Author: name, Shards: 1, WindowMs: windowMs, GraceMs: windowMs / 2, TimeoutMs: clock.Second, CycleMs: cycleMs,
	}
	r := usage.New(cfg, leases, log, reports.New(url), clock.System{}, logging.Discard(), tally.NoopScope)
	g := new(errgroup.Group)
	g.Go(func() error { return leases.Run(ctx) })
	g.Go(func() error { return r.Run(ctx) })
	return func() {
		cancel()
		_ = g.Wait()
	}
}

// TestReportsAddUp guards against usage that is reported twice or not at all. It
// counts usage over many windows while the log and the platform lose answers and
// fail, and replaces the reporter halfway. Retries of a report must have the same
// figures, and all reports must add up to the usage counted.
func TestReportsAddUp(t *testing.T) {
	p := platform.New(platform.Config{})
	srv := httptest.NewServer(p.Handler())
	defer srv.Close()
	log := logservice.New(srv.URL, http.DefaultClient)
	stop := startReporter(srv.URL, "r0")
	ctx, cancel := context.WithCancel(context.Background())
	g := new(errgroup.Group)
	cfg := usage.CounterConfig{Incarnation: "s", WindowMs: windowMs, IntervalMs: cycleMs, TimeoutMs: clock.Second}
	counter := usage.NewCounter(cfg, log, clock.System{}, logging.Discard())
	g.Go(func() error { return counter.Run(ctx) })
	faults := []fault.Fault{
		{Path: "/v1/usage", Method: http.MethodPost, Kind: fault.KindLoseAnswer, Count: 2},
		{Path: "/v1/streams/usage/records", Method: http.MethodPost, Kind: fault.KindLoseAnswer, Count: 4},
		{Path: "/v1/usage", Method: http.MethodPost, Kind: fault.KindFail, Count: 1},
		{Path: "/v1/streams/usage/records", Method: http.MethodPost, Kind: fault.KindFail, Count: 2},
	}
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	const adds = 300
	for i := range adds {
		<-tick.C
		counter.Add([]string{"harbour", "meadow"}[i%2], 3, 4)
		if i%60 == 30 {
			p.Faults().Add(faults[i/60%len(faults)])
		}
		if i == adds/2 {
			stop()
			stop = startReporter(srv.URL, "r1")
		}
	}
	cancel()
	_ = g.Wait()
	counted := map[string]int64{"harbour": adds / 2 * 7, "meadow": adds / 2 * 7}
	deadline := time.Now().Add(20 * time.Second)
	sum := sumReports(t, p)
	for !cmp.Equal(counted, sum) && time.Now().Before(deadline) {
		<-tick.C
		sum = sumReports(t, p)
	}
	stop()
	if diff := cmp.Diff(counted, sum); diff != "" {
		t.Errorf("tokens reported (-counted +reported):\n%s", diff)
	}
}

// sumReports checks that retries of a report differ only in sender, term and time of
// arrival, and returns the reported tokens by account.
func sumReports(t *testing.T, p *platform.Platform) map[string]int64 {
	t.Helper()
	first := map[string]platform.UsageReport{}
	sum := map[string]int64{}
	terms := map[int64]string{}
	for _, r := range p.State().Usage {
		if by, ok := terms[r.Term]; ok && by != r.Author {
			t.Fatalf("term %d used by both %s and %s", r.Term, by, r.Author)
		}
		terms[r.Term] = r.Author
		r.Author, r.Term, r.ReceivedMs = "", 0, 0
		original, ok := first[r.ReportID]
		if ok {
			if diff := cmp.Diff(original, r); diff != "" {
				t.Fatalf("retry of a report has other figures (-first +retry):\n%s", diff)
			}
			continue
		}
		first[r.ReportID] = r
		sum[r.Account] += r.PromptTokens + r.OutputTokens + r.CorrectionTokens
	}
	return sum
}
