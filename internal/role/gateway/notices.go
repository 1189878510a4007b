package gateway

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/peer/enginequeue"
	"github.com/damaskport/damaskport/internal/policy/place"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/servers"
	"github.com/damaskport/damaskport/internal/state/versions"
)

const (
	// drainNoticeLifetime is how long store readers repeat a draining notice in their
	// updates: long enough for two updates.
	drainNoticeLifetime = 1200 * clock.Millisecond
	// malformedLogEvery is the shortest interval between two log lines about malformed
	// headers of one server, and maxLoggedValueBytes the largest part of a header value that
	// they show.
	malformedLogEvery   = 60 * clock.Second
	maxLoggedValueBytes = 64
	// retryJitterDivisor bounds the random delay that is added to a Retry-After, so that
	// callers do not all come back at once: at most the time until the back-off ends,
	// divided by it.
	retryJitterDivisor = 4
)

// applyNotices applies the notices in an answer of the server e (draining, back-off,
// limit), and logs headers that could not be parsed. used is the permit of the answered
// request; the zero permit if it had none or the answer is to an earlier request. openedMs is
// when the connection was opened.
func (g *Gateway) applyNotices(p *pool, e enginequeue.Engine, r Reply, used permit, openedMs clock.Millis) {
	now := g.clock.Now()
	key := servers.Key{ID: e.ID, Start: e.Start}
	g.logMalformed(now, e.ID, r.Malformed)
	g.applyLimit(now, key, r, used)
	if !r.WrongServer {
		g.fleet.answered(p, key, openedMs)
	}
	unproved := servers.Unproved{NeededMs: versions.ListNeeded(openedMs), SentMs: g.clock.Wall(), Draining: r.Draining}
	if r.BackOffMs > 0 {
		until := g.fleet.setBackOff(now, key, r.BackOffMs)
		unproved.BackOffUntilMs = servers.BackOffEnd(now, r.BackOffMs)
		p.withTable(func(t *place.ServerTable) { t.Exclude(e.ID, until) })
		g.peers.dropWaiting(e.ID)
		g.metrics.countNotice("pause")
		g.log.WithFields(logrus.Fields{"event": "serverPauses", "server": e.ID, "start": e.Start, "pauseMs": int64(r.BackOffMs), "forMs": int64(until - now)}).Info()
	}
	if (r.Draining || r.BackOffMs > 0) && g.fleet.startsAsOf() < unproved.NeededMs {
		g.fleet.markUnproved(e.ID, unproved)
	}
	if !r.Draining {
		return
	}
	g.serverDrains(now, key, "answer")
	if r.WrongServer && r.ServerID != "" && r.ServerID != e.ID {
		// Another server has this address now, and the notice is about that server.
		g.serverDrains(now, servers.Key{ID: r.ServerID, Start: g.fleet.currentStart(r.ServerID)}, "answer")
	}
}

// serverDrains records that a server drains; requests that wait for it choose another
// one. source is where the notice came from: one that this gateway read in an answer is
// forwarded to the other gateways.
func (g *Gateway) serverDrains(now clock.Millis, k servers.Key, source string) {
	if !g.fleet.markDraining(now, k) {
		return
	}
	g.peers.dropWaiting(k.ID)
	g.metrics.countNotice("leaving")
	g.log.WithFields(logrus.Fields{"event": "serverLeaves", "server": k.ID, "start": k.Start, "by": source}).Info()
	if source == "answer" {
		g.drainNotices.add(now, k)
		g.peers.notifyReaders(k)
	}
}

// receiveDraining handles a draining notice that another gateway forwarded. This
// gateway repeats it in its updates.
func (g *Gateway) receiveDraining(_ string, data json.RawMessage) error {
	var k servers.Key
	if err := json.Unmarshal(data, &k); err != nil {
		return err
	}
	now := g.clock.Now()
	g.drainNotices.add(now, k)
	g.serverDrains(now, k, "gateway")
	return nil
}

// receiveUpdate handles an update from a store reader. Of an update from another
// store epoch, only the draining notices, the evacuated zones and the epoch are used.
func (g *Gateway) receiveUpdate(from string, data json.RawMessage) error {
	var u storeUpdate
	if err := json.Unmarshal(data, &u); err != nil {
		return err
	}
	for _, k := range u.Draining {
		g.serverDrains(g.clock.Now(), k, "hint")
	}
	g.store.learn(u.Epoch, from)
	g.mergeZones(from, u.Zones)
	if u.Epoch == g.store.currentEpoch() {
		g.updates.receive(from, u)
	}
	return nil
}

// logMalformed logs headers of a server that could not be parsed, at most once in
// malformedLogEvery for each server.
func (g *Gateway) logMalformed(now clock.Millis, server string, all []Malformed) {
	if len(all) == 0 || !g.drainNotices.mayLog(now, server) {
		return
	}
	for _, m := range all {
		g.log.WithFields(logrus.Fields{"event": "headerMalformed", "server": server, "header": m.Name, "value": m.Value[:min(len(m.Value), maxLoggedValueBytes)]}).Warn("malformed header value")
	}
}

// retryAfter returns the Retry-After of a request that no server could take: if all
// servers asked for a back-off or are at their limits, the time until the first one is
// available, plus that of the callers refused before because of limits, plus a random
// delay.
func (g *Gateway) retryAfter(j *job) clock.Millis {
	if j.pool == nil {
		return noServerRetryAfter
	}
	now := g.clock.Now()
	after := noServerRetryAfter
	interval := g.permitInterval(j.pool)
	j.pool.withTable(func(t *place.ServerTable) {
		at, limited, ok := t.NextAvailable(now, j.placeReq, nil)
		if !ok {
			return
		}
		if limited {
			at = j.pool.returns.Next(now, at, interval)
		}
		after = at - now + 1 + clock.Millis(rand.Int64N(int64(at-now)/retryJitterDivisor+1))
	})
	return after
}

// drainNotices holds the draining notices that this gateway repeats in its updates,
// and when malformed headers were last logged for each server. It is safe for
// concurrent use.
type drainNotices struct {
	mu       sync.Mutex
	received map[servers.Key]clock.Millis
	logged   map[string]clock.Millis
}

func newDrainNotices() *drainNotices {
	return &drainNotices{received: map[servers.Key]clock.Millis{}, logged: map[string]clock.Millis{}}
}

// add records a draining notice; a repeated one does not extend its lifetime.
func (n *drainNotices) add(now clock.Millis, k servers.Key) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.received[k]; !ok {
		n.received[k] = now
	}
}

// recent returns the servers whose notice is not older than drainNoticeLifetime, and
// drops the others.
func (n *drainNotices) recent(now clock.Millis) []servers.Key {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []servers.Key
	for k, at := range n.received {
		if now-at > drainNoticeLifetime {
			delete(n.received, k)
			continue
		}
		out = append(out, k)
	}
	return out
}

// mayLog reports whether malformed headers of a server may be logged now: none were
// within malformedLogEvery.
func (n *drainNotices) mayLog(now clock.Millis, server string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for s, at := range n.logged {
		if now-at >= malformedLogEvery {
			delete(n.logged, s)
		}
	}
	if _, ok := n.logged[server]; ok {
		return false
	}
	n.logged[server] = now
	return true
}

// markDraining records that a server drains, and reports whether that was not known
// yet.
func (v *fleetView) markDraining(now clock.Millis, k servers.Key) bool {
	v.noticeMu.Lock()
	added := v.notices.MarkDraining(now, k)
	v.noticeMu.Unlock()
	if added {
		v.refresh()
	}
	return added
}

// draining reports whether a server sent a draining notice.
func (v *fleetView) draining(k servers.Key) bool {
	v.noticeMu.Lock()
	defer v.noticeMu.Unlock()
	return v.notices.Draining(k)
}

// drainingServers returns the servers that sent a draining notice, most recently seen
// first.
func (v *fleetView) drainingServers() []servers.Key {
	v.noticeMu.Lock()
	defer v.noticeMu.Unlock()
	return v.notices.DrainingServers()
}

// setBackOff records that a server asked for a back-off of d, and returns when it
// ends.
func (v *fleetView) setBackOff(now clock.Millis, k servers.Key, d clock.Millis) clock.Millis {
	v.noticeMu.Lock()
	defer v.noticeMu.Unlock()
	return v.notices.BackOff(now, k, d)
}

// backOffUntil returns when the back-off of a server ends; 0 or a past time if there
// is none.
func (v *fleetView) backOffUntil(k servers.Key) clock.Millis {
	v.noticeMu.Lock()
	defer v.noticeMu.Unlock()
	return v.notices.BackOffUntil(k)
}

// markUnproved records a notice of which it is not known which start sent it.
func (v *fleetView) markUnproved(id string, u servers.Unproved) {
	v.noticeMu.Lock()
	defer v.noticeMu.Unlock()
	v.notices.MarkUnproved(id, u)
}

// proveNotices returns the starts that sent draining notices, as the list now shows.
func (v *fleetView) proveNotices() []servers.Key {
	asOf, starts := v.startsAsOf(), v.starts()
	v.noticeMu.Lock()
	defer v.noticeMu.Unlock()
	return v.notices.Prove(asOf, starts)
}

// currentStart returns when the current process of a listed server started, in Unix
// milliseconds; 0 if the server is not listed.
func (v *fleetView) currentStart(id string) int64 {
	s, _ := v.current(id)
	return s.Start
}

// current returns the current process of a listed server; ok is false if the server is not listed.
func (v *fleetView) current(id string) (s servers.Server, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	i := slices.IndexFunc(v.list, func(s servers.Server) bool { return s.ID == id })
	if i < 0 {
		return servers.Server{}, false
	}
	return v.list[i], true
}

// sweepNotices drops notices that have expired; v.mu is held.
func (v *fleetView) sweepNotices() {
	v.noticeMu.Lock()
	defer v.noticeMu.Unlock()
	ids := make(map[string]bool, len(v.list))
	for _, s := range v.list {
		ids[s.ID] = true
	}
	isListed := func(id string) bool { return ids[id] }
	v.notices.Sweep(v.clock.Now(), isListed)
	v.warmUps.Sweep(v.clock.Now(), isListed)
	if v.limits.Len() == 0 {
		return
	}
	listed := make(map[servers.Key]bool, len(v.list))
	for _, s := range v.list {
		listed[s.Key()] = true
	}
	v.limits.Sweep(v.clock.Now(), func(k servers.Key) bool { return listed[k] })
}
