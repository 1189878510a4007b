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
)

const (
	// drainNoticeLifetime is how long store readers repeat a draining notice in their
	// updates: long enough for two updates.
	drainNoticeLifetime = 1200 * clock.Millisecond
	// malformedEvery is the shortest interval between two log lines about malformed
	// headers of one server, and malformedBytes the largest part of a header value that
	// they show.
	malformedEvery = 60 * clock.Second
	malformedBytes = 64
	// retryJitterDivisor bounds the random delay that is added to a Retry-After, so that
	// callers do not all come back at once: at most the time until the back-off ends,
	// divided by it.
	retryJitterDivisor = 4
)

// applyNotices applies the notices in an answer of the server e (draining, back-off),
// and logs headers that could not be parsed.
func (g *Gateway) applyNotices(p *pool, e enginequeue.Engine, r Reply) {
	now := g.clock.Now()
	key := servers.Key{ID: e.ID, Start: e.Start}
	g.logMalformed(now, e.ID, r.Malformed)
	if r.BackOffMs > 0 {
		until := g.fleet.setBackOff(now, key, r.BackOffMs)
		p.withTable(func(b *place.ServerTable) { b.Exclude(e.ID, until) })
		g.peers.dropWaiting(e.ID)
		g.metrics.noticed("pause")
		g.log.WithFields(logrus.Fields{"event": "serverPauses", "server": e.ID, "start": e.Start, "pauseMs": int64(r.BackOffMs), "forMs": int64(until - now)}).Info()
	}
	if !r.Draining {
		return
	}
	g.serverDrains(now, key, "answer")
	if r.WrongServer && r.Named != "" && r.Named != e.ID {
		// Another server has this address now, and the notice is about that server.
		g.serverDrains(now, servers.Key{ID: r.Named, Start: g.fleet.currentStart(r.Named)}, "answer")
	}
}

// serverDrains records that a server drains; requests that wait for it choose another
// one. by is the source of the notice: one that this gateway read in an answer is
// forwarded to the other gateways.
func (g *Gateway) serverDrains(now clock.Millis, k servers.Key, by string) {
	if !g.fleet.markDraining(now, k) {
		return
	}
	g.peers.dropWaiting(k.ID)
	g.metrics.noticed("leaving")
	g.log.WithFields(logrus.Fields{"event": "serverLeaves", "server": k.ID, "start": k.Start, "by": by}).Info()
	if by == "answer" {
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
// store epoch, only the draining notices and the epoch are used.
func (g *Gateway) receiveUpdate(from string, data json.RawMessage) error {
	var h storeUpdate
	if err := json.Unmarshal(data, &h); err != nil {
		return err
	}
	for _, k := range h.Leaving {
		g.serverDrains(g.clock.Now(), k, "hint")
	}
	g.store.learn(h.Epoch, from)
	if h.Epoch == g.store.present() {
		g.updates.receive(from, h)
	}
	return nil
}

// logMalformed logs headers of a server that could not be parsed, at most once in
// malformedEvery for each server.
func (g *Gateway) logMalformed(now clock.Millis, server string, all []Malformed) {
	if len(all) == 0 || !g.drainNotices.mayLog(now, server) {
		return
	}
	for _, m := range all {
		g.log.WithFields(logrus.Fields{"event": "headerMalformed", "server": server, "header": m.Name, "value": m.Value[:min(len(m.Value), malformedBytes)]}).Warn("malformed header ignored")
	}
}

// retryAfter returns the Retry-After of a request that no server could take: if all
// servers asked for a back-off, the time until the first one ends plus a random
// delay.
func (g *Gateway) retryAfter(j *job) clock.Millis {
	if j.pool == nil {
		return noServerRetryAfter
	}
	now := g.clock.Now()
	after := noServerRetryAfter
	j.pool.withTable(func(b *place.ServerTable) {
		if at, ok := b.NextAvailable(now); ok {
			after = at - now + 1 + clock.Millis(rand.Int64N(int64(at-now)/retryJitterDivisor+1))
		}
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
func (l *drainNotices) add(now clock.Millis, k servers.Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.received[k]; !ok {
		l.received[k] = now
	}
}

// recent returns the servers whose notice is not older than drainNoticeLifetime, and
// drops the others.
func (l *drainNotices) recent(now clock.Millis) []servers.Key {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []servers.Key
	for k, at := range l.received {
		if now-at > drainNoticeLifetime {
			delete(l.received, k)
			continue
		}
		out = append(out, k)
	}
	return out
}

// mayLog reports whether malformed headers of a server may be logged now: none were
// within malformedEvery.
func (l *drainNotices) mayLog(now clock.Millis, server string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for s, at := range l.logged {
		if now-at >= malformedEvery {
			delete(l.logged, s)
		}
	}
	if _, ok := l.logged[server]; ok {
		return false
	}
	l.logged[server] = now
	return true
}

// markDraining records that a server drains, and reports whether that was not known
// yet.
func (b *fleetView) markDraining(now clock.Millis, k servers.Key) bool {
	b.noticeMu.Lock()
	news := b.notices.MarkDraining(now, k)
	b.noticeMu.Unlock()
	if news {
		b.refresh()
	}
	return news
}

// draining reports whether a server sent a draining notice.
func (b *fleetView) draining(k servers.Key) bool {
	b.noticeMu.Lock()
	defer b.noticeMu.Unlock()
	return b.notices.Draining(k)
}

// drainingServers returns the servers that sent a draining notice, most recently seen
// first.
func (b *fleetView) drainingServers() []servers.Key {
	b.noticeMu.Lock()
	defer b.noticeMu.Unlock()
	return b.notices.DrainingServers()
}

// setBackOff records that a server asked for a back-off of d, and returns when it
// ends.
func (b *fleetView) setBackOff(now clock.Millis, k servers.Key, d clock.Millis) clock.Millis {
	b.noticeMu.Lock()
	defer b.noticeMu.Unlock()
	return b.notices.BackOff(now, k, d)
}

// backOffUntil returns when the back-off of a server ends; 0 or a past time if there
// is none.
func (b *fleetView) backOffUntil(k servers.Key) clock.Millis {
	b.noticeMu.Lock()
	defer b.noticeMu.Unlock()
	return b.notices.BackOffUntil(k)
}

// currentStart returns when the current process of a listed server started, in Unix
// milliseconds; 0 if the server is not listed.
func (b *fleetView) currentStart(id string) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.list {
		if s.ID == id {
			return s.Start
		}
	}
	return 0
}

// sweepNotices drops notices that have expired; b.mu is held.
func (b *fleetView) sweepNotices() {
	b.noticeMu.Lock()
	defer b.noticeMu.Unlock()
	b.notices.Sweep(b.clock.Now(), func(id string) bool {
		return slices.ContainsFunc(b.list, func(s servers.Server) bool { return s.ID == id })
	})
}
