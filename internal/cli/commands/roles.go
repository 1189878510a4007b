package commands

import (
	"io"

	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/damaskport/damaskport/internal/operator/settings"
	"github.com/damaskport/damaskport/internal/policy/budget"
	"github.com/damaskport/damaskport/internal/role/process"
	"github.com/damaskport/damaskport/internal/role/sidecar"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/listen"
	"github.com/damaskport/damaskport/internal/runtime/logging"
	"github.com/damaskport/damaskport/internal/runtime/memory"
	"github.com/damaskport/damaskport/internal/runtime/signals"
)

// start starts a role: it calls open until the role listens, or trying again is of no use. Until the
// settings are known, it logs to w, in the background: nobody may read w. It returns false if there is
// nothing to run.
func start(sig signals.Caught, w io.Writer, open func() error, grace func() clock.Millis) (bool, error) {
	log, err := newRoleLog(w, logrus.InfoLevel.String())
	if err != nil {
		return false, err
	}
	defer log.sink.Start()()
	return process.Starter{Signals: sig, Log: log, Clock: clock.System{}, Open: open, Grace: grace}.Run()
}

// settingsFlag is the flag that names a role's settings file.
type settingsFlag struct {
	Settings string `long:"settings" short:"s" value-name:"FILE" required:"true" description:"settings in JSON with comments"`
}

// start starts a role with open, which gets the settings, and returns the role's log; nil if there is
// nothing to run.
func (s settingsFlag) start(sig signals.Caught, o output, open func(f settings.File, log *roleLog) error) (*roleLog, error) {
	var f settings.File
	var log *roleLog
	started, err := start(sig, o.err, func() (err error) {
		if f, err = settings.Load(s.Settings); err != nil {
			return err
		}
		if log, err = newRoleLog(o.err, f.LogLevel); err != nil {
			return err
		}
		log.account = memory.Apply(f.MemoryMb)
		return open(f, log)
	}, func() clock.Millis { return drainTime(f) })
	if !started {
		return nil, err
	}
	logMemory(log, log.account)
	return log, nil
}

// drainTime returns the longest time for which a role with these settings drains.
func drainTime(f settings.File) clock.Millis {
	switch {
	case f.Entry != nil:
		return f.Entry.DrainMs
	case f.Sidecar != nil:
		return f.Sidecar.DrainMs
	}
	return 0
}

// roleLog is the log of a role, with the sink that writes its lines, and the account of the
// process's memory.
type roleLog struct {
	*logrus.Logger
	sink    *logging.Sink
	account budget.Account
}

// logMemory logs the account of a process's memory; a limit of 0 is not known.
func logMemory(log logrus.FieldLogger, a budget.Account) {
	mb := func(bytes int64) int64 { return bytes >> 20 }
	log.WithFields(logrus.Fields{
		"event": "memory", "limitMb": mb(a.Limit), "reservedMb": mb(a.Reserved), "growthMb": mb(a.Growth), "heapMb": mb(a.Heap()), "heldMb": mb(a.Held()),
	}).Info()
}

func newRoleLog(w io.Writer, level string) (*roleLog, error) {
	log, sink, err := logging.NewBounded(w, level, logging.Unlimited)
	if err != nil {
		return nil, err
	}
	return &roleLog{Logger: log, sink: sink}, nil
}

// check reads the settings and reports whether they are accepted.
func (s settingsFlag) check() error {
	_, err := settings.Load(s.Settings)
	return err
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
	sig := signals.Catch()
	var e *process.Entry
	var addrs listen.Reserved
	log, err := c.start(sig, c.o, func(f settings.File, log *roleLog) (err error) {
		e, err = process.NewEntry(f, log, &addrs, budget.NewHeld(log.account.Held()))
		return err
	})
	if log == nil {
		return err
	}
	defer log.sink.Start()()
	go c.o.lines(namedValue{"url", e.URL()}, namedValue{"adminUrl", e.Admin.URL()})
	go watchFixedSettings(sig.Stopped, sig.Reload, log, c.check)
	g, gctx := errgroup.WithContext(sig.Stopped)
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
	sig := signals.Catch()
	var s *sidecar.Sidecar
	var addrs listen.Reserved
	log, err := c.start(sig, c.o, func(f settings.File, log *roleLog) (err error) {
		s, err = process.NewSidecar(f, log, &addrs, budget.NewHeld(log.account.Held()))
		return err
	})
	if log == nil {
		return err
	}
	defer log.sink.Start()()
	urls := []namedValue{{"controlAddr", s.ControlAddr()}, {"dataUrl", s.DataURL()}}
	if url := s.AdminURL(); url != "" {
		urls = append(urls, namedValue{"adminUrl", url})
	}
	go c.o.lines(urls...)
	go watchFixedSettings(sig.Stopped, sig.Reload, log, c.check)
	return s.Run(sig.Stopped)
}
