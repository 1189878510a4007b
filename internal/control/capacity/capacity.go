// Package capacity starts and stops backend servers through the platform, so that
// each pool has the servers that its demand needs.
//
// One process, the holder of the capacity lease, runs a reconciliation loop: in each
// cycle it compares the platform's list of servers with the desired state of each
// pool. It keeps no state that a missed change could make wrong. An order is recorded
// in the orders stream as an intent before it is sent. If the answer is lost, the
// list of a later cycle shows whether the order took effect; while it does not, the
// order is sent again under the same ID. A server is drained before it is stopped.
//
// There is one lease for all pools, because the platform may compare the terms of all
// orders with each other.
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
	// LeaseName is the name of the capacity lease.
	LeaseName = "capacity"
	// StreamOrders is the log stream of intents and outcomes; see package order.
	StreamOrders = "orders"

	// defaultCycle and defaultDrain are the defaults of Config.CycleMs and DrainMs.
	defaultCycle = 2 * clock.Second
	defaultDrain = 5 * clock.Minute
	// defaultRetention is short, so that snapshots are frequent enough for most logs.
	defaultRetention = clock.Hour
	// snapshotsPerRetention is the number of snapshots that are written per retention
	// time of the log.
	snapshotsPerRetention = 4
	// noStopStartUps is how long after it acquired the lease a process stops no
	// servers, as a multiple of the start-up time of a server: a new holder does not
	// know the past demand.
	noStopStartUps = 5
	// minResendInterval is the time until an order is sent again. It doubles with each
	// sending, up to maxResendInterval.
	minResendInterval = 2 * clock.Second
	maxResendInterval = 60 * clock.Second
	// maxOrderDelay bounds the time from the sending of an order until it has taken
	// effect and is listed.
	maxOrderDelay = 2 * clock.Minute
)

// Log is the platform's append-only log; see logservice.Client.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	Read(ctx context.Context, stream string, from int64, limit int, wait clock.Millis) (logservice.Page, error)
}

// Platform lists, starts and stops backend servers. Order must send nothing once
// g.Remaining returns 0 or less.
type Platform interface {
	List(ctx context.Context) (capacity.Listing, error)
	Order(ctx context.Context, o capacity.Order, g fenced.Guard) (string, error)
}

// Leases calls a function whenever this process acquires a lease; see lease.Leases.
type Leases interface {
	Keep(ctx context.Context, name string, run func(context.Context, *lease.Tenure) error) error
}

// Decider decides how many servers a pool should have, and in which availability
// zones.
type Decider interface {
	Plan(now clock.Millis, o policy.Observed) policy.Plan
}

// Pool is a pool of backend servers with its current demand.
type Pool struct {
	Name    string
	Decider Decider
	Demand  policy.Demand
	// Load is the number of running and waiting requests, by server name.
	Load map[string]int
}

// Pools returns the pools to reconcile. It must omit a pool whose demand is not
// known; such a pool is left unchanged.
type Pools interface {
	Pools(ctx context.Context) []Pool
}

// Drainer drains backend servers.
type Drainer interface {
	// Drain makes the server accept no new requests, and reports whether the requests
	// that it had accepted have all ended. It may be called repeatedly for a server. If
	// it returns an error, the Reconciler does not stop the server in that cycle.
	Drain(ctx context.Context, server string) (bool, error)
}

// Config holds the parameters of a Reconciler.
type Config struct {
	// Author identifies the process in its records and orders. It must be unique to
	// the process.
	Author string
	// CycleMs is the pause between two cycles; 0 means 2 seconds.
	CycleMs clock.Millis
	// DrainMs bounds how long a server may drain before it is stopped, from the log
	// time of the intent; 0 means 5 minutes.
	DrainMs clock.Millis
	// RetentionMs is how long the log keeps a record; 0 means one hour.
	RetentionMs clock.Millis
	// TimeoutMs bounds each call of the platform, the log or the Drainer.
	TimeoutMs clock.Millis
}

// Reconciler starts and stops the backend servers of all pools.
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

// New returns a Reconciler. It sends no orders before Run is called.
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

// Run reconciles whenever this process holds the capacity lease, until ctx ends.
func (r *Reconciler) Run(ctx context.Context) error {
	return r.leases.Keep(ctx, LeaseName, r.runSession)
}

// session is the state of a Reconciler during one tenure of the lease.
type session struct {
	*Reconciler
	tenure     *lease.Tenure
	fold       *order.Fold
	startMs    clock.Millis         // when the tenure began
	orderSeq   int                  // number in the last order ID
	sentOrders map[string]sentOrder // by order ID
}

// sentOrder is what the session knows about an order that it has sent.
type sentOrder struct {
	// retryAtMs is when the order may be sent again, and backoffMs the last time
	// between two sendings.
	retryAtMs clock.Millis
	backoffMs clock.Millis
	// acceptedMs is when the platform accepted the order; 0 if it has not.
	acceptedMs clock.Millis
	// lastUnknownMs is the latest time at which the order may have been sent without
	// a known result; 0 if there is none.
	lastUnknownMs clock.Millis
	// refused is set once the platform has rejected the order. It stays set, since
	// the record of the outcome may be delayed.
	refused bool
}

// runSession runs cycles until the tenure ends.
func (r *Reconciler) runSession(ctx context.Context, t *lease.Tenure) error {
	s := &session{Reconciler: r, tenure: t, fold: order.New(), startMs: r.clock.Now(), sentOrders: map[string]sentOrder{}}
	for {
		if err := s.cycle(ctx); err != nil && ctx.Err() == nil {
			s.logger.WithFields(logrus.Fields{"event": "capacityCycleFailed", "term": t.Term()}).Warn(err)
		}
		if err := r.clock.Sleep(ctx, r.cfg.CycleMs); err != nil {
			return nil
		}
	}
}

// cycle reads the stream and the platform's list, and then records outcomes and new
// intents, sends orders and writes a snapshot if one is due.
func (s *session) cycle(ctx context.Context) error {
	if err := s.catchUp(ctx); err != nil {
		return err
	}
	if s.fold.Term() < s.tenure.Term() {
		// Once this record has been read back, all intents of earlier holders are
		// known, and they can add no more.
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
	if err := s.recordListedOutcomes(ctx, list); err != nil {
		return err
	}
	if err := s.recordIntents(ctx, list); err != nil {
		return err
	}
	if err := s.sendPending(ctx, list); err != nil {
		return err
	}
	return s.snapshot(ctx)
}

// list reads the platform's list of servers.
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

// append appends a record if the lease is still held, and reads the stream to its
// end. After an error the record may still be appended later.
func (s *session) append(ctx context.Context, rec order.Record) error {
	timeout := min(s.tenure.Remaining(), s.cfg.TimeoutMs)
	if timeout <= 0 {
		return &fenced.LapsedError{}
	}
	rec.Author, rec.Term, rec.Seq = s.cfg.Author, s.tenure.Term(), s.fold.NextSeq(s.tenure.Term())
	data, err := json.Marshal(rec)
	if err != nil {
		return err
	}
	timeoutCtx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	if _, err := s.log.Append(timeoutCtx, StreamOrders, data); err != nil {
		return err
	}
	return s.catchUp(ctx)
}

// snapshot records the pending intents before the log drops the records that added
// them.
func (s *session) snapshot(ctx context.Context) error {
	if s.clock.Wall() < s.fold.SnapshotMs()+s.cfg.RetentionMs/snapshotsPerRetention {
		return nil
	}
	return s.append(ctx, order.Record{Snapshot: &order.Snapshot{Pending: s.fold.Pending()}})
}
