// Package lease runs tasks of which only one process at a time may run each, under
// leases that are recorded in the platform's log.
//
// Leases.Run has two goroutines: the owner applies inputs in order to a lease.Author,
// and the reader follows the leases stream. Appends run concurrently; their results
// are ignored, since the stream shows which records were accepted.
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
	// inputQueueSize is the number of inputs that may wait for the owner.
	inputQueueSize = 1024
	// readLimit is the maximum number of records per read.
	readLimit = 1000
	// readWait is how long a read waits for new records.
	readWait = 5 * clock.Second
	// readBackoff is the pause after a failed read.
	readBackoff = 200 * clock.Millisecond
	// defaultDriftDivisor is the inverse of the default clock drift, relative to the
	// lease length.
	defaultDriftDivisor = 20
)

// Log is the platform's append-only log; see logservice.Client.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	Read(ctx context.Context, stream string, from int64, limit int, wait clock.Millis) (logservice.Page, error)
}

// Config holds the parameters of Leases.
type Config struct {
	// Holder identifies the process; a restarted process must have a new one.
	Holder string
	// LengthMs is how long a lease is valid without renewal.
	LengthMs clock.Millis
	// DriftMs is the maximum drift between two clocks during LengthMs; 0 means a
	// twentieth of LengthMs.
	DriftMs clock.Millis
	// ReleaseMs bounds how long Run continues after its context has ended, so that
	// tasks can end and their leases be released; 0 means LengthMs.
	ReleaseMs clock.Millis
}

// Tenure is an uninterrupted period during which this process holds a lease. It has
// one term, the fencing number. It is safe for concurrent use.
type Tenure struct {
	name    string
	term    int64
	clock   clock.Clock
	untilMs atomic.Int64  // end of the lease unless it is renewed, on clock
	lost    chan struct{} // closed when the Tenure has ended
}

// NewTenure returns a Tenure that ends at untilMs on clk, for a process that is
// guaranteed by other means to be the only one that runs the task.
func NewTenure(name string, term int64, untilMs clock.Millis, clk clock.Clock) *Tenure {
	t := &Tenure{name: name, term: term, clock: clk, lost: make(chan struct{})}
	t.untilMs.Store(int64(untilMs))
	return t
}

// Name returns the name of the lease.
func (t *Tenure) Name() string { return t.name }

// Term returns the fencing number, which is greater than that of every earlier Tenure
// of the lease in any process.
func (t *Tenure) Term() int64 { return t.term }

// Remaining returns the time in milliseconds until the lease ends unless it is
// renewed. If it is 0 or less, the process must not act under the lease.
func (t *Tenure) Remaining() clock.Millis {
	return clock.Millis(t.untilMs.Load()) - t.clock.Now()
}

// Leases acquires, renews and releases the leases of one process's tasks.
type Leases struct {
	cfg     Config
	log     Log
	clock   clock.Clock
	logger  logrus.FieldLogger
	inputs  *ring.Ring[input]
	author  *lease.Author
	fold    *lease.Fold
	states  atomic.Pointer[map[string]lease.State]
	wanted  map[string]chan<- *Tenure // by lease name; nil once the Tenure was sent
	tenures map[string]*Tenure        // those that have not ended, by lease name
	appends sync.WaitGroup
}

// New returns Leases. It acquires no lease before Run is called.
func New(cfg Config, log Log, clk clock.Clock, l logrus.FieldLogger) *Leases {
	if cfg.DriftMs == 0 {
		cfg.DriftMs = cfg.LengthMs / defaultDriftDivisor
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
		inputs:  ring.New[input](inputQueueSize),
		author:  lease.NewAuthor(clk.Now(), authorCfg, fold),
		wanted:  map[string]chan<- *Tenure{},
		tenures: map[string]*Tenure{},
	}
}

// States returns the state of each lease that this process wants or holds, by name,
// as read from the leases stream. It is nil before Run.
func (l *Leases) States() map[string]lease.State {
	if m := l.states.Load(); m != nil {
		return *m
	}
	return nil
}

// publishStates updates the result of States.
func (l *Leases) publishStates() {
	m := map[string]lease.State{}
	for name := range l.wanted {
		if s, ok := l.fold.Lookup(name); ok {
			m[name] = s
		}
	}
	l.states.Store(&m)
}

// Run acquires, renews and releases leases. After ctx has ended, it returns when all
// leases are released, or after ReleaseMs.
func (l *Leases) Run(ctx context.Context) error {
	reading, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	defer l.appends.Wait()
	g, gctx := errgroup.WithContext(reading)
	g.Go(func() error { return l.runReader(gctx) })
	g.Go(func() error {
		defer stop()
		return l.runOwner(ctx)
	})
	return g.Wait()
}

// Duty returns a supervised task that runs run while this process holds the named
// lease; see Keep.
func (l *Leases) Duty(name string, run func(context.Context, *Tenure) error) supervise.Task {
	return supervise.Task{
		Name: name,
		Run:  func(ctx context.Context) error { return l.Keep(ctx, name, run) },
	}
}

// Keep runs run whenever this process acquires the named lease, with a context that
// ends with the Tenure. It returns nil when ctx ends. If run returns while the lease
// is still held, Keep returns run's error, with the lease's name added, or nil. In
// both cases it releases the lease. There must be only one Keep of a name at a time.
func (l *Leases) Keep(ctx context.Context, name string, run func(context.Context, *Tenure) error) error {
	defer l.release(name)
	for {
		t, err := l.acquire(ctx, name)
		if err != nil {
			return nil
		}
		err = t.runUntilLost(ctx, run)
		if ctx.Err() != nil {
			return nil
		}
		select {
		case <-t.lost:
		default:
			return errors.Wrapf(err, "task under lease %s", name)
		}
	}
}

// acquire waits until this process holds the named lease, or ctx ends.
func (l *Leases) acquire(ctx context.Context, name string) (*Tenure, error) {
	acquired := make(chan *Tenure, 1)
	if err := l.inputs.Put(ctx, acquireInput{name, acquired}); err != nil {
		return nil, err
	}
	select {
	case t := <-acquired:
		return t, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// release tells the owner that the named lease is no longer wanted.
func (l *Leases) release(name string) {
	ctx, cancel := context.WithTimeout(context.Background(), l.cfg.ReleaseMs.Duration())
	defer cancel()
	if l.inputs.Put(ctx, releaseInput{name}) != nil {
		l.logger.WithFields(logrus.Fields{"event": "leaseNotDropped", "lease": name}).Warn("lease not released: the owner goroutine accepted no input within ReleaseMs")
	}
}

// runUntilLost calls run with a context that ends with the Tenure.
func (t *Tenure) runUntilLost(ctx context.Context, run func(context.Context, *Tenure) error) error {
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
