package commands

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/load/arrivals"
	"github.com/damaskport/damaskport/internal/load/deployment"
	"github.com/damaskport/damaskport/internal/report/attainment"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/logging"
)

// measure runs every scenario with every baseline and seed on deployments that
// it starts itself, one after the other.
func (c *loadCommand) measure(ctx context.Context) (attainment.Comparison, error) {
	var out attainment.Comparison
	seeds, err := c.seeds()
	if err != nil {
		return out, err
	}
	baselines, err := c.baselines()
	if err != nil {
		return out, err
	}
	scenarios, err := c.scenarios()
	if err != nil {
		return out, err
	}
	total := len(scenarios) * len(baselines) * len(seeds)
	for _, s := range scenarios {
		for _, b := range baselines {
			for _, seed := range seeds {
				_, _ = fmt.Fprintf(c.o.err, "event=run number=%d of=%d scenario=%s deployment=%s baseline=%s seed=%d\n",
					len(out.Runs)+1, total, s.Name, s.Deployment.Name, b.Name, seed)
				res, err := c.one(ctx, s, b, seed)
				if err != nil {
					return out, errors.Wrapf(err, "%s with %s, seed %d", s.Name, b.Name, seed)
				}
				out.Runs = append(out.Runs, res)
			}
		}
	}
	return out, nil
}

func (c *loadCommand) one(ctx context.Context, s arrivals.Scenario, b deployment.Baseline, seed uint64) (attainment.Result, error) {
	log, err := logging.New(c.o.err, c.LogLevel)
	if err != nil {
		return attainment.Result{}, err
	}
	sched := arrivals.Generate(s, seed, clock.FromDuration(c.Duration))
	return deployment.Measure(ctx, sched, b, log, c.o.err)
}

func (c *loadCommand) scenarios() ([]arrivals.Scenario, error) {
	var out []arrivals.Scenario
	names := strings.Split(c.Scenario, ",")
	if c.Scenario == "all" {
		names = arrivals.Names()
	}
	for _, name := range names {
		s, err := c.scenario(name)
		if err != nil {
			return nil, err
		}
		out = append(out, s)
	}
	return out, nil
}

func (c *loadCommand) baselines() ([]deployment.Baseline, error) {
	if c.Baseline == "all" {
		return deployment.Baselines(), nil
	}
	var out []deployment.Baseline
	for _, name := range strings.Split(c.Baseline, ",") {
		b, err := deployment.BaselineNamed(name)
		if err != nil {
			return nil, err
		}
		out = append(out, b)
	}
	return out, nil
}

func (c *loadCommand) seeds() ([]uint64, error) {
	if c.Seeds == "" {
		return []uint64{c.Seed}, nil
	}
	var out []uint64
	for _, text := range strings.Split(c.Seeds, ",") {
		n, err := strconv.ParseUint(strings.TrimSpace(text), 10, 64)
		if err != nil {
			return nil, errors.Errorf("--seeds: %q is not a number", text)
		}
		out = append(out, n)
	}
	return out, nil
}
