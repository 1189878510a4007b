package entry

import (
	"math/rand/v2"
	"sync"

	"github.com/damaskport/damaskport/internal/policy/retry"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// retries bounds, by pool, how many requests are tried again, so that retries
// never amplify an overload.
type retries struct {
	clock clock.Clock
	mu    sync.Mutex
	pools map[string]*retry.Budget
	rnd   *rand.Rand
}

func newRetries(c clock.Clock) *retries {
	return &retries{clock: c, pools: map[string]*retry.Budget{}, rnd: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
}

func (r *retries) budget(pool string) *retry.Budget {
	b := r.pools[pool]
	if b == nil {
		b = retry.NewBudget(retry.Config{})
		r.pools[pool] = b
	}
	return b
}

// allow decides whether j may be tried again after an attempt with outcome.
func (r *retries) allow(j *job, outcome retry.Outcome) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if outcome == retry.OutcomeFailed && j.delivered > 0 && j.preemptible && j.failures < maxAttempts {
		// Going on from the tokens delivered repeats no work, so that it needs
		// no budget: a zone's crash interrupts more streams than one holds.
		return true
	}
	d := r.budget(j.pool.Name).Decide(r.clock.Now(), retry.Attempt{
		Outcome: outcome, Protected: j.request.Protected, Delivered: j.delivered, Resumable: j.preemptible,
		Attempts: j.failures + 1, MaxAttempts: maxAttempts,
	}, r.rnd)
	return d.Retry
}

// success records a request that was answered.
func (r *retries) success(pool string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(pool).Success()
}
