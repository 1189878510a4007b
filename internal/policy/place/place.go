// Package place chooses the backend server for a request, in an entry that
// connects to servers directly.
//
// It addresses three problems:
//
// Long prompts beside short ones: all requests in an engine's batch share its
// decode steps, so prefilling a long prompt stalls every stream beside it.
// Latency-sensitive requests are therefore sent to the first servers of an order
// that all entries share, as many servers as they need, and others to the rest.
//
// Prompts with a shared prefix: a server does not prefill again the blocks that
// it has cached, and other servers can copy them from there. Each block has an
// affinity server, the same in all entries (by rendezvous hashing), which is used
// until a server is known to have it cached.
//
// Servers that fail, hang or become slow: failures of real requests raise a
// server's cost, and an unreachable server is retried after a back-off.
//
// Costs are in milliseconds until the request's first event. The owner of a
// server's engine queue reports its load; without a report, the load is estimated
// from this entry's own requests. The package is a pure state machine: time and
// randomness are arguments. A ServerTable is not safe for concurrent use.
package place

import (
	"cmp"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/damaskport/damaskport/internal/policy/batch"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	// sensitivePerServer is the number of latency-sensitive requests planned for each
	// server reserved for them: under half of the usual batch, so that bursts
	// fit.
	sensitivePerServer = 20
	// minReservedDivisor is the inverse of the smallest fraction of the servers reserved
	// for latency-sensitive requests: a burst arrives before its load is
	// reported.
	minReservedDivisor = 8
	// maxAllCandidates is the number of servers up to which all are candidates.
	// With more, randomCandidates of them are.
	maxAllCandidates = 12
	randomCandidates = 4
	// crossGroupMs is the cost, in ms, above which a request considers the servers
	// outside its group as well.
	crossGroupMs = 900.0
	// sensitiveRunningMs and runningMs are the costs in ms that one running request
	// adds for a latency-sensitive request and for others: it slows each decode
	// step.
	sensitiveRunningMs = 1.0
	runningMs          = 3.0
	// stallingPrefillMs is the prefill time, in ms, above which a prompt stalls
	// latency-sensitive streams beyond their ITL target: three prefill chunks
	// within one event.
	stallingPrefillMs = 133.0
	// stallMs is the cost, in ms, of stalling one latency-sensitive stream, and
	// mixMs that of a short prompt beside one.
	stallMs       = 1000.0
	shortPromptMs = 2.0
	// queuedMs is the cost, in ms, to a latency-sensitive request of long prompts
	// that are queued at a server.
	queuedMs = 300.0
	// reprefillFactor is the factor on the prefill time of a shared block that is
	// prefilled again: that time is lost for all requests of the server.
	reprefillFactor = 1.5
	// fetchFactor is the factor on the prefill time of a shared block that is
	// copied from another server: copying takes a small fraction of that time.
	fetchFactor = 0.1
	// maxAffinityFailRate is the failure rate above which a server is not used as
	// affinity server or to copy blocks from.
	maxAffinityFailRate = 0.3
	// cacheFraction is the fraction of a server's memory that is assumed to cache
	// shared blocks.
	cacheFraction = 0.5
	// assumedPrefillRate is the prefill rate, in prompt tokens/ms, and
	// assumedMeanRate the mean rate over time, with the duty cycle, that are
	// assumed until reported.
	assumedPrefillRate = 45.0
	assumedMeanRate    = 28.0
	// idleMs is the time until the next grant up to which a server counts as
	// idle; maxMoveMs is the cost, in ms, below which a queued request moves to
	// an idle server.
	idleMs    = 20 * clock.Millisecond
	maxMoveMs = 700.0
	// maxReportAgeMs is how long a queue owner's load report counts: owners report
	// changes only.
	maxReportAgeMs = 10 * clock.Second
	// maxLoadAgeMs is how long a load counts that a server itself reported.
	maxLoadAgeMs = 1500 * clock.Millisecond
	// failWeight and okWeight are the weights of a failure and a success in the
	// moving average of the failure rate.
	failWeight = 0.3
	okWeight   = 0.08
	// failRateHalfLife is the half-life of the failure rate while a server gets no
	// requests: it must be tried again some time.
	failRateHalfLife = 1500 * clock.Millisecond
	// minFailRate is the failure rate below which it counts as 0.
	minFailRate = 0.03
	// failFactor is the factor on the cost of a server whose failure rate is 1.
	failFactor = 40
	// minBackOff and maxBackOff bound the exponential back-off from a server that
	// could not be reached.
	minBackOff = 400 * clock.Millisecond
	maxBackOff = 4 * clock.Second
	// requestTimeWeight is the weight of a new value in the moving average of a server's
	// time per request.
	requestTimeWeight = 0.15
	// zoneMs is the cost of another availability zone, in milliseconds.
	zoneMs = 1.5
	// engineZoneMs and engineZoneTokenMs are the costs of another zone for model
	// engines, in ms per request and per prompt token: traffic between zones is
	// charged for.
	engineZoneMs      = 15.0
	engineZoneTokenMs = 0.008
	// assumedRequestMs is the time per request assumed for a new server that is not
	// a model engine.
	assumedRequestMs = 30
)

// Block is a block of a prompt that requests may share.
type Block struct {
	ID     string
	Tokens int
}

// Request holds the properties of a request that a choice depends on.
type Request struct {
	Engine bool
	// LatencySensitive requests are latency-sensitive: the ITL target of their route is
	// among the shortest of the pool.
	LatencySensitive bool
	// Urgent requests have a priority above the lowest of the pool.
	Urgent bool
	Prompt int // tokens
	// Blocks are the blocks of the prompt in order; the last is the request's own.
	Blocks []Block
}

// Server is a server that may receive requests.
type Server struct {
	ID    string
	Start int64
	Zone  string
	Slots int
	// CacheTokens is the memory for prompts, in tokens.
	CacheTokens int
}

// Outcomes of sends.
const (
	// OutcomeOK is a complete answer.
	OutcomeOK Outcome = iota
	// OutcomeFull is a rejection for lack of capacity.
	OutcomeFull
	// OutcomeFailed is an answer that reports or shows a failure.
	OutcomeFailed
	// OutcomeUnreachable is a server that could not be reached or stopped
	// responding.
	OutcomeUnreachable
	// OutcomeAbandoned is a request that the caller abandoned.
	OutcomeAbandoned
)

// serverState is what an entry knows of one server.
type serverState struct {
	Server
	rank     uint32
	inFlight int
	// uncachedTokens is the number of uncached prompt tokens sent whose first event has
	// not arrived.
	uncachedTokens int
	// uncachedSinceReport is the number of uncached prompt tokens that this entry sent after
	// the last load report; tight is the number of its latency-sensitive requests
	// in flight.
	uncachedSinceReport int
	sensitiveInFlight   int
	reportedMs          clock.Millis
	reported            batch.Load
	cache               *cache
	failRate            float64
	failRateMs          clock.Millis
	backOff             clock.Millis
	backOffUntilMs      clock.Millis
	// closedUntilMs is the end of the back-off that the server asked for.
	closedUntilMs  clock.Millis
	requestMs      float64 // mean time per request, if not a model engine
	serverLoadMs   clock.Millis
	running        int
	waiting        int
	inFlightAtLoad int // this entry's requests in flight when the server reported its load
}

// ServerTable is the server table of one pool: what an entry knows of each server.
type ServerTable struct {
	zone    string
	servers map[string]*serverState
	// ranked are the servers in an order that all entries share (by hash of the
	// ID).
	ranked []*serverState
}

// NewServerTable returns an empty ServerTable for an entry in the given zone.
func NewServerTable(zone string) *ServerTable {
	return &ServerTable{zone: zone, servers: map[string]*serverState{}}
}

// Exclude excludes a server until a time, as it asked for. A server that restarts
// is included again.
func (b *ServerTable) Exclude(id string, until clock.Millis) {
	if s := b.servers[id]; s != nil {
		s.closedUntilMs = max(s.closedUntilMs, until)
	}
}

// Excluded reports whether a server is excluded by Exclude at now.
func (b *ServerTable) Excluded(now clock.Millis, id string) bool {
	s := b.servers[id]
	return s != nil && now < s.closedUntilMs
}

// NextAvailable returns when the first excluded server may receive requests again; ok is
// false if one may already, or there is no server.
func (b *ServerTable) NextAvailable(now clock.Millis) (at clock.Millis, ok bool) {
	for _, s := range b.ranked {
		if now >= s.closedUntilMs {
			return 0, false
		}
		if !ok || s.closedUntilMs < at {
			at, ok = s.closedUntilMs, true
		}
	}
	return at, ok
}

// SetServers sets the servers that may receive requests. State is kept for a
// server with the same start; one that has restarted has an empty cache.
func (b *ServerTable) SetServers(list []Server) {
	next := make(map[string]*serverState, len(list))
	b.ranked = b.ranked[:0]
	for _, s := range list {
		st, ok := b.servers[s.ID]
		if !ok || st.Start != s.Start {
			st = &serverState{rank: rendezvousHash("", s.ID), requestMs: assumedRequestMs, cache: newCache(int(float64(s.CacheTokens) * cacheFraction))}
		}
		st.Server = s
		next[s.ID] = st
		b.ranked = append(b.ranked, st)
	}
	b.servers = next
	slices.SortFunc(b.ranked, func(x, y *serverState) int { return cmp.Compare(x.rank, y.rank) })
}

// rendezvousHash returns a hash of a and b, equal in all entries.
func rendezvousHash(a, b string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(a))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(b))
	// The last bytes hardly reach the high bits of FNV without a final mix.
	x := h.Sum32()
	x ^= x >> 16
	x *= 0x85ebca6b
	x ^= x >> 13
	x *= 0xc2b2ae35
	return x ^ x>>16
}

// Choice is a chosen server.
type Choice struct {
	ID string
	// UncachedTokens is the number of prompt tokens that the server is expected to
	// prefill.
	UncachedTokens int
	// CopyFrom is the server from whose memory shared blocks are to be copied;
	// empty for none.
	CopyFrom string
	// Cost is the estimated cost of the server, in milliseconds.
	Cost float64
	// LoadAgeMs is the age of the load that the server's queue owner reported; -1
	// without a report.
	LoadAgeMs clock.Millis
}

// Choose returns the candidate server with the least cost; ok is false if all
// servers are excluded. Of many servers only a few random ones are candidates:
// all entries see the same load with some delay, and would otherwise all choose
// the same server.
func (b *ServerTable) Choose(now clock.Millis, r Request, exclude []string, rnd *rand.Rand) (c Choice, ok bool) {
	if !r.Engine {
		return b.cheapest(now, r, b.ranked, exclude, rnd)
	}
	reserved := b.reservedServers(now)
	group := b.ranked[reserved:]
	if r.LatencySensitive || len(group) == 0 {
		group = b.ranked[:reserved]
	}
	c, ok = b.cheapest(now, r, b.candidates(group, r, rnd), exclude, rnd)
	if !ok || c.Cost > crossGroupMs {
		if other, found := b.cheapest(now, r, b.ranked, exclude, rnd); found && (!ok || other.Cost < c.Cost) {
			return other, true
		}
	}
	return c, ok
}

// reservedServers returns how many servers, from the start of the ranking, are reserved for
// latency-sensitive requests, by the present number of these.
func (b *ServerTable) reservedServers(now clock.Millis) int {
	tight := 0
	for _, s := range b.ranked {
		tight += s.load(now).LatencySensitive
	}
	n := len(b.ranked)
	return min(max(tight/sensitivePerServer+1, (n+minReservedDivisor-1)/minReservedDivisor), n-n/2)
}

// candidates returns the servers of lane to compare by cost: all if they are few,
// else random ones, the affinity server of the shared blocks and one that has
// them cached.
func (b *ServerTable) candidates(lane []*serverState, r Request, rnd *rand.Rand) []*serverState {
	if len(lane) <= maxAllCandidates {
		return lane
	}
	out := make([]*serverState, 0, randomCandidates+2)
	for range randomCandidates {
		out = append(out, lane[rnd.IntN(len(lane))])
	}
	if home := b.affinityServer(r); home != nil {
		out = append(out, home)
	}
	if all := sharedTokens(r.Blocks); all > 0 {
		at := rnd.IntN(len(lane))
		for i := range lane {
			if s := lane[(at+i)%len(lane)]; s.cache.cachedPrefix(r.Blocks) >= all {
				return append(out, s)
			}
		}
	}
	return out
}

// cheapest returns the server of list with the least cost.
func (b *ServerTable) cheapest(now clock.Millis, r Request, list []*serverState, exclude []string, rnd *rand.Rand) (c Choice, ok bool) {
	best := math.Inf(1)
	home := b.affinityServer(r)
	if home != nil && (now < max(home.backOffUntilMs, home.closedUntilMs) || home.currentFailRate(now) > maxAffinityFailRate) {
		home = nil
	}
	holder := b.cachingServer(now, r)
	for _, s := range list {
		if now < s.closedUntilMs || slices.Contains(exclude, s.ID) {
			continue
		}
		var cost float64
		unread, fetch := 0, ""
		if r.Engine {
			cost, unread, fetch = b.engineCost(now, s, r, home, holder)
		} else {
			cost = b.serviceCost(now, s)
		}
		cost *= 1 + s.currentFailRate(now)*failFactor
		if now < s.backOffUntilMs {
			cost = cost*10 + 1e6
		}
		// Random noise spreads requests evenly over servers of equal cost.
		cost *= 1 + rnd.Float64()*0.02
		if cost < best {
			best, ok = cost, true
			c = Choice{ID: s.ID, UncachedTokens: unread, CopyFrom: fetch, Cost: cost, LoadAgeMs: s.reportAge(now)}
		}
	}
	return c, ok
}

// ShouldMove reports whether r, queued at the server of c, should move: another server
// could start it now at a cost below maxMoveMs.
func (b *ServerTable) ShouldMove(now clock.Millis, r Request, c Choice, exclude []string) bool {
	for _, s := range b.ranked {
		if s.ID == c.ID || now < s.backOffUntilMs || now < s.closedUntilMs || s.currentFailRate(now) > maxAffinityFailRate || slices.Contains(exclude, s.ID) {
			continue
		}
		l := s.load(now)
		if l.Waiting > 0 || l.FreeMs > idleMs {
			continue
		}
		if cost, _, _ := b.engineCost(now, s, r, b.affinityServer(r), b.cachingServer(now, r)); cost < maxMoveMs {
			return true
		}
	}
	return false
}

// affinityServer returns the affinity server of the last shared block, by rendezvous
// hashing; nil without shared blocks. Those of latency-sensitive requests lie in
// the first third of the ranking, others in the rest.
func (b *ServerTable) affinityServer(r Request) *serverState {
	if len(r.Blocks) < 2 || len(b.ranked) == 0 {
		return nil
	}
	part := r.Blocks[len(r.Blocks)-2].ID
	third := (len(b.ranked) + 2) / 3
	among := b.ranked[min(third, len(b.ranked)-1):]
	if r.LatencySensitive {
		among = b.ranked[:third]
	}
	var best *serverState
	var top uint32
	for _, s := range among {
		if w := rendezvousHash(part, s.ID); best == nil || w > top {
			best, top = s, w
		}
	}
	return best
}

// cachingServer returns the server that last used the last shared block of the prompt,
// among the reachable servers known to have it cached; nil if there is none. The
// latest is chosen since engines evict the least recently used blocks.
func (b *ServerTable) cachingServer(now clock.Millis, r Request) *serverState {
	all := sharedTokens(r.Blocks)
	if all == 0 {
		return nil
	}
	var best *serverState
	var latest clock.Millis
	part := r.Blocks[len(r.Blocks)-2].ID
	for _, s := range b.ranked {
		at, ok := s.cache.usedMs(part)
		if ok && now >= max(s.backOffUntilMs, s.closedUntilMs) && s.currentFailRate(now) < maxAffinityFailRate && (best == nil || at > latest) {
			best, latest = s, at
		}
	}
	return best
}
