package batch

import "github.com/damaskport/damaskport/internal/runtime/clock"

// prefilled are the prompt tokens that the engine has prefilled without a break since a time.
type prefilled struct {
	sinceMs clock.Millis
	tokens  int
}

// observePrefill learns the prefill rate from a prompt that has been prefilled. The engine
// prefills without a break while prompts are pending, whatever their order, so the rate is
// that of all that it has prefilled in the meantime.
func (s *Scheduler) observePrefill(now clock.Millis, tokens int) {
	s.prefilled.tokens += tokens
	took := now - s.prefilled.sinceMs
	if s.prefillMs(s.prefilled.tokens) < minObservedMs || took <= 0 {
		return
	}
	observed := min(max(float64(s.prefilled.tokens)/float64(took), minPrefillRate), maxPrefillRate)
	s.prefillRate += (observed - s.prefillRate) * prefillRateWeight
	s.prefilled, s.rateKnown = prefilled{sinceMs: now}, true
}

// InheritRate begins with the prefill rate that an entry expects, in prompt tokens/ms, unless
// one is known; 0 is none.
func (s *Scheduler) InheritRate(rate float64) {
	if !s.rateKnown && rate >= minPrefillRate && rate <= maxPrefillRate {
		s.prefillRate, s.rateKnown = rate, true
	}
}
