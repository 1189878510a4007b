// Package usage counts the tokens that backend servers process and reports them to
// the platform by client account and window.
//
// Each backend server's sidecar has a Counter, which records counts in the usage
// stream. Accounts are sharded, and each shard has a Reporter in the process that
// holds the shard's lease. When a window has ended, the Reporter seals it: it records
// the window's figures, which are fixed from then on. It sends exactly these figures
// until the platform accepts the report, and records that the report is confirmed.
package usage

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/damaskport/damaskport/internal/control/lease"
	"github.com/damaskport/damaskport/internal/platform/fenced"
	"github.com/damaskport/damaskport/internal/platform/logservice"
	"github.com/damaskport/damaskport/internal/platform/usage"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/window"
)

const (
	// defaultCycle is the default of Config.CycleMs.
	defaultCycle = clock.Second
	// initialBackoff is the time after a failed cycle of reports in which no report is
	// sent. It doubles with each further failure, up to maxBackoff.
	initialBackoff = clock.Second
	maxBackoff     = 30 * clock.Second
	// timeMarkInterval is the minimum time between two time marks or digests.
	timeMarkInterval = clock.Minute
	// defaultRetention is short, so that digests are frequent enough for most logs.
	defaultRetention = clock.Hour
	// maxSealsPerRecord bounds the number of seals in one record, and that of
	// confirmations.
	maxSealsPerRecord = 5000
	// maxConcurrentReports bounds the number of reports in flight.
	maxConcurrentReports = 8
	// lateWindows is how long after the end of its window an accepted report counts
	// as late in the metrics, in windows.
	lateWindows = 2
)

// Log is the platform's append-only log; see logservice.Client.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	Read(ctx context.Context, stream string, from int64, limit int, wait clock.Millis) (logservice.Page, error)
}

// Platform is the platform's interface for usage reports. Report must send nothing
// once g.Remaining returns 0 or less.
type Platform interface {
	Report(ctx context.Context, r usage.Report, g fenced.Guard) error
}

// Leases calls a function whenever this process acquires a lease; see lease.Leases.
type Leases interface {
	Keep(ctx context.Context, name string, run func(context.Context, *lease.Tenure) error) error
}

// Config holds the parameters of a Reporter.
type Config struct {
	// Author identifies the process in its records and reports. It must be unique to
	// the process.
	Author string
	// Shard is the number of this shard, from 0 to Shards-1.
	Shard  int
	Shards int
	// WindowMs is the length of a window. GraceMs is the time between the end of a
	// window and its seal, in which late counts are still included.
	WindowMs clock.Millis
	GraceMs  clock.Millis
	// Grace returns a minimum for the grace period, for fleets in which counters
	// record less often; nil means none.
	Grace func() clock.Millis
	// RetentionMs is how long the log keeps a record; 0 means one hour.
	RetentionMs clock.Millis
	// TimeoutMs bounds each call of the log.
	TimeoutMs clock.Millis
	// CycleMs is the pause between two cycles, each of which reads the stream and
	// sends reports; 0 means one second.
	CycleMs clock.Millis
}

// Reporter seals and reports the usage of one shard of client accounts.
type Reporter struct {
	cfg      Config
	leases   Leases
	log      Log
	platform Platform
	clock    clock.Clock
	logger   logrus.FieldLogger
	scope    tally.Scope
}

// New returns a Reporter. It reports nothing before Run is called.
func New(cfg Config, leases Leases, log Log, p Platform, clk clock.Clock, l logrus.FieldLogger, scope tally.Scope) *Reporter {
	if cfg.CycleMs == 0 {
		cfg.CycleMs = defaultCycle
	}
	if cfg.RetentionMs == 0 {
		cfg.RetentionMs = defaultRetention
	}
	return &Reporter{
		cfg:      cfg,
		leases:   leases,
		log:      log,
		platform: p,
		clock:    clk,
		logger:   l.WithField("shard", cfg.Shard),
		scope:    scope,
	}
}

// LeaseName returns the name of a shard's lease.
func LeaseName(shard int) string { return "usage/" + strconv.Itoa(shard) }

// Run reports whenever this process holds the shard's lease, until ctx ends.
func (r *Reporter) Run(ctx context.Context) error {
	return r.leases.Keep(ctx, LeaseName(r.cfg.Shard), r.runSession)
}

// session is the state of a Reporter during one tenure of the lease.
type session struct {
	*Reporter
	tenure *lease.Tenure
	fold   *window.Fold
	// accepted holds, by report ID, the seals whose reports the platform has accepted
	// but whose confirmation has not been read from the stream yet.
	accepted   map[string]window.Seal
	retryAtMs  clock.Millis // no reports are sent before, after a failure
	backoff    clock.Millis // present back-off; 0 after a success
	nextMarkMs clock.Millis // earliest time of the next time mark or digest
}

// runSession runs cycles until the tenure ends.
func (r *Reporter) runSession(ctx context.Context, t *lease.Tenure) error {
	s := &session{
		Reporter: r,
		tenure:   t,
		fold:     window.New(r.cfg.Shard, r.cfg.Shards),
		accepted: map[string]window.Seal{},
	}
	for {
		if err := s.cycle(ctx); err != nil && ctx.Err() == nil {
			s.logger.WithFields(logrus.Fields{"event": "usageCycleFailed", "term": t.Term()}).Warn(err)
		}
		if err := r.clock.Sleep(ctx, r.cfg.CycleMs); err != nil {
			return nil
		}
	}
}

// cycle reads the stream, seals the windows that have ended, sends unconfirmed
// reports and writes a digest if one is due. It derives this work from the complete
// state each time, so that it continues what an earlier cycle or process left undone.
func (s *session) cycle(ctx context.Context) error {
	if err := s.catchUp(ctx); err != nil {
		return err
	}
	if !s.fold.Complete() {
		return s.writeTimeMark(ctx)
	}
	if err := s.sealWindows(ctx); err != nil {
		return err
	}
	if err := s.sendReports(ctx); err != nil {
		return err
	}
	return s.writeDigest(ctx)
}

// catchUp reads the stream to its end.
func (s *session) catchUp(ctx context.Context) error {
	return logservice.CatchUp(ctx, s.log, logservice.StreamUsage, s.cfg.TimeoutMs, s.fold.Next, func(page logservice.Page) {
		s.fold.SetOldest(page.FirstOffset)
		for _, rec := range page.Records {
			s.fold.Apply(rec.Offset, rec.AtMs, rec.Data)
		}
	})
}

// append appends a record if the lease is still held.
func (s *session) append(ctx context.Context, rec window.Record) error {
	timeout := min(s.tenure.Remaining(), s.cfg.TimeoutMs)
	if timeout <= 0 {
		return &fenced.LapsedError{}
	}
	rec.Incarnation = s.cfg.Author
	data, err := json.Marshal(rec)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	_, err = s.log.Append(ctx, logservice.StreamUsage, data)
	return err
}

// sealWindows records seals of the windows that have ended, and reads them back. Only
// the first seal of a window counts, so that a duplicate has no effect.
func (s *session) sealWindows(ctx context.Context) error {
	due := s.fold.DueSeals(s.clock.Wall(), s.grace(), s.cfg.WindowMs)
	if len(due) == 0 {
		return nil
	}
	for len(due) > 0 {
		n := min(len(due), maxSealsPerRecord)
		if err := s.append(ctx, window.Record{Seals: due[:n]}); err != nil {
			return err
		}
		due = due[n:]
	}
	return s.catchUp(ctx)
}

// writeTimeMark appends an empty record if timeMarkInterval has passed since the last
// one. Readers without the earlier state need the log's time to advance: by it they
// know when all windows of that state are closed.
func (s *session) writeTimeMark(ctx context.Context) error {
	if s.clock.Now() < s.nextMarkMs {
		return nil
	}
	s.nextMarkMs = s.clock.Now() + timeMarkInterval
	return s.append(ctx, window.Record{})
}

// writeDigest writes a digest of the state if one is due, before the log drops the
// records of the last one.
func (s *session) writeDigest(ctx context.Context) error {
	if s.clock.Now() < s.nextMarkMs {
		return nil
	}
	if !s.fold.DigestDue(s.clock.Wall(), s.cfg.RetentionMs, s.cfg.Author) {
		return nil
	}
	s.nextMarkMs = s.clock.Now() + timeMarkInterval
	recs, err := s.fold.Digest(fmt.Sprintf("%s-%d", s.cfg.Author, s.clock.Now()), s.cfg.Author)
	if err != nil {
		return err
	}
	for _, rec := range recs {
		if err := s.append(ctx, rec); err != nil {
			return err
		}
	}
	return nil
}

// grace returns the time between the end of a window and its seal.
func (s *session) grace() clock.Millis {
	if s.cfg.Grace == nil {
		return s.cfg.GraceMs
	}
	return max(s.cfg.GraceMs, s.cfg.Grace())
}
