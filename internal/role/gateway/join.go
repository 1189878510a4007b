package gateway

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/peer/enginequeue"
	"github.com/damaskport/damaskport/internal/policy/quarantine"
	"github.com/damaskport/damaskport/internal/policy/ratelimit"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/epoch"
	"github.com/damaskport/damaskport/internal/state/evacuation"
	"github.com/damaskport/damaskport/internal/state/servers"
	"github.com/damaskport/damaskport/internal/state/versions"
)

const (
	// joinTimeout is how long a gateway that has just started waits for another one to
	// confirm its configuration, when the store may lack changes that the others know.
	joinTimeout = 500 * clock.Millisecond
	// maxJoinReplyServers bounds the draining servers and the limits in a joinReply.
	maxJoinReplyServers = 128
	// evidenceSenders is the number of gateways that send their evidence to one that joins.
	evidenceSenders = 3
)

// joinReply is the message that a gateway sends to one that has connected to it.
type joinReply struct {
	Epoch epoch.Epoch `json:"era"`
	// Config is the version of the configuration in force, and ConfigAt the position of
	// its record.
	Config   int64          `json:"config"`
	ConfigAt epoch.Position `json:"configAt"`
	// Settled is set once the sender has finished its own join, so that its configuration
	// counts as up to date.
	Settled bool `json:"settled"`
	// Draining are the servers that sent a draining notice.
	Draining []servers.Key `json:"left,omitempty"`
	// IssuesPermits is set if the sender answers requests for permits. Limits are those of
	// the servers for which it has issued some.
	IssuesPermits bool              `json:"issuesPermits,omitempty"`
	Limits        []ratelimit.Limit `json:"limits,omitempty"`
	// Examines is set if the sender can be the examiner of suspected requests. Evidence is
	// what it knows of servers that ended; only some gateways send it.
	Examines bool                 `json:"examines,omitempty"`
	Evidence *quarantine.Evidence `json:"evidence,omitempty"`
	// Zones is what the sender knows of evacuated zones; nil if it knows nothing, or is of an earlier build.
	Zones *evacuation.View `json:"zones,omitempty"`
	// Versions are the software versions that the sender knows, if it has read those of the
	// store; only some gateways send them.
	Versions *versions.Spans `json:"versions,omitempty"`
	// Process is that of the sender, and Recorder what it says of its record of streams.
	Process  string             `json:"process,omitempty"`
	Recorder *versions.Recorder `json:"recorder,omitempty"`
}

// joinState records whether a gateway that has just started can rely on the
// configuration that it read from the store. After the store came back from a backup,
// other gateways may know a newer one, in which keys are withdrawn and routes are
// added. It is safe for concurrent use.
type joinState struct {
	mu sync.Mutex
	// read is set once the member records of the other gateways were read, and
	// otherEpoch if one of them is of another store epoch. publishedVersion is the
	// newest configuration version in these records.
	read, otherEpoch bool
	publishedVersion int64
	// replied is set once a gateway that is settled has sent a joinReply. repliedVersion
	// is the newest configuration version in such replies.
	replied        bool
	repliedVersion int64
}

// applyMembers applies the member records of the other gateways. e is the current store
// epoch.
func (s *joinState) applyMembers(e epoch.Epoch, others []member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.read = true
	for _, m := range others {
		s.otherEpoch = s.otherEpoch || m.Epoch != e
		s.publishedVersion = max(s.publishedVersion, m.Config)
	}
}

// applyReply applies the joinReply of another gateway.
func (s *joinState) applyReply(reply joinReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reply.Settled {
		s.replied, s.repliedVersion = true, max(s.repliedVersion, reply.Config)
	}
}

// upToDate reports whether a configuration version is at least as new as those of the
// other gateways, by their member records or by their replies.
func (s *joinState) upToDate(config int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.read && !s.otherEpoch && config >= s.publishedVersion || s.replied && config >= s.repliedVersion
}

// waitUntilSettled makes the gateway ready once its configuration is known to be up
// to date, or joinTimeout after it has one.
func (g *Gateway) waitUntilSettled(ctx context.Context) error {
	var since clock.Millis
	for !g.settled.Load() {
		if g.clock.Sleep(ctx, startPollInterval) != nil {
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
		// A store that reports no epoch is never restored from a backup, so the
		// configuration read from it needs no confirmation by other gateways.
		confirmed := g.zones.known() && (!g.store.currentEpoch().Known() || g.join.upToDate(version)) && g.suspects.isLoaded()
		if confirmed || now-since >= joinTimeout {
			g.settled.Store(true)
			g.log.WithFields(logrus.Fields{"event": "settled", "version": version, "told": confirmed, "waitedMs": int64(now - since)}).Info()
		}
	}
	<-ctx.Done()
	return nil
}

// joinReply returns the reply to a gateway that has connected.
func (g *Gateway) joinReply() joinReply {
	version, at := g.config.state()
	draining := g.fleet.drainingServers()
	r := joinReply{
		Epoch: g.store.currentEpoch(), Config: version, ConfigAt: at, Settled: g.settled.Load(), Draining: draining[:min(len(draining), maxJoinReplyServers)],
		IssuesPermits: true, Limits: g.permits.limits(maxJoinReplyServers), Examines: true, Zones: g.zones.view(),
		Process: g.processID,
	}
	recorder := g.streams.recorder()
	r.Recorder = &recorder
	if g.peers.ranksAmong(subjectEvidence, evidenceSenders) {
		e, _ := g.suspects.snapshot()
		r.Evidence = &e
		if g.streams.isLoaded() {
			spans, _ := g.streams.spans()
			r.Versions = &spans
		}
	}
	return r
}

// receiveJoinReply handles the joinReply of a peer, and asks for its configuration if
// that is newer.
func (t *peerTable) receiveJoinReply(p *peer, params json.RawMessage) error {
	var reply joinReply
	if err := json.Unmarshal(params, &reply); err != nil {
		return err
	}
	g := t.g
	g.store.learn(reply.Epoch, p.name)
	g.mergeZones(p.name, reply.Zones)
	for _, k := range reply.Draining {
		g.serverDrains(g.clock.Now(), k, "gateway")
	}
	g.learnLimits(reply.Limits, "gateway")
	t.setDuties(p, reply.IssuesPermits, reply.Examines)
	t.setProcess(p, reply.Process)
	if reply.Recorder != nil {
		g.streams.learnRecorder(*reply.Recorder)
	}
	if reply.Evidence != nil {
		g.suspects.merge(*reply.Evidence, false)
		if reply.Settled {
			g.suspects.setLoaded()
		}
	}
	if reply.Versions != nil {
		g.streams.mergeVersions(*reply.Versions, false)
		g.streams.setLoaded()
	}
	g.join.applyReply(reply)
	if g.config.olderThan(reply.Config, reply.ConfigAt) {
		t.mu.Lock()
		defer t.mu.Unlock()
		if p.link != nil {
			p.link.Notify(enginequeue.MethodFetch, struct{}{})
		}
	}
	return nil
}
