package drain_test

import (
	"testing"

	"github.com/damaskport/damaskport/internal/policy/drain"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// TestLateLongRequestIsRefused plays callers that send 4 s after the signal to
// a process that ends at 7.4 s: a stream that lasts 4 s would be cut.
func TestLateLongRequestIsRefused(t *testing.T) {
	const end = 7400 * clock.Millisecond
	for name, tc := range map[string]struct {
		since, longest, most clock.Millis
		want                 bool
	}{
		"early, however long":                   {2000, 9000, 15000, true},
		"late and long":                         {4100, 4000, 15000, false},
		"late, may last longer than the others": {3500, 2700, 15000, false},
		"late and short":                        {4100, 300, 1000, true},
		"late, never seen before":               {4100, 0, 15000, false},
		"late, bounded by its timeout":          {4100, 5000, 1000, true},
		"at the end":                            {7390, 30, 1000, false},
	} {
		if got := drain.Takes(tc.since, end, tc.longest, tc.most); got != tc.want {
			t.Errorf("%s: Takes = %t", name, got)
		}
	}
}

func TestDurationsForgetOldOnes(t *testing.T) {
	d := drain.NewDurations()
	d.Add("r", 5000)
	for range 64 {
		d.Add("r", 100)
	}
	if got := d.Longest("r"); got != 100 {
		t.Errorf("Longest = %d, want 100", got)
	}
	d.Add("new", 100)
	if got := d.Longest("new"); got != 0 {
		t.Errorf("Longest of one duration = %d, want 0: it tells nothing", got)
	}
	if got := d.Longest("other"); got != 0 {
		t.Errorf("Longest of an unknown route = %d, want 0", got)
	}
}
