package commands

import (
	"github.com/jessevdk/go-flags"

	"github.com/damaskport/damaskport/internal/policy/budget"
	"github.com/damaskport/damaskport/internal/role/solo"
	"github.com/damaskport/damaskport/internal/runtime/listen"
	"github.com/damaskport/damaskport/internal/runtime/memory"
	"github.com/damaskport/damaskport/internal/runtime/signals"
)

type soloCommand struct {
	CallerAddr string  `long:"caller-addr" value-name:"HOST:PORT" default:"127.0.0.1:0" description:"address for callers; port 0 takes a free one"`
	AdminAddr  string  `long:"admin-addr" value-name:"HOST:PORT" default:"127.0.0.1:0" description:"address for operators; port 0 takes a free one"`
	Engines    int     `long:"engines" default:"3" description:"number of model engines"`
	Services   int     `long:"services" default:"2" description:"number of plain services"`
	Slots      int     `long:"slots" default:"8" description:"requests that one engine runs at a time"`
	TokenMs    float64 `long:"token-ms" default:"10" description:"time per token of the engines, in milliseconds"`
	LogLevel   string  `long:"log-level" default:"info" description:"debug, info, warning or error"`
	o          output
}

func addSolo(p *flags.Parser, o output) error {
	_, err := p.AddCommand("solo", "Run everything in one process",
		"Runs an entry, sidecars and stand-ins of the platform and the backend servers on loopback, with a fresh demo key.",
		&soloCommand{o: o})
	return err
}

// Execute runs the deployment until a signal arrives.
func (c *soloCommand) Execute([]string) error {
	sig := signals.Catch()
	log, err := newRoleLog(c.o.err, c.LogLevel)
	if err != nil {
		return err
	}
	log.account = memory.Apply(0)
	cfg := solo.Defaults()
	cfg.Held = budget.NewHeld(log.account.Held())
	cfg.CallerAddr, cfg.AdminAddr = c.CallerAddr, c.AdminAddr
	cfg.Addresses = &listen.Reserved{}
	cfg.Engines, cfg.Services, cfg.Slots, cfg.TokenMs = c.Engines, c.Services, c.Slots, c.TokenMs
	var s *solo.Solo
	started, err := start(sig, c.o.err, func() error {
		var err error
		s, err = solo.New(cfg, log.Logger)
		return err
	}, solo.DrainTime)
	if !started {
		return err
	}
	logMemory(log, log.account)
	defer log.sink.Start()()
	go c.o.lines(namedValue{"url", s.URL()}, namedValue{"key", s.Key(cfg.Accounts[0].Name)}, namedValue{"adminUrl", s.AdminURL()})
	go watchFixedSettings(sig.Stopped, sig.Reload, log, func() error { return nil })
	return s.Run(sig.Stopped)
}
