package retry_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/damaskport/damaskport/internal/policy/retry"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// TestWindowsOfAllInstancesStayWithinBound has instances that share a bound send every
// retry that they may, while requests arrive in bursts: in no window may the retries
// of all instances exceed ratio x requests + slack. The bound is defined on the
// maximum number of requests of three windows: that one, the one before it and the one
// that starts half a window earlier.
func TestWindowsOfAllInstancesStayWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := retry.WindowLimit{Ratio: 0.2, Slack: 20, WindowMs: 10 * clock.Second}
		n := rapid.IntRange(1, 6).Draw(t, "entries")
		instances := make([]*retry.WindowBudget, n)
		for i := range instances {
			instances[i] = retry.NewWindowBudget(bound)
		}
		const step = 100 * clock.Millisecond
		var requests, retries []int
		for now := clock.Millis(0); now < 40*clock.Second; now += step {
			requestsSent, retriesSent := 0, 0
			load := rapid.SampledFrom([]int{0, 0, 0, 1, 5}).Draw(t, "load")
			for _, w := range instances {
				for range load {
					w.Request(now)
					requestsSent++
				}
				for w.Take(now, n) {
					retriesSent++
				}
			}
			requests, retries = append(requests, requestsSent), append(retries, retriesSent)
		}
		width := int(bound.WindowMs / step)
		sum := func(v []int, from int) int {
			s := 0
			for i := max(from, 0); i < min(from+width, len(v)); i++ {
				s += v[i]
			}
			return s
		}
		for from := range retries {
			got := sum(retries, from)
			base := max(sum(requests, from), sum(requests, from-width), sum(requests, from-width/2))
			if most := bound.Ratio*float64(base) + bound.Slack; float64(got) > most {
				t.Fatalf("%d retries in the window from step %d, want at most %.1f", got, from, most)
			}
		}
	})
}
