package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"net"
	"slices"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/peer/dispatch"
	"github.com/damaskport/damaskport/internal/peer/enginequeue"
	"github.com/damaskport/damaskport/internal/policy/place"
	"github.com/damaskport/damaskport/internal/policy/route"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/servers"
)

const (
	peerDialTimeout = 500 * clock.Millisecond
	// queueOwnerTimeout is the silence after which a host with a queue is not asked any
	// more: it tells something more often.
	queueOwnerTimeout = 450 * clock.Millisecond
	// reviewEvery is the time between two looks for a better server.
	reviewEvery = 120 * clock.Millisecond
	firstRedial = 200 * clock.Millisecond
	lastRedial  = 3 * clock.Second
	// dialBurst is the number of gateways that are dialed at once, and dialGap the
	// time between two further ones: a connection costs both ends about 0.45 ms of
	// their processor (MEASUREMENTS.md).
	dialBurst = 32
	dialGap   = 10 * clock.Millisecond
	// sealReceivers is the number of gateways that are told of sealed windows: those
	// that wait for the duties, and some more that may come to it when these go too.
	sealReceivers = 2 * candidates
)

// peer is a gateway that hosts engines, also this one itself.
type peer struct {
	name string
	addr string // empty for this gateway
	stop context.CancelFunc
	link *dispatch.Link
	// up tells that engines are hosted there, and overloaded that it had better
	// not be.
	up, overloaded bool
	// heartbeatMs is when the last beat was sent, and unansweredMs when the first one since
	// the host was heard.
	heartbeatMs, unansweredMs clock.Millis
}

// peerTable keeps the gateway's places at the hosts of all engines. An engine's
// host is the gateway with the highest hash of both, of those that are up.
type peerTable struct {
	g *Gateway

	mu           sync.Mutex
	peers        map[string]*peer
	reservations map[string]*reservation
	// pools are those of the engines that were asked for, by engine.
	pools  map[string]*pool
	owners map[string]*peer // computed, by engine
	// heartbeats are the last beats of the others, by name.
	heartbeats map[string]enginequeue.Echo
}

func newPeerTable(g *Gateway) *peerTable {
	return &peerTable{g: g, peers: map[string]*peer{}, reservations: map[string]*reservation{}, pools: map[string]*pool{}, owners: map[string]*peer{}, heartbeats: map[string]enginequeue.Echo{}}
}

// setPeers sets the other gateways' addresses by name.
func (b *peerTable) setPeers(ctx context.Context, addrs map[string]string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, p := range b.peers {
		if p.addr != "" && addrs[name] != p.addr {
			p.stop()
			delete(b.peers, name)
			delete(b.heartbeats, name)
		}
	}
	var fresh []string
	for name := range addrs {
		if b.peers[name] == nil {
			fresh = append(fresh, name)
		}
	}
	if len(fresh) > 0 {
		for i, name := range route.DialOrder(b.g.name, fresh, b.sharedTasks()) {
			b.addLocked(ctx, name, addrs[name], clock.Millis(max(i-dialBurst, 0))*dialGap)
		}
	}
	b.reassignOwners()
}

// sharedTasks returns what single gateways do for all.
func (b *peerTable) sharedTasks() []route.RankedTask {
	out := []route.RankedTask{{Key: subjectReaders, Count: readers}, {Key: subjectLeaders, Count: candidates}}
	for _, id := range b.g.fleet.engines() {
		out = append(out, route.RankedTask{Key: id, Count: 1})
	}
	return out
}

// addSelf makes the gateway itself a host of engines.
func (b *peerTable) addSelf(ctx context.Context) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addLocked(ctx, b.g.name, "", 0)
}

// addLocked adds a gateway, which is dialed after a while.
func (b *peerTable) addLocked(ctx context.Context, name, addr string, after clock.Millis) {
	pctx, stop := context.WithCancel(ctx)
	p := &peer{name: name, addr: addr, stop: stop}
	b.peers[name] = p
	go b.keepConnected(pctx, p, after)
}

// keepConnected keeps a connection to a peer until ctx ends.
func (b *peerTable) keepConnected(ctx context.Context, p *peer, after clock.Millis) {
	if b.g.clock.Sleep(ctx, after) != nil {
		return
	}
	dispatch.Redial(ctx, b.g.clock, firstRedial, lastRedial,
		func(ctx context.Context) error { return b.session(ctx, p) },
		func(err error, _ clock.Millis) { b.disconnected(p, err) })
}

func (b *peerTable) dial(ctx context.Context, p *peer) (net.Conn, error) {
	if p.addr == "" {
		near, far := net.Pipe()
		b.g.queueHost.Serve(ctx, far)
		return near, nil
	}
	d := net.Dialer{Timeout: peerDialTimeout.Duration()}
	return d.DialContext(ctx, "tcp", p.addr)
}

func (b *peerTable) session(ctx context.Context, p *peer) error {
	conn, err := b.dial(ctx, p)
	if err != nil {
		return err
	}
	l := dispatch.NewLink(conn, b.g.clock, func(l *dispatch.Link, method string, params json.RawMessage) (any, error) {
		return nil, b.handle(p, method, params)
	})
	defer l.Close()
	l.Notify(dispatch.MethodHello, enginequeue.Hello{Entry: b.g.name, Zone: b.g.Settings().Zone})
	b.mu.Lock()
	p.link = l
	b.setUp(p, true)
	b.heartbeatLocked(p, b.g.clock.Now())
	b.mu.Unlock()
	b.g.log.WithFields(logrus.Fields{"event": "peerFound", "peer": p.name}).Info()
	return l.Keep(ctx, func() (every, silence clock.Millis) {
		n := b.size()
		return enginequeue.IdleHeartbeat(n), enginequeue.IdleTimeout(n)
	}, func() {})
}

// sendHeartbeats shows the hosts that this gateway lives: often to those that have
// requests of it or are silent, else within a budget.
func (b *peerTable) sendHeartbeats(ctx context.Context) error {
	for b.g.clock.Sleep(ctx, enginequeue.ActiveHeartbeat) == nil {
		b.sendDueHeartbeats(b.g.clock.Now())
	}
	return nil
}

func (b *peerTable) sendDueHeartbeats(now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	active := map[*peer]bool{}
	for _, t := range b.reservations {
		active[t.owner] = true
	}
	idle := enginequeue.IdleHeartbeat(len(b.peers))
	for _, p := range b.peers {
		if p.link == nil {
			continue
		}
		if p.up && p.unanswered(now) > enginequeue.HeartbeatAnswerTimeout(len(b.peers))+b.g.gate.delay() {
			b.markSilent(p, now)
		}
		if active[p] || !p.up || now-p.heartbeatMs >= idle {
			b.heartbeatLocked(p, now)
		}
	}
}

// unanswered returns how long a beat has been without an answer.
func (p *peer) unanswered(now clock.Millis) clock.Millis {
	if p.link.Heard() >= p.unansweredMs {
		return 0
	}
	return now - p.unansweredMs
}

// markSilent takes the engines away from a host that is silent; its connection stays,
// since it may wake.
func (b *peerTable) markSilent(p *peer, now clock.Millis) {
	b.g.log.WithFields(logrus.Fields{"event": "peerSilent", "peer": p.name, "silentMs": int64(now - p.link.Heard())}).Info()
	b.setUp(p, false)
}

func (b *peerTable) heartbeatLocked(p *peer, now clock.Millis) {
	if p.link.Heard() >= p.unansweredMs {
		p.unansweredMs = now
	}
	p.heartbeatMs = now
	p.link.Notify(dispatch.MethodHeartbeat, enginequeue.Heartbeat{WallMs: b.g.wall.Own(), SentMs: now})
}

// size returns the number of gateways, with this one.
func (b *peerTable) size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.peers)
}

// disconnected takes a peer's engines away from it.
func (b *peerTable) disconnected(p *peer, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.up {
		b.g.log.WithFields(logrus.Fields{"event": "peerLost", "peer": p.name}).Info(err)
	}
	p.link, p.overloaded = nil, false
	b.setUp(p, false)
}

// setUp is called with the peer table locked.
func (b *peerTable) setUp(p *peer, up bool) {
	if p.up != up {
		p.up = up
		b.reassignOwners()
	}
}

// reassignOwners computes the engines' hosts anew. Requests that run are announced to a
// new host; those that wait choose again.
func (b *peerTable) reassignOwners() {
	for id := range b.owners {
		h := b.electOwner(id)
		if h == b.owners[id] {
			continue
		}
		b.owners[id] = h
		b.pools[id].withTable(func(k *place.ServerTable) { k.DropReport(id) })
	}
	for id, t := range b.reservations {
		h := b.owners[t.r.Engine.ID]
		if h == t.owner {
			continue
		}
		old := t.owner
		if old != nil && old.link != nil {
			old.link.Notify(dispatch.MethodCancel, enginequeue.Ref{ID: id})
		}
		t.owner = h
		if !t.granted {
			delete(b.reservations, id)
			t.verdict <- verdict{chooseAgain: true}
		} else if h != nil && h.link != nil {
			h.link.Notify(enginequeue.MethodAnnounce, t.r)
		}
	}
}

// electOwner returns the host of an engine among the peers that are up, or nil: an
// overloaded one only if all are.
func (b *peerTable) electOwner(engine string) *peer {
	var best *peer
	var most uint64
	for _, p := range b.peers {
		if !p.up || best != nil && p.overloaded && !best.overloaded {
			continue
		}
		if w := route.RendezvousHash(engine, p.name); best == nil || best.overloaded && !p.overloaded || w > most {
			best, most = p, w
		}
	}
	return best
}

// handle applies a message of a host.
func (b *peerTable) handle(p *peer, method string, params json.RawMessage) error {
	switch method {
	case enginequeue.MethodWelcome:
		return b.welcomed(p, params)
	case enginequeue.MethodConfig:
		return b.g.receiveConfig(p.name, params)
	case enginequeue.MethodLoad:
		var m enginequeue.Loads
		if err := json.Unmarshal(params, &m); err != nil {
			return err
		}
		b.markResponsive(p, m.Overloaded)
		b.applyLoads(p, m.Loads)
	case dispatch.MethodOffer:
		var r enginequeue.Ref
		if err := json.Unmarshal(params, &r); err != nil {
			return err
		}
		b.resolve(p, r.ID, verdict{granted: true})
	case dispatch.MethodRefuse:
		var r enginequeue.Refusal
		if err := json.Unmarshal(params, &r); err != nil {
			return err
		}
		b.resolve(p, r.ID, verdict{retryAfter: r.RetryAfterMs})
	}
	return nil
}

// markResponsive takes a peer back that was silent for a while, and notes whether it is
// overloaded.
func (b *peerTable) markResponsive(p *peer, overloaded bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.link == nil {
		return
	}
	if p.overloaded != overloaded {
		p.overloaded = overloaded
		b.g.log.WithFields(logrus.Fields{"event": "peerOverloaded", "peer": p.name, "overloaded": overloaded}).Info()
		if p.up {
			b.reassignOwners()
		}
	}
	b.setUp(p, true)
}

func (b *peerTable) applyLoads(p *peer, loads []enginequeue.Load) {
	now := b.g.clock.Now()
	for _, l := range loads {
		b.mu.Lock()
		pool, mine := b.pools[l.Engine], b.owners[l.Engine] == p
		b.mu.Unlock()
		if pool == nil {
			continue
		}
		pool.withTable(func(k *place.ServerTable) {
			k.ReportCached(now, l.Engine, l.Blocks)
			if mine {
				k.ReportLoad(now, l.Engine, l.Load)
			}
		})
	}
}

// keepOnly drops what is known of engines that are gone.
func (b *peerTable) keepOnly(live map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.owners {
		if !live[id] {
			delete(b.owners, id)
			delete(b.pools, id)
		}
	}
}

// anyUp reports whether one of the named gateways can be reached.
func (b *peerTable) anyUp(names []string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range names {
		if p := b.peers[n]; p != nil && p.up {
			return true
		}
	}
	return false
}

// Subjects by which gateways are chosen for a task.
const (
	subjectReaders = "readers"
	subjectLeaders = "holders"
)

// ranksAmong reports whether this gateway is one of the first n for a subject.
func (b *peerTable) ranksAmong(subject string, n int) bool { return b.rank(subject) < n }

// ranksAmongKnown is ranksAmong for gateways that have just started: others count that are
// not connected yet.
func (b *peerTable) ranksAmongKnown(subject string, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	own, above := route.RendezvousHash(subject, b.g.name), 0
	for _, p := range b.peers {
		if p.name != b.g.name && route.RendezvousHash(subject, p.name) > own {
			above++
		}
	}
	return above < n
}

// rank returns how many of the gateways that are up have a higher hash of the
// subject than this one.
func (b *peerTable) rank(subject string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	own, above, overloaded := route.RendezvousHash(subject, b.g.name), 0, b.g.overloaded()
	for _, p := range b.peers {
		if !p.up || p.name == b.g.name {
			continue
		}
		// Those that keep up come first.
		if p.overloaded == overloaded && route.RendezvousHash(subject, p.name) > own || overloaded && !p.overloaded {
			above++
		}
	}
	return above
}

// broadcast sends a message to all other gateways. to returns what one of them gets.
func (b *peerTable) broadcast(method string, to func(p *peer) any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.peers {
		if p.addr != "" && p.link != nil {
			p.link.Notify(method, to(p))
		}
	}
}

// broadcastUpdate sends what this gateway knows of the store to all others.
func (b *peerTable) broadcastUpdate(h storeUpdate) {
	b.broadcast(enginequeue.MethodHint, func(p *peer) any {
		h.Echo = b.heartbeats[p.name]
		return h
	})
}

// gatewayConnected notes that a gateway has connected, and returns what it is told.
func (g *Gateway) gatewayConnected(entry string) any {
	g.updates.resetClock(entry)
	g.peers.recordHeartbeat(entry, enginequeue.Echo{})
	return g.joinReply()
}

// receiveHeartbeat takes in a beat of a gateway.
func (g *Gateway) receiveHeartbeat(entry string, b enginequeue.Heartbeat) {
	if entry == g.name {
		return
	}
	g.wall.Vote(entry, b.WallMs)
	g.peers.recordHeartbeat(entry, enginequeue.Echo{SentMs: b.SentMs, GotMs: g.clock.Now()})
}

// recordHeartbeat notes which beat of a gateway came last.
func (b *peerTable) recordHeartbeat(entry string, e enginequeue.Echo) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.heartbeats[entry] = e
}

// notifyReaders names a server that leaves to the gateways that tell all others.
func (b *peerTable) notifyReaders(k servers.Key) {
	b.mu.Lock()
	defer b.mu.Unlock()
	up := b.linkedLocked(subjectReaders)
	for _, p := range up[:min(len(up), readers)] {
		p.link.Notify(enginequeue.MethodLeaving, k)
	}
}

// linkedLocked returns the other gateways that are up, by their hash with a
// subject, the highest first.
func (b *peerTable) linkedLocked(subject string) []*peer {
	var up []*peer
	for _, q := range b.peers {
		if q.up && q.addr != "" && q.link != nil {
			up = append(up, q)
		}
	}
	slices.SortFunc(up, func(x, y *peer) int {
		return cmp.Compare(route.RendezvousHash(subject, y.name), route.RendezvousHash(subject, x.name))
	})
	return up
}

// broadcastConfig sends a change of the configuration to all others.
func (b *peerTable) broadcastConfig(c configChange) {
	b.broadcast(enginequeue.MethodConfig, func(*peer) any { return c })
}

// requestCounts asks all gateways for their counts of a window.
func (b *peerTable) requestCounts(window int64) {
	b.broadcast(enginequeue.MethodCollect, func(*peer) any { return enginequeue.Collect{Window: window} })
}

// sendSeal tells those that may hold the duties next of a sealed window.
func (b *peerTable) sendSeal(u Usage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	up := b.linkedLocked(subjectLeaders)
	for _, p := range up[:min(len(up), sealReceivers)] {
		p.link.Notify(enginequeue.MethodSeal, u)
	}
}

// sendCounts sends counts to a gateway, and reports whether there is a way to it.
func (b *peerTable) sendCounts(to string, c countsCopy) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.peers[to]
	if p == nil || p.link == nil {
		return false
	}
	p.link.Notify(enginequeue.MethodCounts, c)
	return true
}

// otherNames returns the names of the other gateways that are known.
func (b *peerTable) otherNames() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for name, p := range b.peers {
		if p.addr != "" {
			out = append(out, name)
		}
	}
	return out
}

// copyCounts sends the counts to the gateways that hold copies: those with the
// highest hash of both names, so that few change with the membership.
func (b *peerTable) copyCounts(key string, p publishedCounts) {
	b.mu.Lock()
	defer b.mu.Unlock()
	up := b.linkedLocked(key)
	for _, q := range up[:min(len(up), copyReceivers)] {
		q.link.Notify(enginequeue.MethodCounts, countsCopy{Key: key, Counts: p})
	}
}
