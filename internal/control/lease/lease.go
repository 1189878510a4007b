// Package lease runs control duties while this process holds their leases.
//
// Leases has one owner, which applies inputs to the lease.Author in order, and
// a reader, which follows the leases stream. Appends run beside them, and
// their results do not matter, since the stream tells what was recorded.
package lease

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/damaskport/damaskport/internal/platform/logservice"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/ring"
	"github.com/damaskport/damaskport/internal/runtime/supervise"
	"github.com/damaskport/damaskport/internal/state/lease"
)

const (
	ringSize    = 1024
	readLimit   = 1000
	readWait    = 5 * clock.Second
	readBackoff = 200 * clock.Millisecond
	// driftPart is the part of a lease that clocks may differ by, by default.
	driftPart = 20
)

// Log is the platform's log.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	Read(ctx context.Context, stream string, from int64, limit int, wait clock.Millis) (logservice.Page, error)
}

// Config holds the parameters of Leases.
type Config struct {
	// Holder is unique to the process.
	Holder   string
	LengthMs clock.Millis
	// DriftMs bounds by how much two clocks differ over LengthMs; the default
	// is a twentieth of it.
	DriftMs clock.Millis
	// ReleaseMs bounds how long Run goes on after its context ended, until the
	// duties have ended and their leases are released; the default is LengthMs.
	ReleaseMs clock.Millis
}

// Tenure is one term of a lease that this process holds. It is safe for
// concurrent use.
type Tenure struct {
	name  string
	term  int64
	clock clock.Clock
	until atomic.Int64
	lost  chan struct{}
}

// NewTenure returns a Tenure that ends at untilMs, for a process that is the
// only one by other means.
func NewTenure(name string, term int64, untilMs clock.Millis, clk clock.Clock) *Tenure {
	t := &Tenure{name: name, term: term, clock: clk, lost: make(chan struct{})}
	t.until.Store(int64(untilMs))
	return t
}

// Name returns the name of the lease.
func (t *Tenure) Name() string { return t.name }

// Term returns the fencing number. Later terms of the lease are greater.
func (t *Tenure) Term() int64 { return t.term }

// Remaining returns the time for which the lease is held unless it is
// renewed. At 0 or less the process must not act on it.
func (t *Tenure) Remaining() clock.Millis {
	return clock.Millis(t.until.Load()) - t.clock.Now()
}

// Leases holds leases for the duties of one process.
type Leases struct {
	cfg     Config
	log     Log
	clock   clock.Clock
	logger  logrus.FieldLogger
	inputs  *ring.Ring[input]
	author  *lease.Author
	fold    *lease.Fold
	states  atomic.Pointer[map[string]lease.State]
	wanted  map[string]chan<- *Tenure // nil once the tenure was given out
	tenures map[string]*Tenure
	appends sync.WaitGroup
}

// New returns Leases that hold nothing until Run.
func New(cfg Config, log Log, clk clock.Clock, l logrus.FieldLogger) *Leases {
	if cfg.DriftMs == 0 {
		cfg.DriftMs = cfg.LengthMs / driftPart
	}
	if cfg.ReleaseMs == 0 {
		cfg.ReleaseMs = cfg.LengthMs
	}
	authorCfg := lease.Config{Holder: cfg.Holder, LengthMs: cfg.LengthMs, DriftMs: cfg.DriftMs}
	fold := lease.New()
	return &Leases{
		fold:    fold,
		cfg:     cfg,
		log:     log,
		clock:   clk,
		logger:  l,
		inputs:  ring.New[input](ringSize),
		author:  lease.NewAuthor(clk.Now(), authorCfg, fold),
		wanted:  map[string]chan<- *Tenure{},
		tenures: map[string]*Tenure{},
	}
}

// States returns the leases that this process wants, as the stream shows them.
func (l *Leases) States() map[string]lease.State {
	if m := l.states.Load(); m != nil {
		return *m
	}
	return nil
}

// publish makes the states of the wanted leases known.
func (l *Leases) publish() {
	m := map[string]lease.State{}
	for name := range l.wanted {
		if s, ok := l.fold.Lookup(name); ok {
			m[name] = s
		}
	}
	l.states.Store(&m)
}

// Run takes, renews and releases leases until ctx has ended and the leases
// are released.
func (l *Leases) Run(ctx context.Context) error {
	reading, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	defer l.appends.Wait()
	g, gctx := errgroup.WithContext(reading)
	g.Go(func() error { return l.read(gctx) })
	g.Go(func() error {
		defer stop()
		return l.own(ctx)
	})
	return g.Wait()
}

// Duty returns a supervised task that runs run while the named lease is held.
func (l *Leases) Duty(name string, run func(context.Context, *Tenure) error) supervise.Task {
	return supervise.Task{
		Name: name,
		Run:  func(ctx context.Context) error { return l.Keep(ctx, name, run) },
	}
}

// Keep runs run each time that the named lease is held, with a context that
// ends with the tenure. It returns when ctx ends, or when run returns before
// its tenure ended, and then releases the lease. A name must not be kept twice
// at a time.
func (l *Leases) Keep(ctx context.Context, name string, run func(context.Context, *Tenure) error) error {
	defer l.drop(name)
	for {
		t, err := l.acquire(ctx, name)
		if err != nil {
			return nil
		}
		err = t.serve(ctx, run)
		if ctx.Err() != nil {
			return nil
		}
		select {
		case <-t.lost:
		default:
			return errors.Wrapf(err, "duty under lease %s", name)
		}
	}
}

func (l *Leases) acquire(ctx context.Context, name string) (*Tenure, error) {
	got := make(chan *Tenure, 1)
	if err := l.inputs.Put(ctx, wantInput{name, got}); err != nil {
		return nil, err
	}
	select {
	case t := <-got:
		return t, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *Leases) drop(name string) {
	ctx, cancel := context.WithTimeout(context.Background(), l.cfg.ReleaseMs.Duration())
	defer cancel()
	if l.inputs.Put(ctx, dropInput{name}) != nil {
		l.logger.WithFields(logrus.Fields{"event": "leaseNotDropped", "lease": name}).Warn("the owner has stopped")
	}
}

// serve runs run with a context that ends with the tenure.
func (t *Tenure) serve(ctx context.Context, run func(context.Context, *Tenure) error) error {
	ctx, cancel := context.WithCancel(ctx)
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		select {
		case <-t.lost:
			cancel()
		case <-ctx.Done():
		}
	}()
	defer func() {
		cancel()
		<-watched
	}()
	return run(ctx, t)
}
