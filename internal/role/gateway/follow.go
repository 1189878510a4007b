package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/epoch"
)

const (
	// configMargin is the part of Bounds.ConfigMs, the time in which a new
	// configuration must be in force, that is reserved for a connection that has gone
	// silent: the time-out of a call and a little more. The rest is the longest wait
	// for a change.
	configMargin = 1 * clock.Second
	// configPollEvery is the maximum time between two checks whether the configuration
	// must be read.
	configPollEvery = 500 * clock.Millisecond
	// hedgeAfter is the time without an answer, beyond the time that the store was
	// asked to wait, after which a call is made once more. It is many times the store's
	// usual response time, and a small part of the time in which a draining server
	// still serves.
	hedgeAfter = 300 * clock.Millisecond
	// entriesRewrittenAfter is the time in which most servers rewrite their entries. If
	// the last read is longer ago, more records were added since than there are keys,
	// so the newest record of each key is read instead.
	entriesRewrittenAfter = 1500 * clock.Millisecond
	// wholeReadEvery is the time between two reads of all server entries, which correct
	// what the reads of added records missed.
	wholeReadEvery = 10 * clock.Second
)

// follower reads one topic to its end, and then the records that are added. It has a
// single owner and is not safe for concurrent use.
type follower struct {
	g     *Gateway
	topic Topic
	// next is the position of the next record to read; the unknown position until the
	// whole topic was read. lost is set while reads fail.
	next epoch.Position
	lost bool
	// readMs is when the store last answered, and failures is the number of failed
	// reads since then.
	readMs   clock.Millis
	failures int
	// tookMs is how long the last answer took, beyond the time that the store was asked
	// to wait.
	tookMs clock.Millis
}

// whole reports whether the whole topic must be read, because nothing of it is known in
// the current epoch. A topic that was empty cannot be followed from an offset.
func (f *follower) whole() bool {
	return f.next.Offset() <= 0 || f.next.Epoch() != f.g.store.present()
}

// read returns the next records. If there are none, the store waits for one for up to
// wait. whole reports that the records are the newest ones of all keys.
func (f *follower) read(ctx context.Context, wait clock.Millis) (snap Snapshot, whole bool, err error) {
	next, sent := f.next, f.g.clock.Now()
	// A hedged call may still run after this function has returned, so it uses a copy
	// of f.next.
	call := func(ctx context.Context) (Snapshot, error) { return f.g.store.Read(ctx, f.topic, next, wait) }
	if whole = f.whole(); whole {
		call = func(ctx context.Context) (Snapshot, error) { return f.g.store.Newest(ctx, f.topic) }
	}
	snap, err = f.hedged(ctx, wait, call)
	var trimmed *TrimmedError
	if errors.As(err, &trimmed) {
		f.g.log.WithFields(logrus.Fields{"event": "historyLost", "topic": f.topic.String(), "offset": next.Offset()}).Warn(err)
		f.next = epoch.Position{}
		return f.read(ctx, wait)
	}
	var restored *EpochMismatchError
	var unplaced *UnknownEpochError
	if errors.As(err, &restored) || errors.As(err, &unplaced) {
		f.next = epoch.Position{}
		return f.read(ctx, wait)
	}
	f.g.metrics.storeRead(f.topic, err)
	if err != nil {
		if !f.lost && ctx.Err() == nil {
			f.g.log.WithFields(logrus.Fields{"event": "storeLost", "topic": f.topic.String()}).Warn(err)
		}
		f.lost = true
		f.failures++
		if f.topic == TopicConfig {
			f.g.outage.configPolls.Store(true)
		}
		return snap, whole, err
	}
	if f.topic == TopicConfig {
		f.g.outage.configPolls.Store(false)
	}
	f.g.outage.storeAnswered()
	if f.lost {
		f.g.log.WithFields(logrus.Fields{"event": "storeBack", "topic": f.topic.String()}).Info()
	}
	f.lost, f.failures = false, 0
	f.next, f.readMs = snap.Next, f.g.clock.Now()
	f.tookMs = f.readMs - sent - wait
	// If the epoch of the answer is unknown, keys that are missing from it may exist.
	return snap, whole && snap.Next.Known(), nil
}

// hedged makes a call that asks the store to wait for up to wait. If there is still no
// answer hedgeAfter later, it makes the call once more on a new connection: a connection
// may go silent for good while new ones work. If the last answer took longer than
// hedgeAfter, the store is slow, and the call is made only once.
func (f *follower) hedged(ctx context.Context, wait clock.Millis, call func(context.Context) (Snapshot, error)) (Snapshot, error) {
	if f.tookMs > hedgeAfter {
		return call(ctx)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		snap Snapshot
		err  error
	}
	answers := make(chan answer, 2)
	try := func() {
		snap, err := call(ctx)
		answers <- answer{snap, err}
	}
	go try()
	late := time.NewTimer((wait + hedgeAfter).Duration())
	defer late.Stop()
	for open := 1; ; {
		select {
		case a := <-answers:
			if open--; a.err == nil || open == 0 {
				return a.snap, a.err
			}
		case <-late.C:
			f.g.store.Redial()
			open++
			go try()
		}
	}
}

// pause backs off after a failed read.
func (f *follower) pause(ctx context.Context) {
	f.g.outagePause(ctx, f.failures, f.topic == TopicConfig)
}

// configWait returns how long a read waits for a change of the configuration.
func (g *Gateway) configWait() clock.Millis {
	return max(clock.Millis(g.Settings().Bounds.ConfigMs)-configMargin, readBackoff)
}

func (g *Gateway) configVersion() int64 {
	if cfg := g.fleet.config(); cfg != nil {
		return cfg.Version
	}
	return 0
}

// followConfig is the task that keeps the newest configuration in force.
func (g *Gateway) followConfig(ctx context.Context) error {
	f := &follower{g: g, topic: TopicConfig}
	for empty := 0; ctx.Err() == nil; {
		news := func(h storeUpdate) bool {
			return f.whole() || g.config.behind(h.Config, h.ConfigAt) || g.updates.configAge() > updateLifetime
		}
		if g.waitUnchanged(ctx, configPollEvery, g.clock.Now()-f.readMs, news) {
			g.fleet.configReadMs.Store(int64(g.clock.Now()))
			continue
		}
		wait := g.configWait()
		if f.lost {
			// Other tasks wait for the answer.
			wait = 0
		}
		snap, _, err := f.read(ctx, wait)
		if err != nil {
			f.pause(ctx)
			continue
		}
		if g.fleet.config() == nil {
			// The first configuration counts as confirmed as soon as it is in force.
			g.fleet.configReadMs.Store(int64(g.clock.Now()))
		}
		for _, r := range snap.Records {
			if d, ok := g.applyConfig(r); ok && g.peers.ranksAmong(subjectReaders, readers) {
				g.peers.broadcastConfig(d)
			}
		}
		g.fleet.configReadMs.Store(int64(g.clock.Now()))
		if f.whole() {
			_ = g.clock.Sleep(ctx, readBackoff<<min(empty+1, 3))
			empty++
		}
	}
	return nil
}
