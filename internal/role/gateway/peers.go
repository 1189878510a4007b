package gateway

import (
	"context"
	"encoding/json"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/policy/route"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/epoch"
)

const (
	// peersEvery is the interval between two reads of the members topic, and
	// firstPeersEvery that after the first read: gateways that start together publish
	// their records within some tenths of a second. The first firstPeerReads reads are
	// made even if store readers report no change.
	peersEvery      = 4 * clock.Second
	firstPeersEvery = 1200 * clock.Millisecond
	firstPeerReads  = 2
	// leastMemberEvery is the shortest interval between two member records of a gateway.
	// It grows to memberEach per gateway, so that all gateways together write at most
	// one record in memberEach. A record that is older than memberExpiryFactor intervals
	// shows that its gateway is gone.
	leastMemberEvery   = 20 * clock.Second
	memberEach         = 600 * clock.Millisecond
	memberExpiryFactor = 2.5
	// listWait is how long the first dials wait for the list of servers: the owners of
	// engine queues are dialed first. The reads at the start take about 100 ms.
	listWait = 300 * clock.Millisecond
	// listPollEvery is the interval at which conditions are checked during the start.
	listPollEvery = 10 * clock.Millisecond
)

// member is the record that a gateway publishes in the members topic. It also shows
// that the gateway is alive.
type member struct {
	// Control is the address for connections from other gateways.
	Control string `json:"control"`
	// Epoch is the store epoch when the record was written, and Config the version of
	// the configuration in force then.
	Epoch  epoch.Epoch `json:"era"`
	Config int64       `json:"config"`
}

// liveMember is the record of another gateway. atMs is when the record was last read,
// or confirmed by an update, by the steady clock.
type liveMember struct {
	member
	atMs clock.Millis
}

// publishMember writes this gateway's member record at intervals until ctx ends, and
// at once when the store came back from a backup. After ctx has ended it deletes the
// record.
func (g *Gateway) publishMember(ctx context.Context) error {
	for failures := 0; ctx.Err() == nil; {
		e, changed := g.store.current()
		version, _ := g.config.state()
		data, err := json.Marshal(member{Control: g.Settings().ControlAddr, Epoch: e, Config: version})
		if err != nil {
			return err
		}
		err = g.store.Append(ctx, TopicMembers, g.name, data)
		g.metrics.storeWrite(TopicMembers, err)
		if err == nil {
			failures = 0
			g.outage.storeAnswered()
			g.sleepInEpoch(ctx, g.memberEvery(), changed)
			continue
		}
		if failures == 0 && ctx.Err() == nil {
			g.log.WithFields(logrus.Fields{"event": "storeLost", "topic": TopicMembers.String()}).Warn(err)
		}
		failures++
		g.outagePause(ctx, failures, false)
	}
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalPublishTimeout.Duration())
	defer cancel()
	if err := g.store.Append(last, TopicMembers, g.name, nil); err != nil {
		g.log.WithFields(logrus.Fields{"event": "storeLost", "topic": TopicMembers.String()}).Warn(err)
	}
	return nil
}

// sleepInEpoch waits for d, or until changed is closed because the store has a new
// epoch.
func (g *Gateway) sleepInEpoch(ctx context.Context, d clock.Millis, changed <-chan struct{}) {
	wait, cancel := context.WithTimeout(ctx, d.Duration())
	defer cancel()
	select {
	case <-wait.Done():
	case <-changed:
	}
}

// memberEvery returns the interval between two member records of this gateway.
func (g *Gateway) memberEvery() clock.Millis {
	return max(leastMemberEvery, clock.Millis(g.gatewayCount.Load())*memberEach)
}

// followPeers keeps the list of the other gateways up to date with the members topic.
func (g *Gateway) followPeers(ctx context.Context) error {
	g.peers.addSelf(ctx)
	f := &follower{g: g, topic: TopicMembers}
	byName := map[string]liveMember{}
	for reads := 0; ctx.Err() == nil; {
		told := func(h storeUpdate) bool { return h.Gateways != g.membersSum.Load() || f.whole() }
		if reads >= firstPeerReads && g.waitUnchanged(ctx, peersEvery, g.clock.Now()-f.readMs, told) {
			g.confirmMembers(byName)
			continue
		}
		snap, _, err := f.read(ctx, 0)
		if err != nil {
			f.pause(ctx)
			continue
		}
		reads++
		g.join.members(g.store.present(), membersOf(snap, g.name))
		for until := g.clock.Now() + listWait; reads == 1 && !g.fleet.listed.Load() && g.clock.Now() < until; {
			_ = g.clock.Sleep(ctx, listPollEvery)
		}
		now := g.clock.Now()
		for _, r := range snap.Records {
			g.applyMember(byName, r, now)
		}
		g.setPeers(ctx, byName)
		g.membersRead.Store(true)
		every := peersEvery
		if reads < firstPeerReads {
			every = firstPeersEvery
		}
		_ = g.clock.Sleep(ctx, every)
	}
	return nil
}

// membersOf returns the member records of all gateways except the named one.
func membersOf(snap Snapshot, name string) []member {
	var out []member
	for _, r := range snap.Records {
		var m member
		if r.Key != name && len(r.Value) > 0 && json.Unmarshal(r.Value, &m) == nil {
			out = append(out, m)
		}
	}
	return out
}

// confirmMembers marks all members as alive now if the last update of a store reader
// reports the same set of gateways.
func (g *Gateway) confirmMembers(byName map[string]liveMember) {
	if h, _, ok := g.updates.current(); !ok || h.Gateways != g.membersSum.Load() {
		return
	}
	now := g.clock.Now()
	for name, s := range byName {
		s.atMs = now
		byName[name] = s
	}
}

// setPeers puts the gateways in byName in force. Those whose record has expired are
// removed from it.
func (g *Gateway) setPeers(ctx context.Context, byName map[string]liveMember) {
	now := g.clock.Now()
	gone := clock.Millis(float64(g.memberEvery()) * memberExpiryFactor)
	addrs := map[string]string{}
	for name, s := range byName {
		if now-s.atMs > gone {
			delete(byName, name)
			continue
		}
		addrs[name] = s.Control
	}
	g.gatewayCount.Store(int32(len(addrs) + 1))
	g.membersSum.Store(membersDigest(addrs, g.name, g.Settings().ControlAddr))
	g.peers.setPeers(ctx, addrs)
}

// membersDigest returns a digest of a set of gateways and their addresses: those in
// addrs, and one more with the given name and address.
func membersDigest(addrs map[string]string, name, addr string) uint64 {
	sum := route.RendezvousHash(name, addr)
	for n, a := range addrs {
		sum += route.RendezvousHash(n, a)
	}
	return sum
}

// applyMember applies a member record to byName; an empty one removes the gateway.
func (g *Gateway) applyMember(byName map[string]liveMember, r Record, now clock.Millis) {
	if r.Key == g.name {
		return
	}
	if len(r.Value) == 0 {
		delete(byName, r.Key)
		return
	}
	s := liveMember{atMs: now}
	if err := json.Unmarshal(r.Value, &s.member); err != nil || s.Control == "" {
		g.log.WithFields(logrus.Fields{"event": "peerUnreadable", "key": r.Key, "offset": r.At.Offset()}).Warn(err)
		return
	}
	byName[r.Key] = s
}
