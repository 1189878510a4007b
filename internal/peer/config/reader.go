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
	// readLimit is the maximum number of records per read.
	readLimit = 500
	// firstBackoff and lastBackoff bound the delay after a failed read, which
	// doubles with each failure.
	firstBackoff = 50 * clock.Millisecond
	lastBackoff  = 1 * clock.Second
	// maxWait bounds the time for which a read waits for new records, so that an
	// unresponsive connection is soon detected and replaced.
	maxWait = 1 * clock.Second
	// minSlack and maxSlack bound the time that a read may take in addition to its
	// wait for new records.
	minSlack = 1 * clock.Second
	maxSlack = 8 * clock.Second
)

// Log reads records of a stream; see logservice.Client.Read.
type Log interface {
	Read(ctx context.Context, stream string, from int64, limit int, wait clock.Millis) (logservice.Page, error)
}

// Reader keeps a Store current with the records of the platform's log. Run is its
// task.
type Reader struct {
	Log   Log
	Store *Store
	Clock clock.Clock
	// Logger receives one event when reads start to fail, or fail for another reason,
	// and one when they succeed again.
	Logger logrus.FieldLogger
	// WaitMs is the time for which one read waits for the next record; values above
	// 1 s are reduced to 1 s.
	WaitMs clock.Millis

	lastRead atomic.Int64
	slack    clock.Millis
}

// LastRead returns the time of the last successful read of the log; 0 if there was
// none.
func (r *Reader) LastRead() clock.Millis {
	return clock.Millis(r.lastRead.Load())
}

// Run reads the log until ctx ends, and returns the error of ctx. Failed reads are
// retried with exponential back-off.
func (r *Reader) Run(ctx context.Context) error {
	from := r.Store.Current().Version() + 1
	backoff := firstBackoff
	failing := ""
	for ctx.Err() == nil {
		next, err := r.readPage(ctx, from)
		from = next
		if err == nil {
			if failing != "" {
				r.Logger.WithField("event", "configLogRead").Info("reading the configuration log succeeds again")
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

// readPage reads one page, offers its records to the Store and returns the offset to
// read from next. Once the Store has reached the end of the log, it marks it ready.
func (r *Reader) readPage(ctx context.Context, from int64) (int64, error) {
	version := r.Store.Current().Version()
	from = max(from, version+1)
	page, err := r.readWithTimeout(ctx, from)
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

// readWithTimeout reads one page with a timeout. A read that times out closes its
// connection, so that the next read dials a new one. The timeout adapts to the
// latency of the log, so that a slow log can still be read.
func (r *Reader) readWithTimeout(ctx context.Context, from int64) (logservice.Page, error) {
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
