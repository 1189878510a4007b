package place

import (
	"math/rand/v2"
	"slices"

	"github.com/damaskport/damaskport/internal/policy/pace"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// recoveredWeight is the weight of a good answer in the failure rate of a server that could not
// be reached before: a few of them outweigh its failures, which say nothing of it any more.
const recoveredWeight = 0.5

// SetGateways sets the number of entries that use the servers, and whether these are model
// engines, for the windows that begin from now on.
func (b *ServerTable) SetGateways(n int, engine bool) { b.gateways, b.engine = n, engine }

// Windows ends the windows that limit nothing any more, and returns the sorted IDs of the
// servers that have one.
func (b *ServerTable) Windows(now clock.Millis) []string {
	var out []string
	for _, s := range b.ranked {
		if s.window != nil && s.window.Done(now) {
			s.window = nil
		}
		if s.window != nil {
			out = append(out, s.ID)
		}
	}
	slices.Sort(out)
	return out
}

// newWindow returns a window for s, which starts or can be reached again.
func (b *ServerTable) newWindow(s *serverState) *pace.Window {
	usual := 0.0
	if !b.engine {
		usual, _ = b.usualRequest(s)
	}
	return pace.New(pace.Share{Slots: s.Slots, Gateways: b.gateways}, usual)
}

// usualRequest returns the mean time per request of the servers without a window other than s,
// and its mean deviation, in ms; 0 if there are none with answers.
func (b *ServerTable) usualRequest(s *serverState) (ms, deviationMs float64) {
	n := 0.0
	for _, o := range b.servers {
		if o.sampledMs > 0 && o.window == nil && o.ID != s.ID {
			ms, deviationMs, n = ms+o.requestMs, deviationMs+o.requestDeviationMs, n+1
		}
	}
	if n == 0 {
		return 0, 0
	}
	return ms / n, deviationMs / n
}

// paceFactor returns the factor of the cost of another request at s by its failures and its
// window. A server that could not be reached gets one request as soon as its back-off has ended,
// whatever its failure rate.
func (b *ServerTable) paceFactor(now clock.Millis, s *serverState, rnd *rand.Rand) float64 {
	failures := 1 + s.currentFailRate(now)*failFactor
	if s.window == nil {
		return failures
	}
	if s.window.Done(now) {
		s.window = nil
		return failures
	}
	excess := s.window.Excess(now, s.backOffUntilMs, s.inFlight, rnd)
	if excess == 0 && s.tryDue {
		return 1
	}
	return failures * (1 + excess)
}

// recordPace records the outcome of a request in the window of s, which begins once s could not be
// reached.
func (b *ServerTable) recordPace(now clock.Millis, s *serverState, r Request, o Outcome, tookMs clock.Millis) {
	switch o {
	case OutcomeUnsent:
		// The spread of the first requests begins at the end of the new back-off.
		s.window, s.tryDue = b.newWindow(s), true
		return
	case OutcomeFailed, OutcomeUnreachable:
		s.tryDue = false
	}
	if s.window == nil {
		return
	}
	switch o {
	case OutcomeOK:
		_, deviation := b.usualRequest(s)
		if r.Engine {
			tookMs = 0
		}
		if s.window.Answered(now, tookMs, deviation) && s.tryDue {
			s.failRate -= s.failRate * recoveredWeight
		}
	case OutcomeFull, OutcomeFailed, OutcomeUnreachable:
		s.window.Bad(now, now-tookMs)
	}
}
