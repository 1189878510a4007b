// Package place chooses the backend server for a request, in an entry that
// connects to servers directly.
//
// It addresses three problems:
//
// Long prompts beside short ones: all requests in an engine's batch share its
// decode steps, so prefilling a long prompt stalls every stream beside it.
// All entries use the same ranking of the servers, by a hash of the server's ID.
// The first servers of this ranking, as many as needed, are reserved for
// latency-sensitive requests; other requests are sent to the rest.
//
// Prompts with a shared prefix: a prompt is divided into blocks. A server does not
// prefill again the blocks that it has cached, and other servers can copy them
// from there. Each block has an affinity server, the same in all entries (by
// rendezvous hashing), to which requests are sent until a server is known to have
// the block cached.
//
// Servers that fail, hang or become slow: failures of callers' requests raise
// a server's cost, and an unreachable server is retried after a back-off.
//
// Costs are estimates, in milliseconds, of the time until the first streamed event
// of the answer. A model engine's queue is run by one entry, the queue owner,
// which reports the engine's load to the others; without a report, the load is
// estimated from this entry's own requests. The package is a pure state machine:
// time and randomness are arguments. A ServerTable is not safe for concurrent use.
package place

import (
	"cmp"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/damaskport/damaskport/internal/policy/batch"
	"github.com/damaskport/damaskport/internal/policy/pace"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	// sensitivePerServer is the number of latency-sensitive requests planned for each
	// server reserved for them: less than half of the number of requests that an
	// engine usually runs at once, so that bursts fit.
	sensitivePerServer = 20
	// At least 1/minReservedDivisor of the servers is reserved for latency-sensitive
	// requests, even if few are running: a burst arrives before its load is
	// reported.
	minReservedDivisor = 8
	// maxAllCandidates is the number of servers up to which all are candidates.
	// Of more servers, randomCandidates are chosen at random.
	maxAllCandidates = 12
	randomCandidates = 4
	// crossGroupMs is the cost, in ms, above which the servers of the other group are
	// considered as well. The two groups are the servers reserved for
	// latency-sensitive requests and the rest.
	crossGroupMs = 900.0
	// sensitiveRunningMs and runningMs are the costs, in ms, that each request running
	// at a server adds for a new latency-sensitive request and for any other new
	// request: each running request slows every decode step.
	sensitiveRunningMs = 1.0
	runningMs          = 3.0
	// stallingPrefillMs is the prefill time, in ms, above which a prompt delays the
	// events of latency-sensitive streams beyond their target for the inter-token
	// latency (ITL): about three prefill chunks between two events.
	stallingPrefillMs = 133.0
	// stallMs is the cost, in ms, for each latency-sensitive stream that a long prompt
	// stalls (see stallingPrefillMs); shortPromptMs is the cost, in ms, for each such
	// stream beside a shorter prompt.
	stallMs       = 1000.0
	shortPromptMs = 2.0
	// queuedPromptsMs is the cost, in ms, that is added for a latency-sensitive request if
	// any prompts are queued at the server.
	queuedPromptsMs = 300.0
	// reprefillFactor times the prefill time of a shared block is added to the cost if
	// the block is prefilled again: that time is lost for all requests of the
	// server.
	reprefillFactor = 1.5
	// copyFactor times the prefill time of a shared block is added to the cost if the
	// block is copied from another server: copying takes a small fraction of the
	// prefill time.
	copyFactor = 0.1
	// maxAffinityFailRate is the failure rate, 0 to 1, above which a server is not used
	// as affinity server or to copy blocks from, and no queued request moves to it.
	maxAffinityFailRate = 0.3
	// cacheFraction is the fraction of a server's memory that is assumed to cache
	// shared blocks.
	cacheFraction = 0.5
	// assumedPrefillRate and assumedMeanRate are assumed until the queue owner reports
	// the rates, both in prompt tokens/ms: the rate while the engine prefills, and
	// the mean rate over time, as prefill is limited to a fraction of the time.
	assumedPrefillRate = 45.0
	assumedMeanRate    = 28.0
	// A server whose queue grants the next request within maxIdleWaitMs counts as idle. A
	// request that is queued elsewhere moves to an idle server if its cost there, in
	// ms, is below maxMoveMs.
	maxIdleWaitMs = 20 * clock.Millisecond
	maxMoveMs     = 700.0
	// maxReportAgeMs is the age from which a queue owner's load report is not used:
	// large, since owners report only changes.
	maxReportAgeMs = 10 * clock.Second
	// maxLoadAgeMs is the age from which a load that a server itself reported is not
	// used.
	maxLoadAgeMs = 1500 * clock.Millisecond
	// failWeight and successWeight are the weights of a failure and of a success in the
	// exponential moving average of the failure rate.
	failWeight    = 0.3
	successWeight = 0.08
	// failRateHalfLife is the half-life with which a failure rate decays over time, so
	// that a server that gets no requests because of its failures is tried again.
	failRateHalfLife = 1500 * clock.Millisecond
	// A decayed failure rate below minFailRate counts as 0.
	minFailRate = 0.03
	// The cost of a server is multiplied by 1 + failFactor times its failure rate.
	failFactor = 40
	// pacedSampleAge is the age from which the time per request of a server with a limit
	// does not count if it is longer than that of other servers: the server is to be tried
	// again, as nothing but its answers tells that its need is over.
	pacedSampleAge = clock.Second
	// minBackOff and maxBackOff bound the exponential back-off from a server that
	// could not be reached.
	minBackOff = 400 * clock.Millisecond
	maxBackOff = 4 * clock.Second
	// requestTimeWeight is the weight of a new value in the moving average of a server's
	// time per request.
	requestTimeWeight = 0.15
	// requestTimeResolutionMs is the smallest significant difference between times per request.
	// sampleHalfLife is the half-life of a server's excess time per request without new samples.
	requestTimeResolutionMs = 1
	sampleHalfLife          = 2 * clock.Second
	// crossZoneCostMs is the cost, in ms per request, that is added for a server in another
	// availability zone than the entry.
	crossZoneCostMs = 1.5
	// engineCrossZoneMs and engineCrossZoneTokenMs are the costs that are added for a model
	// engine in another availability zone, in ms per request and in ms per prompt
	// token: traffic between zones is charged for.
	engineCrossZoneMs      = 15.0
	engineCrossZoneTokenMs = 0.008
	// assumedRequestMs is the time per request assumed for a new server that is not
	// a model engine.
	assumedRequestMs = 30
)

// Block is one of the consecutive blocks of a prompt. Requests whose prompts start
// with the same blocks share the cache of these.
type Block struct {
	ID     string
	Tokens int
}

// Request holds the properties of a request that a choice depends on.
type Request struct {
	// Engine is set if the servers of the pool are model engines.
	Engine bool
	// LatencySensitive is set if the ITL target of the request's route is at most
	// ITLBound of its pool.
	LatencySensitive bool
	// Urgent is set if the request's priority is above the lowest of the pool.
	Urgent bool
	// Zones are the zones whose servers may run the request; nil for all.
	Zones  map[string]bool
	Prompt int // prompt length in tokens
	// AnswerEvents is the expected length of the answer in events and DeadlineMs when it must be
	// complete; 0 if unknown.
	AnswerEvents int
	DeadlineMs   clock.Millis
	// Blocks are the blocks of the prompt in order; the last one is not shared with
	// other requests.
	Blocks []Block
}

// Server is a backend server that may receive requests.
type Server struct {
	ID string
	// Start identifies the run of the server process: it changes with each restart.
	Start int64
	Zone  string
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// CacheTokens is the server's memory for prompts and answers, in tokens.
	CacheTokens int
}

// Outcomes of sends.
const (
	// OutcomeOK is a complete answer.
	OutcomeOK Outcome = iota
	// OutcomeFull is a rejection for lack of capacity.
	OutcomeFull
	// OutcomeFailed is an answer that shows an error, is cut off or does not come in time.
	OutcomeFailed
	// OutcomeUnreachable is a server that could not be reached or stopped
	// responding.
	OutcomeUnreachable
	// OutcomeAbandoned is a request that the caller abandoned.
	OutcomeAbandoned
	// OutcomeUnsent is a server that could not be reached, so that nothing of the request was
	// sent: trying the server again costs no caller's request.
	OutcomeUnsent
)

// serverState is the state that an entry keeps of one server.
type serverState struct {
	Server
	pool     *poolRates
	rank     uint32 // hash of the ID, by which the servers are ranked
	inFlight int    // this entry's requests in flight
	// uncachedTokens is the number of uncached prompt tokens of this entry's requests
	// whose first event has not arrived yet.
	uncachedTokens int
	// uncachedSinceReport is the number of uncached prompt tokens that this entry sent
	// after the last load report of the queue owner, the entry that runs this engine's
	// queue; sensitiveInFlight is the number of this entry's latency-sensitive requests
	// in flight.
	uncachedSinceReport int
	sentSinceReport     int // this entry's requests sent after that report
	sensitiveInFlight   int
	reportedMs          clock.Millis // when the queue owner's last load report arrived; 0 is never
	reported            batch.Load   // the load in that report
	cache               *cache
	failRate            float64      // 0 to 1, as of failRateMs
	failRateMs          clock.Millis // when failRate was last updated
	backOff             clock.Millis // duration of the last back-off after a failed connection
	backOffUntilMs      clock.Millis // until when the server is avoided, at a high cost
	// excludedUntilMs is the end of the back-off that the server asked for, during
	// which it gets no requests.
	excludedUntilMs clock.Millis
	// limitedUntilMs is until when the server gets no requests because of the limit that
	// it named; urgentLimitedUntilMs is the same for urgent requests.
	limitedUntilMs, urgentLimitedUntilMs clock.Millis
	// paced is set while the server has a limit; sampledMs is when requestMs was last
	// updated.
	paced     bool
	sampledMs clock.Millis
	requestMs float64 // mean time per request, in ms; not used for model engines
	// requestDeviationMs is the mean deviation of a time per request from requestMs.
	requestDeviationMs float64
	serverLoadMs       clock.Millis // when the server last reported its load
	running            int          // requests running at the server, as it reported
	waiting            int          // requests waiting at the server, as it reported
	inFlightAtLoad     int          // this entry's requests in flight when the server reported its load
	// window limits the requests in flight after a start or a recovery; nil for none. tryDue is
	// set from OutcomeUnsent on until a request ends badly otherwise.
	window *pace.Window
	tryDue bool
}

// ServerTable is the server table of one pool: the state that an entry keeps of each
// server, by which it chooses a server for a request.
type ServerTable struct {
	zone    string // of the entry
	servers map[string]*serverState
	// ranked holds the servers in the order of their rank, a hash of the ID, which is
	// the same in all entries.
	ranked []*serverState
	rates  *poolRates
	// gateways is the number of entries that use the servers.
	gateways int
	// engine is set while the servers are model engines.
	engine bool
}

// NewServerTable returns an empty ServerTable for an entry in the given zone.
func NewServerTable(zone string) *ServerTable {
	return &ServerTable{zone: zone, servers: map[string]*serverState{}, rates: &poolRates{assumedPrefillRate, assumedMeanRate}}
}

// Exclude excludes a server, which asked for a back-off, from all choices until the
// given time. A server that restarts is included again.
func (b *ServerTable) Exclude(id string, until clock.Millis) {
	if s := b.servers[id]; s != nil {
		s.excludedUntilMs = max(s.excludedUntilMs, until)
	}
}

// Excluded reports whether a server is excluded by Exclude at now.
func (b *ServerTable) Excluded(now clock.Millis, id string) bool {
	s := b.servers[id]
	return s != nil && now < s.excludedUntilMs
}

// SetLimited excludes a server, which is at the limit that it named, from the choices of
// requests that are not urgent until the given time, and with urgent also from those of
// urgent requests. A time in the past includes the server again.
func (b *ServerTable) SetLimited(id string, urgent bool, until clock.Millis) {
	if s := b.servers[id]; s != nil {
		s.limitedUntilMs = until
		if urgent {
			s.urgentLimitedUntilMs = until
		}
	}
}

// SetPaced records whether a server has a limit. The time per request of a server without
// one that had one before is forgotten: it was measured while the server was in need.
func (b *ServerTable) SetPaced(id string, paced bool) {
	s := b.servers[id]
	if s == nil || s.paced == paced {
		return
	}
	s.paced = paced
	if !paced {
		s.limitedUntilMs, s.urgentLimitedUntilMs = 0, 0
		s.requestMs = min(s.requestMs, b.shortestRequestMs())
	}
}

// shortestRequestMs returns the shortest time per request of the servers without a limit, or of
// all if all have one.
func (b *ServerTable) shortestRequestMs() float64 {
	shortest, unpaced := math.Inf(1), math.Inf(1)
	for _, s := range b.ranked {
		shortest = min(shortest, s.requestMs)
		if !s.paced {
			unpaced = min(unpaced, s.requestMs)
		}
	}
	if math.IsInf(unpaced, 1) {
		return shortest
	}
	return unpaced
}

// availableMs returns from when on the server may receive r, by its back-off and its limit.
func (s *serverState) availableMs(r Request) clock.Millis {
	if r.Urgent {
		return max(s.excludedUntilMs, s.urgentLimitedUntilMs)
	}
	return max(s.excludedUntilMs, s.limitedUntilMs)
}

// NextAvailable returns the earliest time at which one of the servers may receive r, if all
// are excluded by Exclude or SetLimited; limited is set if that one is at its limit. Servers
// whose IDs are in exclude do not count. ok is false if another server is not excluded at
// now, or if there is none.
func (b *ServerTable) NextAvailable(now clock.Millis, r Request, exclude []string) (at clock.Millis, limited, ok bool) {
	for _, s := range b.ranked {
		if !r.mayUse(s) || slices.Contains(exclude, s.ID) {
			continue
		}
		t := s.availableMs(r)
		if now >= t {
			return 0, false, false
		}
		if !ok || t < at {
			at, limited, ok = t, t > s.excludedUntilMs, true
		}
	}
	return at, limited, ok
}

// SetServers sets the servers that may receive requests. The state of a server that
// has not restarted (its Start is unchanged) is kept; a restarted server begins
// with a new state and an empty cache.
func (b *ServerTable) SetServers(list []Server) {
	next := make(map[string]*serverState, len(list))
	b.ranked = b.ranked[:0]
	for _, s := range list {
		st, ok := b.servers[s.ID]
		if !ok || st.Start != s.Start {
			st = &serverState{rank: rendezvousHash("", s.ID), requestMs: assumedRequestMs, cache: newCache(int(float64(s.CacheTokens) * cacheFraction)), pool: b.rates}
			st.Server = s
			if len(b.servers) > 0 {
				st.window = b.newWindow(st)
			}
		}
		st.Server = s
		next[s.ID] = st
		b.ranked = append(b.ranked, st)
	}
	b.servers = next
	slices.SortFunc(b.ranked, func(x, y *serverState) int { return cmp.Compare(x.rank, y.rank) })
}

// rendezvousHash returns a hash of the pair a, b, which is the same in all entries.
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
	// CopyFrom is the ID of the server from whose memory shared blocks are to be
	// copied; empty if none are copied.
	CopyFrom string
	// Cost is the estimated cost of sending the request to the server, in
	// milliseconds (see the package comment).
	Cost float64
	// LoadAgeMs is the age of the load report of the server's queue owner, in ms; -1
	// without a report.
	LoadAgeMs clock.Millis
	// SlotMs is the expected wait for a slot of the server, in ms, which is part of Cost.
	SlotMs clock.Millis
}

// Choose returns the candidate server with the least cost for r, without the servers
// whose IDs are in exclude; ok is false if all servers are excluded. Of many model
// engines, only a few random ones are candidates: all entries see the same load
// with some delay, and would otherwise all choose the same server.
func (b *ServerTable) Choose(now clock.Millis, r Request, exclude []string, rnd *rand.Rand) (c Choice, ok bool) {
	if !r.Engine {
		return b.cheapest(now, r, b.ranked, exclude, rnd)
	}
	reserved := b.reservedServers(now)
	group := b.ranked[reserved:]
	if r.LatencySensitive || len(group) == 0 {
		group = b.ranked[:reserved]
	}
	group = r.usable(group)
	c, ok = b.cheapest(now, r, b.candidates(group, r, rnd), exclude, rnd)
	if ok && r.LatencySensitive && c.SlotMs > 0 {
		// Random candidates: all entries see the same reports.
		if other, found := b.cheapest(now, r, b.candidates(r.usable(b.ranked[reserved:]), r, rnd), exclude, rnd); found && other.Cost < c.Cost {
			c = other
		}
	}
	if !ok || c.Cost > crossGroupMs {
		if other, found := b.cheapest(now, r, b.ranked, exclude, rnd); found && (!ok || other.Cost < c.Cost) {
			return other, true
		}
	}
	return c, ok
}

// reservedServers returns how many servers, from the start of the ranking, are
// reserved for latency-sensitive requests. It follows from the number of such
// requests that run now.
func (b *ServerTable) reservedServers(now clock.Millis) int {
	sensitive := 0
	for _, s := range b.ranked {
		sensitive += s.load(now).LatencySensitive
	}
	n := len(b.ranked)
	return min(max(sensitive/sensitivePerServer+1, (n+minReservedDivisor-1)/minReservedDivisor), n-n/2)
}

// candidates returns the servers of group to compare by cost: all if there are at most
// maxAllCandidates, else random ones, the affinity server of the shared blocks and
// a server that has all of these cached.
func (b *ServerTable) candidates(group []*serverState, r Request, rnd *rand.Rand) []*serverState {
	if len(group) <= maxAllCandidates {
		return group
	}
	out := make([]*serverState, 0, randomCandidates+2)
	for range randomCandidates {
		out = append(out, group[rnd.IntN(len(group))])
	}
	if affinity := b.affinityServer(r); affinity != nil {
		out = append(out, affinity)
	}
	if shared := sharedTokens(r.Blocks); shared > 0 {
		start := rnd.IntN(len(group))
		for i := range group {
			if s := group[(start+i)%len(group)]; s.cache.cachedPrefix(r.Blocks) >= shared {
				return append(out, s)
			}
		}
	}
	return out
}

// cheapest returns the server of list with the least cost, without the servers whose
// IDs are in exclude; ok is false if none is left.
func (b *ServerTable) cheapest(now clock.Millis, r Request, list []*serverState, exclude []string, rnd *rand.Rand) (c Choice, ok bool) {
	best := math.Inf(1)
	affinity := b.affinityServer(r)
	if affinity != nil && (now < max(affinity.backOffUntilMs, affinity.availableMs(r)) || affinity.currentFailRate(now) > maxAffinityFailRate) {
		affinity = nil
	}
	caching := b.cachingServer(now, r)
	for _, s := range list {
		if now < s.availableMs(r) || !r.mayUse(s) || slices.Contains(exclude, s.ID) {
			continue
		}
		var cost float64
		uncached, copyFrom, slotMs := 0, "", clock.Millis(0)
		if r.Engine {
			cost, uncached, copyFrom = b.engineCost(now, s, r, affinity, caching)
			slotMs = s.slotWait(s.load(now), r.LatencySensitive)
		} else {
			cost = b.serviceCost(now, s)
		}
		cost *= b.paceFactor(now, s, rnd)
		if now < s.backOffUntilMs {
			cost = cost*10 + 1e6
		}
		// Random noise spreads requests evenly over servers of equal cost.
		cost *= 1 + rnd.Float64()*0.02
		if !r.Engine {
			cost += rnd.Float64() * requestTimeResolutionMs
		}
		if cost < best {
			best, ok = cost, true
			c = Choice{ID: s.ID, UncachedTokens: uncached, CopyFrom: copyFrom, Cost: cost, LoadAgeMs: s.reportAge(now), SlotMs: slotMs}
		}
	}
	return c, ok
}

// ShouldMove reports whether r, which is queued at the engine of c, should be queued
// elsewhere: another engine is idle and the cost of r there is below maxMoveMs.
func (b *ServerTable) ShouldMove(now clock.Millis, r Request, c Choice, exclude []string) bool {
	for _, s := range b.ranked {
		if s.ID == c.ID || !r.mayUse(s) || now < s.backOffUntilMs || now < s.availableMs(r) || s.currentFailRate(now) > maxAffinityFailRate || slices.Contains(exclude, s.ID) {
			continue
		}
		l := s.load(now)
		if l.Waiting > 0 || l.FreeMs > maxIdleWaitMs {
			continue
		}
		if cost, _, _ := b.engineCost(now, s, r, b.affinityServer(r), b.cachingServer(now, r)); cost < maxMoveMs {
			return true
		}
	}
	return false
}

// affinityServer returns the affinity server of the last shared block of r, by
// rendezvous hashing; nil without shared blocks. It lies in the first third of the
// ranking if r is latency-sensitive, else in the rest.
func (b *ServerTable) affinityServer(r Request) *serverState {
	if len(r.Blocks) < 2 || len(b.ranked) == 0 {
		return nil
	}
	blockID := r.Blocks[len(r.Blocks)-2].ID
	third := (len(b.ranked) + 2) / 3
	eligible := b.ranked[min(third, len(b.ranked)-1):]
	if r.LatencySensitive {
		eligible = b.ranked[:third]
	}
	var best *serverState
	var bestHash uint32
	for _, s := range eligible {
		if !r.mayUse(s) {
			continue
		}
		if w := rendezvousHash(blockID, s.ID); best == nil || w > bestHash {
			best, bestHash = s, w
		}
	}
	return best
}

// cachingServer returns a server that has the last shared block of r's prompt cached:
// of the available servers known to have it, the one that used it most recently,
// since engines evict the least recently used blocks; nil if there is none.
func (b *ServerTable) cachingServer(now clock.Millis, r Request) *serverState {
	shared := sharedTokens(r.Blocks)
	if shared == 0 {
		return nil
	}
	var best *serverState
	var latestMs clock.Millis
	part := r.Blocks[len(r.Blocks)-2].ID
	for _, s := range b.ranked {
		usedMs, ok := s.cache.usedMs(part)
		if ok && r.mayUse(s) && now >= max(s.backOffUntilMs, s.excludedUntilMs) && s.currentFailRate(now) < maxAffinityFailRate && (best == nil || usedMs > latestMs) {
			best, latestMs = s, usedMs
		}
	}
	return best
}
