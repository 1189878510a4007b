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
	// queueOwnerTimeout is how long a request waits without a message from the owner of
	// its engine queue before the owner counts as silent: an owner with waiting requests
	// reports its load more often than that.
	queueOwnerTimeout = 450 * clock.Millisecond
	// reviewEvery is the interval at which a waiting request checks whether another
	// server could start it at once.
	reviewEvery = 120 * clock.Millisecond
	firstRedial = 200 * clock.Millisecond
	lastRedial  = 3 * clock.Second
	// dialBurst is the number of gateways that are dialed at once, and dialGap the
	// interval between the dials after these: a connection costs both ends about 0.45 ms
	// of processor time.
	dialBurst = 32
	dialGap   = 10 * clock.Millisecond
	// sealReceivers is the number of gateways that receive each sealed usage window: the
	// candidates for leader, and as many that become candidates if these fail too.
	sealReceivers = 2 * candidates
)

// peer is a gateway that can own engine queues; this gateway is one of them.
type peer struct {
	name string
	addr string // empty for this gateway
	stop context.CancelFunc
	link *dispatch.Link
	// up is set while the peer can own engine queues. overloaded is set while its
	// processor or link cannot keep up: it then owns queues only if all peers that are
	// up are overloaded.
	up, overloaded bool
	// heartbeatMs is when the last heartbeat was sent, unansweredMs when the first one
	// after the peer's last message was sent. Both are steady-clock times.
	heartbeatMs, unansweredMs clock.Millis
}

// peerTable holds the connections to the queue hosts of all gateways, this one
// included, and this gateway's reservations in their engine queues. The owner of an
// engine's queue is the gateway with the highest rendezvous hash of engine and
// gateway among those that are up. It is safe for concurrent use.
type peerTable struct {
	g *Gateway

	mu           sync.Mutex
	peers        map[string]*peer
	reservations map[string]*reservation
	// pools holds the pool of each engine that this gateway has made a reservation for,
	// by engine ID.
	pools  map[string]*pool
	owners map[string]*peer // queue owners by engine ID; nil if no peer is up
	// heartbeats holds the last heartbeat of each other gateway, by name. Updates return
	// it to its sender, which derives from it how the clocks of both gateways differ.
	heartbeats map[string]enginequeue.Echo
}

func newPeerTable(g *Gateway) *peerTable {
	return &peerTable{g: g, peers: map[string]*peer{}, reservations: map[string]*reservation{}, pools: map[string]*pool{}, owners: map[string]*peer{}, heartbeats: map[string]enginequeue.Echo{}}
}

// setPeers replaces the other gateways, given by name and address. Those that are
// gone or have a new address are disconnected; new ones are dialed.
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

// sharedTasks returns the tasks that one or a few gateways run for the whole fleet,
// which are dialed first.
func (b *peerTable) sharedTasks() []route.RankedTask {
	out := []route.RankedTask{{Key: subjectReaders, Count: readers}, {Key: subjectLeaders, Count: candidates}}
	for _, id := range b.g.fleet.engines() {
		out = append(out, route.RankedTask{Key: id, Count: 1})
	}
	return out
}

// addSelf makes this gateway a possible owner of engine queues.
func (b *peerTable) addSelf(ctx context.Context) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addLocked(ctx, b.g.name, "", 0)
}

// addLocked adds a gateway, which is dialed after a delay; b.mu is held.
func (b *peerTable) addLocked(ctx context.Context, name, addr string, after clock.Millis) {
	pctx, stop := context.WithCancel(ctx)
	p := &peer{name: name, addr: addr, stop: stop}
	b.peers[name] = p
	go b.keepConnected(pctx, p, after)
}

// keepConnected keeps a connection to a peer open until ctx ends. It dials again
// after a back-off from firstRedial to lastRedial.
func (b *peerTable) keepConnected(ctx context.Context, p *peer, after clock.Millis) {
	if b.g.clock.Sleep(ctx, after) != nil {
		return
	}
	dispatch.Redial(ctx, b.g.clock, firstRedial, lastRedial,
		func(ctx context.Context) error { return b.session(ctx, p) },
		func(err error, _ clock.Millis) { b.disconnected(p, err) })
}

// dial connects to a peer. The connection to this gateway itself is an in-process
// pipe to its own queue host.
func (b *peerTable) dial(ctx context.Context, p *peer) (net.Conn, error) {
	if p.addr == "" {
		near, far := net.Pipe()
		b.g.queueHost.Serve(ctx, far)
		return near, nil
	}
	d := net.Dialer{Timeout: peerDialTimeout.Duration()}
	return d.DialContext(ctx, "tcp", p.addr)
}

// session runs one connection to a peer until it fails or ctx ends.
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

// sendHeartbeats sends heartbeats to all peers until ctx ends: every
// enginequeue.ActiveHeartbeat to those that are silent or have reservations of this
// gateway in their queues, to others at a longer interval that keeps the traffic
// within a budget.
func (b *peerTable) sendHeartbeats(ctx context.Context) error {
	for b.g.clock.Sleep(ctx, enginequeue.ActiveHeartbeat) == nil {
		b.sendDueHeartbeats(b.g.clock.Now())
	}
	return nil
}

// sendDueHeartbeats sends the heartbeats that are due, and marks peers silent that
// have not answered in time. The limit grows with the time for which messages that
// have arrived wait for the processor.
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

// unanswered returns how long the oldest unanswered heartbeat has been without an
// answer; 0 if there is none. Any message from the peer is an answer.
func (p *peer) unanswered(now clock.Millis) clock.Millis {
	if p.link.Heard() >= p.unansweredMs {
		return 0
	}
	return now - p.unansweredMs
}

// markSilent marks a peer that does not answer as down, so that other gateways become
// the owners of its engine queues; b.mu is held. The connection stays open, since the
// peer may recover.
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

// size returns the number of known gateways, including this one.
func (b *peerTable) size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.peers)
}

// disconnected handles the loss of the connection to a peer: its engine queues move
// to other gateways.
func (b *peerTable) disconnected(p *peer, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.up {
		b.g.log.WithFields(logrus.Fields{"event": "peerLost", "peer": p.name}).Info(err)
	}
	p.link, p.overloaded = nil, false
	b.setUp(p, false)
}

// setUp records whether a peer can own engine queues; b.mu is held.
func (b *peerTable) setUp(p *peer, up bool) {
	if p.up != up {
		p.up = up
		b.reassignOwners()
	}
}

// reassignOwners recomputes the queue owners; b.mu is held. Requests that run are
// announced to the new owner of their queue; those that wait choose a server again.
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

// electOwner returns the owner of an engine's queue: of the peers that are up, the
// one with the highest rendezvous hash; nil if none is up. An overloaded peer is
// chosen only if all are overloaded.
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

// handle processes a message that a peer sent on the connection dialed by this
// gateway.
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

// markResponsive marks a peer that has sent a load message as up, and records whether
// it is overloaded.
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

// applyLoads records the loads and the cached prompt blocks that a peer reports.
// Loads of engines whose queue it does not own are ignored.
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

// keepOnly drops the state of engines that are not in live.
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

// anyUp reports whether at least one of the named gateways is up.
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

// Subjects of rendezvous hashing: the gateways that rank highest for a subject run
// its task for the whole fleet.
const (
	subjectReaders = "readers"
	subjectLeaders = "holders"
)

// ranksAmong reports whether this gateway is one of the first n for a subject, of
// those that are up.
func (b *peerTable) ranksAmong(subject string, n int) bool { return b.rank(subject) < n }

// ranksAmongKnown is ranksAmong for a gateway that has just started: it also counts
// gateways that are not connected yet.
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

// rank returns the number of gateways that precede this one for a subject: of those
// that are up, the ones with a higher rendezvous hash. Gateways that are not
// overloaded precede those that are.
func (b *peerTable) rank(subject string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	own, above, overloaded := route.RendezvousHash(subject, b.g.name), 0, b.g.overloaded()
	for _, p := range b.peers {
		if !p.up || p.name == b.g.name {
			continue
		}
		// Gateways that are not overloaded come first.
		if p.overloaded == overloaded && route.RendezvousHash(subject, p.name) > own || overloaded && !p.overloaded {
			above++
		}
	}
	return above
}

// broadcast sends a message to all other gateways that are connected. to returns the
// parameters of the message to one of them.
func (b *peerTable) broadcast(method string, to func(p *peer) any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.peers {
		if p.addr != "" && p.link != nil {
			p.link.Notify(method, to(p))
		}
	}
}

// broadcastUpdate sends an update of the store to all other gateways.
func (b *peerTable) broadcastUpdate(h storeUpdate) {
	b.broadcast(enginequeue.MethodHint, func(p *peer) any {
		h.Echo = b.heartbeats[p.name]
		return h
	})
}

// gatewayConnected handles a new connection from another gateway, and returns the
// reply to its hello. What is known of its clock is dropped, since the gateway may
// have restarted.
func (g *Gateway) gatewayConnected(entry string) any {
	g.updates.resetClock(entry)
	g.peers.recordHeartbeat(entry, enginequeue.Echo{})
	return g.joinReply()
}

// receiveHeartbeat handles a heartbeat from another gateway. Its time of day counts
// as a vote on the wall clock.
func (g *Gateway) receiveHeartbeat(entry string, b enginequeue.Heartbeat) {
	if entry == g.name {
		return
	}
	g.wall.Vote(entry, b.WallMs)
	g.peers.recordHeartbeat(entry, enginequeue.Echo{SentMs: b.SentMs, GotMs: g.clock.Now()})
}

// recordHeartbeat records the last heartbeat from a gateway; the zero Echo means
// none.
func (b *peerTable) recordHeartbeat(entry string, e enginequeue.Echo) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.heartbeats[entry] = e
}

// notifyReaders reports a draining server to the store readers, which include it in
// their updates to all gateways.
func (b *peerTable) notifyReaders(k servers.Key) {
	b.mu.Lock()
	defer b.mu.Unlock()
	up := b.linkedLocked(subjectReaders)
	for _, p := range up[:min(len(up), readers)] {
		p.link.Notify(enginequeue.MethodLeaving, k)
	}
}

// linkedLocked returns the other gateways that are up, the one with the highest
// rendezvous hash of subject and name first; b.mu is held.
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

// broadcastConfig sends a change of the configuration to all other gateways.
func (b *peerTable) broadcastConfig(c configChange) {
	b.broadcast(enginequeue.MethodConfig, func(*peer) any { return c })
}

// requestCounts asks all other gateways for their usage counts of a window.
func (b *peerTable) requestCounts(window int64) {
	b.broadcast(enginequeue.MethodCollect, func(*peer) any { return enginequeue.Collect{Window: window} })
}

// sendSeal sends a sealed usage window to the gateways that may become leader next.
func (b *peerTable) sendSeal(u Usage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	up := b.linkedLocked(subjectLeaders)
	for _, p := range up[:min(len(up), sealReceivers)] {
		p.link.Notify(enginequeue.MethodSeal, u)
	}
}

// sendCounts sends usage counts to a gateway, and reports whether it is connected.
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

// otherNames returns the names of the other known gateways, connected or not.
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

// copyCounts sends usage counts to the gateways that keep copies of them: those with
// the highest rendezvous hash of key and name, so that few copies move when gateways
// come or go.
func (b *peerTable) copyCounts(key string, p publishedCounts) {
	b.mu.Lock()
	defer b.mu.Unlock()
	up := b.linkedLocked(key)
	for _, q := range up[:min(len(up), copyReceivers)] {
		q.link.Notify(enginequeue.MethodCounts, countsCopy{Key: key, Counts: p})
	}
}
