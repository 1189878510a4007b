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

// input is one input of the owner.
type input interface {
	apply(l *Leases, now clock.Millis) []lease.Append
}

type wantInput struct {
	name string
	got  chan<- *Tenure
}

func (in wantInput) apply(l *Leases, now clock.Millis) []lease.Append {
	l.wanted[in.name] = in.got
	return l.author.SetWanted(now, slices.Collect(maps.Keys(l.wanted))...)
}

type dropInput struct{ name string }

func (in dropInput) apply(l *Leases, now clock.Millis) []lease.Append {
	delete(l.wanted, in.name)
	return l.author.SetWanted(now, slices.Collect(maps.Keys(l.wanted))...)
}

type pageInput struct{ page logservice.Page }

func (in pageInput) apply(l *Leases, now clock.Millis) []lease.Append {
	l.author.SetOldest(in.page.FirstOffset)
	var out []lease.Append
	for _, r := range in.page.Records {
		out = append(out, l.author.ApplyRecord(now, r.Offset, r.AtMs, r.Data)...)
	}
	return out
}

// own applies inputs until ctx ended and the leases are released.
func (l *Leases) own(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	done := ctx.Done()
	var lastMs clock.Millis
	for {
		timer.Reset(l.wait(lastMs).Duration())
		var out []lease.Append
		select {
		case <-done:
			done = nil
			lastMs = l.clock.Now() + l.cfg.ReleaseMs
		case in := <-l.inputs.C():
			out = in.apply(l, l.clock.Now())
		case <-timer.C:
			out = l.author.Tick(l.clock.Now())
		}
		for _, a := range out {
			l.appends.Add(1)
			go l.append(a)
		}
		l.sync()
		l.publish()
		if lastMs != 0 && (l.idle() || l.clock.Now() >= lastMs) {
			return nil
		}
	}
}

// idle reports whether no duty runs under a lease and none is to be released.
func (l *Leases) idle() bool {
	return len(l.wanted) == 0 && l.inputs.Len() == 0 && !l.author.Releasing()
}

// wait returns the time until the next tick.
func (l *Leases) wait(lastMs clock.Millis) clock.Millis {
	now := l.clock.Now()
	next := now + l.cfg.LengthMs
	if at, ok := l.author.NextTick(); ok {
		next = min(next, at)
	}
	for _, t := range l.tenures {
		next = min(next, clock.Millis(t.until.Load()))
	}
	if lastMs != 0 {
		next = min(next, lastMs)
	}
	return max(next-now, clock.Millisecond)
}

// sync extends, ends and gives out tenures as the Author has it.
func (l *Leases) sync() {
	now := l.clock.Now()
	for name, t := range l.tenures {
		held, ok := l.author.Held(now, name)
		if ok && held.Term == t.term {
			t.until.Store(int64(held.UntilMs))
			continue
		}
		t.until.Store(0)
		close(t.lost)
		delete(l.tenures, name)
		l.logger.WithFields(logrus.Fields{"event": "leaseEnded", "lease": name, "term": t.term}).Info()
	}
	for name, got := range l.wanted {
		held, ok := l.author.Held(now, name)
		if !ok {
			continue
		}
		if l.tenures[name] == nil {
			t := NewTenure(name, held.Term, held.UntilMs, l.clock)
			l.tenures[name] = t
			l.logger.WithFields(logrus.Fields{"event": "leaseTaken", "lease": name, "term": t.term}).Info()
		}
		if got != nil {
			got <- l.tenures[name]
			l.wanted[name] = nil
		}
	}
}

// append adds a record, for no longer than the claims in it are of use.
func (l *Leases) append(a lease.Append) {
	defer l.appends.Done()
	ctx, cancel := context.WithTimeout(context.Background(), l.cfg.LengthMs.Duration())
	defer cancel()
	if _, err := l.log.Append(ctx, logservice.StreamLeases, a.Data); err != nil {
		l.logger.WithField("event", "leaseAppendFailed").Warn(err)
	}
}

// read follows the stream until ctx ends.
func (l *Leases) read(ctx context.Context) error {
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
