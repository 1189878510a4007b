package config

import (
	"context"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/platform/logservice"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	readLimit    = 500
	firstBackoff = 50 * clock.Millisecond
	lastBackoff  = 1 * clock.Second
	// maxWait bounds the wait of a read, so that a silent connection is
	// noticed and replaced in time.
	maxWait = 1 * clock.Second
	// minSlack and maxSlack bound the time that a read may take beyond its
	// wait.
	minSlack = 1 * clock.Second
	maxSlack = 8 * clock.Second
)

// Log reads records of a stream; see logservice.Client.Read.
type Log interface {
	Read(ctx context.Context, stream string, from int64, limit int, wait clock.Millis) (logservice.Page, error)
}

// Reader is the task that keeps a Store current from the platform's log.
type Reader struct {
	Log   Log
	Store *Store
	Clock clock.Clock
	// Logger gets one event when reading starts to fail or works again.
	Logger logrus.FieldLogger
	// WaitMs bounds how long one read waits for the next record. More than
	// 1 s counts as that.
	WaitMs clock.Millis

	lastRead atomic.Int64
	slack    clock.Millis
}

// LastRead returns when the log was read last, or 0.
func (r *Reader) LastRead() clock.Millis {
	return clock.Millis(r.lastRead.Load())
}

// Run reads until ctx ends, which it returns the error of.
func (r *Reader) Run(ctx context.Context) error {
	from := r.Store.Current().Version() + 1
	backoff := firstBackoff
	failing := ""
	for ctx.Err() == nil {
		next, err := r.step(ctx, from)
		from = next
		if err == nil {
			if failing != "" {
				r.Logger.WithField("event", "configLogRead").Info("reading works again")
			}
			failing, backoff = "", firstBackoff
			continue
		}
		if msg := err.Error(); msg != failing && ctx.Err() == nil {
			r.Logger.WithFields(logrus.Fields{"event": "configLogFailed", "from": from}).Warn(err)
			failing = msg
		}
		if r.Clock.Sleep(ctx, backoff) != nil {
			break
		}
		backoff = min(2*backoff, lastBackoff)
	}
	return ctx.Err()
}

// step reads one page and returns the offset to read from next.
func (r *Reader) step(ctx context.Context, from int64) (int64, error) {
	version := r.Store.Current().Version()
	from = max(from, version+1)
	page, err := r.read(ctx, from)
	if err != nil {
		return from, err
	}
	r.lastRead.Store(int64(r.Clock.Now()))
	if page.NextOffset < from {
		return from, &TruncatedError{NextOffset: page.NextOffset, Have: from - 1}
	}
	if err := r.Store.Offer(page.Records); err != nil {
		return from, err
	}
	for _, rec := range page.Records {
		from = max(from, rec.Offset+1)
	}
	version = r.Store.Current().Version()
	if version+1 >= page.NextOffset {
		r.Store.MarkReady()
	}
	if version+1 < page.FirstOffset && from >= page.NextOffset {
		return from, &GapError{Version: version, FirstOffset: page.FirstOffset}
	}
	return from, nil
}

// read reads one page within a deadline. A read that misses it closes its
// connection, so that the next one dials. The deadline follows the time that
// the log takes, so that a slow log is read all the same.
func (r *Reader) read(ctx context.Context, from int64) (logservice.Page, error) {
	wait := min(r.WaitMs, maxWait)
	r.slack = max(r.slack, minSlack)
	ctx, cancel := context.WithTimeout(ctx, (wait + r.slack).Duration())
	defer cancel()
	start := r.Clock.Now()
	page, err := r.Log.Read(ctx, logservice.StreamConfig, from, readLimit, wait)
	latency := r.Clock.Now() - start
	if len(page.Records) == 0 {
		latency -= wait
	}
	switch {
	case err == nil:
		r.slack = min(2*latency, maxSlack)
	case errors.Is(err, context.DeadlineExceeded):
		r.slack = min(2*r.slack, maxSlack)
	}
	return page, err
}
