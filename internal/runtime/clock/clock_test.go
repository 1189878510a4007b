package clock_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// TestFullPeriodIsNeverShort guards against periods that end before they are over, since the reading at
// their beginning was rounded down.
func TestFullPeriodIsNeverShort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		began := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "began"))
		d := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "d")).Truncate(time.Millisecond)
		end := clock.FromDuration(began).AddFull(clock.FromDuration(d)).Duration()
		if took := end - began; took < d || took > d+time.Millisecond {
			t.Fatalf("a period of %v that began at %v took %v", d, began, took)
		}
	})
}

// TestSecondsAreNotCut guards against windows that are 1 ms shorter than configured.
func TestSecondsAreNotCut(t *testing.T) {
	for ms := clock.Millis(0); ms <= clock.Minute; ms++ {
		if got := clock.FromSeconds(ms.Duration().Seconds()); got != ms {
			t.Errorf("%v s: %d ms", ms.Duration().Seconds(), got)
		}
	}
}

func ExampleMillis_AddFull() {
	arrived := clock.Millis(1000) // the exact time may be 1000.9 ms
	fmt.Println(arrived.AddFull(300))
	// Output: 1301
}
