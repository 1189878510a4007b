package commands

import (
	"context"
	"runtime/debug"
	"sync/atomic"

	"github.com/jessevdk/go-flags"
	"golang.org/x/sync/errgroup"

	"github.com/damaskport/damaskport/internal/operator/settings"
	"github.com/damaskport/damaskport/internal/role/gateway"
	"github.com/damaskport/damaskport/internal/role/process"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/logging"
	"github.com/damaskport/damaskport/platform"
)

const (
	// memoryPart is the part of the process's memory that the garbage collector
	// keeps the heap below; the rest is for stacks, buffers and bursts.
	memoryPart = 0.6
	// gcPercent trades memory, of which a gateway needs little, for processor time.
	gcPercent = 200
)

type gatewayCommand struct {
	settingsFlag
	o output
}

func addGateway(p *flags.Parser, o output) error {
	_, err := p.AddCommand("gateway", "Run an entry that reaches backend servers directly",
		"Takes callers' requests and brings them to backend servers; the platform's store holds what must last.", &gatewayCommand{o: o})
	return err
}

// Execute runs the gateway until a signal arrives.
func (c *gatewayCommand) Execute([]string) error {
	hup := catchHangup()
	cfg, err := settings.LoadGateway(c.Settings)
	if err != nil {
		return err
	}
	log, sink, err := logging.NewBounded(c.o.out, cfg.LogLevel, logging.Bound{LinesPerS: int(cfg.LogLinesPerS), BytesPerS: int(cfg.LogBytesPerS)})
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(cfg.MemoryMb * memoryPart * (1 << 20)))
	var now atomic.Pointer[settings.Gateway]
	now.Store(&cfg)
	g, err := gateway.New(cfg, gateway.Deps{
		Log: log.WithField("instance", cfg.Name), Clock: clock.System{}, ProcessID: process.NewIncarnation(),
		Dropped:       sink.Dropped,
		Codec:         platform.Codec{},
		Store:         platform.NewStore(func() string { return now.Load().Store.Addr }),
		UsageReporter: platform.NewDuties(func() string { return now.Load().Duties.Addr }, cfg.Name),
		Decoder:       platform.Decoder(),
	})
	if err != nil {
		return err
	}
	ctx, stop := untilSignal()
	defer stop()
	go watchSettings(ctx, hup, c.Settings, log, func() error {
		next, err := settings.LoadGateway(c.Settings)
		if err != nil {
			return err
		}
		now.Store(&next)
		g.Configure(next)
		return nil
	})
	lines, stopLines := context.WithCancel(context.WithoutCancel(ctx))
	var group errgroup.Group
	group.Go(func() error { return sink.Run(lines) })
	group.Go(func() error {
		// The last lines tell of the stop.
		defer stopLines()
		return g.Run(ctx)
	})
	return group.Wait()
}
