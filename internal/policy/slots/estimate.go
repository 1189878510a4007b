package slots

import (
	"math"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	// minSampleTokens is the minimum number of tokens per sample of the time per token.
	minSampleTokens = 8
	// completionTimeConstant is the busy time (see completionRate) after which the weight
	// of a completed request has decayed to 1/e.
	completionTimeConstant = 10 * clock.Second
	// While the decayed busy time is less than minObservedBusyTime, the completion rate
	// is computed from Config instead of the observations.
	minObservedBusyTime = 1 * clock.Second
	// shareTimeConstant is the time after which the weight of an observed slot
	// share has decayed to 1/e.
	shareTimeConstant = 5 * clock.Second
	// minShareLeft is the minimum share of the slots, 0 to 1, that an estimate
	// assumes available to a tier beside the tiers above it.
	minShareLeft = 0.1
)

// completionRate is the exponentially decayed rate of completed requests per
// millisecond of busy time, the time during which requests wait.
type completionRate struct {
	busyMs, finished float64 // decayed busy time and number of completed requests
}

// elapse decays the earlier observations and adds dt ms of busy time.
func (d *completionRate) elapse(dt clock.Millis) {
	keep := math.Exp(-float64(dt) / float64(completionTimeConstant))
	d.busyMs = d.busyMs*keep + float64(dt)
	d.finished *= keep
}

// finish adds a completed request.
func (d *completionRate) finish() {
	d.finished++
}

// completionsPerMs returns the observed completion rate, in requests per ms, or an
// estimate from Config.InitialOutputTokens until enough busy time was observed.
func (s *Scheduler) completionsPerMs() float64 {
	if s.completions.busyMs >= float64(minObservedBusyTime) && s.completions.finished >= 1 {
		return s.completions.finished / s.completions.busyMs
	}
	return float64(s.cfg.Slots) / s.occupancyMs(float64(s.cfg.InitialOutputTokens))
}

// occupancyMs returns the expected time in ms that a request with the given
// output tokens occupies a slot.
func (s *Scheduler) occupancyMs(tokens float64) float64 {
	return float64(s.firstTokenMs) + tokens*float64(s.tokenMs)
}

// observe records that a request has generated tokens output tokens in total, and adds
// samples to the server's mean time to first token and time per token. last is set for
// the final report, which is not used as a sample of the time to first token.
func (s *Scheduler) observe(it *item, tokens int, last bool) {
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

// observeShareAbove updates, for each tier, the average share of the slots occupied
// by the tiers above it; dt is the time since the last update.
func (s *Scheduler) observeShareAbove(dt clock.Millis) {
	keep := math.Exp(-float64(dt) / float64(shareTimeConstant))
	above := 0
	for i, t := range s.tiers {
		t.shareAbove = t.shareAbove*keep + (1-keep)*float64(above)/float64(s.cfg.Slots)
		above += s.occupied[i]
	}
}

// workAhead is the waiting work that rules 2 to 4 of the package comment serve
// before a request, scaled by the fraction expected to start here, and the number
// of slots occupied by the request's tier and the tiers above.
type workAhead struct {
	requests float64
	tokens   float64
	occupied int
}

// ahead returns the work ahead of a request, which need not be queued yet. Lower
// tiers do not affect the result.
func (s *Scheduler) ahead(it *item) workAhead {
	var out workAhead
	for i := 0; i <= it.r.Tier && i < len(s.tiers); i++ {
		out.occupied += s.occupied[i]
		if i < it.r.Tier {
			out.requests += float64(s.tiers[i].waiting) * s.tiers[i].startFraction
			out.tokens += s.tiers[i].work() * s.tiers[i].startFraction
		}
	}
	t := it.tier
	if t.waiting == 0 {
		return out
	}
	own := it.acct.before(it.order)
	counter := t.counterOnArrival(it.acct) + own.work/it.acct.share
	work := t.workServedBelow(counter)
	out.tokens += work * t.startFraction
	out.requests += math.Max(float64(own.n), work*float64(t.waiting)/math.Max(t.work(), 1)) * t.startFraction
	return out
}

// before returns the sums over the waiting requests of account a that precede order.
func (a *account) before(order key) sums {
	var out sums
	for _, f := range a.flows {
		out = out.plus(f.items.before(order))
	}
	return out
}

// workServedBelow returns how many of the tier's waiting tokens are served until the
// counters of all waiting accounts have reached the given counter. That is all waiting
// work of the accounts that stay below it, and for the other accounts that are below
// it now, the part of their work that raises their counter to it.
func (t *tierQueue) workServedBelow(counter float64) float64 {
	started := t.byStart.before(key{counter: counter})
	done := t.byFinish.before(key{counter: counter})
	startedWork := counter*started.share - started.shareCounter
	doneExcess := counter*done.share - done.shareCounter
	return math.Max(0, startedWork-doneExcess+done.work)
}

// waitMs estimates the time in ms until a request starts, given the work ahead of it (a).
// Only its own tier and the tiers above affect the result.
func (s *Scheduler) waitMs(it *item, a workAhead) float64 {
	slots := float64(s.cfg.Slots)
	if a.requests+float64(a.occupied)+1 <= slots {
		return 0
	}
	tokens := s.tierTokens(it.tier)
	rest := float64(a.occupied) - slots + 1
	work := a.tokens*float64(s.tokenMs) + a.requests*float64(s.firstTokenMs) + rest*s.occupancyMs(tokens)
	wait := math.Max(0, work/slots) / math.Max(1-it.tier.shareAbove, minShareLeft)
	if floor := &it.class.floor; s.floorsOn() && floor.percent > 0 {
		position := math.Min(a.requests, float64(it.class.waiting))
		missing := math.Max(0, position*tokens+it.cost()-floor.credit)
		wait = math.Min(wait, missing*100/floor.percent*float64(s.tokenMs)/slots+s.occupancyMs(tokens)/slots)
	}
	return wait
}

// tierTokens returns the mean number of output tokens of a request in tier t, or
// Config.InitialOutputTokens before the first request of the tier has ended.
func (s *Scheduler) tierTokens(t *tierQueue) float64 {
	if t.tokens > 0 {
		return float64(t.tokens)
	}
	return float64(s.cfg.InitialOutputTokens)
}

// verdict returns the estimate for a request, which need not be queued yet.
func (s *Scheduler) verdict(it *item) Verdict {
	a := s.ahead(it)
	wait := s.waitMs(it, a)
	behind := math.Max(1, a.requests+float64(a.occupied-s.cfg.Slots)+1)
	retry := clock.Millis(math.Ceil(behind / s.completionsPerMs()))
	return Verdict{
		QueuePosition: int(a.requests),
		WaitMs:        clock.Millis(wait),
		LowestTier:    s.lowestTier(),
		Feasible:      !s.draining && s.feasible(it, wait, arrivalMargin),
		RetryAfterMs:  min(max(retry, minRetryAfter), maxRetryAfter),
		Leaving:       s.draining,
	}
}

// lowestTier returns the lowest tier (largest number) with a waiting or preemptible
// request, or NoTier.
func (s *Scheduler) lowestTier() int {
	for i := len(s.tiers) - 1; i >= 0; i-- {
		if s.tiers[i].waiting > 0 || s.preemptible[i] > 0 {
			return i
		}
	}
	return NoTier
}
