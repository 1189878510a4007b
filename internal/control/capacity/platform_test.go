package capacity_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/damaskport/damaskport/internal/control/capacity"
	"github.com/damaskport/damaskport/internal/control/lease"
	client "github.com/damaskport/damaskport/internal/platform/capacity"
	"github.com/damaskport/damaskport/internal/platform/logservice"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/logging"
	standin "github.com/damaskport/damaskport/internal/standin/fault"
	"github.com/damaskport/damaskport/internal/standin/platform"
)

// startReconciler runs a Reconciler with four desired servers until the returned
// function is called.
func startReconciler(url, name string) func() {
	ctx, cancel := context.WithCancel(context.Background())
	log := logservice.New(url, http.DefaultClient)
	leases := lease.New(lease.Config{Holder: name, LengthMs: 300}, log, clock.System{}, logging.Discard())
	sim := newSimulation(1, noFault, 4)
	cfg := capacity.Config{Author: name, CycleMs: 20, TimeoutMs: clock.Second}
	r := capacity.New(cfg, leases, log, client.New(url, http.DefaultClient), sim, sim, clock.System{}, logging.Discard())
	g := new(errgroup.Group)
	g.Go(func() error { return leases.Run(ctx) })
	g.Go(func() error { return r.Run(ctx) })
	return func() {
		cancel()
		_ = g.Wait()
	}
}

// TestLostAnswersAndNewHolder guards against servers that are started twice: the
// answers to orders that took effect are lost, and another process acquires the lease
// before the first one can send them again.
func TestLostAnswersAndNewHolder(t *testing.T) {
	p := platform.New(platform.Config{
		CheckFencing: true, StartUpMs: 100, Prices: []platform.Price{{Zone: "a", Pool: poolName, PerHour: 1}},
	})
	srv := httptest.NewServer(p.Handler())
	defer srv.Close()
	p.Faults().Add(standin.Fault{Path: "/v1/capacity/orders", Kind: standin.KindLoseAnswer, Count: 2})
	p.Faults().Add(standin.Fault{Path: "/v1/capacity/orders", Kind: standin.KindFail, Count: 2})
	deadline := time.Now().Add(20 * time.Second)
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	wait := func(what string, ok func(platform.State) bool) {
		t.Helper()
		for !ok(p.State()) {
			if <-tick.C; time.Now().After(deadline) {
				t.Fatalf("%s: not reached within 20 s; state %+v", what, p.State())
			}
		}
	}
	stop := startReconciler(srv.URL, "a")
	wait("first servers", func(st platform.State) bool { return len(st.Servers) >= 2 })
	stop()
	stop = startReconciler(srv.URL, "b")
	defer stop()
	wait("all servers", func(st platform.State) bool { return len(st.Servers) >= 4 })
	wait("outcomes", func(st platform.State) bool { return len(st.Streams["orders"].Records) >= 4 })
	st := p.State()
	authors := map[int64]string{}
	for _, o := range st.Orders {
		if by, ok := authors[o.Term]; ok && by != o.Author {
			t.Errorf("term %d used by both %s and %s", o.Term, by, o.Author)
		}
		authors[o.Term] = o.Author
	}
	if len(st.Servers) != 4 || len(authors) != 2 {
		t.Errorf("%d servers by %d authors, want 4 by 2; orders %+v", len(st.Servers), len(authors), st.Orders)
	}
}
