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
	// leavingTold is how long readers tell of a server that said that it leaves:
	// two hints.
	leavingTold = 1200 * clock.Millisecond
	// malformedEvery is the least time between two log lines on malformed headers
	// of one server, and malformedBytes the part of a value that they show.
	malformedEvery = 60 * clock.Second
	malformedBytes = 64
	// spreadPart is the part of a pause by which callers that are told to come
	// back after it are spread.
	spreadPart = 4
)

// heard takes in what an answer says of the server that gave it.
func (g *Gateway) heard(p *pool, e enginequeue.Engine, r Reply) {
	now := g.clock.Now()
	key := servers.Key{ID: e.ID, Start: e.Start}
	g.malformed(now, e.ID, r.Malformed)
	if r.BackOffMs > 0 {
		until := g.belief.pause(now, key, r.BackOffMs)
		p.with(func(b *place.ServerTable) { b.Exclude(e.ID, until) })
		g.board.leave(e.ID)
		g.metrics.noticed("pause")
		g.log.WithFields(logrus.Fields{"event": "serverPauses", "server": e.ID, "start": e.Start, "pauseMs": int64(r.BackOffMs), "forMs": int64(until - now)}).Info()
	}
	if !r.Draining {
		return
	}
	g.serverLeaves(now, key, "answer")
	if r.WrongServer && r.Named != "" && r.Named != e.ID {
		// Another server has the address: the word is its own.
		g.serverLeaves(now, servers.Key{ID: r.Named, Start: g.belief.start(r.Named)}, "answer")
	}
}

// serverLeaves notes that a server leaves. What it said to this gateway itself is told
// to the others.
func (g *Gateway) serverLeaves(now clock.Millis, k servers.Key, by string) {
	if !g.belief.leave(now, k) {
		return
	}
	g.board.leave(k.ID)
	g.metrics.noticed("leaving")
	g.log.WithFields(logrus.Fields{"event": "serverLeaves", "server": k.ID, "start": k.Start, "by": by}).Info()
	if by == "answer" {
		g.leavers.add(now, k)
		g.board.tellReaders(k)
	}
}

// takeLeaving takes in what another gateway heard of a server, for the hints of
// this one.
func (g *Gateway) takeLeaving(_ string, data json.RawMessage) error {
	var k servers.Key
	if err := json.Unmarshal(data, &k); err != nil {
		return err
	}
	now := g.clock.Now()
	g.leavers.add(now, k)
	g.serverLeaves(now, k, "gateway")
	return nil
}

// takeHint takes in what a reader tells.
func (g *Gateway) takeHint(from string, data json.RawMessage) error {
	var h hint
	if err := json.Unmarshal(data, &h); err != nil {
		return err
	}
	for _, k := range h.Leaving {
		g.serverLeaves(g.clock.Now(), k, "hint")
	}
	g.store.learn(h.Era, from)
	if h.Era == g.store.present() {
		g.hints.take(from, h)
	}
	return nil
}

// malformed logs headers that could not be read.
func (g *Gateway) malformed(now clock.Millis, server string, all []Malformed) {
	if len(all) == 0 || !g.leavers.mayLog(now, server) {
		return
	}
	for _, m := range all {
		g.log.WithFields(logrus.Fields{"event": "headerMalformed", "server": server, "header": m.Name, "value": m.Value[:min(len(m.Value), malformedBytes)]}).Warn("the header counts as absent")
	}
}

// comeBack returns when a caller may come back whose request no server could
// take: as soon as the first server does, if all want a pause.
func (g *Gateway) comeBack(j *job) clock.Millis {
	if j.pool == nil {
		return busyWait
	}
	now := g.clock.Now()
	after := busyWait
	j.pool.with(func(b *place.ServerTable) {
		if at, ok := b.NextAvailable(now); ok {
			after = at - now + 1 + clock.Millis(rand.Int64N(int64(at-now)/spreadPart+1))
		}
	})
	return after
}

// leavers are the servers that readers are to tell the others of, and what was
// logged of malformed headers. It is safe for concurrent use.
type leavers struct {
	mu     sync.Mutex
	said   map[servers.Key]clock.Millis
	logged map[string]clock.Millis
}

func newLeavers() *leavers {
	return &leavers{said: map[servers.Key]clock.Millis{}, logged: map[string]clock.Millis{}}
}

func (l *leavers) add(now clock.Millis, k servers.Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.said[k]; !ok {
		l.said[k] = now
	}
}

// recent returns the servers that are to be told of now.
func (l *leavers) recent(now clock.Millis) []servers.Key {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []servers.Key
	for k, at := range l.said {
		if now-at > leavingTold {
			delete(l.said, k)
			continue
		}
		out = append(out, k)
	}
	return out
}

// mayLog reports whether malformed headers of a server were not logged lately.
func (l *leavers) mayLog(now clock.Millis, server string) bool {
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

// leave notes that a server leaves, and reports whether that is new.
func (b *belief) leave(now clock.Millis, k servers.Key) bool {
	b.noticeMu.Lock()
	news := b.notices.MarkDraining(now, k)
	b.noticeMu.Unlock()
	if news {
		b.refresh()
	}
	return news
}

// left reports whether a server said that it leaves.
func (b *belief) left(k servers.Key) bool {
	b.noticeMu.Lock()
	defer b.noticeMu.Unlock()
	return b.notices.Draining(k)
}

// leavers returns the servers that said that they leave.
func (b *belief) leavers() []servers.Key {
	b.noticeMu.Lock()
	defer b.noticeMu.Unlock()
	return b.notices.DrainingServers()
}

// pause notes that a server wants nothing for a while, and returns until when.
func (b *belief) pause(now clock.Millis, k servers.Key, d clock.Millis) clock.Millis {
	b.noticeMu.Lock()
	defer b.noticeMu.Unlock()
	return b.notices.BackOff(now, k, d)
}

func (b *belief) pausedUntil(k servers.Key) clock.Millis {
	b.noticeMu.Lock()
	defer b.noticeMu.Unlock()
	return b.notices.BackOffUntil(k)
}

// start returns the present start of a listed server, or 0.
func (b *belief) start(id string) int64 {
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
func (b *belief) sweepNotices() {
	b.noticeMu.Lock()
	defer b.noticeMu.Unlock()
	b.notices.Sweep(b.clock.Now(), func(id string) bool {
		return slices.ContainsFunc(b.list, func(s servers.Server) bool { return s.ID == id })
	})
}
