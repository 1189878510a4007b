package exchange_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/damaskport/damaskport/internal/caller/exchange"
)

// TestLatch plays both orders of an answer and its timer. It guards against timers that cut an
// answer that has begun, and against answers that begin although they were given up.
func TestLatch(t *testing.T) {
	type result struct {
		Begun []bool
		Ended int
	}
	for _, tc := range []struct {
		name, steps string // b: Begin, g: GiveUp
		want        result
	}{
		{"the answer comes first", "bg", result{[]bool{true}, 0}},
		{"the timer comes first", "gb", result{[]bool{false}, 1}},
		{"a resumed answer", "bgb", result{[]bool{true, true}, 0}},
		{"two timers", "ggb", result{[]bool{false}, 1}},
	} {
		var l exchange.Latch
		var got result
		for _, step := range tc.steps {
			if step == 'b' {
				got.Begun = append(got.Begun, l.Begin())
			} else {
				l.GiveUp(func() { got.Ended++ })
			}
		}
		if diff := cmp.Diff(tc.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", tc.name, diff)
		}
	}
}
