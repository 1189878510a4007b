package retry_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/damaskport/damaskport/internal/policy/retry"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// TestWindowKeepsTheBound plays entries that share a bound and take every
// repeat that they are given, while requests come in bursts: in no window may
// the repeats of all exceed ratio x requests + slack. As those who set the
// bound count it, the requests are the most of that window, the one before and
// the one half a window before.
func TestWindowKeepsTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := retry.Bound{Ratio: 0.2, Slack: 20, WindowMs: 10 * clock.Second}
		n := rapid.IntRange(1, 6).Draw(t, "entries")
		entries := make([]*retry.Window, n)
		for i := range entries {
			entries[i] = retry.NewWindow(bound)
		}
		const step = 100 * clock.Millisecond
		var requests, repeats []int
		for now := clock.Millis(0); now < 40*clock.Second; now += step {
			asked, taken := 0, 0
			load := rapid.SampledFrom([]int{0, 0, 0, 1, 5}).Draw(t, "load")
			for _, w := range entries {
				for range load {
					w.Request(now)
					asked++
				}
				for w.Take(now, n) {
					taken++
				}
			}
			requests, repeats = append(requests, asked), append(repeats, taken)
		}
		width := int(bound.WindowMs / step)
		sum := func(v []int, from int) int {
			s := 0
			for i := max(from, 0); i < min(from+width, len(v)); i++ {
				s += v[i]
			}
			return s
		}
		for from := range repeats {
			got := sum(repeats, from)
			base := max(sum(requests, from), sum(requests, from-width), sum(requests, from-width/2))
			if most := bound.Ratio*float64(base) + bound.Slack; float64(got) > most {
				t.Fatalf("%d repeats in the window from step %d, at most %.1f", got, from, most)
			}
		}
	})
}
