package capacity_test

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/damaskport/damaskport/internal/control/capacity"
	"github.com/damaskport/damaskport/internal/control/lease"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/logging"
)

// TestServersMatchDesiredNumber guards against orders that take effect twice. In a
// simulation it starts four servers and then stops three of them, over many tenures,
// while orders are lost, delayed and rejected, records are lost and delayed, and the
// list lags. There must never be more than four servers, nor fewer than the desired
// number while servers are stopped.
func TestServersMatchDesiredNumber(t *testing.T) {
	requests := 0
	for seed := range uint64(300) {
		sim := newSimulation(seed, noFault, 4)
		if err := sim.run(); err != nil {
			t.Fatalf("seed %d: while servers are started: %v", seed, err)
		}
		sim.desired = 1
		if err := sim.run(); err != nil {
			t.Fatalf("seed %d: while servers are stopped: %v", seed, err)
		}
		requests += sim.requests
	}
	t.Logf("%d requests sent for 2100 orders", requests)
}

// TestSimulationDetectsDisabledMechanisms checks that the simulation finds a
// violation when one mechanism of the protocol is disabled.
func TestSimulationDetectsDisabledMechanisms(t *testing.T) {
	for f, name := range map[fault]string{newOrderIDs: "newOrderIDs", staleRecords: "staleRecords", ignorePending: "ignorePending"} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(300) {
				if err := newSimulation(seed, f, 4).run(); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Error("no violation found with 300 seeds")
		})
	}
}

// TestNoOrdersAfterLeaseEnds checks that no order is sent and no record written if
// the lease ends before the first order.
func TestNoOrdersAfterLeaseEnds(t *testing.T) {
	sim := newSimulation(1, noFault, 4)
	r := capacity.New(capacity.Config{Author: "e1", TimeoutMs: clock.Second}, expiredLease{sim}, sim, sim, sim, sim, sim, logging.Discard())
	_ = r.Run(context.Background())
	if diff := cmp.Diff([]int{0, 0}, []int{sim.requests, len(sim.log)}); diff != "" {
		t.Errorf("orders and records after the lease ended (-want +got):\n%s", diff)
	}
}

// expiredLease is a simulation whose only lease has no time remaining.
type expiredLease struct{ *simulation }

func (l expiredLease) Keep(ctx context.Context, name string, run func(context.Context, *lease.Tenure) error) error {
	ctx, l.cancel = context.WithCancel(ctx)
	l.steps = 195
	return run(ctx, lease.NewTenure(name, 1, l.now, l.simulation))
}
