package deployment_test

import (
	"testing"

	"go.uber.org/goleak"

	"github.com/damaskport/damaskport/internal/load/arrivals"
	"github.com/damaskport/damaskport/internal/load/deployment"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/logging"
)

const seed = 3

// TestMeasureWithFaults runs a light load through every fault and expects that
// no answer is damaged and that the engines' counts are taken in.
func TestMeasureWithFaults(t *testing.T) {
	defer goleak.VerifyNone(t)
	s, err := arrivals.Named(arrivals.Eruption, arrivals.Vienna)
	if err != nil {
		t.Fatal(err)
	}
	s.LoadPercent, s.Phases = 25, nil
	s.Faults = []arrivals.Fault{
		{Kind: arrivals.FaultStaleReports, DelayMs: clock.Second},
		{Kind: arrivals.FaultStraggler, AtPercent: 10, Server: 1, Factor: 3},
		{Kind: arrivals.FaultCrashedZone, AtPercent: 40, Zone: "b"},
		{Kind: arrivals.FaultColdStart, AtPercent: 70, DelayMs: 200},
	}
	baseline, err := deployment.BaselineNamed(deployment.Ours)
	if err != nil {
		t.Fatal(err)
	}
	sched := arrivals.Generate(s, seed, 3*clock.Second)
	res, err := deployment.Measure(t.Context(), sched, baseline, logging.Discard(), t.Output())
	if err != nil {
		t.Fatal(err)
	}
	c := res.Totals.Counts
	if c.Sent != len(sched.Requests) || c.Truncated+c.Duplicated+c.Wrong > 0 {
		t.Errorf("seed %d: %+v of %d requests, incorrect: %v", seed, c, len(sched.Requests), res.Incorrect)
	}
	if c.Complete < c.Sent/2 {
		t.Errorf("seed %d: %d of %d requests were answered: %v", seed, c.Complete, c.Sent, res.Totals.Errors)
	}
	if !res.Totals.EnginesCounted || res.Totals.GeneratedTokens < res.Totals.GoodTokens || res.Cost.ServerSeconds <= 0 {
		t.Errorf("seed %d: %+v, cost %+v", seed, res.Totals, res.Cost)
	}
}
