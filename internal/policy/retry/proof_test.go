package retry_test

import (
	"fmt"
	"testing"

	"github.com/damaskport/damaskport/internal/policy/retry"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// TestProofHasTimeUntilItsRequestHasNone guards against giving up the proof of an answer before the time of
// its request is up, if no further attempt needs that time.
func TestProofHasTimeUntilItsRequestHasNone(t *testing.T) {
	const grace = retry.ProofGrace
	for _, tc := range []struct {
		left    clock.Millis
		another bool
		want    clock.Millis
	}{
		{5000, false, 2000}, {5000, true, 2000}, {1000, true, 500}, {200, true, 100}, {1000, false, 1000 + grace},
		{199, true, 199 + grace}, {10, true, 10 + grace}, {10, false, 10 + grace}, {1, false, 1 + grace},
		{0, false, grace}, {0, true, grace}, {-3, false, grace},
	} {
		if got := retry.ProofTime(tc.left, tc.another); got != tc.want {
			t.Errorf("%d ms left, another attempt %v: %d ms, want %d", tc.left, tc.another, got, tc.want)
		}
	}
}

func ExampleProofTime() {
	fmt.Println(retry.ProofTime(600, true), retry.ProofTime(20, true))
	// Output: 300 170
}
