package commands

import (
	"runtime/debug"
	"sync/atomic"

	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/operator/settings"
	"github.com/damaskport/damaskport/internal/policy/budget"
	"github.com/damaskport/damaskport/internal/role/gateway"
	"github.com/damaskport/damaskport/internal/role/process"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/listen"
	"github.com/damaskport/damaskport/internal/runtime/logging"
	"github.com/damaskport/damaskport/internal/runtime/memory"
	"github.com/damaskport/damaskport/internal/runtime/signals"
	"github.com/damaskport/damaskport/platform"
)

// gcPercent trades memory, of which a gateway needs little, for processor time.
const gcPercent = 200

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
	sig := signals.Catch()
	p := &gatewayProcess{o: c.o, path: c.Settings, beganMs: clock.System{}.Now()}
	started, err := start(sig, c.o.out, p.open, func() clock.Millis { return clock.Millis(p.cfg.Bounds.GraceS * float64(clock.Second)) })
	if !started {
		return err
	}
	return p.run(sig)
}

// gatewayProcess is a gateway with the log and the settings of its process.
type gatewayProcess struct {
	o    output
	path string // of the settings file
	cfg  settings.Gateway
	// now holds the settings in force, which may change while the gateway runs.
	now     atomic.Pointer[settings.Gateway]
	account budget.Account
	log     *logrus.Logger
	sink    *logging.Sink
	gateway *gateway.Gateway
	// addresses are kept over the attempts to start, of which the first was made at beganMs.
	addresses listen.Reserved
	beganMs   clock.Millis
}

// open reads the settings and opens the gateway's listeners.
func (p *gatewayProcess) open() error {
	cfg, err := settings.LoadGateway(p.path)
	if err != nil {
		return err
	}
	p.cfg = cfg
	p.now.Store(&cfg)
	p.account = memory.Apply(cfg.MemoryMb)
	p.log, p.sink, err = logging.NewBounded(p.o.out, cfg.LogLevel, logging.Bound{LinesPerS: int(cfg.LogLinesPerS), BytesPerS: int(cfg.LogBytesPerS)})
	if err != nil {
		return err
	}
	log := p.log.WithField("instance", cfg.Name)
	buffers := gateway.NewBuffers(cfg, log)
	p.gateway, err = gateway.New(cfg, gateway.Deps{
		Log: log, Buffers: buffers, Clock: clock.System{}, ProcessID: process.NewIncarnation(),
		Dropped:       p.sink.Dropped,
		Addresses:     &p.addresses,
		Held:          budget.NewHeld(p.account.Held()),
		BeganMs:       p.beganMs,
		Codec:         platform.Codec{},
		Store:         platform.NewStore(func() string { return p.now.Load().Store.Addr }).WithBuffers(buffers),
		UsageReporter: platform.NewDuties(func() string { return p.now.Load().Duties.Addr }, cfg.Name).WithBuffers(buffers),
		Decoder:       platform.Decoder(),
	})
	return err
}

// reload puts changed settings in force.
func (p *gatewayProcess) reload() error {
	next, err := settings.LoadGateway(p.path)
	if err != nil {
		return err
	}
	p.now.Store(&next)
	p.gateway.Configure(next)
	return nil
}

// run serves until the process is stopped.
func (p *gatewayProcess) run(sig signals.Caught) error {
	debug.SetGCPercent(gcPercent)
	logMemory(p.log, p.account)
	go watchSettings(sig.Stopped, sig.Reload, p.path, p.log, p.reload)
	stopLog := p.sink.Start()
	defer stopLog() // after the lines that tell of the stop
	return p.gateway.Run(sig.Stopped)
}
