package commands

import (
	"runtime/debug"

	"github.com/jessevdk/go-flags"

	"github.com/damaskport/damaskport/internal/operator/settings"
	"github.com/damaskport/damaskport/internal/role/scheduler"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/logging"
)

type schedulerCommand struct {
	settingsFlag
	o output
}

func addScheduler(p *flags.Parser, o output) error {
	_, err := p.AddCommand("scheduler", "Run the scheduler beside a model engine",
		"Orders the starts of all gateways' requests at the engine beside it.", &schedulerCommand{o: o})
	return err
}

// Execute runs the scheduler until a signal arrives.
func (c *schedulerCommand) Execute([]string) error {
	cfg, err := settings.LoadScheduler(c.Settings)
	if err != nil {
		return err
	}
	log, err := logging.New(c.o.out, cfg.LogLevel)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(cfg.MemoryMb * memoryPart * (1 << 20)))
	s, err := scheduler.New(cfg, log.WithField("instance", cfg.Name), clock.System{})
	if err != nil {
		return err
	}
	ctx, stop := untilSignal()
	defer stop()
	// A scheduler's settings are addresses and limits, which a restart applies.
	go watchSettings(ctx, c.Settings, log, func() error {
		_, err := settings.LoadScheduler(c.Settings)
		return err
	})
	return s.Run(ctx)
}
