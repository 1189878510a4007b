// Package usage counts what backend servers generate and reports it to the
// platform.
//
// A Counter beside each backend server records its counts in the usage
// stream. A Reporter per shard of client accounts, under the shard's lease,
// seals the windows that have ended in the stream, reports exactly what was
// sealed until the platform has accepted it, and records that.
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
	defaultCycle = clock.Second
	firstBackoff = clock.Second
	lastBackoff  = 30 * clock.Second
	markAfter    = clock.Minute
	// defaultRetention is short, so that digests come often enough for most logs.
	defaultRetention = clock.Hour
	// sealsPerRecord bounds the seals, and the confirmations, of one record.
	sealsPerRecord = 5000
	// parallelReports bounds the reports that are sent at a time.
	parallelReports = 8
	// lateWindows is the number of windows after which a report is late.
	lateWindows = 2
)

// Log is the platform's log.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	Read(ctx context.Context, stream string, from int64, limit int, wait clock.Millis) (logservice.Page, error)
}

// Platform accepts reports.
type Platform interface {
	Report(ctx context.Context, r usage.Report, g fenced.Guard) error
}

// Leases runs a function while a lease is held.
type Leases interface {
	Keep(ctx context.Context, name string, run func(context.Context, *lease.Tenure) error) error
}

// Config holds the parameters of a Reporter.
type Config struct {
	// Author names the process in its records and reports; it is unique to it.
	Author string
	Shard  int
	Shards int
	// WindowMs is the length of a window. GraceMs is the time after its end
	// after which it is sealed.
	WindowMs clock.Millis
	GraceMs  clock.Millis
	// Grace returns a longer time where counts come more seldom; nil is none.
	Grace func() clock.Millis
	// RetentionMs is that of the log; the default is an hour.
	RetentionMs clock.Millis
	// TimeoutMs bounds one call of the log.
	TimeoutMs clock.Millis
	// CycleMs is the time between two looks at the stream; the default is a second.
	CycleMs clock.Millis
}

// Reporter reports the usage of one shard of client accounts.
type Reporter struct {
	cfg      Config
	leases   Leases
	log      Log
	platform Platform
	clock    clock.Clock
	logger   logrus.FieldLogger
	scope    tally.Scope
}

// New returns a Reporter.
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

// LeaseName returns the name of the lease of a shard.
func LeaseName(shard int) string { return "usage/" + strconv.Itoa(shard) }

// Run reports while the shard's lease is held, until ctx ends.
func (r *Reporter) Run(ctx context.Context) error {
	return r.leases.Keep(ctx, LeaseName(r.cfg.Shard), r.hold)
}

// session is the work of one tenure.
type session struct {
	*Reporter
	tenure *lease.Tenure
	fold   *window.Fold
	// sent are the seals whose reports the platform has accepted while the
	// stream does not show it.
	sent    map[string]window.Seal
	pauseMs clock.Millis // no reports before
	backoff clock.Millis
	markMs  clock.Millis
}

// hold reports until the tenure ends.
func (r *Reporter) hold(ctx context.Context, t *lease.Tenure) error {
	s := &session{
		Reporter: r,
		tenure:   t,
		fold:     window.New(r.cfg.Shard, r.cfg.Shards),
		sent:     map[string]window.Seal{},
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

// cycle looks at the whole state and does what is missing.
func (s *session) cycle(ctx context.Context) error {
	if err := s.catchUp(ctx); err != nil {
		return err
	}
	if !s.fold.Complete() {
		return s.mark(ctx)
	}
	if err := s.seal(ctx); err != nil {
		return err
	}
	if err := s.report(ctx); err != nil {
		return err
	}
	return s.digest(ctx)
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

// append adds a record while the lease is held.
func (s *session) append(ctx context.Context, rec window.Record) error {
	rest := min(s.tenure.Remaining(), s.cfg.TimeoutMs)
	if rest <= 0 {
		return &fenced.LapsedError{}
	}
	rec.Incarnation = s.cfg.Author
	data, err := json.Marshal(rec)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, rest.Duration())
	defer cancel()
	_, err = s.log.Append(ctx, logservice.StreamUsage, data)
	return err
}

// seal writes the figures of the windows that have ended, and reads them back.
// A seal that was recorded twice changes nothing.
func (s *session) seal(ctx context.Context) error {
	due := s.fold.DueSeals(s.clock.Wall(), s.grace(), s.cfg.WindowMs)
	if len(due) == 0 {
		return nil
	}
	for len(due) > 0 {
		n := min(len(due), sealsPerRecord)
		if err := s.append(ctx, window.Record{Seals: due[:n]}); err != nil {
			return err
		}
		due = due[n:]
	}
	return s.catchUp(ctx)
}

// mark lets the log's time pass while the earlier state is not known.
func (s *session) mark(ctx context.Context) error {
	if s.clock.Now() < s.markMs {
		return nil
	}
	s.markMs = s.clock.Now() + markAfter
	return s.append(ctx, window.Record{})
}

// digest writes the state before retention passes over the last digest.
func (s *session) digest(ctx context.Context) error {
	if s.clock.Now() < s.markMs {
		return nil
	}
	if !s.fold.DigestDue(s.clock.Wall(), s.cfg.RetentionMs, s.cfg.Author) {
		return nil
	}
	s.markMs = s.clock.Now() + markAfter
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

// grace returns the time after a window's end after which it is sealed.
func (s *session) grace() clock.Millis {
	if s.cfg.Grace == nil {
		return s.cfg.GraceMs
	}
	return max(s.cfg.GraceMs, s.cfg.Grace())
}
