package entry

import (
	"context"

	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// meanTokens is the output expected of a waiting request.
const meanTokens = 200

// usualTokenMs is the time per token of a server that has reported none.
const usualTokenMs = 25.0

// Demand is the demand on a pool as the connected sidecars report it, which
// know the requests of all entries, scaled up to the servers in the list.
type Demand struct {
	Zones                 int
	ServerTokensPerSecond float64
	TokensPerSecond       float64
	WaitingTokens         float64
	Attainment            float64
	// Load is the number of running and waiting requests by server.
	Load map[string]int
}

// Demand returns the demand on a pool. It is false when no sidecar of the pool
// is connected.
func (e *Entry) Demand(pool string) (Demand, bool) {
	d := Demand{Load: map[string]int{}, Attainment: 1}
	zones := map[string]bool{}
	running, waiting, slots, paceSum := 0, 0, 0, 0.0
	for _, p := range e.peers.pool(pool) {
		p.mu.Lock()
		n := 0
		for _, w := range p.load.Waiting {
			n += w
		}
		running += p.load.Running
		waiting += n
		slots += p.hello.Slots
		pace := p.load.TokenMs
		if pace <= 0 {
			pace = usualTokenMs
		}
		paceSum += pace
		d.Load[p.instance.Name] = p.load.Running + n
		zones[p.instance.Zone] = true
		p.mu.Unlock()
	}
	n := len(d.Load)
	if n == 0 {
		return d, false
	}
	perSlot := float64(clock.Second) / (paceSum / float64(n))
	scale := float64(max(e.peers.listed(pool), n)) / float64(n)
	d.Zones = len(zones)
	d.ServerTokensPerSecond = perSlot * float64(slots) / float64(n)
	d.TokensPerSecond = scale * perSlot * float64(running)
	// Each waiting request holds a reservation at several sidecars.
	d.WaitingTokens = scale * float64(waiting) / float64(e.cfg.Candidates) * meanTokens
	d.Attainment = e.attainment(pool)
	return d, true
}

// attainment returns the lowest attainment of the classes that use the pool.
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

// listed returns the number of a pool's servers in the platform's list to
// which the entry is to be connected.
func (ps *peers) listed(pool string) int {
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

// ListedServers returns the number of backend servers in the platform's list.
func (e *Entry) ListedServers() int { return int(e.peers.servers.Load()) }

// Drain has a server take no new work, and reports whether it has none left.
// It is an error when this entry keeps no connection to the server.
func (e *Entry) Drain(_ context.Context, server string) (bool, error) {
	for _, p := range e.peers.all() {
		if p.instance.Name != server {
			continue
		}
		if !p.drained.Swap(true) {
			p.report()
			p.beatNow()
			e.peers.changed()
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		idle := p.link != nil && p.leaving && p.load.Running == 0
		return idle, nil
	}
	return false, errors.Errorf("no connection is kept to %s", server)
}
