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
	// keyLeader and keySealed begin the keys of the record of the holder and of the
	// newest sealed window; the era follows.
	keyLeader = "holder"
	keySealed = "sealed"
	// claimMargin is how much longer than the platform's least time between
	// two holders a challenger waits; a holder stops by as much sooner.
	claimMargin = 600 * clock.Millisecond
	// collectAfter is the time after a window's end from which the store is read
	// for counts that gateways did not send, when these have published them.
	collectAfter = 1300 * clock.Millisecond
	// countsRequestEvery is the time between two questions for a window's counts.
	countsRequestEvery = 200 * clock.Millisecond
	collectEvery       = 700 * clock.Millisecond
	// lateCollectEvery is the same for a window that an outage of the store has
	// delayed, whose publishers are waited for at least lateWait: they publish
	// within some tenths of a second of the store's return.
	lateCollectEvery = 200 * clock.Millisecond
	lateWait         = 400 * clock.Millisecond
	// reportMargin is how long before it is due a report is sent at the latest.
	reportMargin = 2500 * clock.Millisecond
	// unreachableTimeout is how long a gateway that cannot be reached is waited for.
	unreachableTimeout = 3500 * clock.Millisecond
	candidateIdle      = 1500 * clock.Millisecond
	// connectTime is the time after the start in which gateways connect.
	connectTime = 2 * clock.Second
	// readsPerClaimTime is the part of the time without a renewal after which a candidate
	// may claim that lies between two of its looks for one.
	readsPerClaimTime = 2
	// claimSpread bounds the delay by which challengers differ.
	claimSpread = 500 * clock.Millisecond
	// candidates is the number of gateways that wait to become the holder.
	candidates = 3
	// minTermLeft is the least time left of a term for a call of a duty.
	minTermLeft = 700 * clock.Millisecond
)

// leader runs the duties of one holder.
type leader struct {
	g     *Gateway
	t     *election.Candidate
	seals *sealing.Seals
	// nextMs is when the next collection is due.
	nextMs clock.Millis
	// collecting is the window that was collected last, for the first time at collectingMs.
	collecting   int64
	collectingMs clock.Millis
	held         bool
	loaded       bool
	// claimMs is the time without a renewal after which a candidate may claim.
	claimMs clock.Millis
	// failures counts the failed calls of the store since it answered.
	failures int
}

// runLeaderTasks takes part in the election of the holder and acts while it holds.
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
			// Enough others wait for the duties; their records need not be read.
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

// candidate reports whether this gateway waits to become the holder.
func (g *Gateway) candidate() bool {
	if g.clock.Now()-g.startMonoMs < connectTime {
		return g.membersRead.Load() && g.peers.ranksAmongKnown(subjectLeaders, candidates)
	}
	return g.peers.ranksAmong(subjectLeaders, candidates)
}

// release gives the duties away, so that the next holder need not wait.
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

// enterEpoch notes the era that the store is in.
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

// load reads the whole topic.
func (h *leader) load(ctx context.Context) error {
	g := h.g
	snap, err := g.store.Newest(ctx, TopicLeader)
	g.metrics.storeRead(TopicLeader, err)
	if err != nil {
		return err
	}
	// The call may have been the one that told of another era.
	h.enterEpoch()
	if snap.Next.Epoch() != h.t.Epoch() {
		return errors.Errorf("a topic of era %v in era %v", snap.Next.Epoch(), h.t.Epoch())
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

// step reads what changed, renews or claims, and acts.
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
	// A look at each renewal would cost as many calls as there are candidates.
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

// logLeadership logs a duty that was taken or lost.
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

// epochKey returns the key of a record in an era. Each era has records of its own, so
// that a late write of an earlier one takes nothing's place.
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

// append writes a record of the present era if the topic ends at asOf. After a
// conflict, an error or another era the topic is read again before the next step.
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

// lead reports the next window that is due, or waits.
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
	// What was not sent may have been published, also by gateways that have ended.
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

// mergeKnownSeal takes in what others know of sealed windows.
func (h *leader) mergeKnownSeal() {
	if u := h.g.latestSeal.Load(); u != nil {
		h.seals.Received(*u)
	}
}

// sealWindow agrees on the figures of a window: they are reported only after that.
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

// recordCollection notes a collection of a window that was ready before for so long.
func (h *leader) recordCollection(now clock.Millis, window int64, before clock.Millis) {
	if h.collecting != window {
		h.collecting, h.collectingMs = window, now
	}
	h.nextMs = now + collectEvery
	if before > collectEvery {
		h.nextMs = now + lateCollectEvery
	}
}

// lateTimeout returns how long after a window's end its late publishers are
// waited for: less if none of them can be reached, since they are likely gone.
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

// reportWithin is the time after a window's end in which its report is due.
func (g *Gateway) reportWithin() clock.Millis {
	return clock.Millis(g.Settings().Duties.ReportWithinS * float64(clock.Second))
}

// dueWindow returns the first window that may be sealed: one that is late is
// reported all the same while the gateways keep its counts.
func (h *leader) dueWindow(now, wall clock.Millis) int64 {
	return h.seals.NextWindow(now, wall, h.g.usage.oldest(wall))
}

// report sends sealed figures. They were read back or written under the term,
// so each sender of the window sends the same.
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

// deleteCounts removes the counts of processes that are long gone.
func (h *leader) deleteCounts(ctx context.Context, keys []string) {
	for _, k := range keys {
		if err := h.g.store.Append(ctx, TopicUsage, k, nil); err != nil {
			h.g.log.WithFields(logrus.Fields{"event": "usageNotDropped", "key": k}).Warn(err)
			return
		}
	}
}
