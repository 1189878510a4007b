package commands

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/damaskport/damaskport/internal/operator/settings"
	"github.com/damaskport/damaskport/internal/role/process"
	"github.com/damaskport/damaskport/internal/runtime/logging"
)

// untilSignal returns a context that ends on Ctrl-C or SIGTERM.
func untilSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// settingsFlag is the flag that names a role's settings file.
type settingsFlag struct {
	Settings string `long:"settings" short:"s" value-name:"FILE" required:"true" description:"settings in JSON with comments"`
}

// load reads the settings and sets up the log.
func (s settingsFlag) load(o output) (settings.File, *logrus.Logger, error) {
	f, err := settings.Load(s.Settings)
	if err != nil {
		return f, nil, err
	}
	log, err := logging.New(o.err, f.LogLevel)
	return f, log, err
}

type entryCommand struct {
	settingsFlag
	o output
}

func addEntry(p *flags.Parser, o output) error {
	_, err := p.AddCommand("entry", "Run an entry instance",
		"Takes callers' requests and brings them to backend servers.", &entryCommand{o: o})
	return err
}

// Execute runs the entry until a signal arrives.
func (c *entryCommand) Execute([]string) error {
	f, log, err := c.load(c.o)
	if err != nil {
		return err
	}
	e, err := process.NewEntry(f, log)
	if err != nil {
		return err
	}
	ctx, stop := untilSignal()
	defer stop()
	c.o.line("url", e.URL())
	c.o.line("adminUrl", e.Admin.URL())
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error { return e.Run(gctx) })
	g.Go(func() error { return e.Admin.Run(gctx) })
	return g.Wait()
}

type sidecarCommand struct {
	settingsFlag
	o output
}

func addSidecar(p *flags.Parser, o output) error {
	_, err := p.AddCommand("sidecar", "Run the process beside a backend server",
		"Is the only way to its backend server: slots, claims, drain and usage.", &sidecarCommand{o: o})
	return err
}

// Execute runs the sidecar until a signal arrives.
func (c *sidecarCommand) Execute([]string) error {
	f, log, err := c.load(c.o)
	if err != nil {
		return err
	}
	s, err := process.NewSidecar(f, log)
	if err != nil {
		return err
	}
	ctx, stop := untilSignal()
	defer stop()
	c.o.line("controlAddr", s.ControlAddr())
	c.o.line("dataUrl", s.DataURL())
	if url := s.AdminURL(); url != "" {
		c.o.line("adminUrl", url)
	}
	return s.Run(ctx)
}
