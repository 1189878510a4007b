package entry

import (
	"context"

	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// assumedOutputTokens is the assumed number of output tokens of a waiting request.
const assumedOutputTokens = 200

// defaultTokenMs is the time per output token, in ms, assumed of a server that has
// reported none.
const defaultTokenMs = 25.0

// Demand is the demand on a pool by the requests of all entries. It is computed from
// the load reports of the connected sidecars and scaled up to all servers of the
// pool to which this entry is meant to connect.
type Demand struct {
	Zones                 int     // number of zones with a connected sidecar
	ServerTokensPerSecond float64 // mean output rate of a server whose slots are all busy
	TokensPerSecond       float64 // output rate of the running requests
	WaitingTokens         float64 // expected output tokens of the waiting requests
	Attainment            float64 // lowest attainment of the pool's classes, 0 to 1
	// Load is the number of running requests and waiting reservations by server.
	Load map[string]int
}

// Demand returns the demand on a pool, or false if no sidecar of the pool is
// connected.
func (e *Entry) Demand(pool string) (Demand, bool) {
	d := Demand{Load: map[string]int{}, Attainment: 1}
	zones := map[string]bool{}
	running, waiting, slots, tokenMsSum := 0, 0, 0, 0.0
	for _, p := range e.peers.pool(pool) {
		p.mu.Lock()
		n := 0
		for _, w := range p.load.Waiting {
			n += w
		}
		running += p.load.Running
		waiting += n
		slots += p.hello.Slots
		tokenMs := p.load.TokenMs
		if tokenMs <= 0 {
			tokenMs = defaultTokenMs
		}
		tokenMsSum += tokenMs
		d.Load[p.instance.Name] = p.load.Running + n
		zones[p.instance.Zone] = true
		p.mu.Unlock()
	}
	n := len(d.Load)
	if n == 0 {
		return d, false
	}
	perSlot := float64(clock.Second) / (tokenMsSum / float64(n))
	scale := float64(max(e.peers.listedServers(pool), n)) / float64(n)
	d.Zones = len(zones)
	d.ServerTokensPerSecond = perSlot * float64(slots) / float64(n)
	d.TokensPerSecond = scale * perSlot * float64(running)
	// A waiting request has reservations at up to Candidates sidecars and would be
	// counted as often.
	d.WaitingTokens = scale * float64(waiting) / float64(e.cfg.Candidates) * assumedOutputTokens
	d.Attainment = e.attainment(pool)
	return d, true
}

// attainment returns the lowest attainment, 0 to 1, of the classes that may use the
// pool; 1 if there is none.
func (e *Entry) attainment(pool string) float64 {
	lowest := 1.0
	for _, c := range e.store.Current().Classes() {
		for _, name := range c.Pools {
			if name == pool {
				lowest = min(lowest, e.metrics.class(c.Name).attainment())
			}
		}
	}
	return lowest
}

// listedServers returns the number of servers of a pool, from the platform's list of
// instances, to which this entry is meant to connect.
func (ps *peers) listedServers(pool string) int {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	n := 0
	for _, m := range ps.byName {
		if m.peer.instance.Pool == pool {
			n++
		}
	}
	return n
}

// ListedServers returns the number of backend servers in the platform's list of
// instances.
func (e *Entry) ListedServers() int { return int(e.peers.servers.Load()) }

// Drain tells a server's sidecar to refuse new work, and reports whether the sidecar
// is draining and no request is running there. It returns an error if this entry
// does not connect to the server.
func (e *Entry) Drain(_ context.Context, server string) (bool, error) {
	for _, p := range e.peers.all() {
		if p.instance.Name != server {
			continue
		}
		if !p.drained.Swap(true) {
			p.updateRouter()
			p.sendHeartbeatNow()
			e.peers.rebuildPools()
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		idle := p.link != nil && p.leaving && p.load.Running == 0
		return idle, nil
	}
	return false, errors.Errorf("drain server %s: this entry does not connect to it", server)
}
