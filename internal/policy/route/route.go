// Package route chooses, in an entry, the sidecars at which a request is started or a
// slot is reserved for it. It is a pure state machine: the time and the source of
// randomness are arguments. A Router is not safe for concurrent use.
//
// A sidecar is called a peer here. Each choice considers a constant number of
// candidate peers and estimates the load of each: the entry's own requests in
// flight, plus the load that others cause according to the peer's last report. The
// weight of a report decays with its age, and the remaining weight goes to the mean
// of the candidates, so that a peer with an old report counts as average instead of
// idle or full. Running requests that the new request may preempt count only in
// part. The load is divided by the slots and multiplied by the straggler factor;
// peers in other zones get a fixed penalty. The peers that were sent the longest
// known prefix of the prompt are preferred while their load is within a bound
// relative to the mean.
package route

import (
	"math"
	"slices"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// Values of Config.Routing.
const (
	Affinity         = "affinity" // by load, prefix and zone, see the package comment
	RoundRobin       = "roundRobin"
	LeastConnections = "leastConnections"
)

const (
	defaultCandidates     = 2
	defaultReportHalfLife = 1 * clock.Second
	defaultPrefixes       = 8192
	defaultZonePenalty    = 0.5
	defaultAffinityLoad   = 1.25
	// stragglerHalfLife is the time after which the penalty of a straggler has halved,
	// unless its time per token is observed again.
	stragglerHalfLife = 10 * clock.Second
	// stragglerRatio is the time per token, relative to the median of the pool, from
	// which a peer is a straggler.
	stragglerRatio    = 1.5
	medianPeriod      = 500 * clock.Millisecond // time between computations of a pool's median
	tokenSampleWeight = 1.0 / 8                 // weight of a new sample in the mean time per token
)

// Config configures a Router. Zero values select defaults.
type Config struct {
	// Zone is the zone of the entry.
	Zone string
	// Routing is Affinity (default), RoundRobin or LeastConnections.
	Routing string
	// Candidates is the maximum number of sidecars at which a request is reserved;
	// default 2.
	Candidates int
	// ReportHalfLifeMs is the age at which the weight of a report has halved; default 1 s.
	ReportHalfLifeMs clock.Millis
	// Prefixes is the maximum number of stored prompt prefixes; default 8192.
	Prefixes int
	// ZonePenalty is the load per slot that is added to peers of other zones; default
	// 0.5.
	ZonePenalty float64
	// MaxAffinityLoadRatio is the load per slot, relative to the mean of the candidates, up to
	// which a peer is preferred for a prefix; default 1.25.
	MaxAffinityLoadRatio float64

	NoStragglers  bool // no penalty for stragglers
	NoReportAging bool // full weight for reports of any age
}

// Peer is the latest report of a sidecar. It must not be modified after it was
// passed to SetPeer.
type Peer struct {
	Name string
	Zone string
	Pool string
	// Slots is the number of requests that its server runs concurrently, and Free the
	// number of free slots.
	Slots int
	Free  int
	// WaitingByTier counts the waiting requests; it is indexed by tier.
	WaitingByTier []int
	// PreemptibleByTier counts the running requests that a higher tier may
	// preempt; it is indexed by tier, and nil if unknown.
	PreemptibleByTier []int
	// TokenMs is the time per output token, in ms, that the sidecar observed; 0 if
	// unknown. The same value as in the previous report is not a new observation.
	TokenMs float64
	// ReportMs is the time of the report on the entry's clock.
	ReportMs clock.Millis
	// Leaving is set if the sidecar is draining; it is then not chosen.
	Leaving bool
}

// Request holds the properties of a request that determine the choice.
type Request struct {
	Pool string
	// Tier is 0 for the highest tier.
	Tier int
	// Prefixes are the digests of the prompt's prefixes, the longest last.
	Prefixes []uint64
	// Exclude holds the names of peers that must not be chosen.
	Exclude []string
}

// Choice is the result of Choose.
type Choice struct {
	// StartAt is the name of the best candidate that is expected to have a free slot;
	// empty if there is none.
	StartAt string
	// Candidates are the names of the peers at which to reserve a slot, the best first;
	// empty if no peer of the pool may be chosen.
	Candidates []string
}

// peer is a sidecar with its latest report and this entry's own observations.
type peer struct {
	Peer
	inFlight int // requests that this entry has in flight at the peer
	// inFlightAtReport is inFlight when the latest report arrived. The reported load
	// includes these requests.
	inFlightAtReport int
	tokenMs          float64      // time per token in ms, from reports and this entry's samples; 0 if unknown
	tokenSampleMs    clock.Millis // time of the latest sample
	poolIndex        int          // index in pool.peers; -1 while the peer drains
	zoneIndex        int          // index in pool.zones
}

// pool holds the peers of one pool that may be chosen.
type pool struct {
	peers    []*peer
	zones    map[string][]*peer // peers by zone
	nextPeer int                // index in peers of the next choice of round robin
	median   float64            // median of peer.tokenMs; 0 if fewer than 3 are known
	medianMs clock.Millis       // time at which median was computed
}

// Router chooses among the sidecars that an entry is connected to.
type Router struct {
	cfg        Config
	peers      map[string]*peer
	pools      map[string]*pool
	prefixes   *prefixLRU
	candidates []candidate // of the current call of Choose; reused
}

// New returns a Router without peers.
func New(cfg Config) *Router {
	if cfg.Candidates <= 0 {
		cfg.Candidates = defaultCandidates
	}
	if cfg.ReportHalfLifeMs <= 0 {
		cfg.ReportHalfLifeMs = defaultReportHalfLife
	}
	if cfg.Prefixes <= 0 {
		cfg.Prefixes = defaultPrefixes
	}
	if cfg.ZonePenalty <= 0 {
		cfg.ZonePenalty = defaultZonePenalty
	}
	if cfg.MaxAffinityLoadRatio <= 0 {
		cfg.MaxAffinityLoadRatio = defaultAffinityLoad
	}
	return &Router{cfg: cfg, peers: map[string]*peer{}, pools: map[string]*pool{}, prefixes: newPrefixes(cfg.Prefixes)}
}

// SetPeer adds a peer, or replaces its report.
func (r *Router) SetPeer(p Peer) {
	p.Slots = max(p.Slots, 1)
	old := r.peers[p.Name]
	if old != nil && (old.Pool != p.Pool || old.Zone != p.Zone || old.Leaving != p.Leaving) {
		r.removeFromPool(old)
	}
	if old == nil {
		old = &peer{poolIndex: -1}
		r.peers[p.Name] = old
	}
	if p.TokenMs > 0 && p.TokenMs != old.TokenMs {
		old.tokenMs, old.tokenSampleMs = p.TokenMs, p.ReportMs
	}
	old.Peer = p
	old.inFlightAtReport = old.inFlight
	if old.poolIndex < 0 && !p.Leaving {
		r.addToPool(old)
	}
}

// RemovePeer removes a peer. Unknown names are ignored.
func (r *Router) RemovePeer(name string) {
	if p := r.peers[name]; p != nil {
		r.removeFromPool(p)
		delete(r.peers, name)
	}
}

// RecordSent records that a request was sent to a peer; prefixes are as in Request.
func (r *Router) RecordSent(name string, prefixes []uint64) {
	if p := r.peers[name]; p != nil {
		p.inFlight++
		r.prefixes.add(name, prefixes)
	}
}

// RecordDone records that a request recorded by RecordSent has ended.
func (r *Router) RecordDone(name string) {
	if p := r.peers[name]; p != nil && p.inFlight > 0 {
		p.inFlight--
	}
}

// ObserveToken records a sample of the time per token of a peer, measured by the entry.
func (r *Router) ObserveToken(now clock.Millis, name string, tokenMs float64) {
	p := r.peers[name]
	if p == nil || tokenMs <= 0 {
		return
	}
	if p.tokenMs == 0 {
		p.tokenMs = tokenMs
	}
	p.tokenMs += (tokenMs - p.tokenMs) * tokenSampleWeight
	p.tokenSampleMs = now
}

// InFlight returns the number of requests that this entry has in flight at a peer.
func (r *Router) InFlight(name string) int {
	if p := r.peers[name]; p != nil {
		return p.inFlight
	}
	return 0
}

// addToPool makes p available for choices.
func (r *Router) addToPool(p *peer) {
	target := r.pools[p.Pool]
	if target == nil {
		target = &pool{zones: map[string][]*peer{}}
		r.pools[p.Pool] = target
	}
	p.poolIndex = len(target.peers)
	target.peers = append(target.peers, p)
	p.zoneIndex = len(target.zones[p.Zone])
	target.zones[p.Zone] = append(target.zones[p.Zone], p)
}

// removeFromPool excludes p from choices, in time independent of the pool's size.
func (r *Router) removeFromPool(p *peer) {
	if p.poolIndex < 0 {
		return
	}
	target := r.pools[p.Pool]
	last := target.peers[len(target.peers)-1]
	target.peers[p.poolIndex], last.poolIndex = last, p.poolIndex
	target.peers = target.peers[:len(target.peers)-1]
	zone := target.zones[p.Zone]
	last = zone[len(zone)-1]
	zone[p.zoneIndex], last.zoneIndex = last, p.zoneIndex
	target.zones[p.Zone] = zone[:len(zone)-1]
	p.poolIndex = -1
}

// othersLoad returns the reported load, in requests, that is not this entry's own:
// the occupied slots and the waiting requests of tier and above.
func (p *peer) othersLoad(tier int) float64 {
	load := p.Slots - p.Free
	for i, n := range p.WaitingByTier {
		if i <= tier {
			load += n
		}
	}
	return float64(max(0, load-p.inFlightAtReport))
}

// preemptibleBy returns the reported number of running requests that a request of
// tier may preempt.
func (p *peer) preemptibleBy(tier int) float64 {
	n := 0
	for i := tier + 1; i < len(p.PreemptibleByTier); i++ {
		n += p.PreemptibleByTier[i]
	}
	return float64(n)
}

// reportWeight returns the weight of a peer's report: 1 when new, halved with each
// Config.ReportHalfLifeMs of age.
func (r *Router) reportWeight(now clock.Millis, p *peer) float64 {
	if r.cfg.NoReportAging {
		return 1
	}
	age := max(now-p.ReportMs, 0)
	return math.Exp2(-float64(age) / float64(r.cfg.ReportHalfLifeMs))
}

// stragglerFactor returns the factor on the load of a peer: for a straggler its time
// per token relative to the median of the pool, otherwise 1. It decays to 1 as the
// latest observation ages, so that a straggler is tried again and can recover.
func (r *Router) stragglerFactor(now clock.Millis, pool *pool, p *peer) float64 {
	if r.cfg.NoStragglers || p.tokenMs == 0 || pool.median == 0 {
		return 1
	}
	ratio := p.tokenMs / pool.median
	if ratio < stragglerRatio {
		return 1
	}
	age := max(now-p.tokenSampleMs, 0)
	return 1 + (ratio-1)*math.Exp2(-float64(age)/float64(stragglerHalfLife))
}

// refreshMedian recomputes the median time per token if it is older than
// medianPeriod.
func (pl *pool) refreshMedian(now clock.Millis) {
	if pl.median != 0 && now-pl.medianMs < medianPeriod {
		return
	}
	pl.medianMs = now
	var times []float64
	for _, p := range pl.peers {
		if p.tokenMs > 0 {
			times = append(times, p.tokenMs)
		}
	}
	if len(times) < 3 {
		pl.median = 0
		return
	}
	slices.Sort(times)
	pl.median = times[(len(times)-1)/2]
}
