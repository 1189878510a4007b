package commands

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"

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
	// watchEvery is the time between looks at the settings file, which may
	// change without a signal.
	watchEvery = clock.Second
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
	cfg, err := settings.LoadGateway(c.Settings)
	if err != nil {
		return err
	}
	log, err := logging.New(c.o.out, cfg.LogLevel)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(cfg.MemoryMb * memoryPart * (1 << 20)))
	var now atomic.Pointer[settings.Gateway]
	now.Store(&cfg)
	g, err := gateway.New(cfg, gateway.Deps{
		Log: log.WithField("instance", cfg.Name), Clock: clock.System{}, Process: process.NewIncarnation(),
		Codec:  platform.Codec{},
		Store:  platform.NewStore(func() string { return now.Load().Store.Addr }),
		Duties: platform.NewDuties(func() string { return now.Load().Duties.Addr }, cfg.Name),
		Decode: platform.Decoder(),
	})
	if err != nil {
		return err
	}
	ctx, stop := untilSignal()
	defer stop()
	go c.watch(ctx, log, func(next settings.Gateway) {
		now.Store(&next)
		g.Configure(next)
	})
	return g.Run(ctx)
}

// watch reads the settings again after SIGHUP and when the file has changed.
func (c *gatewayCommand) watch(ctx context.Context, log *logrus.Logger, apply func(settings.Gateway)) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	last := c.stamp()
	tick := make(chan struct{})
	go func() {
		defer close(tick)
		for (clock.System{}).Sleep(ctx, watchEvery) == nil {
			select {
			case tick <- struct{}{}:
			case <-ctx.Done():
			}
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-tick:
			if c.stamp() == last {
				continue
			}
		}
		last = c.stamp()
		next, err := settings.LoadGateway(c.Settings)
		if err != nil {
			log.WithField("event", "settingsRejected").Error(err)
			continue
		}
		apply(next)
	}
}

// stamp tells versions of the settings file apart; empty if it cannot be read.
func (c *gatewayCommand) stamp() string {
	data, err := os.ReadFile(c.Settings)
	if err != nil {
		return ""
	}
	return string(data)
}
