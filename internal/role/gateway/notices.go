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
	// drainNoticeLifetime is how long readers tell of a server that said that it leaves:
	// two hints.
	drainNoticeLifetime = 1200 * clock.Millisecond
	// malformedEvery is the least time between two log lines on malformed headers
	// of one server, and malformedBytes the part of a value that they show.
	malformedEvery = 60 * clock.Second
	malformedBytes = 64
	// retryJitterDivisor is the part of a pause by which callers that are told to come
	// back after it are spread.
	retryJitterDivisor = 4
)

// applyNotices takes in what an answer says of the server that gave it.
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
		// Another server has the address: the word is its own.
		g.serverDrains(now, servers.Key{ID: r.Named, Start: g.fleet.currentStart(r.Named)}, "answer")
	}
}

// serverDrains notes that a server leaves. What it said to this gateway itself is told
// to the others.
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

// receiveDraining takes in what another gateway heard of a server, for the hints of
// this one.
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

// receiveUpdate takes in what a reader tells.
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

// logMalformed logs headers that could not be read.
func (g *Gateway) logMalformed(now clock.Millis, server string, all []Malformed) {
	if len(all) == 0 || !g.drainNotices.mayLog(now, server) {
		return
	}
	for _, m := range all {
		g.log.WithFields(logrus.Fields{"event": "headerMalformed", "server": server, "header": m.Name, "value": m.Value[:min(len(m.Value), malformedBytes)]}).Warn("the header counts as absent")
	}
}

// retryAfter returns when a caller may come back whose request no server could
// take: as soon as the first server does, if all want a pause.
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

// drainNotices are the servers that readers are to tell the others of, and what was
// logged of malformed headers. It is safe for concurrent use.
type drainNotices struct {
	mu       sync.Mutex
	received map[servers.Key]clock.Millis
	logged   map[string]clock.Millis
}

func newDrainNotices() *drainNotices {
	return &drainNotices{received: map[servers.Key]clock.Millis{}, logged: map[string]clock.Millis{}}
}

func (l *drainNotices) add(now clock.Millis, k servers.Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.received[k]; !ok {
		l.received[k] = now
	}
}

// recent returns the servers that are to be told of now.
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

// mayLog reports whether malformed headers of a server were not logged lately.
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

// markDraining notes that a server leaves, and reports whether that is new.
func (b *fleetView) markDraining(now clock.Millis, k servers.Key) bool {
	b.noticeMu.Lock()
	news := b.notices.MarkDraining(now, k)
	b.noticeMu.Unlock()
	if news {
		b.refresh()
	}
	return news
}

// draining reports whether a server said that it leaves.
func (b *fleetView) draining(k servers.Key) bool {
	b.noticeMu.Lock()
	defer b.noticeMu.Unlock()
	return b.notices.Draining(k)
}

// drainingServers returns the servers that said that they leave.
func (b *fleetView) drainingServers() []servers.Key {
	b.noticeMu.Lock()
	defer b.noticeMu.Unlock()
	return b.notices.DrainingServers()
}

// setBackOff notes that a server wants nothing for a while, and returns until when.
func (b *fleetView) setBackOff(now clock.Millis, k servers.Key, d clock.Millis) clock.Millis {
	b.noticeMu.Lock()
	defer b.noticeMu.Unlock()
	return b.notices.BackOff(now, k, d)
}

func (b *fleetView) backOffUntil(k servers.Key) clock.Millis {
	b.noticeMu.Lock()
	defer b.noticeMu.Unlock()
	return b.notices.BackOffUntil(k)
}

// currentStart returns the present start of a listed server, or 0.
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

// sweepNotices drops what is over; b.mu is held.
func (b *fleetView) sweepNotices() {
	b.noticeMu.Lock()
	defer b.noticeMu.Unlock()
	b.notices.Sweep(b.clock.Now(), func(id string) bool {
		return slices.ContainsFunc(b.list, func(s servers.Server) bool { return s.ID == id })
	})
}
