package place

import (
	"math"

	"github.com/damaskport/damaskport/internal/policy/batch"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// Outcome is how one attempt to send a request to a server ended.
type Outcome int

// Sent records that r is sent to the server of c.
func (b *ServerTable) Sent(c Choice, r Request) {
	if s := b.servers[c.ID]; s != nil {
		s.inFlight++
		s.uncachedTokens += c.UncachedTokens
		s.uncachedSinceReport += c.UncachedTokens
		s.sentSinceReport++
		if r.LatencySensitive {
			s.sensitiveInFlight++
		}
	}
}

// FirstEvent records that the first event of the answer to r arrived.
func (b *ServerTable) FirstEvent(now clock.Millis, c Choice, r Request) {
	if s := b.servers[c.ID]; s != nil {
		s.uncachedTokens = max(s.uncachedTokens-c.UncachedTokens, 0)
		s.cache.addPrefilled(now, r.Blocks)
	}
}

// Ended records the outcome o of the attempt to send r to the server of c. begun is
// set if FirstEvent was called for the attempt; tookMs is the time since r was sent.
func (b *ServerTable) Ended(now clock.Millis, c Choice, r Request, o Outcome, begun bool, tookMs clock.Millis) {
	s := b.servers[c.ID]
	if s == nil {
		return
	}
	s.inFlight = max(s.inFlight-1, 0)
	if r.LatencySensitive {
		s.sensitiveInFlight = max(s.sensitiveInFlight-1, 0)
	}
	if !begun {
		s.uncachedTokens = max(s.uncachedTokens-c.UncachedTokens, 0)
	}
	s.failRate, s.failRateMs = s.currentFailRate(now), now
	b.recordPace(now, s, r, o, tookMs)
	switch o {
	case OutcomeOK:
		s.failRate -= s.failRate * successWeight
		s.backOff, s.backOffUntilMs = 0, 0
		if !r.Engine {
			s.addRequestTime(now, float64(tookMs))
		}
	case OutcomeFull:
		s.backOffUntilMs = max(s.backOffUntilMs, now+minBackOff/2)
	case OutcomeFailed:
		s.failRate += (1 - s.failRate) * failWeight
	case OutcomeUnreachable, OutcomeUnsent:
		s.failRate += (1 - s.failRate) * failWeight
		s.backOff = min(max(2*s.backOff, minBackOff), maxBackOff)
		s.backOffUntilMs = now + s.backOff
	}
}

// ReportLoad records the load that the owner of a server's engine queue reported.
func (b *ServerTable) ReportLoad(now clock.Millis, id string, l batch.Load) {
	s := b.servers[id]
	if s == nil {
		return
	}
	if l.PrefillRate == 0 && l.MeanPrefillRate == 0 {
		l.PrefillRate, l.MeanPrefillRate = s.reported.PrefillRate, s.reported.MeanPrefillRate
	}
	if l.UsualDecodeMs == 0 {
		l.DecodeMs, l.UsualDecodeMs = s.reported.DecodeMs, s.reported.UsualDecodeMs
	}
	l.PrefillRate, l.MeanPrefillRate = max(l.PrefillRate, 1), max(l.MeanPrefillRate, 1)
	s.reportedMs, s.reported, s.uncachedSinceReport, s.sentSinceReport = now, l, 0, 0
	b.rates.add(l)
}

// ReportCached records that a server has used the shared prompt blocks with the given
// IDs, as its queue owner reported, and so has them cached.
func (b *ServerTable) ReportCached(now clock.Millis, id string, blocks []string) {
	if s := b.servers[id]; s != nil {
		for _, p := range blocks {
			s.cache.addUsed(now, p)
		}
	}
}

// DropReport drops the reported load of a server whose engine queue has a new owner.
func (b *ServerTable) DropReport(id string) {
	if s := b.servers[id]; s != nil {
		s.reportedMs = 0
	}
}

// ServerLoad records the numbers of running and waiting requests that a server itself
// reported.
func (b *ServerTable) ServerLoad(now clock.Millis, id string, running, waiting int) {
	if s := b.servers[id]; s != nil {
		s.serverLoadMs, s.running, s.waiting, s.inFlightAtLoad = now, running, waiting, s.inFlight
	}
}

// currentFailRate returns the failure rate, 0 to 1, decayed up to now.
func (s *serverState) currentFailRate(now clock.Millis) float64 {
	if s.failRate == 0 || now <= s.failRateMs {
		return s.failRate
	}
	f := s.failRate * math.Exp2(-float64(now-s.failRateMs)/float64(failRateHalfLife))
	if f < minFailRate {
		return 0
	}
	return f
}

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	return [...]string{"ok", "full", "failed", "unreached", "left", "unreached"}[o]
}

// Unreachable reports whether the server could not be reached or stopped responding.
func (o Outcome) Unreachable() bool { return o == OutcomeUnreachable || o == OutcomeUnsent }

// addRequestTime adds the time in ms that the server took for a request.
func (s *serverState) addRequestTime(now clock.Millis, took float64) {
	if s.sampledMs == 0 {
		// The deviation of a single sample is unknown.
		s.requestMs, s.requestDeviationMs = took, took
	}
	diff := took - s.requestMs
	s.requestMs += diff * requestTimeWeight
	s.requestDeviationMs += (math.Abs(diff) - s.requestDeviationMs) * requestTimeWeight
	s.sampledMs = now
}
