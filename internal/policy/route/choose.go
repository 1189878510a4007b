package route

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	// scoreSteps is the number of distinct scores per unit of load, so that peers
	// that differ by an estimate's noise are chosen alike.
	scoreSteps = 32
	// preemptionCost is the load that a preemptible request counts for a higher tier.
	preemptionCost = 0.25
	// affinitySlack is the load, in parts of a server, that a prefix is worth.
	affinitySlack = 0.5
)

// scored is a peer that a choice has read.
type scored struct {
	p      *peer
	load   float64 // in requests
	busy   float64 // load per slot without what may be preempted, slowness included
	score  float64 // busy with the zone's penalty, rounded
	prefix bool
}

// Choose returns where to start or reserve a request.
func (r *Router) Choose(now clock.Millis, q Request, rnd *rand.Rand) Choice {
	of := r.pools[q.Pool]
	if of == nil || len(of.peers) == 0 {
		return Choice{}
	}
	switch r.cfg.Routing {
	case RoundRobin:
		return r.roundRobin(of, q)
	case LeastConnections:
		return r.leastConnections(of, q, rnd)
	}
	of.refreshMedian(now)
	r.scratch = r.scratch[:0]
	r.readPrefix(of, q)
	r.sample(of.zones[r.cfg.Zone], q, r.cfg.Candidates, rnd)
	r.sample(of.peers, q, r.cfg.Candidates, rnd)
	r.score(now, of, q.Tier)
	return r.pick()
}

func excluded(q Request, p *peer) bool {
	return slices.Contains(q.Exclude, p.Name)
}

// readPrefix reads the peers that were sent the longest known prefix of q.
func (r *Router) readPrefix(of *pool, q Request) {
	for i := len(q.Prefixes) - 1; i >= 0; i-- {
		for _, name := range r.prefixes.get(q.Prefixes[i]) {
			p := r.peers[name]
			if p != nil && p.poolAt >= 0 && p.Pool == q.Pool && !excluded(q, p) {
				r.scratch = append(r.scratch, scored{p: p, prefix: true})
			}
		}
		if len(r.scratch) > 0 {
			return
		}
	}
}

// sample reads up to n peers of from that are not read yet.
func (r *Router) sample(from []*peer, q Request, n int, rnd *rand.Rand) {
	if len(from) <= 2*n {
		start := 0
		if len(from) > 0 {
			start = rnd.IntN(len(from))
		}
		for i := range from {
			n -= r.read(from[(start+i)%len(from)], q)
			if n == 0 {
				return
			}
		}
		return
	}
	for tries := 4 * n; n > 0 && tries > 0; tries-- {
		n -= r.read(from[rnd.IntN(len(from))], q)
	}
}

// read adds p and returns 1, or 0 if it was read before or is excluded.
func (r *Router) read(p *peer, q Request) int {
	for _, s := range r.scratch {
		if s.p == p {
			return 0
		}
	}
	if excluded(q, p) {
		return 0
	}
	r.scratch = append(r.scratch, scored{p: p})
	return 1
}

func (r *Router) score(now clock.Millis, of *pool, tier int) {
	weights, mean := 0.0, 0.0
	for _, s := range r.scratch {
		w := r.reportWeight(now, s.p)
		weights += w
		mean += w * s.p.othersLoad(tier) / float64(s.p.Slots)
	}
	if weights > 0 {
		mean /= weights
	}
	for i := range r.scratch {
		s := &r.scratch[i]
		w := r.reportWeight(now, s.p)
		slots := float64(s.p.Slots)
		s.load = float64(s.p.inFlight) + w*s.p.othersLoad(tier) + (1-w)*mean*slots
		room := w * s.p.preemptible(tier) * (1 - preemptionCost)
		s.busy = (math.Max(0, s.load-room) + 1) / slots * r.stragglerFactor(now, of, s.p)
		s.score = math.Round(s.busy * scoreSteps)
		if s.p.Zone != r.cfg.Zone {
			s.score += r.cfg.ZonePenalty * scoreSteps
		}
	}
}

// pick orders what was read and returns the best.
func (r *Router) pick() Choice {
	r.boundAffinity()
	slices.SortStableFunc(r.scratch, func(a, b scored) int {
		if a.prefix != b.prefix {
			if a.prefix {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.score, b.score)
	})
	var out Choice
	for i, s := range r.scratch {
		if i == r.cfg.Candidates {
			break
		}
		out.Candidates = append(out.Candidates, s.p.Name)
		if out.Direct == "" && s.load+1 <= float64(s.p.Slots) {
			out.Direct = s.p.Name
		}
	}
	return out
}

// boundAffinity drops the preference of peers that exceed the bound relative
// to the mean of the peers read.
func (r *Router) boundAffinity() {
	mean := 0.0
	for _, s := range r.scratch {
		mean += s.busy / float64(len(r.scratch))
	}
	for i := range r.scratch {
		s := &r.scratch[i]
		if s.prefix && s.busy > mean*r.cfg.AffinityLoad+affinitySlack {
			s.prefix = false
		}
	}
}

func (r *Router) roundRobin(of *pool, q Request) Choice {
	for range of.peers {
		p := of.peers[of.turn%len(of.peers)]
		of.turn++
		if !excluded(q, p) {
			return Choice{Direct: p.Name, Candidates: []string{p.Name}}
		}
	}
	return Choice{}
}

// leastConnections reads all peers of the pool; ties are broken at random.
func (r *Router) leastConnections(of *pool, q Request, rnd *rand.Rand) Choice {
	var best *peer
	start := rnd.IntN(len(of.peers))
	for i := range of.peers {
		p := of.peers[(start+i)%len(of.peers)]
		if !excluded(q, p) && (best == nil || p.inFlight < best.inFlight) {
			best = p
		}
	}
	if best == nil {
		return Choice{}
	}
	return Choice{Direct: best.Name, Candidates: []string{best.Name}}
}
