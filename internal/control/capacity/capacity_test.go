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

// TestExactlyTheDesiredServers starts four servers, and then stops three of
// them, with lost, late and refused orders, lost and late records, a list that
// lags and many tenures. There must never be a fifth server, and never fewer
// than what remains.
func TestExactlyTheDesiredServers(t *testing.T) {
	sends := 0
	for seed := range uint64(300) {
		w := newWorld(seed, noFault, 4)
		if err := w.run(); err != nil {
			t.Fatalf("seed %d: starting: %v", seed, err)
		}
		w.desired = 1
		if err := w.run(); err != nil {
			t.Fatalf("seed %d: stopping: %v", seed, err)
		}
		sends += w.sends
	}
	t.Logf("%d orders sent for 2100 needs", sends)
}

// TestModelFindsFaults shows that the run fails when one mechanism is off.
func TestModelFindsFaults(t *testing.T) {
	for f, name := range map[fault]string{newIDs: "newIDs", unnumbered: "unnumbered", oneEach: "oneEach"} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(300) {
				if err := newWorld(seed, f, 4).run(); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Error("no violation found in 300 seeds")
		})
	}
}

// TestLapsedTenureSendsNothing has the lease end before the first order.
func TestLapsedTenureSendsNothing(t *testing.T) {
	w := newWorld(1, noFault, 4)
	r := capacity.New(capacity.Config{Author: "e1", TimeoutMs: clock.Second}, lapsed{w}, w, w, w, w, w, logging.Discard())
	_ = r.Run(context.Background())
	if diff := cmp.Diff([]int{0, 0}, []int{w.sends, len(w.log)}); diff != "" {
		t.Errorf("orders and records of a lapsed tenure (-want +got):\n%s", diff)
	}
}

type lapsed struct{ *world }

func (l lapsed) Keep(ctx context.Context, name string, run func(context.Context, *lease.Tenure) error) error {
	ctx, l.cancel = context.WithCancel(ctx)
	l.steps = 195
	return run(ctx, lease.NewTenure(name, 1, l.now, l.world))
}
