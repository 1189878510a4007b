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
	// maxIncrementalReadGap is the longest time since the last read of the server
	// entries after which only the records added since are read. Most servers rewrite
	// their entries within this time: after a longer one, more records were added than
	// there are keys, so the newest record of each key is read instead.
	maxIncrementalReadGap = 1500 * clock.Millisecond
	// fullReadInterval is the time between two reads of all server entries, which correct
	// what the reads of added records missed.
	fullReadInterval = 10 * clock.Second
)

// topicReader reads one topic to its end, and then the records that are added. It has a
// single owner and is not safe for concurrent use.
type topicReader struct {
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

// needsFullRead reports whether the whole topic must be read, because nothing of it is
// known in the current epoch. A topic that was empty cannot be followed from an offset.
func (r *topicReader) needsFullRead() bool {
	return r.next.Offset() <= 0 || r.next.Epoch() != r.g.store.currentEpoch()
}

// read returns the next records. If there are none, the store waits for one for up to
// wait. whole reports that the records are the newest ones of all keys.
func (r *topicReader) read(ctx context.Context, wait clock.Millis) (snap Snapshot, whole bool, err error) {
	next, sent := r.next, r.g.clock.Now()
	// A hedged call may still run after this function has returned, so it uses a copy
	// of r.next.
	call := func(ctx context.Context) (Snapshot, error) { return r.g.store.Read(ctx, r.topic, next, wait) }
	if whole = r.needsFullRead(); whole {
		call = func(ctx context.Context) (Snapshot, error) { return r.g.store.Newest(ctx, r.topic) }
	}
	snap, err = r.hedged(ctx, wait, call)
	var trimmed *TrimmedError
	if errors.As(err, &trimmed) {
		r.g.log.WithFields(logrus.Fields{"event": "historyLost", "topic": r.topic.String(), "offset": next.Offset()}).Warn(err)
		r.next = epoch.Position{}
		return r.read(ctx, wait)
	}
	var mismatch *EpochMismatchError
	var unknownEpoch *UnknownEpochError
	if errors.As(err, &mismatch) || errors.As(err, &unknownEpoch) {
		r.next = epoch.Position{}
		return r.read(ctx, wait)
	}
	r.g.metrics.storeRead(r.topic, err)
	if err != nil {
		if !r.lost && ctx.Err() == nil {
			r.g.log.WithFields(logrus.Fields{"event": "storeLost", "topic": r.topic.String()}).Warn(err)
		}
		r.lost = true
		r.failures++
		if r.topic == TopicConfig {
			r.g.outage.configPolls.Store(true)
		}
		return snap, whole, err
	}
	if r.topic == TopicConfig {
		r.g.outage.configPolls.Store(false)
	}
	r.g.outage.storeAnswered()
	if r.lost {
		r.g.log.WithFields(logrus.Fields{"event": "storeBack", "topic": r.topic.String()}).Info()
	}
	r.lost, r.failures = false, 0
	r.next, r.readMs = snap.Next, r.g.clock.Now()
	r.tookMs = r.readMs - sent - wait
	// If the epoch of the answer is unknown, keys that are missing from it may exist.
	return snap, whole && snap.Next.Known(), nil
}

// hedged makes a call that asks the store to wait for up to wait. If there is still no
// answer hedgeAfter later, it makes the call once more on a new connection: a connection
// may go silent for good while new ones work. If the last answer took longer than
// hedgeAfter, the store is slow, and the call is made only once.
func (r *topicReader) hedged(ctx context.Context, wait clock.Millis, call func(context.Context) (Snapshot, error)) (Snapshot, error) {
	if r.tookMs > hedgeAfter {
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
			r.g.store.Redial()
			open++
			go try()
		}
	}
}

// backOff backs off after a failed read.
func (r *topicReader) backOff(ctx context.Context) {
	r.g.backOff(ctx, r.failures, r.topic == TopicConfig)
}

// backOffAgain is backOff from the second failure on: the first one may be due to a
// connection that is no longer good.
func (r *topicReader) backOffAgain(ctx context.Context) {
	if r.failures > 1 {
		r.backOff(ctx)
	}
}

// configWait returns how long a read waits for a change of the configuration.
func (g *Gateway) configWait() clock.Millis {
	return max(clock.Millis(g.Settings().Bounds.ConfigMs)-configMargin, minBackOff)
}

func (g *Gateway) configVersion() int64 {
	if cfg := g.fleet.config(); cfg != nil {
		return cfg.Version
	}
	return 0
}

// followConfig is the task that keeps the newest configuration in force.
func (g *Gateway) followConfig(ctx context.Context) error {
	reader := &topicReader{g: g, topic: TopicConfig}
	for empty := 0; ctx.Err() == nil; {
		needsRead := func(u storeUpdate) bool {
			return reader.needsFullRead() || g.config.olderThan(u.Config, u.ConfigAt) || g.updates.configAge() > updateLifetime || g.updates.zonesAge() > updateLifetime
		}
		if g.waitUnchanged(ctx, configPollEvery, g.clock.Now()-reader.readMs, needsRead) {
			g.fleet.configReadMs.Store(int64(g.clock.Now()))
			continue
		}
		wait := g.configWait()
		if reader.lost {
			// Other tasks wait for the answer.
			wait = 0
		}
		snap, whole, err := reader.read(ctx, wait)
		if err != nil {
			reader.backOff(ctx)
			continue
		}
		if g.fleet.config() == nil {
			// The first configuration counts as confirmed as soon as it is in force.
			g.fleet.configReadMs.Store(int64(g.clock.Now()))
		}
		// Zones come first: with the first configuration, requests are served.
		g.readZones(snap, whole)
		for _, r := range snap.Records {
			if d, ok := g.applyConfig(r); ok && g.peers.ranksAmong(subjectReaders, storeReaders) {
				g.peers.broadcastConfig(d)
			}
		}
		g.fleet.configReadMs.Store(int64(g.clock.Now()))
		if reader.needsFullRead() {
			_ = g.clock.Sleep(ctx, minBackOff<<min(empty+1, 3))
			empty++
		}
	}
	return nil
}
