package batch_test

import (
	"fmt"
	"testing"

	"github.com/damaskport/damaskport/internal/policy/batch"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// TestQueueBypassFollowsPrefillRate checks, for engines with low and high prefill
// rates, that whether a prompt bypasses the queue depends on its prefill time at the
// measured rate, not on its number of tokens.
func TestQueueBypassFollowsPrefillRate(t *testing.T) {
	for _, prefillRate := range []float64{8, 45, 200} {
		t.Run(fmt.Sprint(prefillRate), func(t *testing.T) {
			s := batch.New(batch.Config{Slots: 64, MemoryTokens: 1_000_000})
			now := clock.Millis(0)
			for i := range 30 {
				// Prompts that are prefilled one at a time let the scheduler
				// measure the rate.
				id := fmt.Sprint("measured-", i)
				submit(s, now, id, func(r *batch.Request) { r.UncachedTokens, r.DeadlineMs = 20_000, now+60_000 })
				for range 400 {
					if len(granted(s)) > 0 {
						break
					}
					now += 10
					s.Tick(now)
				}
				now += clock.Millis(20_000 / prefillRate)
				s.FirstEvent(now, id)
				s.Done(now, id)
			}
			now += 60_000
			s.Tick(now)
			submit(s, now, "prefilling", func(r *batch.Request) { r.UncachedTokens, r.DeadlineMs = int(200*prefillRate), now+60_000 })
			if got := granted(s); len(got) != 1 {
				t.Fatalf("granted %v, want the first prompt", got)
			}
			submit(s, now, "20ms-prompt", func(r *batch.Request) { r.UncachedTokens, r.DeadlineMs = int(20*prefillRate), now+60_000 })
			if got := granted(s); len(got) != 1 {
				t.Errorf("a prompt with a prefill time of 20 ms was queued, want it granted at once")
			}
			submit(s, now, "100ms-prompt", func(r *batch.Request) { r.UncachedTokens, r.DeadlineMs = int(100*prefillRate), now+60_000 })
			if got := granted(s); len(got) != 0 {
				t.Errorf("a prompt with a prefill time of 100 ms was granted while another one is prefilled: %v", got)
			}
		})
	}
}
