package gateway

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	// peersEvery is the time between two reads of what gateways publish, and
	// firstPeersEvery that after the start, when all make themselves known.
	peersEvery      = 4 * clock.Second
	firstPeersEvery = 800 * clock.Millisecond
	firstPeerReads  = 5
	// peerWindows is how many usage windows a gateway may miss to publish
	// before it counts as gone.
	peerWindows = 3
)

// seen is what a gateway published last.
type seen struct {
	published
	key  string
	atMs clock.Millis
}

// followPeers learns the other gateways from what they publish.
func (g *Gateway) followPeers(ctx context.Context) error {
	g.board.host(ctx)
	f := &follower{g: g, topic: TopicUsage}
	byName := map[string]seen{}
	for reads := 0; ctx.Err() == nil; {
		told := func(h hint) bool { return h.Gateways != g.gateways.Load() }
		if reads >= firstPeerReads && g.unchanged(ctx, peersEvery, g.clock.Now()-f.readMs, listsUnchecked, told) {
			g.refresh(byName)
			continue
		}
		snap, _, err := f.read(ctx, 0)
		if err != nil {
			f.pause(ctx)
			continue
		}
		reads++
		now := g.clock.Now()
		for _, r := range snap.Records {
			g.seePeer(byName, r, now)
		}
		g.setPeers(ctx, byName)
		every := peersEvery
		if reads < firstPeerReads {
			every = firstPeersEvery
		}
		_ = g.clock.Sleep(ctx, every)
	}
	return nil
}

// refresh notes that a reader knows the same gateways.
func (g *Gateway) refresh(byName map[string]seen) {
	if h, _, ok := g.hints.current(); !ok || h.Gateways != g.gateways.Load() {
		return
	}
	now := g.clock.Now()
	for name, s := range byName {
		s.atMs = now
		byName[name] = s
	}
}

// setPeers takes the gateways that are not gone as the present ones.
func (g *Gateway) setPeers(ctx context.Context, byName map[string]seen) {
	now := g.clock.Now()
	addrs := map[string]string{}
	for name, s := range byName {
		if now-s.atMs > peerWindows*g.usage.windowMs {
			delete(byName, name)
			continue
		}
		addrs[name] = s.Control
	}
	g.live.Store(int32(len(addrs) + 1))
	g.gateways.Store(digest(addrs, g.name, g.Settings().ControlAddr))
	g.board.setPeers(ctx, addrs)
}

// digest returns a number that differs for different sets of gateways: the
// given ones and one more.
func digest(addrs map[string]string, name, addr string) uint64 {
	sum := weight(name, addr)
	for n, a := range addrs {
		sum += weight(n, a)
	}
	return sum
}

func (g *Gateway) seePeer(byName map[string]seen, r Record, now clock.Millis) {
	name, _, ok := strings.Cut(r.Key, "/")
	if !ok || name == g.name || len(r.Value) == 0 {
		return
	}
	s := seen{key: r.Key, atMs: now}
	if err := json.Unmarshal(r.Value, &s.published); err != nil {
		g.log.WithFields(logrus.Fields{"event": "peerUnreadable", "key": r.Key, "offset": r.Offset}).Warn(err)
		return
	}
	if s.Ended {
		if byName[name].key == r.Key {
			delete(byName, name)
		}
		return
	}
	if s.Control != "" {
		byName[name] = s
	}
}
