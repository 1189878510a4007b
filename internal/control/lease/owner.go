package lease

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/platform/logservice"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/lease"
)

// input is one input of the owner goroutine.
type input interface {
	apply(l *Leases, now clock.Millis) []lease.Append
}

// acquireInput adds a lease to those that the process wants. Its Tenure is sent to
// acquired.
type acquireInput struct {
	name     string
	acquired chan<- *Tenure
}

func (in acquireInput) apply(l *Leases, now clock.Millis) []lease.Append {
	l.wanted[in.name] = in.acquired
	return l.author.SetWanted(now, slices.Collect(maps.Keys(l.wanted))...)
}

// releaseInput removes a lease from those that the process wants.
type releaseInput struct{ name string }

func (in releaseInput) apply(l *Leases, now clock.Millis) []lease.Append {
	delete(l.wanted, in.name)
	return l.author.SetWanted(now, slices.Collect(maps.Keys(l.wanted))...)
}

// pageInput applies a page of records that was read from the stream.
type pageInput struct{ page logservice.Page }

func (in pageInput) apply(l *Leases, now clock.Millis) []lease.Append {
	l.author.SetOldest(in.page.FirstOffset)
	var out []lease.Append
	for _, r := range in.page.Records {
		out = append(out, l.author.ApplyRecord(now, r.Offset, r.AtMs, r.Data)...)
	}
	return out
}

// runOwner applies inputs until ctx has ended and all leases are released, for at
// most ReleaseMs after the end of ctx.
func (l *Leases) runOwner(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	done := ctx.Done()
	var stopByMs clock.Millis
	for {
		timer.Reset(l.timeToNextTick(stopByMs).Duration())
		var appends []lease.Append
		select {
		case <-done:
			done = nil
			stopByMs = l.clock.Now() + l.cfg.ReleaseMs
		case in := <-l.inputs.C():
			appends = in.apply(l, l.clock.Now())
		case <-timer.C:
			appends = l.author.Tick(l.clock.Now())
		}
		for _, a := range appends {
			l.appends.Add(1)
			go l.append(a)
		}
		l.updateTenures()
		l.publishStates()
		if stopByMs != 0 && (l.released() || l.clock.Now() >= stopByMs) {
			return nil
		}
	}
}

// released reports whether no task runs under a lease and every release is recorded.
func (l *Leases) released() bool {
	return len(l.wanted) == 0 && l.inputs.Len() == 0 && !l.author.Releasing()
}

// timeToNextTick returns the time until the next tick. stopByMs is when the owner
// must stop; 0 while ctx has not ended.
func (l *Leases) timeToNextTick(stopByMs clock.Millis) clock.Millis {
	now := l.clock.Now()
	next := now + l.cfg.LengthMs
	if at, ok := l.author.NextTick(); ok {
		next = min(next, at)
	}
	for _, t := range l.tenures {
		next = min(next, clock.Millis(t.untilMs.Load()))
	}
	if stopByMs != 0 {
		next = min(next, stopByMs)
	}
	return max(next-now, clock.Millisecond)
}

// updateTenures brings the tenures in line with the author's state: it extends or
// ends those that exist, and passes new ones to the calls of acquire that wait for
// them.
func (l *Leases) updateTenures() {
	now := l.clock.Now()
	for name, t := range l.tenures {
		held, ok := l.author.Held(now, name)
		if ok && held.Term == t.term {
			t.untilMs.Store(int64(held.UntilMs))
			continue
		}
		t.untilMs.Store(0)
		close(t.lost)
		delete(l.tenures, name)
		l.logger.WithFields(logrus.Fields{"event": "leaseEnded", "lease": name, "term": t.term}).Info()
	}
	for name, acquired := range l.wanted {
		held, ok := l.author.Held(now, name)
		if !ok {
			continue
		}
		if l.tenures[name] == nil {
			t := NewTenure(name, held.Term, held.UntilMs, l.clock)
			l.tenures[name] = t
			l.logger.WithFields(logrus.Fields{"event": "leaseTaken", "lease": name, "term": t.term}).Info()
		}
		if acquired != nil {
			acquired <- l.tenures[name]
			l.wanted[name] = nil
		}
	}
}

// append appends a record. The timeout is the lease length, after which the claims in
// the record are worthless.
func (l *Leases) append(a lease.Append) {
	defer l.appends.Done()
	ctx, cancel := context.WithTimeout(context.Background(), l.cfg.LengthMs.Duration())
	defer cancel()
	if _, err := l.log.Append(ctx, logservice.StreamLeases, a.Data); err != nil {
		l.logger.WithField("event", "leaseAppendFailed").Warn(err)
	}
}

// runReader passes the records of the leases stream to the owner until ctx ends.
func (l *Leases) runReader(ctx context.Context) error {
	next := int64(1)
	for ctx.Err() == nil {
		page, err := l.log.Read(ctx, logservice.StreamLeases, next, readLimit, readWait)
		if err != nil {
			if ctx.Err() == nil {
				l.logger.WithField("event", "leaseReadFailed").Warn(err)
			}
			_ = l.clock.Sleep(ctx, readBackoff)
			continue
		}
		if err := l.inputs.Put(ctx, pageInput{page}); err != nil {
			return nil
		}
		next = max(next, page.FirstOffset)
		if n := len(page.Records); n > 0 {
			next = page.Records[n-1].Offset + 1
		}
	}
	return nil
}
