package place

import (
	"math"

	"github.com/damaskport/damaskport/internal/policy/batch"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// engineCost returns the cost in ms of sending r to the model engine s, the number of
// prompt tokens that s would have to prefill, and the ID of the server to copy
// cached prompt blocks from (empty for none). affinity is the affinity server of the
// shared prompt prefix, caching a server that has it cached; either may be nil.
func (b *ServerTable) engineCost(now clock.Millis, s *serverState, r Request, affinity, caching *serverState) (cost float64, uncached int, copyFrom string) {
	cachedTokens, sharedPrefix := s.cache.cachedPrefix(r.Blocks), sharedTokens(r.Blocks)
	extraTokens := 0.0
	switch {
	case cachedTokens >= sharedPrefix:
	case s == affinity && caching == nil:
		// Other entries send requests with this prefix to the same affinity server,
		// so the shared blocks are assumed to be cached there or soon to be.
		cachedTokens = sharedPrefix
	case caching != nil:
		extraTokens = float64(sharedPrefix-cachedTokens) * copyFactor
		cachedTokens, copyFrom = sharedPrefix, caching.ID
	case affinity != nil:
		// The affinity server may or may not have the blocks cached. Copying from it is
		// tried, but the cost assumes that s has to prefill them.
		extraTokens, copyFrom = float64(sharedPrefix-cachedTokens)*reprefillFactor, affinity.ID
	default:
		extraTokens = float64(sharedPrefix-cachedTokens) * reprefillFactor
	}
	uncached = max(r.Prompt-cachedTokens, 0)
	l := s.load(now)
	cost = (float64(uncached) + extraTokens) / l.PrefillRate
	if r.LatencySensitive {
		cost += sensitiveLoadCost(l)
	} else {
		cost += otherLoadCost(l, uncached, r.Urgent)
	}
	cost = cost*max(l.Slowness, 1) + float64(s.slotWait(l, r.LatencySensitive))
	cost += lateMs(now, l, r, cost)
	if s.Zone != b.zone {
		cost += engineCrossZoneMs + float64(r.Prompt)*engineCrossZoneTokenMs
	}
	return cost, uncached, copyFrom
}

// sensitiveLoadCost returns the cost in ms that a server's load adds to a
// latency-sensitive request.
func sensitiveLoadCost(l batch.Load) float64 {
	cost := float64(l.PrefillMs) + float64(l.Running)*sensitiveRunningMs
	if l.Waiting > 0 {
		cost += queuedPromptsMs
	}
	return cost
}

// otherLoadCost returns the cost in ms that a server's load adds to a request that is
// not latency-sensitive. uncached is the number of prompt tokens that the server would
// have to prefill. A request that bypasses the engine queue waits only for the prompts
// already granted.
func otherLoadCost(l batch.Load, uncached int, urgent bool) float64 {
	wait := l.FreeMs
	if batch.BypassesQueue(uncached, urgent, l.PrefillRate) {
		wait = l.PrefillMs
	}
	cost := float64(wait) + float64(l.Running)*runningMs
	if float64(uncached)/l.PrefillRate > stallingPrefillMs {
		return cost + float64(l.LatencySensitive)*stallMs
	}
	return cost + float64(l.LatencySensitive)*shortPromptMs
}

// reportAge returns the age in ms of the queue owner's last load report; -1 without
// a report.
func (s *serverState) reportAge(now clock.Millis) clock.Millis {
	if s.reportedMs == 0 {
		return -1
	}
	return now - s.reportedMs
}

// load returns the estimated load of a server: the queue owner's last report plus the
// requests that this entry sent since. Without a recent report, it is estimated
// from this entry's requests and the load that the server itself reported.
func (s *serverState) load(now clock.Millis) batch.Load {
	if age := now - s.reportedMs; s.reportedMs > 0 && age < maxReportAgeMs {
		l := s.reported.After(age)
		l.FreeMs += clock.Millis(float64(s.uncachedSinceReport) / l.MeanPrefillRate)
		l.PrefillMs += clock.Millis(float64(s.uncachedSinceReport) / l.PrefillRate)
		l.Running, l.LatencySensitive = max(l.Running, s.inFlight), max(l.LatencySensitive, s.sensitiveInFlight)
		return l
	}
	rate, meanRate := s.expectedRates()
	l := batch.Load{
		FreeMs: clock.Millis(float64(s.uncachedTokens) / meanRate), PrefillMs: clock.Millis(float64(s.uncachedTokens) / rate),
		Running: s.inFlight, LatencySensitive: s.sensitiveInFlight, PrefillRate: rate, MeanPrefillRate: meanRate, Figures: s.reported.Figures,
	}
	l.Slowness = 0
	if now-s.serverLoadMs < maxLoadAgeMs {
		l.Running = max(s.running+s.inFlight-s.inFlightAtLoad, s.inFlight)
		l.Waiting = s.waiting
	}
	return l
}

// sharedTokens returns the number of tokens of all blocks but the last, which is not
// shared with other requests.
func sharedTokens(blocks []Block) int {
	n := 0
	for i := 0; i+1 < len(blocks); i++ {
		n += blocks[i].Tokens
	}
	return n
}

// expectedRequestMs returns the expected time per request of s in ms; s is not a model engine.
// Its excess over the fastest server counts only beyond its deviation, and decays while there
// are no new samples, since a server that is not chosen gets none.
func (b *ServerTable) expectedRequestMs(now clock.Millis, s *serverState) float64 {
	shortest := min(b.shortestRequestMs(), s.requestMs)
	excess := s.requestMs - shortest
	age := now - s.sampledMs
	if s.sampledMs == 0 || s.paced && age > pacedSampleAge {
		excess = 0
	}
	excess = max(excess-s.requestDeviationMs, 0) * math.Exp2(-float64(age)/float64(sampleHalfLife))
	return max(shortest+excess, requestTimeResolutionMs)
}

// serviceCost returns the cost in ms of sending a request to s, which is not a
// model engine.
func (b *ServerTable) serviceCost(now clock.Millis, s *serverState) float64 {
	load := s.inFlight
	if now-s.serverLoadMs < maxLoadAgeMs {
		load = max(load, s.running+s.waiting+s.inFlight-s.inFlightAtLoad)
	}
	queued := float64(max(load+1-max(s.Slots, 1), 0)) / float64(max(s.Slots, 1))
	// The small term for the load prefers the emptier of two servers without a
	// queue, since a server that is nearly full may be slower.
	cost := b.expectedRequestMs(now, s) * (1 + queued + 0.1*float64(load)/float64(max(s.Slots, 1)))
	if s.Zone != b.zone {
		cost += crossZoneCostMs
	}
	return cost
}
