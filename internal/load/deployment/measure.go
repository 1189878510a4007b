package deployment

import (
	"context"
	"io"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/damaskport/damaskport/internal/load/arrivals"
	"github.com/damaskport/damaskport/internal/load/openloop"
	"github.com/damaskport/damaskport/internal/report/attainment"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	startTimeout = 20 * time.Second
	// runDrain is how long open requests may last after the last arrival.
	runDrain = 6 * clock.Second
	// enginePerHour is the price of one engine, in units of money.
	enginePerHour = 2.5
)

// Measure starts the deployment of sched with a baseline's policy, sends the
// schedule, causes the faults, and returns the figures.
func Measure(ctx context.Context, sched arrivals.Schedule, b Baseline, log logrus.FieldLogger, progress io.Writer) (attainment.Result, error) {
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	d, err := Start(startCtx, sched.Scenario, b.Policy, log)
	if err != nil {
		return attainment.Result{}, err
	}
	var samples []openloop.Sample
	var g errgroup.Group
	g.Go(func() error { return d.Inject(ctx, sched.Duration) })
	g.Go(func() error {
		samples, err = openloop.Run(ctx, sched, openloop.Options{Target: d.Target, Keys: d.keys, DrainMs: runDrain, Progress: progress})
		return err
	})
	err = g.Wait()
	seconds := d.ServerSeconds()
	if stopErr := d.Stop(); err == nil {
		err = stopErr
	}
	if err != nil {
		return attainment.Result{}, err
	}
	if ctx.Err() != nil {
		return attainment.Result{}, ctx.Err()
	}
	res := attainment.Compute(sched, samples).WithBaseline(b.Name)
	return res.WithGenerated(d.Generated()).WithCost(seconds, enginePerHour), nil
}
