// Package capacity starts and stops backend servers through the platform.
//
// One process, the holder of the capacity lease, compares the platform's list
// with what each pool should have, again in each cycle, and never acts on
// changes alone. An order is recorded as an intent before it is sent. When its
// answer is lost, the list of the next cycle tells whether it took effect; if
// it does not show, the same order is sent again under its id. A server is
// drained before it is stopped.
//
// There is one lease for all pools, because the platform may compare the terms
// of all orders with each other.
package capacity

import (
	"context"
	"encoding/json"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/control/lease"
	"github.com/damaskport/damaskport/internal/platform/capacity"
	"github.com/damaskport/damaskport/internal/platform/fenced"
	"github.com/damaskport/damaskport/internal/platform/logservice"
	policy "github.com/damaskport/damaskport/internal/policy/capacity"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/order"
)

const (
	// LeaseName is the name of the lease.
	LeaseName = "capacity"
	// StreamOrders is the stream of intents and outcomes.
	StreamOrders = "orders"

	defaultCycle = 2 * clock.Second
	defaultDrain = 5 * clock.Minute
	// defaultRetention is short, so that snapshots come often enough for most logs.
	defaultRetention = clock.Hour
	// snapshotsPerRetention is the number of snapshots in one retention time.
	snapshotsPerRetention = 4
	// settleStartUps is the time, in start-up times, after the lease was taken
	// in which nothing is stopped, since a new holder does not know past demand.
	settleStartUps = 5
	firstResend    = 2 * clock.Second
	lastResend     = 60 * clock.Second
	// lateMs bounds how long after it was sent an order may still take effect
	// and come to show in the list.
	lateMs = 2 * clock.Minute
)

// Log is the platform's log.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	Read(ctx context.Context, stream string, from int64, limit int, wait clock.Millis) (logservice.Page, error)
}

// Platform lists, starts and stops backend servers.
type Platform interface {
	List(ctx context.Context) (capacity.Listing, error)
	Order(ctx context.Context, o capacity.Order, g fenced.Guard) (string, error)
}

// Leases runs a function while a lease is held.
type Leases interface {
	Keep(ctx context.Context, name string, run func(context.Context, *lease.Tenure) error) error
}

// Decider decides how many servers a pool should have, and where.
type Decider interface {
	Plan(now clock.Millis, o policy.Observed) policy.Plan
}

// Pool is a pool of backend servers with its present demand.
type Pool struct {
	Name    string
	Decider Decider
	Demand  policy.Demand
	// Load is the number of running and waiting requests by server.
	Load map[string]int
}

// Pools returns the pools that are to be kept. A pool whose demand is not
// known must be left out, and is not changed then.
type Pools interface {
	Pools(ctx context.Context) []Pool
}

// Drainer drains servers.
type Drainer interface {
	// Drain has the server take no new work, and reports whether it has no
	// work left. It may be called again for the same server. After an error the
	// server is not stopped.
	Drain(ctx context.Context, server string) (bool, error)
}

// Config holds the parameters of a Reconciler.
type Config struct {
	// Author names the process in its records and orders; it is unique to it.
	Author string
	// CycleMs is the time between two cycles.
	CycleMs clock.Millis
	// DrainMs bounds the drain of a server, from the intent to stop it.
	DrainMs clock.Millis
	// RetentionMs is that of the log; the default is an hour.
	RetentionMs clock.Millis
	// TimeoutMs bounds one call of the platform.
	TimeoutMs clock.Millis
}

// Reconciler keeps the pools of backend servers.
type Reconciler struct {
	cfg      Config
	leases   Leases
	log      Log
	platform Platform
	pools    Pools
	drainer  Drainer
	clock    clock.Clock
	logger   logrus.FieldLogger
}

// New returns a Reconciler.
func New(cfg Config, leases Leases, log Log, p Platform, pools Pools, d Drainer, clk clock.Clock, l logrus.FieldLogger) *Reconciler {
	if cfg.CycleMs == 0 {
		cfg.CycleMs = defaultCycle
	}
	if cfg.RetentionMs == 0 {
		cfg.RetentionMs = defaultRetention
	}
	if cfg.DrainMs == 0 {
		cfg.DrainMs = defaultDrain
	}
	return &Reconciler{
		cfg:      cfg,
		leases:   leases,
		log:      log,
		platform: p,
		pools:    pools,
		drainer:  d,
		clock:    clk,
		logger:   l,
	}
}

// Run reconciles while the lease is held, until ctx ends.
func (r *Reconciler) Run(ctx context.Context) error {
	return r.leases.Keep(ctx, LeaseName, r.hold)
}

// session is the work of one tenure.
type session struct {
	*Reconciler
	tenure  *lease.Tenure
	fold    *order.Fold
	sinceMs clock.Millis
	seq     int
	sent    map[string]attempt
}

// attempt is what the session knows of an order that it has sent.
type attempt struct {
	// atMs is when the order may be sent again.
	atMs    clock.Millis
	pauseMs clock.Millis
	// answeredMs is when the platform answered that it carries it out.
	answeredMs clock.Millis
	// unknownMs is the latest time at which the order may have been sent
	// without a known result.
	unknownMs clock.Millis
	// refused is set for good once the platform has refused the order, since
	// the record of that may be late.
	refused bool
}

// hold reconciles until the tenure ends.
func (r *Reconciler) hold(ctx context.Context, t *lease.Tenure) error {
	s := &session{Reconciler: r, tenure: t, fold: order.New(), sinceMs: r.clock.Now(), sent: map[string]attempt{}}
	for {
		if err := s.cycle(ctx); err != nil && ctx.Err() == nil {
			s.logger.WithFields(logrus.Fields{"event": "capacityCycleFailed", "term": t.Term()}).Warn(err)
		}
		if err := r.clock.Sleep(ctx, r.cfg.CycleMs); err != nil {
			return nil
		}
	}
}

// cycle compares the whole observed state with the desired one.
func (s *session) cycle(ctx context.Context) error {
	if err := s.catchUp(ctx); err != nil {
		return err
	}
	if s.fold.Term() < s.tenure.Term() {
		// Reading this record back shows all intents of earlier holders.
		if err := s.append(ctx, order.Record{}); err != nil {
			return err
		}
	}
	if s.fold.Term() != s.tenure.Term() {
		return &fenced.LapsedError{}
	}
	list, err := s.list(ctx)
	if err != nil {
		return err
	}
	if err := s.settle(ctx, list); err != nil {
		return err
	}
	if err := s.intend(ctx, list); err != nil {
		return err
	}
	if err := s.send(ctx, list); err != nil {
		return err
	}
	return s.snapshot(ctx)
}

func (s *session) list(ctx context.Context) (capacity.Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.TimeoutMs.Duration())
	defer cancel()
	return s.platform.List(ctx)
}

// catchUp reads the stream to its end.
func (s *session) catchUp(ctx context.Context) error {
	return logservice.CatchUp(ctx, s.log, StreamOrders, s.cfg.TimeoutMs, s.fold.Next, func(page logservice.Page) {
		for _, rec := range page.Records {
			s.fold.Apply(rec.Offset, rec.AtMs, rec.Data)
		}
	})
}

// append adds a record while the lease is held and reads the stream to its
// end. After an error the record may be recorded later.
func (s *session) append(ctx context.Context, rec order.Record) error {
	rest := min(s.tenure.Remaining(), s.cfg.TimeoutMs)
	if rest <= 0 {
		return &fenced.LapsedError{}
	}
	rec.Author, rec.Term, rec.Seq = s.cfg.Author, s.tenure.Term(), s.fold.NextSeq(s.tenure.Term())
	data, err := json.Marshal(rec)
	if err != nil {
		return err
	}
	limited, cancel := context.WithTimeout(ctx, rest.Duration())
	defer cancel()
	if _, err := s.log.Append(limited, StreamOrders, data); err != nil {
		return err
	}
	return s.catchUp(ctx)
}

// snapshot states the pending intents before retention passes over them.
func (s *session) snapshot(ctx context.Context) error {
	if s.clock.Wall() < s.fold.SnapshotMs()+s.cfg.RetentionMs/snapshotsPerRetention {
		return nil
	}
	return s.append(ctx, order.Record{Snapshot: &order.Snapshot{Pending: s.fold.Pending()}})
}
