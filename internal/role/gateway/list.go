package gateway

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/policy/listrefresh"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/epoch"
	"github.com/damaskport/damaskport/internal/state/servers"
)

// serverList is the list of backend servers as the store has it.
type serverList struct {
	*servers.List
	g        *Gateway
	follower *follower
	schedule *listrefresh.Follower
	// asOf is the position through which all changes are in the list; nowhere until it
	// was read in the present era.
	asOf  epoch.Position
	epoch epoch.Epoch
	// wholeMs is when the list was read whole, and steadyMs since when each call of
	// the store for it was answered; 0 if the last one was not.
	wholeMs, steadyMs clock.Millis
}

// serverDrainPeriod is how long a leaving server still serves.
func (g *Gateway) serverDrainPeriod() clock.Millis { return clock.Millis(g.Settings().Bounds.DrainMs) }

// followTimes returns the paces at which the list of servers is followed.
func (g *Gateway) followTimes() listrefresh.Times { return listrefresh.TimesFor(g.serverDrainPeriod()) }

// followServers keeps the list of backend servers.
func (g *Gateway) followServers(ctx context.Context) error {
	l := &serverList{
		List: servers.New(g.serverDrainPeriod()), g: g,
		follower: &follower{g: g, topic: TopicServers}, schedule: listrefresh.New(g.followTimes()), wholeMs: g.clock.Now(),
	}
	for ctx.Err() == nil {
		l.SetDrainTime(g.serverDrainPeriod())
		l.schedule.SetTimes(g.followTimes())
		next := g.updates.next()
		l.enterEpoch()
		l.applyUpdates()
		if now := g.clock.Now(); l.schedule.DueMs(now, g.peers.rank(subjectReaders)) > now {
			l.wait(ctx, next)
			continue
		}
		l.read(ctx)
	}
	return nil
}

// enterEpoch notes that the store came back from a copy: what it lacks may be written
// anew, and nothing that was told of it goes on.
func (l *serverList) enterEpoch() {
	e := l.g.store.present()
	if e == l.epoch {
		return
	}
	if l.asOf.Known() {
		l.StoreUnreachable()
		l.schedule.Invalidate()
	}
	l.epoch, l.asOf, l.steadyMs = e, epoch.Position{}, 0
}

// wait waits until the list is to be read, or a reader tells something.
func (l *serverList) wait(ctx context.Context, next <-chan struct{}) {
	now := l.g.clock.Now()
	due := l.schedule.DueMs(now, l.g.peers.rank(subjectReaders))
	// The rank changes with the gateways that are up.
	ctx, cancel := context.WithTimeout(ctx, min(due-now, l.g.followTimes().ReadInterval).Duration())
	defer cancel()
	select {
	case <-next:
	case <-ctx.Done():
	}
}

// applyUpdates applies what readers told since the last call.
func (l *serverList) applyUpdates() {
	g, now := l.g, l.g.clock.Now()
	records, asOf := g.updates.serverChanges(l.asOf)
	l.asOf = asOf
	changed := false
	for _, r := range records {
		changed = l.apply(now, r) || changed
	}
	for _, h := range g.updates.takeLists() {
		if h.steady >= servers.LapsedKeepMs {
			l.ConfirmMissing(now)
		}
		l.schedule.Update(now, h.asOf, h.list == l.Digest())
	}
	if l.DropExpired(now) || changed {
		l.changed()
	}
}

// apply applies a change of the list that a reader told, and reports whether it is
// one of the own list. Readers tell of a removal what they have made sure of.
func (l *serverList) apply(now clock.Millis, r Record) bool {
	if len(r.Value) == 0 {
		return l.Drop(now, r.Key)
	}
	s, ok := l.decode(r)
	return ok && l.Put(s)
}

func (l *serverList) decode(r Record) (servers.Server, bool) {
	s, err := l.g.decoder.Server(r.Key, r.Value)
	if err != nil {
		l.g.log.WithFields(logrus.Fields{"event": "entryUnreadable", "offset": r.At.Offset()}).Warn(err)
	}
	return s, err == nil
}

// read reads the list, or what was added to it, and tells the others if this gateway
// is a reader.
func (l *serverList) read(ctx context.Context) {
	sent := l.g.clock.Now()
	if sent-l.wholeMs > wholeReadEvery || sent-l.follower.readMs > entriesRewrittenAfter || l.schedule.NeedsFullRead(sent) {
		l.follower.next = epoch.Position{}
	}
	snap, whole, err := l.follower.read(ctx, 0)
	now := l.g.clock.Now()
	if err != nil {
		l.StoreUnreachable()
		l.steadyMs = 0
		if l.follower.failures > 1 {
			// The first one may have been the fault of an old connection.
			l.follower.pause(ctx)
		}
		return
	}
	// The call may have been the one that told of another era.
	l.enterEpoch()
	l.schedule.Answered(now, sent)
	if !snap.Next.Known() {
		if len(l.applyRead(now, snap, false)) > 0 {
			l.changed()
		}
		return
	}
	if l.steadyMs == 0 {
		l.steadyMs = now
	}
	if whole {
		l.wholeMs = sent
	}
	before := l.asOf
	changes := l.applyRead(now, snap, whole)
	l.StoreAnswered(now, sent)
	lapsed := l.DropExpired(now)
	switch {
	case whole && len(changes) > 0, lapsed:
		// No single record tells it: the others have to read.
		l.asOf = snap.Next.Before()
		before, changes = l.asOf, nil
		l.changed()
	case len(changes) > 0:
		l.asOf = changes[len(changes)-1].At
		l.changed()
	case !l.g.fleet.listed.Load():
		l.changed()
	}
	if l.g.peers.ranksAmong(subjectReaders, readers) {
		l.broadcast(newStoreUpdate(before, l.asOf, changes), now, sent)
		return
	}
	l.advance(snap.Next.Before())
}

// advance notes that the list has all changes up to a position.
func (l *serverList) advance(p epoch.Position) {
	if p.After(l.asOf) {
		l.asOf = p
	}
}

// broadcast tells the others what this gateway knows of the store.
func (l *serverList) broadcast(h storeUpdate, now, sent clock.Millis) {
	g := l.g
	h.Epoch, h.Gateways, h.List = l.epoch, g.membersSum.Load(), l.Digest()
	h.ReadMs, h.SteadyMs = sent, now-l.steadyMs
	h.Leaving = g.drainNotices.recent(now)
	if g.fleet.configAge() < g.configWait()+updateLifetime/2 {
		h.Config, h.ConfigAt = g.config.state()
	}
	g.peers.broadcastUpdate(h)
}

// applyRead returns the records that changed the list; of a whole list, any if one
// did.
func (l *serverList) applyRead(now clock.Millis, snap Snapshot, whole bool) []Record {
	var changes []Record
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
		case l.Put(s):
			changes = append(changes, r)
		}
	}
	if whole && l.Replace(now, all) {
		changes = snap.Records
	}
	return changes
}

// changed puts the list in force.
func (l *serverList) changed() {
	g, usable := l.g, l.Usable()
	byPool := map[string]int{}
	live := map[string]bool{}
	for _, s := range usable {
		live[s.ID] = true
		byPool[s.Pool]++
	}
	g.fleet.setServers(usable)
	g.peers.keepOnly(live)
	g.metrics.servers(byPool)
	f := logrus.Fields{"event": "servers", "usable": len(usable)}
	for name, n := range byPool {
		f["pool."+name] = n
	}
	g.log.WithFields(f).Info()
}
