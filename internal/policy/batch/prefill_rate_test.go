package batch_test

import (
	"fmt"
	"testing"

	"github.com/damaskport/damaskport/internal/policy/batch"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// TestQueueBypassFollowsPrefillRate checks that the queue bypass depends on the
// prefill time of a prompt, not on its tokens, at engines with low and high
// prefill rates.
func TestQueueBypassFollowsPrefillRate(t *testing.T) {
	for _, speed := range []float64{8, 45, 200} {
		t.Run(fmt.Sprint(speed), func(t *testing.T) {
			s := batch.New(batch.Config{Slots: 64, MemoryTokens: 1_000_000})
			now := clock.Millis(0)
			for i := range 30 {
				// Prompts that are prefilled one at a time let the scheduler
				// measure the rate.
				id := fmt.Sprint("taught", i)
				submit(s, now, id, func(r *batch.Request) { r.UncachedTokens, r.DeadlineMs = 20_000, now+60_000 })
				for range 400 {
					if len(granted(s)) > 0 {
						break
					}
					now += 10
					s.Tick(now)
				}
				now += clock.Millis(20_000 / speed)
				s.FirstEvent(now, id)
				s.Done(now, id)
			}
			now += 60_000
			s.Tick(now)
			submit(s, now, "read", func(r *batch.Request) { r.UncachedTokens, r.DeadlineMs = int(200*speed), now+60_000 })
			if got := granted(s); len(got) != 1 {
				t.Fatalf("granted %v, want the first prompt", got)
			}
			submit(s, now, "step", func(r *batch.Request) { r.UncachedTokens, r.DeadlineMs = int(20*speed), now+60_000 })
			if got := granted(s); len(got) != 1 {
				t.Errorf("a prompt of 20 ms was queued")
			}
			submit(s, now, "long", func(r *batch.Request) { r.UncachedTokens, r.DeadlineMs = int(100*speed), now+60_000 })
			if got := granted(s); len(got) != 0 {
				t.Errorf("a prompt of 100 ms was granted while another one is prefilled: %v", got)
			}
		})
	}
}
