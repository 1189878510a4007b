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
	// configMargin is the part of the time in which a configuration must be in
	// force that a connection that went silent may cost beside the wait for a
	// change: the time-out of a call and a little.
	configMargin = 1 * clock.Second
	// configPollEvery is the most time between two looks whether a configuration is to be
	// read.
	configPollEvery = 500 * clock.Millisecond
	// hedgeAfter is the time without an answer after which a call is made once more:
	// many times what the store takes, and little of the time in which a leaving
	// server still serves.
	hedgeAfter = 300 * clock.Millisecond
	// entriesRewrittenAfter is the time in which most servers write their entry anew: the
	// records since an earlier read are more than the newest ones.
	entriesRewrittenAfter = 1500 * clock.Millisecond
	// wholeReadEvery is the time between whole reads of the servers' entries,
	// which bring what the records missed.
	wholeReadEvery = 10 * clock.Second
)

// follower reads one topic to its end, and then what is added.
type follower struct {
	g     *Gateway
	topic Topic
	// next is the position of the next record; nowhere until the topic was read whole.
	next epoch.Position
	lost bool
	// readMs is when the store answered last, and failures counts the reads
	// since then.
	readMs   clock.Millis
	failures int
	// tookMs is how long the last answer took beyond the time that it was to wait.
	tookMs clock.Millis
}

// whole reports whether the topic is to be read whole: nothing of it is known in the
// present era. A topic that was empty cannot be followed from an offset.
func (f *follower) whole() bool {
	return f.next.Offset() <= 0 || f.next.Epoch() != f.g.store.present()
}

// read returns the next records; whole tells that they are all keys.
func (f *follower) read(ctx context.Context, wait clock.Millis) (snap Snapshot, whole bool, err error) {
	next, sent := f.next, f.g.clock.Now()
	// A second try may outlast this function.
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
	// Of an answer without a known era nothing follows from what it lacks.
	return snap, whole && snap.Next.Known(), nil
}

// hedged makes a call that waits for news for so long, and makes it once more on a
// new connection when it has no answer for long: a connection may be silent for
// good while new ones work. A store that is known to be slow is asked once.
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

// pause waits after a failed read.
func (f *follower) pause(ctx context.Context) {
	f.g.outagePause(ctx, f.failures, f.topic == TopicConfig)
}

// configWait is how long a read waits for a change of the configuration.
func (g *Gateway) configWait() clock.Millis {
	return max(clock.Millis(g.Settings().Bounds.ConfigMs)-configMargin, readBackoff)
}

func (g *Gateway) configVersion() int64 {
	if cfg := g.fleet.config(); cfg != nil {
		return cfg.Version
	}
	return 0
}

// followConfig keeps the newest configuration in force.
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
			// The other duties wait for the answer.
			wait = 0
		}
		snap, _, err := f.read(ctx, wait)
		if err != nil {
			f.pause(ctx)
			continue
		}
		if g.fleet.config() == nil {
			// The first configuration counts as confirmed from the start.
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
