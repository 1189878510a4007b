package place

import (
	"github.com/damaskport/damaskport/internal/policy/batch"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// engineCost returns the cost in ms of sending r to the model engine s, the
// prompt tokens that it would have to prefill, and the server to copy cached
// prompt blocks from; empty for none. home is the affinity server of the shared
// prefix, holder a server that has it cached; either may be nil.
func (b *ServerTable) engineCost(now clock.Millis, s *serverState, r Request, home, holder *serverState) (cost float64, unread int, fetch string) {
	cachedTokens, sharedPrefix := s.cache.cachedPrefix(r.Blocks), sharedTokens(r.Blocks)
	extraTokens := 0.0
	switch {
	case cachedTokens >= sharedPrefix:
	case s == home && holder == nil:
		// A request of another entry has prefilled the shared blocks here, or
		// will soon.
		cachedTokens = sharedPrefix
	case holder != nil:
		extraTokens = float64(sharedPrefix-cachedTokens) * fetchFactor
		cachedTokens, fetch = sharedPrefix, holder.ID
	case home != nil:
		// The affinity server may have cached the blocks, or not yet.
		extraTokens, fetch = float64(sharedPrefix-cachedTokens)*reprefillFactor, home.ID
	default:
		extraTokens = float64(sharedPrefix-cachedTokens) * reprefillFactor
	}
	unread = max(r.Prompt-cachedTokens, 0)
	l := s.load(now)
	cost = (float64(unread) + extraTokens) / l.PrefillRate
	if r.LatencySensitive {
		cost += sensitiveLoadCost(l)
	} else {
		cost += otherLoadCost(l, unread, r.Urgent)
	}
	if s.Zone != b.zone {
		cost += engineZoneMs + float64(r.Prompt)*engineZoneTokenMs
	}
	return cost, unread, fetch
}

// sensitiveLoadCost returns the cost in ms that a server's load adds to a
// latency-sensitive request.
func sensitiveLoadCost(l batch.Load) float64 {
	cost := float64(l.PrefillMs) + float64(l.Running)*sensitiveRunningMs
	if l.Waiting > 0 {
		cost += queuedMs
	}
	return cost
}

// otherLoadCost returns the cost in ms that a server's load adds to any other request.
// One that bypasses the queue only waits for the prompts being prefilled.
func otherLoadCost(l batch.Load, unread int, urgent bool) float64 {
	wait := l.FreeMs
	if batch.BypassesQueue(unread, urgent, l.PrefillRate) {
		wait = l.PrefillMs
	}
	cost := float64(wait) + float64(l.Running)*runningMs
	if float64(unread)/l.PrefillRate > stallingPrefillMs {
		return cost + float64(l.LatencySensitive)*stallMs
	}
	return cost + float64(l.LatencySensitive)*shortPromptMs
}

// reportAge returns the age of the load that the queue owner reported; -1 without
// one.
func (s *serverState) reportAge(now clock.Millis) clock.Millis {
	if s.reportedMs == 0 {
		return -1
	}
	return now - s.reportedMs
}

// load returns the estimated load of a server: the queue owner's last report plus
// the requests that this entry sent since, or, without a recent report, what this
// entry's requests and the server's answers show.
func (s *serverState) load(now clock.Millis) batch.Load {
	if age := now - s.reportedMs; s.reportedMs > 0 && age < maxReportAgeMs {
		l := s.reported.After(age)
		l.FreeMs += clock.Millis(float64(s.uncachedSinceReport) / l.MeanPrefillRate)
		l.PrefillMs += clock.Millis(float64(s.uncachedSinceReport) / l.PrefillRate)
		l.Running, l.LatencySensitive = max(l.Running, s.inFlight), max(l.LatencySensitive, s.sensitiveInFlight)
		return l
	}
	l := batch.Load{
		FreeMs: clock.Millis(float64(s.uncachedTokens) / assumedMeanRate), PrefillMs: clock.Millis(float64(s.uncachedTokens) / assumedPrefillRate),
		Running: s.inFlight, LatencySensitive: s.sensitiveInFlight, PrefillRate: assumedPrefillRate, MeanPrefillRate: assumedMeanRate,
	}
	if now-s.serverLoadMs < maxLoadAgeMs {
		l.Running = max(s.running+s.inFlight-s.inFlightAtLoad, s.inFlight)
		l.Waiting = s.waiting
	}
	return l
}

// sharedTokens returns the tokens of all blocks but the last, which is the request's
// own.
func sharedTokens(parts []Block) int {
	n := 0
	for i := 0; i+1 < len(parts); i++ {
		n += parts[i].Tokens
	}
	return n
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
	cost := s.requestMs * (1 + queued + 0.1*float64(load)/float64(max(s.Slots, 1)))
	if s.Zone != b.zone {
		cost += zoneMs
	}
	return cost
}
