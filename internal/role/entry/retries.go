package entry

import (
	"math/rand/v2"
	"sync"

	"github.com/damaskport/damaskport/internal/policy/retry"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// retryBudgets enforces a retry budget for each pool, so that retries cannot
// amplify an overload. It is safe for concurrent use.
type retryBudgets struct {
	clock clock.Clock
	mu    sync.Mutex
	pools map[string]*retry.Budget
	rnd   *rand.Rand
}

func newRetryBudgets(c clock.Clock) *retryBudgets {
	return &retryBudgets{clock: c, pools: map[string]*retry.Budget{}, rnd: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
}

// budget returns the retry budget of a pool. The caller must hold mu.
func (r *retryBudgets) budget(pool string) *retry.Budget {
	b := r.pools[pool]
	if b == nil {
		b = retry.NewBudget(retry.Config{})
		r.pools[pool] = b
	}
	return b
}

// allow reports whether another attempt at j may follow one with the outcome, and
// charges the retry budget for it.
func (r *retryBudgets) allow(j *job, outcome retry.Outcome) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if outcome == retry.OutcomeFailed && j.delivered > 0 && j.preemptible && j.failures < maxAttempts {
		// Resuming after the delivered tokens generates none of them again, so it
		// is not charged to the budget: a zone failure interrupts more streams at
		// once than a budget allows.
		return true
	}
	d := r.budget(j.pool.Name).Decide(r.clock.Now(), retry.Attempt{
		Outcome: outcome, Protected: j.request.Protected, Delivered: j.delivered, Resumable: j.preemptible,
		Attempts: j.failures + 1, MaxAttempts: maxAttempts,
	}, r.rnd)
	return d.Retry
}

// success records an answered request, which adds to the retry budget of the pool.
func (r *retryBudgets) success(pool string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(pool).Success()
}
