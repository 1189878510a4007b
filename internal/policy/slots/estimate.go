package slots

import (
	"math"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	// minSampleTokens is the number of tokens over which the time per token is observed.
	minSampleTokens = 8
	// drainMemory is the busy time after which a completion weighs 1/e.
	drainMemory = 10 * clock.Second
	// drainTrust is the busy time from which the observed drain rate is used.
	drainTrust = 1 * clock.Second
	// aboveMemory is the time after which an observed share weighs 1/e.
	aboveMemory = 5 * clock.Second
	// leastShare bounds the share of the slots that is left to a tier, from below.
	leastShare = 0.1
)

// drainRate observes the completions per time while requests wait.
type drainRate struct {
	busyMs, finished float64
}

func (d *drainRate) pass(dt clock.Millis) {
	keep := math.Exp(-float64(dt) / float64(drainMemory))
	d.busyMs = d.busyMs*keep + float64(dt)
	d.finished *= keep
}

func (d *drainRate) finish() {
	d.finished++
}

func (s *Slots) drainPerMs() float64 {
	if s.drain.busyMs >= float64(drainTrust) && s.drain.finished >= 1 {
		return s.drain.finished / s.drain.busyMs
	}
	return float64(s.cfg.Slots) / s.holdMs(float64(s.cfg.OutputTokens))
}

// holdMs is the time for which a request of tokens holds a slot.
func (s *Slots) holdMs(tokens float64) float64 {
	return float64(s.firstTokenMs) + tokens*float64(s.tokenMs)
}

// observe records the progress of it and samples the speed of the server.
func (s *Slots) observe(it *item, tokens int, last bool) {
	it.tokens = tokens
	if it.firstMs == 0 && !last {
		it.firstMs = s.now
		s.firstTokenMs.add(float64(max(s.now-it.startMs, 1)))
		it.sampleMs, it.sampleTokens = s.now, tokens
		return
	}
	n := tokens - it.sampleTokens
	if n < minSampleTokens {
		return
	}
	s.tokenMs.add(math.Max(0.01, float64(s.now-it.sampleMs)/float64(n)))
	it.sampleMs, it.sampleTokens = s.now, tokens
}

// noteAbove observes the share of the slots that the tiers above each hold.
func (s *Slots) noteAbove(dt clock.Millis) {
	keep := math.Exp(-float64(dt) / float64(aboveMemory))
	above := 0
	for i, t := range s.tiers {
		t.above = t.above*keep + (1-keep)*float64(above)/float64(s.cfg.Slots)
		above += s.occupied[i]
	}
}

// ahead is the work that rules 2 to 4 place before a request, as far as it is
// expected to start here, and the occupied slots of its tier and above.
type ahead struct {
	requests float64
	tokens   float64
	occupied int
}

// ahead returns what is before it. It reads nothing of the tiers below.
func (s *Slots) ahead(it *item) ahead {
	var out ahead
	for i := 0; i <= it.r.Tier && i < len(s.tiers); i++ {
		out.occupied += s.occupied[i]
		if i < it.r.Tier {
			out.requests += float64(s.tiers[i].waiting) * s.tiers[i].kept
			out.tokens += s.tiers[i].work() * s.tiers[i].kept
		}
	}
	t := it.tier
	if t.waiting == 0 {
		return out
	}
	own := it.acct.before(it.order)
	v := t.lifted(it.acct) + own.work/it.acct.share
	work := t.served(v)
	out.tokens += work * t.kept
	out.requests += math.Max(float64(own.n), work*float64(t.waiting)/math.Max(t.work(), 1)) * t.kept
	return out
}

// before returns the waiting work of a that comes before order.
func (a *account) before(order key) sums {
	var out sums
	for _, f := range a.flows {
		out = out.plus(f.items.before(order))
	}
	return out
}

// served returns the waiting work done by the time that all counters reach v:
// all of the accounts that finish below v, and a part of those that start below it.
func (t *tierQueue) served(v float64) float64 {
	started := t.byStart.before(key{counter: v})
	done := t.byFinish.before(key{counter: v})
	part := v*started.share - started.shareCounter
	over := v*done.share - done.shareCounter
	return math.Max(0, part-over+done.work)
}

// waitMs estimates the time until it starts, from its own tier and above only.
func (s *Slots) waitMs(it *item, a ahead) float64 {
	slots := float64(s.cfg.Slots)
	if a.requests+float64(a.occupied)+1 <= slots {
		return 0
	}
	tokens := s.tierTokens(it.tier)
	rest := float64(a.occupied) - slots + 1
	work := a.tokens*float64(s.tokenMs) + a.requests*float64(s.firstTokenMs) + rest*s.holdMs(tokens)
	wait := math.Max(0, work/slots) / math.Max(1-it.tier.above, leastShare)
	if floor := &it.class.floor; s.floorsOn() && floor.percent > 0 {
		place := math.Min(a.requests, float64(it.class.waiting))
		missing := math.Max(0, place*tokens+it.cost()-floor.credit)
		wait = math.Min(wait, missing*100/floor.percent*float64(s.tokenMs)/slots+s.holdMs(tokens)/slots)
	}
	return wait
}

func (s *Slots) tierTokens(t *tierQueue) float64 {
	if t.tokens > 0 {
		return float64(t.tokens)
	}
	return float64(s.cfg.OutputTokens)
}

func (s *Slots) verdict(it *item) Verdict {
	a := s.ahead(it)
	wait := s.waitMs(it, a)
	behind := math.Max(1, a.requests+float64(a.occupied-s.cfg.Slots)+1)
	retry := clock.Millis(math.Ceil(behind / s.drainPerMs()))
	return Verdict{
		Place:        int(a.requests),
		WaitMs:       clock.Millis(wait),
		LowestTier:   s.lowestTier(),
		Feasible:     !s.leaving && s.feasible(it, wait, arrivalMargin),
		RetryAfterMs: min(max(retry, minRetryAfter), maxRetryAfter),
		Leaving:      s.leaving,
	}
}

func (s *Slots) lowestTier() int {
	for i := len(s.tiers) - 1; i >= 0; i-- {
		if s.tiers[i].waiting > 0 || s.preemptible[i] > 0 {
			return i
		}
	}
	return NoTier
}
