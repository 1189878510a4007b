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
	// has delayed. minLateWait is the minimum time for which counts that are not published
	// yet are awaited, from the first collection of the window on: gateways publish
	// within some tenths of a second after the end of an outage.
	lateCollectEvery = 200 * clock.Millisecond
	minLateWait      = 400 * clock.Millisecond
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
	// leaderCandidates is the number of gateways that take part in the leader election.
	leaderCandidates = 3
	// minTermLeft is the minimum time for which a gateway must remain leader without a
	// further renewal to send a report.
	minTermLeft = 700 * clock.Millisecond
)

// leader takes part in the leader election. While this gateway is leader, it collects,
// seals and reports the usage of each window. It has a single owner and is not safe for
// concurrent use.
type leader struct {
	g         *Gateway
	candidate *election.Candidate
	seals     *sealing.Seals
	// nextMs is when the counts are collected next.
	nextMs clock.Millis
	// collecting is the window whose counts were collected last, and collectingMs is
	// when they were first collected.
	collecting   int64
	collectingMs clock.Millis
	// wasLeader is whether this gateway was leader at the last check by logLeadership, and
	// topicRead whether the whole topic was read in the current epoch.
	wasLeader bool
	topicRead bool
	// claimTimeout is the time without a renewal of the leader after which a candidate may
	// claim.
	claimTimeout clock.Millis
	// failures is the number of failed calls of the store since its last answer.
	failures int
}

// runLeaderTasks is the task that takes part in the leader election and does the
// leader's work while this gateway is leader. It ends when the gateway starts to drain.
func (g *Gateway) runLeaderTasks(ctx context.Context) error {
	lease := clock.Millis(g.Settings().Duties.LeaseMs)
	claimTimeout := lease + 2*claimMargin
	l := &leader{g: g, claimTimeout: claimTimeout, seals: sealing.New(g.clock.Now(), g.usage.windowMs), candidate: election.New(election.Config{
		Leader: g.name, Process: g.processID,
		LeaseMs: lease, ClaimMs: claimTimeout, RenewMs: lease / 3,
		HandoverMs: lease/2 + claimMargin/2, SpreadMs: g.jitter(claimSpread),
	})}
	for ctx.Err() == nil && !g.draining.Load() {
		if _, isLeader := l.candidate.IsLeader(g.clock.Now()); !isLeader && !g.isCandidate() {
			// Enough other gateways are candidates, so this one need not follow the
			// leader's record.
			l.topicRead = false
			wait := candidateIdle
			if !g.membersRead.Load() {
				wait = startPollInterval
			}
			_ = g.clock.Sleep(ctx, wait)
			continue
		}
		if err := l.step(ctx); err != nil {
			if l.failures == 0 {
				g.log.WithField("event", "dutyStoreLost").Warn(err)
			}
			l.failures++
			l.topicRead = false
			g.backOff(ctx, l.failures, false)
			continue
		}
		l.failures = 0
	}
	l.release()
	return nil
}

// isCandidate reports whether this gateway takes part in the leader election. Within
// connectTime of its start, gateways that are not connected yet count as well.
func (g *Gateway) isCandidate() bool {
	if g.clock.Now()-g.startMonoMs < connectTime {
		return g.membersRead.Load() && g.peers.ranksAmongKnown(subjectCandidates, leaderCandidates)
	}
	return g.peers.ranksAmong(subjectCandidates, leaderCandidates)
}

// release steps down as leader, so that the next leader need not wait for the lease to
// end.
func (l *leader) release() {
	ctx, cancel := context.WithTimeout(context.Background(), clock.Second.Duration())
	defer cancel()
	now := l.g.clock.Now()
	term, _ := l.candidate.IsLeader(now)
	r, asOf, ok := l.candidate.StepDown(now)
	if !ok {
		return
	}
	err := l.append(ctx, keyLeader, r, asOf, nil)
	l.g.log.WithFields(logrus.Fields{"event": "dutyReleased", "term": term, "written": err == nil}).Info()
}

// enterEpoch applies the current store epoch. If it has changed, the topic must be read
// again.
func (l *leader) enterEpoch() {
	now, e := l.g.clock.Now(), l.g.store.currentEpoch()
	if e == l.candidate.Epoch() {
		return
	}
	_, isLeader := l.candidate.IsLeader(now)
	l.candidate.SetEpoch(now, e)
	l.seals.SetEpoch(now, e, isLeader)
	l.topicRead = false
}

// load reads the whole topic in the current epoch.
func (l *leader) load(ctx context.Context) error {
	g := l.g
	snap, err := g.store.Newest(ctx, TopicLeader)
	g.metrics.storeRead(TopicLeader, err)
	if err != nil {
		return err
	}
	// The answer may have been the first to report a new epoch.
	l.enterEpoch()
	if snap.Next.Epoch() != l.candidate.Epoch() {
		return errors.Errorf("leader topic was read in epoch %v, but the current epoch is %v", snap.Next.Epoch(), l.candidate.Epoch())
	}
	l.apply(snap)
	l.candidate.NoRecord(g.clock.Now())
	l.seals.Read(nil)
	l.topicRead = snap.Next.Known()
	if !l.topicRead {
		_ = g.clock.Sleep(ctx, candidateIdle)
	}
	return nil
}

// step reads the topic if that is necessary, and writes a claim or a renewal if one is
// due. Otherwise it acts as leader, or waits and reads what changed in the topic.
func (l *leader) step(ctx context.Context) error {
	g := l.g
	l.enterEpoch()
	if !l.topicRead {
		if err := l.load(ctx); err != nil {
			return err
		}
	}
	now := g.clock.Now()
	if now >= l.candidate.DueMs(now) {
		r, asOf := l.candidate.NextRecord(now)
		err := l.append(ctx, keyLeader, r, asOf, func() { l.candidate.Appended(g.clock.Now(), asOf, r) })
		if err != nil {
			return err
		}
		l.logLeadership()
		return nil
	}
	l.logLeadership()
	term, isLeader := l.candidate.IsLeader(now)
	if isLeader {
		return l.lead(ctx, term)
	}
	wait := max(l.candidate.DueMs(now)-now, 0)
	_, changed := g.store.epochAndChange()
	if l.candidate.Next().Offset() <= 0 {
		g.sleepInEpoch(ctx, min(wait, candidateIdle), changed)
		l.topicRead = false
		return nil
	}
	// Reading after each renewal would cost one store call per candidate and renewal.
	g.sleepInEpoch(ctx, min(wait, l.claimTimeout/readsPerClaimTime), changed)
	l.enterEpoch()
	if !l.topicRead {
		return nil
	}
	snap, err := g.store.Read(ctx, TopicLeader, l.candidate.Next(), 0)
	g.metrics.storeRead(TopicLeader, err)
	if mismatch := (*EpochMismatchError)(nil); errors.As(err, &mismatch) {
		return nil
	}
	if err != nil {
		return err
	}
	l.apply(snap)
	return nil
}

// logLeadership logs that this gateway has become leader or has stopped being leader,
// and updates the seals and the metric.
func (l *leader) logLeadership() {
	term, isLeader := l.candidate.IsLeader(l.g.clock.Now())
	if isLeader == l.wasLeader {
		return
	}
	l.wasLeader = isLeader
	if !isLeader {
		l.seals.LeadershipLost()
	}
	l.g.metrics.leading(isLeader)
	event := "dutyLost"
	if isLeader {
		event = "dutyTaken"
	}
	l.g.log.WithFields(logrus.Fields{"event": event, "term": term}).Info()
}

// epochKey returns the key of a record in an epoch. Each epoch has its own keys, so
// that a delayed write of an earlier epoch replaces nothing.
func epochKey(key string, e epoch.Epoch) string {
	if !e.Known() {
		return key
	}
	return key + "-" + e.String()
}

func (l *leader) apply(snap Snapshot) {
	now, e := l.g.clock.Now(), l.candidate.Epoch()
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
				l.candidate.ApplyRecord(now, rec.At, r)
			} else {
				l.candidate.ApplyEarlierEpoch(r)
			}
		case keySealed:
			var u Usage
			if err = json.Unmarshal(rec.Value, &u); err == nil {
				err = l.g.checkSeal(u)
			}
			if err != nil {
				break
			}
			if rec.Key == epochKey(keySealed, e) {
				l.seals.Read(&u)
			} else {
				l.seals.Received(u)
			}
		}
		if err != nil {
			l.g.log.WithFields(logrus.Fields{"event": "dutyUnreadable", "key": rec.Key, "offset": rec.At.Offset()}).Error(err)
		}
	}
	l.candidate.SetEnd(snap.Next)
}

// append writes a record of the current epoch on condition that the topic ends at asOf,
// and then calls done, if there is one. After a conflict, an error or a change of the
// epoch, the topic is read again before the next step.
func (l *leader) append(ctx context.Context, key string, v any, asOf epoch.Position, done func()) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	err = l.g.store.AppendAt(ctx, TopicLeader, epochKey(key, asOf.Epoch()), data, asOf)
	l.g.metrics.storeWrite(TopicLeader, err)
	var conflict *ConflictError
	var mismatch *EpochMismatchError
	if errors.As(err, &conflict) || errors.As(err, &mismatch) {
		l.topicRead = false
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
func (l *leader) lead(ctx context.Context, term int64) error {
	g := l.g
	now, wall := g.clock.Now(), g.clock.Wall()
	l.mergeKnownSeal()
	if u, ok := l.seals.Pending(); ok {
		return l.report(ctx, term, u)
	}
	window := l.dueWindow(now, wall)
	ready := g.usage.end(window) + collectDelay
	if wait := max(ready-wall, l.nextMs-now); wait > 0 {
		_, changed := g.store.epochAndChange()
		g.sleepInEpoch(ctx, min(wait, max(l.candidate.DueMs(now)-now, clock.Millisecond)), changed)
		return nil
	}
	first := l.collecting != window
	l.recordCollection(now, window, wall-ready)
	missing := g.usage.missing(window, g.peers.otherNames())
	if len(missing) > 0 {
		g.peers.requestCounts(window)
	}
	g.usage.markSent(window)
	if len(missing) > 0 && (first || wall < g.usage.end(window)+collectAfter) {
		l.nextMs = now + countsRequestEvery
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
	l.deleteCounts(ctx, sum.stale)
	if timeout := l.lateTimeout(sum.late); g.clock.Wall() < g.usage.end(window)+timeout || len(sum.late) > 0 && g.clock.Now() < l.collectingMs+minLateWait {
		return nil
	}
	return l.sealWindow(ctx, term, Usage{Window: window, Counts: sum.total}, sum.late)
}

// mergeKnownSeal applies the newest sealed window that this gateway knows. Another
// gateway may have sent it.
func (l *leader) mergeKnownSeal() {
	if u := l.g.latestSeal.Load(); u != nil {
		l.seals.Received(*u)
	}
}

// sealWindow seals the figures of a window by writing them to the store. Only sealed
// figures are reported.
func (l *leader) sealWindow(ctx context.Context, term int64, u Usage, late []string) error {
	g := l.g
	if l.mergeKnownSeal(); l.dueWindow(g.clock.Now(), g.clock.Wall()) > u.Window {
		return nil
	}
	asOf := l.candidate.Next()
	return l.append(ctx, keySealed, u, asOf, func() {
		l.candidate.SetEnd(asOf.Next())
		l.seals.Sealed(u)
		g.keepSeal(u)
		g.peers.sendSeal(u)
		g.log.WithFields(logrus.Fields{"event": "usageSealed", "window": u.Window, "accounts": len(u.Counts), "late": late, "term": term, "era": asOf.Epoch().String()}).Info()
	})
}

// recordCollection records a collection of a window and schedules the next one. overdue
// is how long the window has been ready to be collected: more than collectEvery if an
// outage of the store has delayed it.
func (l *leader) recordCollection(now clock.Millis, window int64, overdue clock.Millis) {
	if l.collecting != window {
		l.collecting, l.collectingMs = window, now
	}
	l.nextMs = now + collectEvery
	if overdue > collectEvery {
		l.nextMs = now + lateCollectEvery
	}
}

// lateTimeout returns how long after a window's end the counts of late gateways are
// awaited. The time is shorter if none of them can be reached, since they have probably
// ended.
func (l *leader) lateTimeout(late []string) clock.Millis {
	within := l.g.reportWithin()
	switch {
	case len(late) == 0:
		return 0
	case l.g.peers.anyPeerUp(late):
		return within - reportMargin
	}
	return min(unreachableTimeout, within-reportMargin)
}

// reportWithin returns how long after a window's end its report is due.
func (g *Gateway) reportWithin() clock.Millis {
	return clock.FromSeconds(g.Settings().Duties.ReportWithinS)
}

// dueWindow returns the first window that may be sealed. A window whose report is
// overdue is still sealed and reported as long as the gateways keep its counts.
func (l *leader) dueWindow(now, wall clock.Millis) int64 {
	return l.seals.NextWindow(now, wall, l.g.usage.oldest(wall))
}

// termLease is the lease of a leader until its next renewal.
type termLease struct {
	clock   clock.Clock
	untilMs clock.Millis
}

// Remaining returns the time left in the lease.
func (t termLease) Remaining() clock.Millis { return t.untilMs - t.clock.Now() }

// report sends the sealed figures of a window to the platform. They were read from the
// store or written to it in this term, so every leader that reports the window sends
// the same figures.
func (l *leader) report(ctx context.Context, term int64, u Usage) error {
	g := l.g
	if l.candidate.Until()-g.clock.Now() < minTermLeft {
		return g.clock.Sleep(ctx, min(50*clock.Millisecond, max(l.candidate.Until()-g.clock.Now(), 1)))
	}
	err := g.usageReporter.ReportUsage(ctx, term, termLease{g.clock, l.candidate.Until()}, u)
	log := g.log.WithFields(logrus.Fields{"event": "usageReported", "window": u.Window, "term": term, "ok": err == nil})
	g.metrics.reported(err)
	if err != nil {
		log.Warn(err)
		if g.clock.Wall() > g.usage.end(u.Window)+g.reportWithin() {
			l.seals.Reported(u.Window)
		}
		return g.clock.Sleep(ctx, minBackOff)
	}
	log.Info()
	l.seals.Reported(u.Window)
	return nil
}

// deleteCounts removes the published counts of processes that ended long ago.
func (l *leader) deleteCounts(ctx context.Context, keys []string) {
	for _, k := range keys {
		if err := l.g.store.Append(ctx, TopicUsage, k, nil); err != nil {
			l.g.log.WithFields(logrus.Fields{"event": "usageNotDropped", "key": k}).Warn(err)
			return
		}
	}
}
