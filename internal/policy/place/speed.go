package place

import (
	"github.com/damaskport/damaskport/internal/policy/batch"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/speed"
)

// Speed returns the speed of an engine as its queue owners last told it; zero if unknown.
func (b *ServerTable) Speed(id string) speed.Figures {
	if s := b.servers[id]; s != nil {
		return s.reported.Figures
	}
	return speed.Figures{}
}

// lateMs returns by how much the answer to r ends after its deadline at the engine's present
// speed, in ms, if its first event comes in firstMs; 0 if it ends in time or that isn't known.
func lateMs(now clock.Millis, l batch.Load, r Request, firstMs float64) float64 {
	answer := l.DecodeMs * float64(r.AnswerEvents)
	if r.DeadlineMs == 0 || answer == 0 {
		return 0
	}
	return max(float64(now)+firstMs+answer-float64(r.DeadlineMs), 0)
}

// poolRates are the mean prefill rates of the engines of a pool, in prompt tokens/ms, as their
// queue owners reported them: what is expected of an engine of which nothing is known.
type poolRates struct{ prefill, mean float64 }

// poolRateWeight is the weight of a report in the mean rates of a pool.
const poolRateWeight = 0.02

func (p *poolRates) add(l batch.Load) {
	p.prefill += (l.PrefillRate - p.prefill) * poolRateWeight
	p.mean += (l.MeanPrefillRate - p.mean) * poolRateWeight
}

// expectedRates returns the prefill rates of the engine as they were last reported, or else
// those of its pool.
func (s *serverState) expectedRates() (rate, meanRate float64) {
	if s.reported.PrefillRate > 0 {
		return s.reported.PrefillRate, s.reported.MeanPrefillRate
	}
	return s.pool.prefill, s.pool.mean
}

// PrefillRate returns the prefill rate expected of an engine, in prompt tokens/ms; 0 if it
// isn't known.
func (b *ServerTable) PrefillRate(id string) float64 {
	s := b.servers[id]
	if s == nil {
		return 0
	}
	rate, _ := s.expectedRates()
	return rate
}
