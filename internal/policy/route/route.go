// Package route chooses, in an entry, the sidecars at which a request is
// started or reserved. It is a pure state machine: the time and the source of
// randomness are arguments. It is not safe for concurrent use.
//
// A choice reads a constant number of peers. For each it estimates the load:
// the entry's own requests in flight in full, the other load of the last report
// weighted by the report's age, and for the rest the mean of the peers read, so
// that an old report makes a peer average rather than idle or full. Running work
// that the request may preempt counts a part only. The load is divided by the
// slots and multiplied by the straggler factor; peers of other zones carry a
// fixed penalty. The peers that were sent the longest known prefix
// of the request go first as long as their load is within a bound of the mean.
package route

import (
	"math"
	"slices"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// Ways of routing.
const (
	Affinity         = "affinity"
	RoundRobin       = "roundRobin"
	LeastConnections = "leastConnections"
)

const (
	defaultCandidates   = 2
	defaultReportHalf   = 1 * clock.Second
	defaultPrefixes     = 8192
	defaultZonePenalty  = 0.5
	defaultAffinityLoad = 1.25
	stragglerHalf       = 10 * clock.Second
	// stragglerRatio is the time per token against the median from which a peer is a straggler.
	stragglerRatio = 1.5
	medianPeriod   = 500 * clock.Millisecond
	sampleWeight   = 1.0 / 8
)

// Config configures a Router. Zero values take defaults.
type Config struct {
	// Zone is the zone of the entry.
	Zone string
	// Routing is Affinity (also if empty), RoundRobin or LeastConnections.
	Routing string
	// Candidates is the number of sidecars at which a request is reserved.
	Candidates int
	// ReportHalfMs is the age at which a report counts half.
	ReportHalfMs clock.Millis
	// Prefixes bounds the remembered prefixes.
	Prefixes int
	// ZonePenalty is the load, in parts of a server, that another zone costs.
	ZonePenalty float64
	// AffinityLoad bounds the load of a peer chosen by prefix, relative to the mean.
	AffinityLoad float64

	NoStragglers bool
	NoDiscount   bool
}

// Peer is the last report of a sidecar. It is not changed after it was passed.
type Peer struct {
	Name string
	Zone string
	Pool string
	// Slots is the number of requests that its server runs at a time, and Free
	// those of them that were free.
	Slots int
	Free  int
	// WaitingByTier is indexed by tier.
	WaitingByTier []int
	// PreemptibleByTier counts the running requests that a higher tier may
	// preempt; nil if unknown.
	PreemptibleByTier []int
	// TokenMs is the time per output token that the sidecar observed; 0 if
	// unknown. A value that does not change from report to report is no new one.
	TokenMs float64
	// ReportMs is the time of the report on the entry's clock.
	ReportMs clock.Millis
	// Leaving peers take no new work.
	Leaving bool
}

// Request is what a choice depends on.
type Request struct {
	Pool string
	Tier int
	// Prefixes are the digests of the prompt's prefixes, the longest last.
	Prefixes []uint64
	// Exclude names peers that are not to be chosen.
	Exclude []string
}

// Choice is the result of Choose.
type Choice struct {
	// Direct names the first candidate at which a slot is expected to be free;
	// empty if there is none.
	Direct string
	// Candidates are the peers at which to reserve, the best first; empty if
	// the pool has no peer that is not excluded.
	Candidates []string
}

type peer struct {
	Peer
	inFlight int
	// atReport is inFlight when the report arrived: the report contains it.
	atReport int
	tokenMs  float64
	tokenAt  clock.Millis
	poolAt   int // index in pool.peers
	zoneAt   int // index in pool.zones
}

type pool struct {
	peers    []*peer
	zones    map[string][]*peer
	turn     int
	median   float64
	medianAt clock.Millis
}

// Router chooses among the sidecars that an entry is connected to.
type Router struct {
	cfg      Config
	peers    map[string]*peer
	pools    map[string]*pool
	prefixes *prefixes
	scratch  []scored
}

// New returns a Router without peers.
func New(cfg Config) *Router {
	if cfg.Candidates <= 0 {
		cfg.Candidates = defaultCandidates
	}
	if cfg.ReportHalfMs <= 0 {
		cfg.ReportHalfMs = defaultReportHalf
	}
	if cfg.Prefixes <= 0 {
		cfg.Prefixes = defaultPrefixes
	}
	if cfg.ZonePenalty <= 0 {
		cfg.ZonePenalty = defaultZonePenalty
	}
	if cfg.AffinityLoad <= 0 {
		cfg.AffinityLoad = defaultAffinityLoad
	}
	return &Router{cfg: cfg, peers: map[string]*peer{}, pools: map[string]*pool{}, prefixes: newPrefixes(cfg.Prefixes)}
}

// SetPeer adds a peer or takes its new report.
func (r *Router) SetPeer(p Peer) {
	p.Slots = max(p.Slots, 1)
	old := r.peers[p.Name]
	if old != nil && (old.Pool != p.Pool || old.Zone != p.Zone || old.Leaving != p.Leaving) {
		r.unlist(old)
	}
	if old == nil {
		old = &peer{poolAt: -1}
		r.peers[p.Name] = old
	}
	if p.TokenMs > 0 && p.TokenMs != old.TokenMs {
		old.tokenMs, old.tokenAt = p.TokenMs, p.ReportMs
	}
	old.Peer = p
	old.atReport = old.inFlight
	if old.poolAt < 0 && !p.Leaving {
		r.list(old)
	}
}

// RemovePeer forgets a peer.
func (r *Router) RemovePeer(name string) {
	if p := r.peers[name]; p != nil {
		r.unlist(p)
		delete(r.peers, name)
	}
}

// Sent records that a request with these prefixes was handed to a peer.
func (r *Router) Sent(name string, prefixes []uint64) {
	if p := r.peers[name]; p != nil {
		p.inFlight++
		r.prefixes.add(name, prefixes)
	}
}

// Done records that a request that was Sent has ended.
func (r *Router) Done(name string) {
	if p := r.peers[name]; p != nil && p.inFlight > 0 {
		p.inFlight--
	}
}

// ObserveToken records the time per token that the entry saw from a peer.
func (r *Router) ObserveToken(now clock.Millis, name string, tokenMs float64) {
	p := r.peers[name]
	if p == nil || tokenMs <= 0 {
		return
	}
	if p.tokenMs == 0 {
		p.tokenMs = tokenMs
	}
	p.tokenMs += (tokenMs - p.tokenMs) * sampleWeight
	p.tokenAt = now
}

// InFlight returns the requests in flight at a peer.
func (r *Router) InFlight(name string) int {
	if p := r.peers[name]; p != nil {
		return p.inFlight
	}
	return 0
}

func (r *Router) list(p *peer) {
	of := r.pools[p.Pool]
	if of == nil {
		of = &pool{zones: map[string][]*peer{}}
		r.pools[p.Pool] = of
	}
	p.poolAt = len(of.peers)
	of.peers = append(of.peers, p)
	p.zoneAt = len(of.zones[p.Zone])
	of.zones[p.Zone] = append(of.zones[p.Zone], p)
}

func (r *Router) unlist(p *peer) {
	if p.poolAt < 0 {
		return
	}
	of := r.pools[p.Pool]
	last := of.peers[len(of.peers)-1]
	of.peers[p.poolAt], last.poolAt = last, p.poolAt
	of.peers = of.peers[:len(of.peers)-1]
	zone := of.zones[p.Zone]
	last = zone[len(zone)-1]
	zone[p.zoneAt], last.zoneAt = last, p.zoneAt
	of.zones[p.Zone] = zone[:len(zone)-1]
	p.poolAt = -1
}

// othersLoad is the load of the last report that is not this entry's own, as
// far as it is before a request of tier.
func (p *peer) othersLoad(tier int) float64 {
	load := p.Slots - p.Free
	for i, n := range p.WaitingByTier {
		if i <= tier {
			load += n
		}
	}
	return float64(max(0, load-p.atReport))
}

// preemptible is the running work of the last report that a request of tier
// may preempt.
func (p *peer) preemptible(tier int) float64 {
	n := 0
	for i := tier + 1; i < len(p.PreemptibleByTier); i++ {
		n += p.PreemptibleByTier[i]
	}
	return float64(n)
}

// reportWeight is 1 for a fresh report and halves with each ReportHalfMs of age.
func (r *Router) reportWeight(now clock.Millis, p *peer) float64 {
	if r.cfg.NoDiscount {
		return 1
	}
	age := max(now-p.ReportMs, 0)
	return math.Exp2(-float64(age) / float64(r.cfg.ReportHalfMs))
}

// stragglerFactor is 1, or the time per token relative to the median of the
// pool. It returns to 1 as the last observation ages, so that a peer that
// recovered is tried again.
func (r *Router) stragglerFactor(now clock.Millis, of *pool, p *peer) float64 {
	if r.cfg.NoStragglers || p.tokenMs == 0 || of.median == 0 {
		return 1
	}
	ratio := p.tokenMs / of.median
	if ratio < stragglerRatio {
		return 1
	}
	age := max(now-p.tokenAt, 0)
	return 1 + (ratio-1)*math.Exp2(-float64(age)/float64(stragglerHalf))
}

// refreshMedian recomputes the median time per token once per medianPeriod.
func (of *pool) refreshMedian(now clock.Millis) {
	if of.median != 0 && now-of.medianAt < medianPeriod {
		return
	}
	of.medianAt = now
	var times []float64
	for _, p := range of.peers {
		if p.tokenMs > 0 {
			times = append(times, p.tokenMs)
		}
	}
	if len(times) < 3 {
		of.median = 0
		return
	}
	slices.Sort(times)
	of.median = times[(len(times)-1)/2]
}
