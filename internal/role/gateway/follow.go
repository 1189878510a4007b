package gateway

import (
	"context"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/servers"
)

const (
	// configMargin is the part of the time in which a configuration must be in
	// force that a connection that went silent may cost beside the wait for a
	// change: the time-out of a call and a little.
	configMargin = 1 * clock.Second
	// serversEvery is the most time between two reads of the servers' entries,
	// and serversPart the part of the time that a leaving server still serves:
	// a read, a hint and a request on its way fit into it.
	serversEvery = 500 * clock.Millisecond
	serversPart  = 4
	// renewedAfter is the time in which most servers write their entry anew: the
	// records since an earlier read are more than the newest ones.
	renewedAfter = 1500 * clock.Millisecond
	// confirmEvery is the time between whole reads of the servers' entries,
	// which bring what the records missed.
	confirmEvery = 10 * clock.Second
)

// follower reads one topic to its end, and then what is added.
type follower struct {
	g     *Gateway
	topic Topic
	next  int64 // 0 until the topic was read whole
	lost  bool
	// readMs is when the store answered last, and failures counts the reads
	// since then.
	readMs   clock.Millis
	failures int
}

// read returns the next records; whole tells that they are all keys.
func (f *follower) read(ctx context.Context, wait clock.Millis) (snap Snapshot, whole bool, err error) {
	if f.next == 0 {
		snap, err = f.g.store.Newest(ctx, f.topic)
		whole = true
	} else {
		snap, err = f.g.store.Read(ctx, f.topic, f.next, wait)
	}
	var trimmed *TrimmedError
	if errors.As(err, &trimmed) {
		f.g.log.WithFields(logrus.Fields{"event": "historyLost", "topic": f.topic.String(), "offset": f.next}).Warn(err)
		f.next = 0
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
			f.g.outage.probed.Store(true)
		}
		return snap, whole, err
	}
	if f.topic == TopicConfig {
		f.g.outage.probed.Store(false)
	}
	f.g.outage.over()
	if f.lost {
		f.g.log.WithFields(logrus.Fields{"event": "storeBack", "topic": f.topic.String()}).Info()
	}
	f.lost, f.failures = false, 0
	f.next, f.readMs = snap.Next, f.g.clock.Now()
	return snap, whole, nil
}

// pause waits after a failed read.
func (f *follower) pause(ctx context.Context) {
	f.g.outagePause(ctx, f.failures, f.topic == TopicConfig)
}

// listEvery is the time between two reads of the servers' entries.
func (g *Gateway) listEvery() clock.Millis {
	return max(min(clock.Millis(g.Settings().Bounds.DrainMs)/serversPart, serversEvery), clock.Millisecond)
}

// configWait is how long a read waits for a change of the configuration.
func (g *Gateway) configWait() clock.Millis {
	return max(clock.Millis(g.Settings().Bounds.ConfigMs)-configMargin, readBackoff)
}

func (g *Gateway) configVersion() int64 {
	if cfg := g.belief.config(); cfg != nil {
		return cfg.Version
	}
	return 0
}

// followConfig keeps the newest configuration in force.
func (g *Gateway) followConfig(ctx context.Context) error {
	f := &follower{g: g, topic: TopicConfig}
	for empty := 0; ctx.Err() == nil; {
		news := func(h hint) bool { return h.Config > g.configVersion() || g.hints.configAge() > hintAge }
		if g.unchanged(ctx, serversEvery, g.clock.Now()-f.readMs, news) {
			g.belief.configReadMs.Store(int64(g.clock.Now()))
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
		if g.belief.config() == nil {
			// The first configuration counts as confirmed from the start.
			g.belief.configReadMs.Store(int64(g.clock.Now()))
		}
		for _, r := range snap.Records {
			if d, ok := g.applyConfig(r); ok && g.board.among(subjectReaders, readers) {
				g.board.tellConfig(d)
			}
		}
		g.belief.configReadMs.Store(int64(g.clock.Now()))
		if f.next == 0 {
			// An empty topic cannot be followed from an offset.
			_ = g.clock.Sleep(ctx, readBackoff<<min(empty+1, 3))
			empty++
		}
	}
	return nil
}

// serverList is the list of backend servers as the store has it.
type serverList struct {
	*servers.List
	// confirmedMs is when the store was read last, or a reader told that it has
	// the same list.
	confirmedMs clock.Millis
	// asOf is the offset through which all changes are in the list.
	asOf int64
}

// followServers keeps the list of backend servers.
func (g *Gateway) followServers(ctx context.Context) error {
	f := &follower{g: g, topic: TopicServers}
	list := &serverList{List: servers.New()}
	wholeMs := g.clock.Now()
	for ctx.Err() == nil {
		g.applyTold(list)
		if g.unchanged(ctx, g.listEvery(), g.clock.Now()-list.confirmedMs, func(h hint) bool { return h.Servers > list.asOf }) {
			// Those that tell it have reached the store.
			list.Back(g.clock.Now())
			if h, _, ok := g.hints.current(); ok && h.List == g.list.Load() {
				list.confirmedMs = g.clock.Now()
			}
			continue
		}
		if now := g.clock.Now(); now-wholeMs > confirmEvery || now-f.readMs > renewedAfter {
			f.next = 0
		}
		snap, whole, err := f.read(ctx, 0)
		now := g.clock.Now()
		if err != nil {
			list.Away(now)
			if list.Tick(now) {
				g.listChanged(list.List)
			}
			f.pause(ctx)
			continue
		}
		list.Back(now)
		list.confirmedMs = now
		if whole {
			wholeMs = now
		}
		g.applyRead(list, now, snap, whole)
		_ = g.clock.Sleep(ctx, g.listEvery())
	}
	return nil
}

// applyTold applies what readers told of the list.
func (g *Gateway) applyTold(list *serverList) {
	now := g.clock.Now()
	records, asOf := g.hints.serverChanges(list.asOf)
	list.asOf = asOf
	changes := g.applyServers(list.List, now, Snapshot{Records: records}, false)
	if list.Tick(now) || len(changes) > 0 {
		g.listChanged(list.List)
	}
}

// applyRead applies what was read of the store, and tells the others if this
// gateway is a reader.
func (g *Gateway) applyRead(list *serverList, now clock.Millis, snap Snapshot, whole bool) {
	before := list.asOf
	changes := g.applyServers(list.List, now, snap, whole)
	lapsed := list.Tick(now)
	switch {
	case whole && len(changes) > 0, lapsed:
		// No single record tells it: the others have to read.
		list.asOf = snap.Next - 1
		before, changes = list.asOf, nil
		g.listChanged(list.List)
	case len(changes) > 0:
		list.asOf = changes[len(changes)-1].Offset
		g.listChanged(list.List)
	case !g.belief.listed.Load():
		g.listChanged(list.List)
	}
	if g.board.among(subjectReaders, readers) {
		h := newHint(before, list.asOf, changes)
		h.Gateways, h.List = g.gateways.Load(), g.list.Load()
		h.Leaving = g.leavers.recent(now)
		if g.belief.configAge() < g.configWait()+hintAge/2 {
			h.Config = g.configVersion()
		}
		g.board.hint(h)
		return
	}
	list.asOf = max(list.asOf, snap.Next-1)
}

// applyServers returns the records that changed the list; of a whole list, any
// if one did.
func (g *Gateway) applyServers(list *servers.List, now clock.Millis, snap Snapshot, whole bool) []Record {
	var changes []Record
	var all []servers.Server
	for _, r := range snap.Records {
		if len(r.Value) == 0 {
			if list.Remove(now, r.Key) {
				changes = append(changes, r)
			}
			continue
		}
		s, err := g.decode.Server(r.Key, r.Value)
		if err != nil {
			g.log.WithFields(logrus.Fields{"event": "entryUnreadable", "offset": r.Offset}).Warn(err)
			continue
		}
		if whole {
			all = append(all, s)
			continue
		}
		if list.Put(s) {
			changes = append(changes, r)
		}
	}
	if whole && list.Replace(now, all) {
		changes = snap.Records
	}
	return changes
}

func (g *Gateway) listChanged(list *servers.List) {
	usable := list.Usable()
	byPool := map[string]int{}
	live := map[string]bool{}
	for _, s := range usable {
		live[s.ID] = true
		byPool[s.Pool]++
	}
	g.list.Store(list.Digest())
	g.belief.setServers(usable)
	g.board.forget(live)
	g.metrics.servers(byPool)
	f := logrus.Fields{"event": "servers", "usable": len(usable)}
	for name, n := range byPool {
		f["pool."+name] = n
	}
	g.log.WithFields(f).Info()
}
