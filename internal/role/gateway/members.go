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
	// memberReadInterval is the interval between two reads of the members topic, and
	// firstMemberReadInterval that after the first read: gateways that start together
	// publish their records within some tenths of a second. The first minMemberReads reads
	// are made even if store readers report no change.
	memberReadInterval      = 4 * clock.Second
	firstMemberReadInterval = 1200 * clock.Millisecond
	minMemberReads          = 2
	// minMemberInterval is the shortest interval between two member records of a gateway.
	// The interval grows with the number of gateways, by memberIntervalPerGateway each, so
	// that all of them together write at most one record in that time. A record that is
	// older than memberExpiryFactor intervals shows that its gateway is gone.
	minMemberInterval        = 20 * clock.Second
	memberIntervalPerGateway = 600 * clock.Millisecond
	memberExpiryFactor       = 2.5
	// minMemberRewrite is the shortest time between two records that replace a lost one: two processes of one
	// name would else replace each other's without a pause.
	minMemberRewrite = clock.Second
	// serverListWait is how long the first dials wait for the list of servers: the owners of
	// engine queues are dialed first. The reads at the start take about 100 ms.
	serverListWait = 300 * clock.Millisecond
	// startPollInterval is the interval at which conditions are checked during the start.
	startPollInterval = 10 * clock.Millisecond
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
	// EpochSinceMs is since when Epoch is known to the gateways, in Unix ms; 0 if that is not known.
	EpochSinceMs clock.Millis `json:"eraSince,omitempty"`
	// EpochChangedMs is when Epoch followed an earlier one, in Unix ms; 0 if the gateways know of no change.
	EpochChangedMs clock.Millis `json:"eraChanged,omitempty"`
	// Process is unique to each start of the gateway.
	Process string `json:"process,omitempty"`
}

// liveMember is the record of another gateway. confirmedMs is when the record was last
// read, or confirmed by an update, by the monotonic clock.
type liveMember struct {
	member
	confirmedMs clock.Millis
}

// publishMember writes this gateway's member record at intervals until ctx ends, and
// at once when the store came back from a backup or the record was lost. After ctx has
// ended it deletes the record. The first record is written once those before it were read,
// one of which it replaces.
func (g *Gateway) publishMember(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-g.epochAge.known:
	}
	for failures := 0; ctx.Err() == nil; {
		e, changed := g.store.epochAndChange()
		version, _ := g.config.state()
		since, followed := g.epochAge.since(e, g.clock.Wall())
		data, err := json.Marshal(member{Control: g.Settings().ControlAddr, Epoch: e, Config: version, EpochSinceMs: since, EpochChangedMs: followed, Process: g.processID})
		if err != nil {
			return err
		}
		err = g.store.Append(ctx, TopicMembers, g.name, data)
		g.metrics.storeWrite(TopicMembers, err)
		if err == nil {
			failures = 0
			g.memberWritten.Store(true)
			g.outage.storeAnswered()
			g.awaitMemberDue(ctx, changed)
			continue
		}
		if failures == 0 && ctx.Err() == nil {
			g.log.WithFields(logrus.Fields{"event": "storeLost", "topic": TopicMembers.String()}).Warn(err)
		}
		failures++
		g.backOff(ctx, failures, false)
	}
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalPublishTimeout.Duration())
	defer cancel()
	if err := g.store.Append(last, TopicMembers, g.name, nil); err != nil {
		g.log.WithFields(logrus.Fields{"event": "storeLost", "topic": TopicMembers.String()}).Warn(err)
	}
	return nil
}

// awaitMemberDue waits until the member record is due again: after the interval, in a new epoch, whose channel
// is changed, or once the record was lost.
func (g *Gateway) awaitMemberDue(ctx context.Context, changed <-chan struct{}) {
	now := g.clock.Now()
	wait, cancel := context.WithTimeout(ctx, g.memberInterval().Duration())
	defer cancel()
	select {
	case <-wait.Done():
	case <-changed:
	case <-g.memberLost:
		_ = g.clock.Sleep(ctx, max(now+minMemberRewrite-g.clock.Now(), 0))
	}
}

// noteOwnMember has the member record of this process written again if snap, a read of the topic that began after
// it was written, shows that it is not there: a write that another process of this name has given up may arrive
// late, such as the deletion of its own record. whole is set if snap has the newest record of each key.
func (g *Gateway) noteOwnMember(snap Snapshot, whole bool) {
	lost := whole
	for _, r := range snap.Records {
		if r.Key == g.name {
			var m member
			lost = json.Unmarshal(r.Value, &m) != nil || m.Process != g.processID
		}
	}
	if !lost {
		return
	}
	select {
	case g.memberLost <- struct{}{}:
		g.log.WithField("event", "peerRecordLost").Warn("the record of this gateway was deleted or replaced; writing it again")
	default:
	}
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

// memberInterval returns the interval between two member records of this gateway.
func (g *Gateway) memberInterval() clock.Millis {
	return max(minMemberInterval, clock.Millis(g.gatewayCount.Load())*memberIntervalPerGateway)
}

// followPeers keeps the list of the other gateways up to date with the members topic.
func (g *Gateway) followPeers(ctx context.Context) error {
	g.peers.addSelf(ctx)
	reader := &topicReader{g: g, topic: TopicMembers}
	byName := map[string]liveMember{}
	for reads := 0; ctx.Err() == nil; {
		needsRead := func(u storeUpdate) bool { return u.Gateways != g.membersDigest.Load() || reader.needsFullRead() }
		if reads >= minMemberReads && g.waitUnchanged(ctx, memberReadInterval, g.clock.Now()-reader.readMs, needsRead) {
			g.confirmMembers(byName)
			continue
		}
		written := g.memberWritten.Load()
		snap, whole, err := reader.read(ctx, 0)
		if err != nil {
			reader.backOff(ctx)
			continue
		}
		reads++
		g.startEpochAge(snap)
		if written {
			g.noteOwnMember(snap, whole)
		}
		g.join.applyMembers(g.store.currentEpoch(), membersOf(snap, g.name))
		for until := g.clock.Now() + serverListWait; reads == 1 && !g.fleet.listed.Load() && g.clock.Now() < until; {
			_ = g.clock.Sleep(ctx, startPollInterval)
		}
		now := g.clock.Now()
		for _, r := range snap.Records {
			g.applyMember(byName, r, now)
		}
		g.applyMembers(ctx, byName)
		g.membersRead.Store(true)
		interval := memberReadInterval
		if reads < minMemberReads {
			interval = firstMemberReadInterval
		}
		_ = g.clock.Sleep(ctx, interval)
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
	if newest, _, ok := g.updates.current(); !ok || newest.Gateways != g.membersDigest.Load() {
		return
	}
	now := g.clock.Now()
	for name, m := range byName {
		m.confirmedMs = now
		byName[name] = m
	}
}

// applyMembers puts the gateways in byName in force. Those whose record has expired are
// removed from it.
func (g *Gateway) applyMembers(ctx context.Context, byName map[string]liveMember) {
	now := g.clock.Now()
	expiry := clock.Millis(float64(g.memberInterval()) * memberExpiryFactor)
	addrs := map[string]string{}
	for name, m := range byName {
		if now-m.confirmedMs > expiry {
			delete(byName, name)
			continue
		}
		addrs[name] = m.Control
	}
	g.gatewayCount.Store(int32(len(addrs) + 1))
	g.membersDigest.Store(membersDigest(addrs, g.name, g.Settings().ControlAddr))
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
	m := liveMember{confirmedMs: now}
	if err := json.Unmarshal(r.Value, &m.member); err != nil || m.Control == "" {
		g.log.WithFields(logrus.Fields{"event": "peerUnreadable", "key": r.Key, "offset": r.At.Offset()}).Warn(err)
		return
	}
	byName[r.Key] = m
}
