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
		since, most clock.Millis
		want        bool
	}{
		"early, however long":       {2000, 15000, true},
		"late and long":             {4100, 15000, false},
		"late, and mostly short":    {3280, 12000, false}, // those before it lasted 2.5 s, this one 4
		"late and short":            {4100, 1000, true},
		"late, ends just in time":   {4100, 3299, true},
		"late, ends with the entry": {4100, 3300, false},
		"at the end":                {7390, 1000, false},
	} {
		if got := drain.Takes(tc.since, end, tc.most); got != tc.want {
			t.Errorf("%s: Takes = %t", name, got)
		}
	}
}

func TestDurationsForgetOldOnes(t *testing.T) {
	d := drain.NewDurations()
	for range 40 {
		d.Add("r", 5000)
	}
	if got := d.Typical("r"); got != 5000 {
		t.Errorf("Typical = %d, want 5000", got)
	}
	for range 64 {
		d.Add("r", 100)
	}
	if got := d.Typical("r"); got != 100 {
		t.Errorf("Typical = %d, want 100", got)
	}
	if got := d.Typical("other"); got != 0 {
		t.Errorf("Typical of an unknown route = %d, want 0", got)
	}
}

// TestNeedLeavesATry plays a route whose only answer took longer than the next
// request may: that one still fits into its time when it comes.
func TestNeedLeavesATry(t *testing.T) {
	const whole = 4000 * clock.Millisecond
	d := drain.NewDurations()
	d.Add("r", 4244)
	if got := d.Need("r", whole); got >= whole {
		t.Errorf("Need = %d of %d: no request would ever start", got, whole)
	}
	d = drain.NewDurations()
	d.Add("r", 318)
	if got := d.Need("r", whole); got != 318 {
		t.Errorf("Need = %d, want 318", got)
	}
}
