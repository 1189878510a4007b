package gateway

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/peer/enginequeue"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/epoch"
	"github.com/damaskport/damaskport/internal/state/servers"
)

const (
	// joinTimeout is how long a gateway that has just started waits for the word of
	// another one when the store may lack what others know.
	joinTimeout = 500 * clock.Millisecond
	// maxWelcomeKeys bounds the servers that leave in a welcome.
	maxWelcomeKeys = 128
)

// joinReply is what a host tells a gateway that has connected.
type joinReply struct {
	Epoch epoch.Epoch `json:"era"`
	// Config is the version in force, and ConfigAt where it stands.
	Config   int64          `json:"config"`
	ConfigAt epoch.Position `json:"configAt"`
	// Settled tells that the host itself knows what others know.
	Settled bool `json:"settled"`
	// Left are servers that said that they leave.
	Left []servers.Key `json:"left,omitempty"`
}

// joinState tells whether a gateway that has started may rely on what the store holds.
// After the store came back from a copy others may know of a newer configuration, in
// which keys are withdrawn and routes are added. It is safe for concurrent use.
type joinState struct {
	mu sync.Mutex
	// read tells that the others' records were read, and apart that one of them is of
	// another era. written is the newest version that they tell.
	read, otherEpoch bool
	publishedVersion int64
	// replied tells that a gateway that knows has told its version, which is newest.
	replied        bool
	repliedVersion int64
}

// members takes in the others' records.
func (n *joinState) members(e epoch.Epoch, others []member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.read = true
	for _, m := range others {
		n.otherEpoch = n.otherEpoch || m.Epoch != e
		n.publishedVersion = max(n.publishedVersion, m.Config)
	}
}

// welcomed takes in the word of another gateway.
func (n *joinState) welcomed(w joinReply) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if w.Settled {
		n.replied, n.repliedVersion = true, max(n.repliedVersion, w.Config)
	}
}

// upToDate reports whether a version of the configuration may be relied on.
func (n *joinState) upToDate(config int64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.read && !n.otherEpoch && config >= n.publishedVersion || n.replied && config >= n.repliedVersion
}

// waitUntilSettled has the gateway serve once it knows what others know, or cannot be told.
func (g *Gateway) waitUntilSettled(ctx context.Context) error {
	var since clock.Millis
	for !g.settled.Load() {
		if g.clock.Sleep(ctx, listPollEvery) != nil {
			return nil
		}
		version, _ := g.config.state()
		if version == 0 {
			continue
		}
		now := g.clock.Now()
		if since == 0 {
			since = now
		}
		// A store that tells no era never comes back from a copy.
		known := !g.store.present().Known() || g.join.upToDate(version)
		if known || now-since >= joinTimeout {
			g.settled.Store(true)
			g.log.WithFields(logrus.Fields{"event": "settled", "version": version, "told": known, "waitedMs": int64(now - since)}).Info()
		}
	}
	<-ctx.Done()
	return nil
}

// joinReply returns what this gateway tells one that has connected.
func (g *Gateway) joinReply() joinReply {
	version, at := g.config.state()
	left := g.fleet.drainingServers()
	return joinReply{
		Epoch: g.store.present(), Config: version, ConfigAt: at, Settled: g.settled.Load(), Left: left[:min(len(left), maxWelcomeKeys)],
	}
}

// welcomed takes in what a host told, and asks it for its configuration if that is
// newer.
func (b *peerTable) welcomed(p *peer, params json.RawMessage) error {
	var w joinReply
	if err := json.Unmarshal(params, &w); err != nil {
		return err
	}
	g := b.g
	g.store.learn(w.Epoch, p.name)
	for _, k := range w.Left {
		g.serverDrains(g.clock.Now(), k, "gateway")
	}
	g.join.welcomed(w)
	if g.config.behind(w.Config, w.ConfigAt) {
		b.mu.Lock()
		defer b.mu.Unlock()
		if p.link != nil {
			p.link.Notify(enginequeue.MethodFetch, struct{}{})
		}
	}
	return nil
}
