package gateway

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/policy/listrefresh"
	"github.com/damaskport/damaskport/internal/policy/quarantine"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/epoch"
	"github.com/damaskport/damaskport/internal/state/servers"
)

// serverList is the list of backend servers as of the newest known state of the store.
// It has a single owner and is not safe for concurrent use.
type serverList struct {
	*servers.List
	g        *Gateway
	reader   *topicReader
	schedule *listrefresh.Follower
	// asOf is the position up to which all changes are in the list; the unknown
	// position until the list was read in the current epoch.
	asOf  epoch.Position
	epoch epoch.Epoch
	// fullReadMs is when the last read of the whole list was sent. reachableSinceMs is
	// since when the store has answered each read of the list; 0 if the last read failed.
	fullReadMs, reachableSinceMs clock.Millis
	// behind is set from an update that left out changes since the last read, which was sent at
	// readSentMs, until the next read.
	behind     bool
	readSentMs clock.Millis
	// settledMs is the time from which on all running servers have registered again after an
	// outage or a restore of the store.
	settledMs clock.Millis
	// gaps are those in front of reads of the whole list, oldest first, whose records may still be read; tracedMs is when that
	// was last tried. revision is that of the starts that are published.
	gaps     []listGap
	tracedMs clock.Millis
	revision int
}

// publishAge publishes as of when the list shows the starts of all running servers.
func (l *serverList) publishAge() {
	now := l.g.clock.Now()
	asOf := now - l.schedule.Age(now)
	if r := l.Revision(); r != l.revision {
		l.revision = r
		l.g.fleet.setStarts(l.Starts())
	}
	if asOf < l.settledMs || !l.g.epochAge.settled(asOf) {
		return
	}
	l.Shown(asOf)
	l.g.fleet.startsAsOfMs.Store(int64(asOf))
	for _, k := range l.g.fleet.proveNotices() {
		l.g.serverDrains(now, k, "answer")
	}
}

// serverDrainPeriod returns how long a draining server still serves.
func (g *Gateway) serverDrainPeriod() clock.Millis { return clock.Millis(g.Settings().Bounds.DrainMs) }

// followTimes returns the read interval and the age limits for the list of servers.
func (g *Gateway) followTimes() listrefresh.Times { return listrefresh.TimesFor(g.serverDrainPeriod()) }

// followServers is the task that keeps the list of backend servers up to date.
func (g *Gateway) followServers(ctx context.Context) error {
	l := &serverList{
		List: servers.New(g.serverDrainPeriod()), g: g,
		reader: &topicReader{g: g, topic: TopicServers}, schedule: listrefresh.New(g.followTimes()), fullReadMs: g.clock.Now(),
	}
	for ctx.Err() == nil {
		l.SetDrainTime(g.serverDrainPeriod())
		l.schedule.SetTimes(g.followTimes())
		next := g.updates.nextUpdate()
		l.enterEpoch()
		l.applyUpdates()
		l.publishAge()
		if now := g.clock.Now(); l.schedule.DueMs(now, g.peers.rank(subjectReaders)) > now {
			l.wait(ctx, next)
			continue
		}
		l.read(ctx)
	}
	return nil
}

// enterEpoch applies the current store epoch. If it has changed, the store was restored
// from a backup: entries that it lacks may be written again, and updates of the earlier
// epoch no longer apply.
func (l *serverList) enterEpoch() {
	e := l.g.store.currentEpoch()
	if e == l.epoch {
		return
	}
	if l.asOf.Known() {
		l.StoreUnreachable()
		l.schedule.Invalidate()
		l.settledMs = l.g.clock.Now() + servers.LapsedKeepMs
	}
	l.epoch, l.asOf, l.reachableSinceMs = e, epoch.Position{}, 0
}

// wait waits until the list must be read, or until an update of a store reader arrives.
func (l *serverList) wait(ctx context.Context, next <-chan struct{}) {
	now := l.g.clock.Now()
	due := l.schedule.DueMs(now, l.g.peers.rank(subjectReaders))
	// The wait is at most one read interval, because the rank changes when gateways
	// connect or disconnect.
	wait, cancel := context.WithTimeout(ctx, min(due-now, l.g.followTimes().ReadInterval).Duration())
	defer cancel()
	select {
	case <-next:
	case <-l.g.fleet.traceAsked:
		l.trace(ctx)
	case <-wait.Done():
	}
}

// applyUpdates applies the updates that store readers have sent since the last call.
func (l *serverList) applyUpdates() {
	g, now := l.g, l.g.clock.Now()
	records, asOf := g.updates.serverChanges(l.asOf)
	l.asOf = asOf
	changed := false
	for _, r := range records {
		changed = l.apply(now, r) || changed
	}
	for _, reported := range g.updates.takeLists() {
		if reported.reachableFor >= servers.LapsedKeepMs {
			l.ConfirmMissing(now)
		}
		l.behind = l.behind || reported.partial && reported.asOf >= l.readSentMs
		l.schedule.Update(now, reported.asOf, !l.behind && reported.list == l.Digest())
	}
	if l.DropExpired(now) || changed {
		l.publish()
	}
}

// apply applies a change that a store reader sent, and reports whether the list
// changed. Readers send the removal of a server only if it is certain.
func (l *serverList) apply(now clock.Millis, r Record) bool {
	if len(r.Value) == 0 {
		return l.Drop(now, r.Key)
	}
	s, ok := l.decode(r)
	return ok && l.put(now, s)
}

// put applies an entry, and reports whether it changed the list or the end of the server's
// warm-up.
func (l *serverList) put(now clock.Millis, s servers.Server) bool {
	warmUp := l.g.fleet.noteWarmUp(now, s)
	return l.Put(s) || warmUp
}

func (l *serverList) decode(r Record) (servers.Server, bool) {
	s, err := l.g.decoder.Server(r.Key, r.Value)
	if err != nil {
		l.g.log.WithFields(logrus.Fields{"event": "entryUnreadable", "offset": r.At.Offset()}).Warn(err)
	}
	return s, err == nil
}

// read reads the list, or the records that were added to it, from the store. If this
// gateway is a store reader, it sends the result to the others.
func (l *serverList) read(ctx context.Context) {
	sent, unread := l.g.clock.Now(), l.reader.next
	if sent-l.fullReadMs > fullReadInterval || sent-l.reader.readMs > maxIncrementalReadGap || l.schedule.NeedsFullRead(sent) {
		l.reader.next = epoch.Position{}
	}
	snap, whole, err := l.reader.read(ctx, 0)
	now := l.g.clock.Now()
	if err != nil {
		l.StoreUnreachable()
		l.reachableSinceMs = 0
		if l.reader.failures > 1 {
			// The first failure may be due to a stale connection, so the next call is
			// made at once.
			l.reader.backOff(ctx)
			l.settledMs = l.g.clock.Now() + servers.LapsedKeepMs
		}
		return
	}
	// The answer may have been the first to report a new epoch.
	l.enterEpoch()
	l.behind, l.readSentMs = false, sent
	l.schedule.Answered(now, sent)
	if !snap.Next.Known() {
		if changes, _ := l.applyRead(now, snap, false); len(changes) > 0 {
			l.publish()
		}
		return
	}
	if l.reachableSinceMs == 0 {
		l.reachableSinceMs = now
	}
	if whole {
		l.fullReadMs = sent
	}
	before := l.asOf
	gap := l.LastGap()
	changes, replaced := l.applyRead(now, snap, whole)
	if l.LastGap() != gap {
		l.noteGap(before, unread)
	}
	l.StoreAnswered(now, sent)
	lapsed := l.DropExpired(now)
	switch {
	case replaced, lapsed:
		// No single record describes this change: the other gateways must read the list
		// themselves.
		l.asOf = snap.Next.Before()
		before, changes = l.asOf, nil
		l.publish()
	case len(changes) > 0:
		l.asOf = changes[len(changes)-1].At
		if whole {
			// Only warm-ups have changed, which are told as they stand, in no order.
			l.asOf = snap.Next.Before()
		}
		l.publish()
	case !l.g.fleet.listed.Load():
		l.publish()
	}
	if l.g.peers.ranksAmong(subjectReaders, storeReaders) {
		l.broadcast(newStoreUpdate(before, l.asOf, changes), now, sent)
		return
	}
	l.advance(snap.Next.Before())
}

// advance records that the list includes all changes up to a position.
func (l *serverList) advance(p epoch.Position) {
	if p.After(l.asOf) {
		l.asOf = p
	}
}

// broadcast sends an update with what this gateway knows of the store to all other
// gateways. sent is when its last read was sent.
func (l *serverList) broadcast(u storeUpdate, now, sent clock.Millis) {
	g := l.g
	u.Epoch, u.Gateways, u.List = l.epoch, g.membersDigest.Load(), l.Digest()
	u.ReadMs, u.ReachableMs = sent, now-l.reachableSinceMs
	u.Draining = g.drainNotices.recent(now)
	u.Partial = u.Partial && g.fleet.limitsWarmUps()
	if g.fleet.configAge() < g.configWait()+updateLifetime/2 {
		u.Config, u.ConfigAt = g.config.state()
		u.Zones = g.zones.view()
	}
	g.peers.broadcastUpdate(u)
}

// applyRead applies the records of a read and returns those that changed the list, or the end
// of a server's warm-up. replaced is set if a read of the whole list changed it.
func (l *serverList) applyRead(now clock.Millis, snap Snapshot, whole bool) (changes []Record, replaced bool) {
	var warmUps []Record
	var all []servers.Server
	for _, r := range snap.Records {
		if len(r.Value) == 0 {
			if l.Remove(now, r.Key) {
				changes = append(changes, r)
			}
			continue
		}
		s, ok := l.decode(r)
		switch {
		case !ok:
		case whole:
			all = append(all, s)
			if l.g.fleet.noteWarmUp(now, s) {
				warmUps = append(warmUps, r)
			}
		case l.put(now, s):
			changes = append(changes, r)
		}
	}
	if whole && l.Replace(now, all) {
		return nil, true
	}
	return append(changes, warmUps...), false
}

// publish puts the changed list in force, so that requests are placed by it.
func (l *serverList) publish() {
	g, usable := l.g, l.Usable()
	byPool := map[string]int{}
	live := map[string]bool{}
	for _, s := range usable {
		live[s.ID] = true
		byPool[s.Pool]++
	}
	g.fleet.setServers(usable, l.Starts())
	g.streams.observe()
	g.suspects.provedEnded(func(now clock.Millis, b *quarantine.Breaks) quarantine.Evidence {
		return b.Listed(now, g.fleet.starts())
	})
	g.peers.keepOnly(live)
	g.metrics.servers(byPool)
	f := logrus.Fields{"event": "servers", "usable": len(usable)}
	for name, n := range byPool {
		f["pool."+name] = n
	}
	g.log.WithFields(f).Info()
}
