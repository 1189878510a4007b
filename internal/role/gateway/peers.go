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
	// peersEvery is the time between two reads of what gateways publish, and
	// firstPeersEvery that after the first one: gateways that start together make
	// themselves known within some tenths of a second.
	peersEvery      = 4 * clock.Second
	firstPeersEvery = 1200 * clock.Millisecond
	firstPeerReads  = 2
	// leastMemberEvery is the least time between two records by which a gateway
	// shows that it lives, and memberEach what each gateway adds to it, so that all
	// together write at most so often. A record of memberExpiryFactor that age shows that
	// its gateway is gone.
	leastMemberEvery   = 20 * clock.Second
	memberEach         = 600 * clock.Millisecond
	memberExpiryFactor = 2.5
	// listWait is how long the first dials wait for the list of servers, whose
	// hosts come first: the start's reads take about 100 ms on the users' bench.
	listWait      = 300 * clock.Millisecond
	listPollEvery = 10 * clock.Millisecond
)

// member is what a gateway tells the others of itself.
type member struct {
	// Control is its address for them.
	Control string `json:"control"`
	// Epoch is the store's when the gateway wrote this, and Config the version of the
	// configuration that it had in force.
	Epoch  epoch.Epoch `json:"era"`
	Config int64       `json:"config"`
}

// liveMember is a gateway, and when it showed that it lives.
type liveMember struct {
	member
	atMs clock.Millis
}

// publishMember makes the gateway known to the others until ctx ends, and anew when the
// store came back from a copy.
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

// sleepInEpoch waits for d, or until the store is in another era.
func (g *Gateway) sleepInEpoch(ctx context.Context, d clock.Millis, changed <-chan struct{}) {
	wait, cancel := context.WithTimeout(ctx, d.Duration())
	defer cancel()
	select {
	case <-wait.Done():
	case <-changed:
	}
}

// memberEvery is the time between two records by which this gateway shows that
// it lives.
func (g *Gateway) memberEvery() clock.Millis {
	return max(leastMemberEvery, clock.Millis(g.gatewayCount.Load())*memberEach)
}

// followPeers learns the other gateways from the store.
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

// membersOf returns what others than the named gateway wrote of themselves.
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

// confirmMembers notes that a reader knows the same gateways.
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

// setPeers takes the gateways that are not gone as the present ones.
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

// membersDigest returns a number that differs for different sets of gateways: the
// given ones and one more.
func membersDigest(addrs map[string]string, name, addr string) uint64 {
	sum := route.RendezvousHash(name, addr)
	for n, a := range addrs {
		sum += route.RendezvousHash(n, a)
	}
	return sum
}

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
