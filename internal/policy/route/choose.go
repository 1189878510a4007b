package route

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	// scoreSteps is the number of distinct scores per unit of load. Rounding gives
	// peers the same score if their loads differ only by the noise of the estimate.
	scoreSteps = 32
	// preemptionCost is the load, in requests, that a running request counts if the new
	// request may preempt it; otherwise it counts 1.
	preemptionCost = 0.25
	// prefixLoadAllowance is the load per slot by which a peer with a known prefix
	// may exceed Config.MaxAffinityLoadRatio times the mean and still be preferred.
	prefixLoadAllowance = 0.5
)

// candidate is a peer that is considered for a choice.
type candidate struct {
	peer      *peer
	load      float64 // estimated load in requests
	slotLoad  float64 // load per slot after preemption, times the straggler factor
	score     float64 // slotLoad plus the zone penalty, in rounded scoreSteps; lower is better
	hasPrefix bool    // preferred for the longest known prefix
}

// Choose returns the peers at which to start or reserve a request.
func (r *Router) Choose(now clock.Millis, q Request, rnd *rand.Rand) Choice {
	pool := r.pools[q.Pool]
	if pool == nil || len(pool.peers) == 0 {
		return Choice{}
	}
	switch r.cfg.Routing {
	case RoundRobin:
		return r.roundRobin(pool, q)
	case LeastConnections:
		return r.leastConnections(pool, q, rnd)
	}
	pool.refreshMedian(now)
	r.candidates = r.candidates[:0]
	r.addPrefixPeers(pool, q)
	r.addRandomPeers(pool.zones[r.cfg.Zone], q, r.cfg.Candidates, rnd)
	r.addRandomPeers(pool.peers, q, r.cfg.Candidates, rnd)
	r.score(now, pool, q.Tier)
	return r.rankCandidates()
}

// excluded reports whether q must not be sent to p.
func excluded(q Request, p *peer) bool {
	return slices.Contains(q.Exclude, p.Name)
}

// addPrefixPeers adds the peers that were sent the longest known prefix of q as
// candidates.
func (r *Router) addPrefixPeers(pool *pool, q Request) {
	for i := len(q.Prefixes) - 1; i >= 0; i-- {
		for _, name := range r.prefixes.get(q.Prefixes[i]) {
			p := r.peers[name]
			if p != nil && p.poolIndex >= 0 && p.Pool == q.Pool && !excluded(q, p) {
				r.candidates = append(r.candidates, candidate{peer: p, hasPrefix: true})
			}
		}
		if len(r.candidates) > 0 {
			return
		}
	}
}

// addRandomPeers adds up to n random peers of from that are not candidates yet.
func (r *Router) addRandomPeers(from []*peer, q Request, n int, rnd *rand.Rand) {
	if len(from) <= 2*n {
		start := 0
		if len(from) > 0 {
			start = rnd.IntN(len(from))
		}
		for i := range from {
			n -= r.addCandidate(from[(start+i)%len(from)], q)
			if n == 0 {
				return
			}
		}
		return
	}
	for tries := 4 * n; n > 0 && tries > 0; tries-- {
		n -= r.addCandidate(from[rnd.IntN(len(from))], q)
	}
}

// addCandidate adds p and returns 1, or returns 0 if p is a candidate already or
// excluded.
func (r *Router) addCandidate(p *peer, q Request) int {
	for _, s := range r.candidates {
		if s.peer == p {
			return 0
		}
	}
	if excluded(q, p) {
		return 0
	}
	r.candidates = append(r.candidates, candidate{peer: p})
	return 1
}

// score computes the loads and scores of the candidates for a request of tier.
func (r *Router) score(now clock.Millis, pool *pool, tier int) {
	weights, mean := 0.0, 0.0
	for _, s := range r.candidates {
		w := r.reportWeight(now, s.peer)
		weights += w
		mean += w * s.peer.othersLoad(tier) / float64(s.peer.Slots)
	}
	if weights > 0 {
		mean /= weights
	}
	for i := range r.candidates {
		s := &r.candidates[i]
		w := r.reportWeight(now, s.peer)
		slots := float64(s.peer.Slots)
		s.load = float64(s.peer.inFlight) + w*s.peer.othersLoad(tier) + (1-w)*mean*slots
		room := w * s.peer.preemptibleBy(tier) * (1 - preemptionCost)
		s.slotLoad = (math.Max(0, s.load-room) + 1) / slots * r.stragglerFactor(now, pool, s.peer)
		s.score = math.Round(s.slotLoad * scoreSteps)
		if s.peer.Zone != r.cfg.Zone {
			s.score += r.cfg.ZonePenalty * scoreSteps
		}
	}
}

// rankCandidates sorts the candidates, those with a prefix first, then by score, and
// returns the best Config.Candidates of them.
func (r *Router) rankCandidates() Choice {
	r.boundAffinity()
	slices.SortStableFunc(r.candidates, func(a, b candidate) int {
		if a.hasPrefix != b.hasPrefix {
			if a.hasPrefix {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.score, b.score)
	})
	var out Choice
	for i, s := range r.candidates {
		if i == r.cfg.Candidates {
			break
		}
		out.Candidates = append(out.Candidates, s.peer.Name)
		if out.StartAt == "" && s.load+1 <= float64(s.peer.Slots) {
			out.StartAt = s.peer.Name
		}
	}
	return out
}

// boundAffinity removes the preference for the prefix from candidates whose load per slot
// exceeds the mean of the candidates times Config.MaxAffinityLoadRatio, plus
// prefixLoadAllowance.
func (r *Router) boundAffinity() {
	mean := 0.0
	for _, s := range r.candidates {
		mean += s.slotLoad / float64(len(r.candidates))
	}
	for i := range r.candidates {
		s := &r.candidates[i]
		if s.hasPrefix && s.slotLoad > mean*r.cfg.MaxAffinityLoadRatio+prefixLoadAllowance {
			s.hasPrefix = false
		}
	}
}

// roundRobin returns the next peer of the pool, in a fixed order, that is not excluded.
func (r *Router) roundRobin(pool *pool, q Request) Choice {
	for range pool.peers {
		p := pool.peers[pool.nextPeer%len(pool.peers)]
		pool.nextPeer++
		if !excluded(q, p) {
			return Choice{StartAt: p.Name, Candidates: []string{p.Name}}
		}
	}
	return Choice{}
}

// leastConnections returns the peer of the pool with the fewest of this entry's
// requests in flight, starting at a random peer to spread ties.
func (r *Router) leastConnections(pool *pool, q Request, rnd *rand.Rand) Choice {
	var best *peer
	start := rnd.IntN(len(pool.peers))
	for i := range pool.peers {
		p := pool.peers[(start+i)%len(pool.peers)]
		if !excluded(q, p) && (best == nil || p.inFlight < best.inFlight) {
			best = p
		}
	}
	if best == nil {
		return Choice{}
	}
	return Choice{StartAt: best.Name, Candidates: []string{best.Name}}
}
