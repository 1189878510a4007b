package gateway

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/election"
	"github.com/damaskport/damaskport/internal/state/epoch"
	"github.com/damaskport/damaskport/internal/state/sealing"
)

const (
	// keyLeader and keySealed are the prefixes of the keys of the leader's record and
	// of the newest sealed window in TopicLeader. The store epoch follows (see
	// epochKey).
	keyLeader = "holder"
	keySealed = "sealed"
	// claimMargin is the safety margin for a change of leader, once for the leader and
	// once for the challenger: the challenger claims only when it has seen no renewal
	// for 2*claimMargin longer than the lease, the platform's minimum time between two
	// leaders.
	claimMargin = 600 * clock.Millisecond
	// collectAfter is how long after a window's end the leader reads from the store the
	// counts that gateways did not send. The gateways have published them by then.
	collectAfter = 1300 * clock.Millisecond
	// countsRequestEvery is the interval between two requests to the other gateways for
	// a window's counts, and collectEvery the interval between two reads of published
	// counts from the store.
	countsRequestEvery = 200 * clock.Millisecond
	collectEvery       = 700 * clock.Millisecond
	// lateCollectEvery replaces collectEvery for a window that an outage of the store
	// has delayed. lateWait is the minimum time for which counts that are not published
	// yet are awaited, from the first collection of the window on: gateways publish
	// within some tenths of a second after the end of an outage.
	lateCollectEvery = 200 * clock.Millisecond
	lateWait         = 400 * clock.Millisecond
	// reportMargin is how long before its report is due a window is sealed even if
	// counts are still missing.
	reportMargin = 2500 * clock.Millisecond
	// unreachableTimeout is how long after a window's end its counts are awaited if
	// none of the gateways that have not published them can be reached. candidateIdle
	// is the interval at which a gateway checks whether it should be a candidate, and
	// the longest wait before an empty TopicLeader is read again.
	unreachableTimeout = 3500 * clock.Millisecond
	candidateIdle      = 1500 * clock.Millisecond
	// connectTime is how long after its start a gateway may need to connect to the
	// other gateways.
	connectTime = 2 * clock.Second
	// readsPerClaimTime is how often a candidate reads the leader's record in the time
	// without a renewal after which it may claim.
	readsPerClaimTime = 2
	// claimSpread bounds the extra delay by which the claims of challengers differ.
	claimSpread = 500 * clock.Millisecond
	// candidates is the number of gateways that take part in the leader election.
	candidates = 3
	// minTermLeft is the minimum time for which a gateway must remain leader without a
	// further renewal to send a report.
	minTermLeft = 700 * clock.Millisecond
)

// leader takes part in the leader election. While this gateway is leader, it collects,
// seals and reports the usage of each window. It has a single owner and is not safe for
// concurrent use.
type leader struct {
	g     *Gateway
	t     *election.Candidate
	seals *sealing.Seals
	// nextMs is when the counts are collected next.
	nextMs clock.Millis
	// collecting is the window whose counts were collected last, and collectingMs is
	// when they were first collected.
	collecting   int64
	collectingMs clock.Millis
	// held is whether this gateway was leader at the last check by logLeadership, and
	// loaded whether the whole topic was read in the current epoch.
	held   bool
	loaded bool
	// claimMs is the time without a renewal of the leader after which a candidate may
	// claim.
	claimMs clock.Millis
	// failures is the number of failed calls of the store since its last answer.
	failures int
}

// runLeaderTasks is the task that takes part in the leader election and does the
// leader's work while this gateway is leader. It ends when the gateway starts to drain.
func (g *Gateway) runLeaderTasks(ctx context.Context) error {
	lease := clock.Millis(g.Settings().Duties.LeaseMs)
	claim := lease + 2*claimMargin
	h := &leader{g: g, claimMs: claim, seals: sealing.New(g.clock.Now(), g.usage.windowMs), t: election.New(election.Config{
		Leader: g.name, Process: g.processID,
		LeaseMs: lease, ClaimMs: claim, RenewMs: lease / 3,
		HandoverMs: lease/2 + claimMargin/2, SpreadMs: g.jitter(claimSpread),
	})}
	for ctx.Err() == nil && !g.draining.Load() {
		if _, held := h.t.IsLeader(g.clock.Now()); !held && !g.candidate() {
			// Enough other gateways are candidates, so this one need not follow the
			// leader's record.
			h.loaded = false
			wait := candidateIdle
			if !g.membersRead.Load() {
				wait = listPollEvery
			}
			_ = g.clock.Sleep(ctx, wait)
			continue
		}
		if err := h.step(ctx); err != nil {
			if h.failures == 0 {
				g.log.WithField("event", "dutyStoreLost").Warn(err)
			}
			h.failures++
			h.loaded = false
			g.outagePause(ctx, h.failures, false)
			continue
		}
		h.failures = 0
	}
	h.release()
	return nil
}

// candidate reports whether this gateway takes part in the leader election. Within
// connectTime of its start, gateways that are not connected yet count as well.
func (g *Gateway) candidate() bool {
	if g.clock.Now()-g.startMonoMs < connectTime {
		return g.membersRead.Load() && g.peers.ranksAmongKnown(subjectLeaders, candidates)
	}
	return g.peers.ranksAmong(subjectLeaders, candidates)
}

// release steps down as leader, so that the next leader need not wait for the lease to
// end.
func (h *leader) release() {
	ctx, cancel := context.WithTimeout(context.Background(), clock.Second.Duration())
	defer cancel()
	now := h.g.clock.Now()
	term, _ := h.t.IsLeader(now)
	r, asOf, ok := h.t.StepDown(now)
	if !ok {
		return
	}
	err := h.append(ctx, keyLeader, r, asOf, nil)
	h.g.log.WithFields(logrus.Fields{"event": "dutyReleased", "term": term, "written": err == nil}).Info()
}

// enterEpoch applies the current store epoch. If it has changed, the topic must be read
// again.
func (h *leader) enterEpoch() {
	now, e := h.g.clock.Now(), h.g.store.present()
	if e == h.t.Epoch() {
		return
	}
	_, held := h.t.IsLeader(now)
	h.t.SetEpoch(now, e)
	h.seals.SetEpoch(now, e, held)
	h.loaded = false
}

// load reads the whole topic in the current epoch.
func (h *leader) load(ctx context.Context) error {
	g := h.g
	snap, err := g.store.Newest(ctx, TopicLeader)
	g.metrics.storeRead(TopicLeader, err)
	if err != nil {
		return err
	}
	// The answer may have been the first to report a new epoch.
	h.enterEpoch()
	if snap.Next.Epoch() != h.t.Epoch() {
		return errors.Errorf("leader topic was read in epoch %v, but the current epoch is %v", snap.Next.Epoch(), h.t.Epoch())
	}
	h.apply(snap)
	h.t.NoRecord(g.clock.Now())
	h.seals.Read(nil)
	h.loaded = snap.Next.Known()
	if !h.loaded {
		_ = g.clock.Sleep(ctx, candidateIdle)
	}
	return nil
}

// step reads the topic if that is necessary, and writes a claim or a renewal if one is
// due. Otherwise it acts as leader, or waits and reads what changed in the topic.
func (h *leader) step(ctx context.Context) error {
	g := h.g
	h.enterEpoch()
	if !h.loaded {
		if err := h.load(ctx); err != nil {
			return err
		}
	}
	now := g.clock.Now()
	if now >= h.t.DueMs(now) {
		r, asOf := h.t.NextRecord(now)
		err := h.append(ctx, keyLeader, r, asOf, func() { h.t.Appended(g.clock.Now(), asOf, r) })
		if err != nil {
			return err
		}
		h.logLeadership()
		return nil
	}
	h.logLeadership()
	term, held := h.t.IsLeader(now)
	if held {
		return h.lead(ctx, term)
	}
	wait := max(h.t.DueMs(now)-now, 0)
	_, changed := g.store.current()
	if h.t.Next().Offset() <= 0 {
		g.sleepInEpoch(ctx, min(wait, candidateIdle), changed)
		h.loaded = false
		return nil
	}
	// Reading after each renewal would cost one store call per candidate and renewal.
	g.sleepInEpoch(ctx, min(wait, h.claimMs/readsPerClaimTime), changed)
	h.enterEpoch()
	if !h.loaded {
		return nil
	}
	snap, err := g.store.Read(ctx, TopicLeader, h.t.Next(), 0)
	g.metrics.storeRead(TopicLeader, err)
	if restored := (*EpochMismatchError)(nil); errors.As(err, &restored) {
		return nil
	}
	if err != nil {
		return err
	}
	h.apply(snap)
	return nil
}

// logLeadership logs that this gateway has become leader or has stopped being leader,
// and updates the seals and the metric.
func (h *leader) logLeadership() {
	term, held := h.t.IsLeader(h.g.clock.Now())
	if held == h.held {
		return
	}
	h.held = held
	if !held {
		h.seals.LeadershipLost()
	}
	h.g.metrics.leading(held)
	event := "dutyLost"
	if held {
		event = "dutyTaken"
	}
	h.g.log.WithFields(logrus.Fields{"event": event, "term": term}).Info()
}

// epochKey returns the key of a record in an epoch. Each epoch has its own keys, so
// that a delayed write of an earlier epoch replaces nothing.
func epochKey(key string, e epoch.Epoch) string {
	if !e.Known() {
		return key
	}
	return key + "-" + e.String()
}

func (h *leader) apply(snap Snapshot) {
	now, e := h.g.clock.Now(), h.t.Epoch()
	for _, rec := range snap.Records {
		if len(rec.Value) == 0 {
			continue
		}
		var err error
		kind, _, _ := strings.Cut(rec.Key, "-")
		switch kind {
		case keyLeader:
			var r election.Record
			if err = json.Unmarshal(rec.Value, &r); err != nil {
				break
			}
			if rec.Key == epochKey(keyLeader, e) {
				h.t.ApplyRecord(now, rec.At, r)
			} else {
				h.t.ApplyEarlierEpoch(r)
			}
		case keySealed:
			var u Usage
			if err = json.Unmarshal(rec.Value, &u); err != nil {
				break
			}
			if rec.Key == epochKey(keySealed, e) {
				h.seals.Read(&u)
			} else {
				h.seals.Received(u)
			}
		}
		if err != nil {
			h.g.log.WithFields(logrus.Fields{"event": "dutyUnreadable", "key": rec.Key, "offset": rec.At.Offset()}).Error(err)
		}
	}
	h.t.SetEnd(snap.Next)
}

// append writes a record of the current epoch on condition that the topic ends at asOf,
// and then calls done, if there is one. After a conflict, an error or a change of the
// epoch, the topic is read again before the next step.
func (h *leader) append(ctx context.Context, key string, v any, asOf epoch.Position, done func()) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	err = h.g.store.AppendAt(ctx, TopicLeader, epochKey(key, asOf.Epoch()), data, asOf)
	h.g.metrics.storeWrite(TopicLeader, err)
	var conflict *ConflictError
	var restored *EpochMismatchError
	if errors.As(err, &conflict) || errors.As(err, &restored) {
		h.loaded = false
		return nil
	}
	if err != nil {
		return err
	}
	if done != nil {
		done()
	}
	return nil
}

// lead does the next step of the leader's work: it reports a sealed window, collects
// and seals the next window that is due, or waits.
func (h *leader) lead(ctx context.Context, term int64) error {
	g := h.g
	now, wall := g.clock.Now(), g.clock.Wall()
	h.mergeKnownSeal()
	if u, ok := h.seals.Pending(); ok {
		return h.report(ctx, term, u)
	}
	window := h.dueWindow(now, wall)
	ready := g.usage.end(window) + collectDelay
	if wait := max(ready-wall, h.nextMs-now); wait > 0 {
		_, changed := g.store.current()
		g.sleepInEpoch(ctx, min(wait, max(h.t.DueMs(now)-now, clock.Millisecond)), changed)
		return nil
	}
	first := h.collecting != window
	h.recordCollection(now, window, wall-ready)
	missing := g.usage.missing(window, g.peers.otherNames())
	if len(missing) > 0 {
		g.peers.requestCounts(window)
	}
	g.usage.markSent(window)
	if len(missing) > 0 && (first || wall < g.usage.end(window)+collectAfter) {
		h.nextMs = now + countsRequestEvery
		return nil
	}
	// Counts that were not sent may have been published in the store, also by processes
	// that have ended.
	snap, err := g.store.Newest(ctx, TopicUsage)
	g.metrics.storeRead(TopicUsage, err)
	if err != nil {
		return err
	}
	sum := g.collect(snap.Records, window)
	h.deleteCounts(ctx, sum.stale)
	if patience := h.lateTimeout(sum.late); g.clock.Wall() < g.usage.end(window)+patience || len(sum.late) > 0 && g.clock.Now() < h.collectingMs+lateWait {
		return nil
	}
	return h.sealWindow(ctx, term, Usage{Window: window, Counts: sum.total}, sum.late)
}

// mergeKnownSeal applies the newest sealed window that this gateway knows. Another
// gateway may have sent it.
func (h *leader) mergeKnownSeal() {
	if u := h.g.latestSeal.Load(); u != nil {
		h.seals.Received(*u)
	}
}

// sealWindow seals the figures of a window by writing them to the store. Only sealed
// figures are reported.
func (h *leader) sealWindow(ctx context.Context, term int64, u Usage, late []string) error {
	g := h.g
	if h.mergeKnownSeal(); h.dueWindow(g.clock.Now(), g.clock.Wall()) > u.Window {
		return nil
	}
	asOf := h.t.Next()
	return h.append(ctx, keySealed, u, asOf, func() {
		h.t.SetEnd(asOf.Next())
		h.seals.Sealed(u)
		g.keepSeal(u)
		g.peers.sendSeal(u)
		g.log.WithFields(logrus.Fields{"event": "usageSealed", "window": u.Window, "accounts": len(u.Counts), "late": late, "term": term, "era": asOf.Epoch().String()}).Info()
	})
}

// recordCollection records a collection of a window and schedules the next one. before
// is how long the window has been ready to be collected: more than collectEvery if an
// outage of the store has delayed it.
func (h *leader) recordCollection(now clock.Millis, window int64, before clock.Millis) {
	if h.collecting != window {
		h.collecting, h.collectingMs = window, now
	}
	h.nextMs = now + collectEvery
	if before > collectEvery {
		h.nextMs = now + lateCollectEvery
	}
}

// lateTimeout returns how long after a window's end the counts of late gateways are
// awaited. The time is shorter if none of them can be reached, since they have probably
// ended.
func (h *leader) lateTimeout(late []string) clock.Millis {
	within := h.g.reportWithin()
	switch {
	case len(late) == 0:
		return 0
	case h.g.peers.anyUp(late):
		return within - reportMargin
	}
	return min(unreachableTimeout, within-reportMargin)
}

// reportWithin returns how long after a window's end its report is due.
func (g *Gateway) reportWithin() clock.Millis {
	return clock.Millis(g.Settings().Duties.ReportWithinS * float64(clock.Second))
}

// dueWindow returns the first window that may be sealed. A window whose report is
// overdue is still sealed and reported as long as the gateways keep its counts.
func (h *leader) dueWindow(now, wall clock.Millis) int64 {
	return h.seals.NextWindow(now, wall, h.g.usage.oldest(wall))
}

// report sends the sealed figures of a window to the platform. They were read from the
// store or written to it in this term, so every leader that reports the window sends
// the same figures.
func (h *leader) report(ctx context.Context, term int64, u Usage) error {
	g := h.g
	if h.t.Until()-g.clock.Now() < minTermLeft {
		return g.clock.Sleep(ctx, min(50*clock.Millisecond, max(h.t.Until()-g.clock.Now(), 1)))
	}
	err := g.usageReporter.ReportUsage(ctx, term, u)
	l := g.log.WithFields(logrus.Fields{"event": "usageReported", "window": u.Window, "term": term, "ok": err == nil})
	g.metrics.reported(err)
	if err != nil {
		l.Warn(err)
		if g.clock.Wall() > g.usage.end(u.Window)+g.reportWithin() {
			h.seals.Reported(u.Window)
		}
		return g.clock.Sleep(ctx, readBackoff)
	}
	l.Info()
	h.seals.Reported(u.Window)
	return nil
}

// deleteCounts removes the published counts of processes that ended long ago.
func (h *leader) deleteCounts(ctx context.Context, keys []string) {
	for _, k := range keys {
		if err := h.g.store.Append(ctx, TopicUsage, k, nil); err != nil {
			h.g.log.WithFields(logrus.Fields{"event": "usageNotDropped", "key": k}).Warn(err)
			return
		}
	}
}
