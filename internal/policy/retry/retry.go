// Package retry decides whether a failed attempt is repeated, whether a slow
// one is hedged, and how long to wait before. It is a pure state machine and is
// not safe for concurrent use.
//
// Retries and hedges of a pool share one budget: each success earns a part of
// a retry and each retry or hedge costs a whole one, so that extra attempts
// never exceed Config.Burst plus Config.Percent of the successes. In an
// overload, where successes stop growing, retries stop as well.
package retry

import (
	"math/rand/v2"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	defaultPercent = 10
	defaultBurst   = 10
	firstBackoff   = 50 * clock.Millisecond
	lastBackoff    = 5 * clock.Second
	// retryAfterSpread is the part of Retry-After by which callers are spread.
	retryAfterSpread = 0.25
)

// Config configures a Budget. Zero values take defaults.
type Config struct {
	// Percent is the number of retries earned by 100 successes.
	Percent int
	// Burst is the number of retries that can be saved up.
	Burst int
}

// Outcome is how an attempt ended.
type Outcome int

// Outcomes of attempts.
const (
	// OutcomeNotRun is an attempt that was certainly not started.
	OutcomeNotRun Outcome = iota + 1
	// OutcomeFailed is an attempt that started and failed.
	OutcomeFailed
	// OutcomeUnknown is an attempt that may have run.
	OutcomeUnknown
	// OutcomePreempted is an attempt that was stopped for a higher tier.
	OutcomePreempted
)

// Attempt describes a request after an attempt ended without success.
type Attempt struct {
	Outcome Outcome
	// Protected requests run at most once.
	Protected bool
	// Delivered is the number of tokens that the caller has already.
	Delivered int
	// Resumable tells that an answer may go on from delivered tokens.
	Resumable bool
	// Number of attempts so far, at least 1, and their bound.
	Number int
	Bound  int
	// DeadlineMs is the last time at which an attempt is useful; 0 for none.
	DeadlineMs clock.Millis
	// RetryAfterMs is the wait that the peer asked for; 0 for none.
	RetryAfterMs clock.Millis
}

// Decision tells whether to try again and after which wait.
type Decision struct {
	Retry  bool
	WaitMs clock.Millis
	// Reason tells why not; empty if Retry.
	Reason Reason
}

// Reason tells why an attempt is not repeated.
type Reason string

// Reasons against a retry.
const (
	ReasonProtected Reason = "protected"
	ReasonDelivered Reason = "delivered"
	ReasonBound     Reason = "bound"
	ReasonDeadline  Reason = "deadline"
	ReasonBudget    Reason = "budget"
)

// Budget is the retry budget of one pool.
type Budget struct {
	cfg Config
	// left is in hundredths of a retry.
	left int
}

// NewBudget returns a full budget.
func NewBudget(cfg Config) *Budget {
	if cfg.Percent <= 0 {
		cfg.Percent = defaultPercent
	}
	if cfg.Burst <= 0 {
		cfg.Burst = defaultBurst
	}
	return &Budget{cfg: cfg, left: cfg.Burst * 100}
}

// Success records an attempt that succeeded.
func (b *Budget) Success() {
	b.left = min(b.left+b.cfg.Percent, b.cfg.Burst*100)
}

// Left returns the number of retries left.
func (b *Budget) Left() int {
	return b.left / 100
}

func (b *Budget) take() bool {
	if b.left < 100 {
		return false
	}
	b.left -= 100
	return true
}

// Decide tells whether to repeat a after its last attempt, and takes the retry
// from the budget. A preempted attempt costs nothing: it was stopped by the
// system, holds no slot, and its repetition adds no load.
func (b *Budget) Decide(now clock.Millis, a Attempt, rnd *rand.Rand) Decision {
	wait := Backoff(a.Number, a.RetryAfterMs, rnd)
	if a.Outcome == OutcomePreempted {
		wait = 0
	}
	reason := b.against(now, a, wait)
	if reason != "" {
		return Decision{Reason: reason}
	}
	return Decision{Retry: true, WaitMs: wait}
}

func (b *Budget) against(now clock.Millis, a Attempt, wait clock.Millis) Reason {
	reason := Against(now, a, wait)
	if reason == "" && a.Outcome != OutcomePreempted && !b.take() {
		return ReasonBudget
	}
	return reason
}

// Against returns why a must not be repeated after wait, whatever the budget;
// empty if it may.
func Against(now clock.Millis, a Attempt, wait clock.Millis) Reason {
	switch {
	case a.Protected && a.Outcome != OutcomeNotRun:
		return ReasonProtected
	case a.Delivered > 0 && !a.Resumable:
		return ReasonDelivered
	case a.Outcome == OutcomePreempted:
		return ""
	case a.Bound > 0 && a.Number >= a.Bound:
		return ReasonBound
	case a.DeadlineMs > 0 && now+wait >= a.DeadlineMs:
		return ReasonDeadline
	}
	return ""
}

// Pending describes an attempt that has not answered yet.
type Pending struct {
	Protected bool
	// FirstToken tells that the answer has begun.
	FirstToken bool
	// Hedged tells that the request was hedged already.
	Hedged bool
	// WaitedMs is the time since the attempt started.
	WaitedMs clock.Millis
}

// Hedge tells whether to start a second attempt beside p, and takes it from
// the budget. p95 is the first-token time that 95 of 100 attempts keep; known
// tells that enough of them were seen.
func (b *Budget) Hedge(p Pending, p95 clock.Millis, known bool) bool {
	if p.Protected || p.FirstToken || p.Hedged || !known || p.WaitedMs < p95 {
		return false
	}
	return b.take()
}

// Backoff returns the wait before the attempt after the given number of
// attempts: a random time below an exponentially growing bound, but never
// before retryAfter, past which callers are spread.
func Backoff(attempts int, retryAfter clock.Millis, rnd *rand.Rand) clock.Millis {
	bound := firstBackoff
	for i := 1; i < attempts && bound < lastBackoff; i++ {
		bound = min(2*bound, lastBackoff)
	}
	if retryAfter > 0 {
		spread := max(bound, clock.Millis(float64(retryAfter)*retryAfterSpread))
		return retryAfter + clock.Millis(rnd.Int64N(int64(spread)+1))
	}
	return clock.Millis(rnd.Int64N(int64(bound) + 1))
}
