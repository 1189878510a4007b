// Package retry decides whether a failed attempt is retried and after which
// back-off, and whether a slow attempt is hedged by a second one. It is a pure state
// machine and is not safe for concurrent use.
//
// Retries and hedges of a pool share one budget: each success adds a fraction of a
// retry and each retry or hedge takes a whole one, so that extra attempts never
// exceed Config.Burst plus Config.Percent of the successes. In an overload, where
// few attempts succeed, retries stop as well.
package retry

import (
	"math/rand/v2"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	defaultPercent  = 10
	defaultBurst    = 10
	minBackoffBound = 50 * clock.Millisecond // upper bound of the first back-off
	maxBackoffBound = 5 * clock.Second       // upper bound of any back-off without Retry-After
	// retryAfterSpread is the maximum jitter added to Retry-After, relative to it.
	retryAfterSpread = 0.25
)

// Config configures a Budget. Zero values select defaults.
type Config struct {
	// Percent is the number of retries earned by 100 successes; default 10.
	Percent int
	// Burst is the number of retries that the budget holds at most; default 10.
	Burst int
}

// Outcome is how an attempt ended.
type Outcome int

// Outcomes of attempts.
const (
	// OutcomeNotRun means that the attempt was certainly not started.
	OutcomeNotRun Outcome = iota + 1
	// OutcomeFailed means that the attempt started and failed.
	OutcomeFailed
	// OutcomeUnknown means that the attempt may have run.
	OutcomeUnknown
	// OutcomePreempted means that the attempt was stopped in favor of a higher tier.
	OutcomePreempted
)

// Attempt describes a request whose latest attempt ended without success.
type Attempt struct {
	Outcome Outcome
	// Protected is set if the request must run at most once.
	Protected bool
	// Delivered is the number of tokens already sent to the caller.
	Delivered int
	// Resumable is set if a new attempt can continue after the delivered tokens.
	Resumable bool
	// Attempts is the number of attempts so far, at least 1; MaxAttempts is the maximum
	// number of attempts, 0 for none.
	Attempts    int
	MaxAttempts int
	// DeadlineMs is the time at or after which no attempt is started; 0 for none.
	DeadlineMs clock.Millis
	// RetryAfterMs is the minimum back-off that the peer requested; 0 for none.
	RetryAfterMs clock.Millis
}

// Decision is the result of Budget.Decide.
type Decision struct {
	Retry bool
	// WaitMs is the back-off before the retry.
	WaitMs clock.Millis
	// Reason is why the attempt is not retried; empty if Retry is set.
	Reason Reason
}

// Reason is why an attempt is not retried.
type Reason string

// Reasons not to retry.
const (
	ReasonProtected   Reason = "protected" // must run at most once and may have run
	ReasonDelivered   Reason = "delivered" // tokens were delivered and the answer cannot be resumed
	ReasonMaxAttempts Reason = "bound"     // maximum number of attempts reached
	ReasonDeadline    Reason = "deadline"  // back-off would reach the deadline
	ReasonBudget      Reason = "budget"    // retry budget exhausted
)

// Budget is the retry budget of one pool.
type Budget struct {
	cfg        Config
	hundredths int // remaining budget in hundredths of a retry
}

// NewBudget returns a full budget.
func NewBudget(cfg Config) *Budget {
	if cfg.Percent <= 0 {
		cfg.Percent = defaultPercent
	}
	if cfg.Burst <= 0 {
		cfg.Burst = defaultBurst
	}
	return &Budget{cfg: cfg, hundredths: cfg.Burst * 100}
}

// Success records a successful attempt, which adds Config.Percent hundredths of a
// retry up to Config.Burst.
func (b *Budget) Success() {
	b.hundredths = min(b.hundredths+b.cfg.Percent, b.cfg.Burst*100)
}

// Left returns the number of whole retries left.
func (b *Budget) Left() int {
	return b.hundredths / 100
}

// take takes one retry from the budget, if there is one.
func (b *Budget) take() bool {
	if b.hundredths < 100 {
		return false
	}
	b.hundredths -= 100
	return true
}

// Decide returns whether and when to retry a, and takes the retry from the budget.
// A retry after a preemption is immediate and takes nothing: the preempted attempt
// has released its slot, so the retry adds no load.
func (b *Budget) Decide(now clock.Millis, a Attempt, rnd *rand.Rand) Decision {
	wait := Backoff(a.Attempts, a.RetryAfterMs, rnd)
	if a.Outcome == OutcomePreempted {
		wait = 0
	}
	reason := b.reasonAgainst(now, a, wait)
	if reason != "" {
		return Decision{Reason: reason}
	}
	return Decision{Retry: true, WaitMs: wait}
}

// reasonAgainst is ReasonNotToRetry including the budget, from which it takes the retry.
func (b *Budget) reasonAgainst(now clock.Millis, a Attempt, wait clock.Millis) Reason {
	reason := ReasonNotToRetry(now, a, wait)
	if reason == "" && a.Outcome != OutcomePreempted && !b.take() {
		return ReasonBudget
	}
	return reason
}

// ReasonNotToRetry returns the reason not to retry a after a back-off of wait, regardless of
// the budget; empty if there is none.
func ReasonNotToRetry(now clock.Millis, a Attempt, wait clock.Millis) Reason {
	switch {
	case a.Protected && a.Outcome != OutcomeNotRun:
		return ReasonProtected
	case a.Delivered > 0 && !a.Resumable:
		return ReasonDelivered
	case a.Outcome == OutcomePreempted:
		return ""
	case a.MaxAttempts > 0 && a.Attempts >= a.MaxAttempts:
		return ReasonMaxAttempts
	case a.DeadlineMs > 0 && now+wait >= a.DeadlineMs:
		return ReasonDeadline
	}
	return ""
}

// Pending describes a running attempt that may be hedged.
type Pending struct {
	// Protected is set if the request must run at most once.
	Protected bool
	// FirstToken is set once the first token has arrived.
	FirstToken bool
	// Hedged is set if a second attempt was already started for the request.
	Hedged bool
	// WaitedMs is the time since the attempt started.
	WaitedMs clock.Millis
}

// Hedge reports whether to start a second attempt in parallel to p, and if so takes
// it from the budget. p95 is the time to first token that 95 of 100 attempts do not
// exceed, and known is set if there were enough samples for it; see Latency.P95.
func (b *Budget) Hedge(p Pending, p95 clock.Millis, known bool) bool {
	if p.Protected || p.FirstToken || p.Hedged || !known || p.WaitedMs < p95 {
		return false
	}
	return b.take()
}

// Backoff returns the wait in ms before the next attempt, given the number of
// attempts so far: a random time up to a bound that doubles from 50 ms to 5 s. With
// a retryAfter, it is at least retryAfter, plus a random time up to that bound or a
// quarter of retryAfter, whichever is longer.
func Backoff(attempts int, retryAfter clock.Millis, rnd *rand.Rand) clock.Millis {
	bound := minBackoffBound
	for i := 1; i < attempts && bound < maxBackoffBound; i++ {
		bound = min(2*bound, maxBackoffBound)
	}
	if retryAfter > 0 {
		spread := max(bound, clock.Millis(float64(retryAfter)*retryAfterSpread))
		return retryAfter + clock.Millis(rnd.Int64N(int64(spread)+1))
	}
	return clock.Millis(rnd.Int64N(int64(bound) + 1))
}

// ReturnAfter returns the Retry-After of a caller that resumes an answer and has left ms: after, but
// at most half of left, so that the rest of the answer can still be of use. It is 0 if after is.
func ReturnAfter(after, left clock.Millis) clock.Millis {
	return min(after, max(left/2, 1))
}
