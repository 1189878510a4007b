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
	"github.com/damaskport/damaskport/internal/policy/ratelimit"
	"github.com/damaskport/damaskport/internal/policy/route"
	"github.com/damaskport/damaskport/internal/policy/socketbuffer"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/tcp"
	"github.com/damaskport/damaskport/internal/state/evacuation"
	"github.com/damaskport/damaskport/internal/state/servers"
	"github.com/damaskport/damaskport/internal/state/versions"
)

const (
	peerDialTimeout = 500 * clock.Millisecond
	// queueOwnerTimeout is how long a request waits without a message from the owner of
	// its engine queue before the owner counts as silent: an owner with waiting requests
	// reports its load more often than that.
	queueOwnerTimeout = 450 * clock.Millisecond
	// reviewEvery is the interval at which a waiting request checks whether another
	// server could start it at once.
	reviewEvery      = 120 * clock.Millisecond
	minRedialBackOff = 200 * clock.Millisecond
	maxRedialBackOff = 3 * clock.Second
	// dialBurst is the number of gateways that are dialed at once, and dialGap the
	// interval between the dials after these: a connection costs both ends about 0.45 ms
	// of processor time.
	dialBurst = 32
	dialGap   = 10 * clock.Millisecond
	// sealReceivers is the number of gateways that receive each sealed usage window: the
	// candidates for leader, and as many that become candidates if these fail too.
	sealReceivers = 2 * leaderCandidates
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
	// issuesPermits is set if the peer answers requests for permits. Gateways of earlier
	// versions do not.
	issuesPermits bool
	// examines is set if the peer can be the examiner of suspected requests.
	examines bool
	// heartbeatMs is when the last heartbeat was sent, unansweredMs when the first one
	// after the peer's last message was sent. Both are steady-clock times.
	heartbeatMs, unansweredMs clock.Millis
	// process identifies the process at the other end; empty until it has said so.
	process string
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
	// permitAsks holds the channel for the answer to each open request for a permit, by ID;
	// lastAsk is the ID of the last one.
	permitAsks map[uint64]chan ratelimit.Answer
	lastAsk    uint64
	// trialAsks are like permitAsks, for questions to the examiner.
	trialAsks map[uint64]chan bool
	// losses are the times in which connections to other gateways ended: from the last message to the end.
	losses []versions.Period
}

func newPeerTable(g *Gateway) *peerTable {
	return &peerTable{g: g, peers: map[string]*peer{}, reservations: map[string]*reservation{}, pools: map[string]*pool{}, owners: map[string]*peer{}, heartbeats: map[string]enginequeue.Echo{}, permitAsks: map[uint64]chan ratelimit.Answer{}, trialAsks: map[uint64]chan bool{}}
}

// setPeers replaces the other gateways, given by name and address. Those that are
// gone or have a new address are disconnected; new ones are dialed.
func (t *peerTable) setPeers(ctx context.Context, addrs map[string]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, p := range t.peers {
		if p.addr != "" && addrs[name] != p.addr {
			p.stop()
			delete(t.peers, name)
			delete(t.heartbeats, name)
		}
	}
	var fresh []string
	for name := range addrs {
		if t.peers[name] == nil {
			fresh = append(fresh, name)
		}
	}
	if len(fresh) > 0 {
		for i, name := range route.DialOrder(t.g.name, fresh, t.sharedTasks()) {
			t.addLocked(ctx, name, addrs[name], clock.Millis(max(i-dialBurst, 0))*dialGap)
		}
	}
	t.reassignOwners()
}

// sharedTasks returns the tasks that one or a few gateways run for the whole fleet,
// which are dialed first.
func (t *peerTable) sharedTasks() []route.RankedTask {
	out := []route.RankedTask{{Key: subjectReaders, Count: storeReaders}, {Key: subjectCandidates, Count: leaderCandidates}}
	for _, id := range t.g.fleet.engines() {
		out = append(out, route.RankedTask{Key: id, Count: 1})
	}
	return out
}

// addSelf makes this gateway a possible owner of engine queues.
func (t *peerTable) addSelf(ctx context.Context) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addLocked(ctx, t.g.name, "", 0)
}

// addLocked adds a gateway, which is dialed after a delay; t.mu is held.
func (t *peerTable) addLocked(ctx context.Context, name, addr string, after clock.Millis) {
	pctx, stop := context.WithCancel(ctx)
	p := &peer{name: name, addr: addr, stop: stop}
	t.peers[name] = p
	go t.keepConnected(pctx, p, after)
}

// keepConnected keeps a connection to a peer open until ctx ends. It dials again
// after a back-off from minRedialBackOff to maxRedialBackOff.
func (t *peerTable) keepConnected(ctx context.Context, p *peer, after clock.Millis) {
	if t.g.clock.Sleep(ctx, after) != nil {
		return
	}
	dispatch.Redial(ctx, t.g.clock, minRedialBackOff, maxRedialBackOff,
		func(ctx context.Context) error { return t.session(ctx, p) },
		func(err error, _ clock.Millis) { t.disconnected(p, err) })
}

// dial connects to a peer. The connection to this gateway itself is an in-process
// pipe to its own queue host.
func (t *peerTable) dial(ctx context.Context, p *peer) (net.Conn, error) {
	if p.addr == "" {
		near, far := net.Pipe()
		t.g.queueHost.Serve(ctx, far)
		return near, nil
	}
	d := tcp.NewDialer(peerDialTimeout.Duration())
	return t.g.buffers.Dial(ctx, d, socketbuffer.Gateway, "tcp", p.addr)
}

// session runs one connection to a peer until it fails or ctx ends.
func (t *peerTable) session(ctx context.Context, p *peer) error {
	conn, err := t.dial(ctx, p)
	if err != nil {
		return err
	}
	l := dispatch.NewLink(conn, t.g.clock, func(l *dispatch.Link, method string, params json.RawMessage) (any, error) {
		return nil, t.handle(p, method, params)
	})
	defer l.Close()
	l.Notify(dispatch.MethodHello, enginequeue.Hello{Entry: t.g.name, Zone: t.g.Settings().Zone})
	t.mu.Lock()
	p.link = l
	t.setPeerUp(p, true)
	t.heartbeatLocked(p, t.g.clock.Now())
	t.mu.Unlock()
	t.g.log.WithFields(logrus.Fields{"event": "peerFound", "peer": p.name}).Info()
	return l.Keep(ctx, func() (every, silence clock.Millis) {
		n := t.gatewayCount()
		return enginequeue.IdleHeartbeat(n), enginequeue.IdleTimeout(n)
	}, func() {})
}

// sendHeartbeats sends heartbeats to all peers until ctx ends: every
// enginequeue.ActiveHeartbeat to those that are silent or have reservations of this
// gateway in their queues, to others at a longer interval that keeps the traffic
// within a budget.
func (t *peerTable) sendHeartbeats(ctx context.Context) error {
	for t.g.clock.Sleep(ctx, enginequeue.ActiveHeartbeat) == nil {
		t.sendDueHeartbeats(t.g.clock.Now())
	}
	return nil
}

// sendDueHeartbeats sends the heartbeats that are due, and marks peers silent that
// have not answered in time. The limit grows with the time for which messages that
// have arrived wait for the processor.
func (t *peerTable) sendDueHeartbeats(now clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	active := map[*peer]bool{}
	for _, r := range t.reservations {
		active[r.owner] = true
	}
	idle := enginequeue.IdleHeartbeat(len(t.peers))
	for _, p := range t.peers {
		if p.link == nil {
			continue
		}
		if p.up && p.unanswered(now) > enginequeue.HeartbeatAnswerTimeout(len(t.peers))+t.g.gate.probeDelay() {
			t.markSilent(p, now)
		}
		if active[p] || !p.up || now-p.heartbeatMs >= idle {
			t.heartbeatLocked(p, now)
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
// the owners of its engine queues; t.mu is held. The connection stays open, since the
// peer may recover.
func (t *peerTable) markSilent(p *peer, now clock.Millis) {
	t.g.log.WithFields(logrus.Fields{"event": "peerSilent", "peer": p.name, "silentMs": int64(now - p.link.Heard())}).Info()
	t.setPeerUp(p, false)
}

func (t *peerTable) heartbeatLocked(p *peer, now clock.Millis) {
	if p.link.Heard() >= p.unansweredMs {
		p.unansweredMs = now
	}
	p.heartbeatMs = now
	p.link.Notify(dispatch.MethodHeartbeat, enginequeue.Heartbeat{WallMs: t.g.wall.Own(), SentMs: now})
}

// gatewayCount returns the number of known gateways, including this one.
func (t *peerTable) gatewayCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.peers)
}

// disconnected handles the loss of the connection to a peer: its engine queues move
// to other gateways.
func (t *peerTable) disconnected(p *peer, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p.up {
		t.g.log.WithFields(logrus.Fields{"event": "peerLost", "peer": p.name}).Info(err)
	}
	t.noteLossLocked(p)
	p.link, p.overloaded, p.issuesPermits, p.examines, p.process = nil, false, false, false, ""
	t.setPeerUp(p, false)
}

// noteLossLocked records when the connection to a peer ended; t.mu is held.
func (t *peerTable) noteLossLocked(p *peer) {
	if p.link == nil || p.addr == "" {
		return
	}
	wall := t.g.clock.Wall()
	t.losses = slices.DeleteFunc(t.losses, func(l versions.Period) bool { return wall-l.ToMs > versions.StreamLifetime })
	t.losses = append(t.losses, versions.Period{FromMs: wall - (t.g.clock.Now() - p.link.Heard()), ToMs: wall})
}

// lossesSince returns the periods since a time in which other gateways may have ended. Before its own start, at startMs,
// this gateway has seen none.
func (t *peerTable) lossesSince(since, startMs clock.Millis) []versions.Period {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := slices.Clone(t.losses)
	if startMs > since {
		out = append(out, versions.Period{FromMs: since, ToMs: startMs})
	}
	return out
}

// setProcess records which process is at the other end of the connection to a peer.
func (t *peerTable) setProcess(p *peer, process string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p.process = process
}

// runs reports whether a process is connected.
func (t *peerTable) runs(process string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ofProcessLocked(process) != nil
}

// ofProcessLocked returns the connected peer that is a process; nil if there is none. t.mu is held.
func (t *peerTable) ofProcessLocked(process string) *peer {
	for _, p := range t.peers {
		if p.process == process && p.link != nil {
			return p
		}
	}
	return nil
}

// heardSince reports whether a message of a process has arrived since a time. Without one, it asks for a sign of life.
func (t *peerTable) heardSince(process string, at clock.Millis) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.ofProcessLocked(process)
	if p == nil {
		return false
	}
	if now := t.g.clock.Now(); p.link.Heard() < at && now-p.heartbeatMs >= pingInterval {
		t.heartbeatLocked(p, now)
	}
	return p.link.Heard() >= at
}

// setPeerUp records whether a peer can own engine queues; t.mu is held.
func (t *peerTable) setPeerUp(p *peer, up bool) {
	if p.up != up {
		p.up = up
		t.reassignOwners()
	}
}

// reassignOwners recomputes the queue owners; t.mu is held. Requests that run are
// announced to the new owner of their queue; those that wait choose a server again.
func (t *peerTable) reassignOwners() {
	for id := range t.owners {
		owner := t.electOwner(id)
		if owner == t.owners[id] {
			continue
		}
		t.owners[id] = owner
		t.pools[id].withTable(func(table *place.ServerTable) { table.DropReport(id) })
	}
	for id, r := range t.reservations {
		owner := t.owners[r.msg.Engine.ID]
		if owner == r.owner {
			continue
		}
		old := r.owner
		if old != nil && old.link != nil {
			old.link.Notify(dispatch.MethodCancel, enginequeue.Ref{ID: id})
		}
		r.owner = owner
		if !r.granted {
			delete(t.reservations, id)
			r.verdict <- verdict{chooseAgain: true}
		} else if owner != nil && owner.link != nil {
			owner.link.Notify(enginequeue.MethodAnnounce, r.msg)
		}
	}
}

// electOwner returns the owner of an engine's queue: of the peers that are up, the
// one with the highest rendezvous hash; nil if none is up. An overloaded peer is
// chosen only if all are overloaded.
func (t *peerTable) electOwner(engine string) *peer {
	var best *peer
	var most uint64
	for _, p := range t.peers {
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
func (t *peerTable) handle(p *peer, method string, params json.RawMessage) error {
	switch method {
	case enginequeue.MethodWelcome:
		return t.receiveJoinReply(p, params)
	case enginequeue.MethodConfig:
		return t.g.receiveConfig(p.name, params)
	case enginequeue.MethodLoad:
		var m enginequeue.Loads
		if err := json.Unmarshal(params, &m); err != nil {
			return err
		}
		t.markResponsive(p, m.Overloaded)
		t.applyLoads(p, m.Loads)
	case dispatch.MethodOffer:
		var r enginequeue.Ref
		if err := json.Unmarshal(params, &r); err != nil {
			return err
		}
		t.resolve(p, r.ID, verdict{granted: true})
	case dispatch.MethodRefuse:
		var r enginequeue.Refusal
		if err := json.Unmarshal(params, &r); err != nil {
			return err
		}
		t.resolve(p, r.ID, verdict{retryAfter: r.RetryAfterMs})
	case enginequeue.MethodPermitted:
		var r enginequeue.PermitReply
		if err := json.Unmarshal(params, &r); err != nil {
			return err
		}
		t.receivePermit(r)
	case enginequeue.MethodTrialAnswer:
		var r enginequeue.TrialReply
		if err := json.Unmarshal(params, &r); err != nil {
			return err
		}
		t.receiveTrialAnswer(r)
	}
	return nil
}

// markResponsive marks a peer that has sent a load message as up, and records whether
// it is overloaded.
func (t *peerTable) markResponsive(p *peer, overloaded bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p.link == nil {
		return
	}
	if p.overloaded != overloaded {
		p.overloaded = overloaded
		t.g.log.WithFields(logrus.Fields{"event": "peerOverloaded", "peer": p.name, "overloaded": overloaded}).Info()
		if p.up {
			t.reassignOwners()
		}
	}
	t.setPeerUp(p, true)
}

// applyLoads records the loads and the cached prompt blocks that a peer reports.
// Loads of engines whose queue it does not own are ignored.
func (t *peerTable) applyLoads(p *peer, loads []enginequeue.Load) {
	now := t.g.clock.Now()
	for _, l := range loads {
		t.mu.Lock()
		pool, mine := t.pools[l.Engine], t.owners[l.Engine] == p
		t.mu.Unlock()
		if pool == nil {
			continue
		}
		pool.withTable(func(table *place.ServerTable) {
			table.ReportCached(now, l.Engine, l.Blocks)
			if mine {
				table.ReportLoad(now, l.Engine, l.Load)
			}
		})
	}
}

// keepOnly drops the state of engines that are not in live.
func (t *peerTable) keepOnly(live map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.owners {
		if !live[id] {
			delete(t.owners, id)
			delete(t.pools, id)
		}
	}
}

// allUp reports whether all known gateways are up.
func (t *peerTable) allUp() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		if !p.up {
			return false
		}
	}
	return true
}

// electLocked returns the gateway that does a duty for a key: of the peers that are up and
// able, the one with the highest rendezvous hash; nil if there is none. An overloaded peer
// is chosen only if all are overloaded. t.mu is held.
func (t *peerTable) electLocked(key string, able func(p *peer) bool) *peer {
	var best *peer
	var most uint64
	for _, p := range t.peers {
		if !p.up || p.link == nil || !able(p) || best != nil && p.overloaded && !best.overloaded {
			continue
		}
		if w := route.RendezvousHash(key, p.name); best == nil || best.overloaded && !p.overloaded || w > most {
			best, most = p, w
		}
	}
	return best
}

// anyPeerUp reports whether at least one of the named gateways is up.
func (t *peerTable) anyPeerUp(names []string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range names {
		if p := t.peers[n]; p != nil && p.up {
			return true
		}
	}
	return false
}

// Subjects of rendezvous hashing: the gateways that rank highest for a subject run
// its task for the whole fleet.
const (
	subjectReaders    = "readers"
	subjectCandidates = "holders"
	subjectExaminer   = "examiner"
	subjectEvidence   = "evidence"
	subjectVersions   = "versions"
)

// ranksAmong reports whether this gateway is one of the first n for a subject, of
// those that are up.
func (t *peerTable) ranksAmong(subject string, n int) bool { return t.rank(subject) < n }

// ranksAmongKnown is ranksAmong for a gateway that has just started: it also counts
// gateways that are not connected yet.
func (t *peerTable) ranksAmongKnown(subject string, n int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	own, above := route.RendezvousHash(subject, t.g.name), 0
	for _, p := range t.peers {
		if p.name != t.g.name && route.RendezvousHash(subject, p.name) > own {
			above++
		}
	}
	return above < n
}

// rank returns the number of gateways that precede this one for a subject: of those
// that are up, the ones with a higher rendezvous hash. Gateways that are not
// overloaded precede those that are.
func (t *peerTable) rank(subject string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	own, above, overloaded := route.RendezvousHash(subject, t.g.name), 0, t.g.overloaded()
	for _, p := range t.peers {
		if !p.up || p.name == t.g.name {
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
func (t *peerTable) broadcast(method string, to func(p *peer) any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		if p.addr != "" && p.link != nil {
			p.link.Notify(method, to(p))
		}
	}
}

// broadcastUpdate sends an update of the store to all other gateways.
func (t *peerTable) broadcastUpdate(u storeUpdate) {
	t.broadcast(enginequeue.MethodHint, func(p *peer) any {
		u.Echo = t.heartbeats[p.name]
		return u
	})
}

// gatewayConnected handles a new connection from another gateway, and returns the
// reply to its hello. The estimate of its clock's offset and its last heartbeat are
// dropped, since the gateway may have restarted.
func (g *Gateway) gatewayConnected(entry string) any {
	g.updates.resetClock(entry)
	g.peers.recordHeartbeat(entry, enginequeue.Echo{})
	return g.joinReply()
}

// receiveHeartbeat handles a heartbeat from another gateway. The sender's time of day is
// one vote in the estimate of the wall-clock time, and its sending time is returned to it
// in the next Echo. A heartbeat from this gateway itself is ignored.
func (g *Gateway) receiveHeartbeat(entry string, b enginequeue.Heartbeat) {
	if entry == g.name {
		return
	}
	g.wall.Vote(entry, b.WallMs)
	g.peers.recordHeartbeat(entry, enginequeue.Echo{SentMs: b.SentMs, GotMs: g.clock.Now()})
}

// recordHeartbeat records the last heartbeat from a gateway; the zero Echo means
// none.
func (t *peerTable) recordHeartbeat(entry string, e enginequeue.Echo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heartbeats[entry] = e
}

// notifyReaders reports a draining server to the store readers, which include it in
// their updates to all gateways.
func (t *peerTable) notifyReaders(k servers.Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	up := t.linkedLocked(subjectReaders)
	for _, p := range up[:min(len(up), storeReaders)] {
		p.link.Notify(enginequeue.MethodLeaving, k)
	}
}

// linkedLocked returns the other gateways that are up, the one with the highest
// rendezvous hash of subject and name first; t.mu is held.
func (t *peerTable) linkedLocked(subject string) []*peer {
	var up []*peer
	for _, q := range t.peers {
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
func (t *peerTable) broadcastConfig(c configChange) {
	t.broadcast(enginequeue.MethodConfig, func(*peer) any { return c })
}

// broadcastZones sends what this gateway has read of evacuated zones to all other gateways.
func (t *peerTable) broadcastZones(v evacuation.View) {
	t.broadcast(enginequeue.MethodZones, func(*peer) any { return v })
}

// requestCounts asks all other gateways for their usage counts of a window.
func (t *peerTable) requestCounts(window int64) {
	t.broadcast(enginequeue.MethodCollect, func(*peer) any { return enginequeue.Collect{Window: window} })
}

// sendSeal sends a sealed usage window to the gateways that may become leader next.
func (t *peerTable) sendSeal(u Usage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	up := t.linkedLocked(subjectCandidates)
	for _, p := range up[:min(len(up), sealReceivers)] {
		p.link.Notify(enginequeue.MethodSeal, u)
	}
}

// sendCounts sends usage counts to a gateway, and reports whether it is connected.
func (t *peerTable) sendCounts(to string, c countsMessage) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[to]
	if p == nil || p.link == nil {
		return false
	}
	p.link.Notify(enginequeue.MethodCounts, c)
	return true
}

// otherNames returns the names of the other known gateways, connected or not.
func (t *peerTable) otherNames() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for name, p := range t.peers {
		if p.addr != "" {
			out = append(out, name)
		}
	}
	return out
}

// copyCounts sends usage counts to the gateways that keep copies of them: those with
// the highest rendezvous hash of key and name, so that few copies move when gateways
// come or go.
func (t *peerTable) copyCounts(key string, p publishedCounts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	up := t.linkedLocked(key)
	for _, q := range up[:min(len(up), copyReceivers)] {
		q.link.Notify(enginequeue.MethodCounts, countsMessage{Key: key, Counts: p})
	}
}
