package drain_test

import (
	"testing"

	"github.com/damaskport/damaskport/internal/policy/drain"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// TestLongRequestRefusedNearShutdown covers requests sent about 4 s after the
// shutdown signal to a process that exits at 7.4 s: a 4 s stream would be cut off.
func TestLongRequestRefusedNearShutdown(t *testing.T) {
	const end = 7400 * clock.Millisecond
	for name, tc := range map[string]struct {
		since, most clock.Millis
		want        bool
	}{
		"early, long": {2000, 15000, true},
		"late, long":  {4100, 15000, false},
		"late, typically short but possibly long": {3280, 12000, false}, // earlier requests lasted 2.5 s, this one 4 s
		"late, short":                        {4100, 1000, true},
		"late, ends 1 ms before the process": {4100, 3299, true},
		"late, ends with the process":        {4100, 3300, false},
		"10 ms before the process exits":     {7390, 1000, false},
	} {
		if got := drain.Accepts(tc.since, end, tc.most); got != tc.want {
			t.Errorf("%s: Takes = %t", name, got)
		}
	}
}

func TestTypicalUsesRecentDurations(t *testing.T) {
	d := drain.NewAnswerDurations()
	for range 40 {
		d.Add("r", 5000)
	}
	if got := d.Median("r"); got != 5000 {
		t.Errorf("Typical = %d, want 5000", got)
	}
	for range 64 {
		d.Add("r", 100)
	}
	if got := d.Median("r"); got != 100 {
		t.Errorf("Typical = %d, want 100", got)
	}
	if got := d.Median("other"); got != 0 {
		t.Errorf("Typical of an unknown route = %d, want 0", got)
	}
}

// TestNeedIsCappedBelowTotalTime covers a route whose only recorded answer took
// longer than the next request's total time: the next request must still be able to
// start.
func TestNeedIsCappedBelowTotalTime(t *testing.T) {
	const whole = 4000 * clock.Millisecond
	d := drain.NewAnswerDurations()
	d.Add("r", 4244)
	if got := d.ExpectedDuration("r", whole); got >= whole {
		t.Errorf("Need = %d of %d: no request of the route would ever be accepted", got, whole)
	}
	d = drain.NewAnswerDurations()
	d.Add("r", 318)
	if got := d.ExpectedDuration("r", whole); got != 318 {
		t.Errorf("Need = %d, want 318", got)
	}
}

// TestRequestAfterAShortDrainIsRefused guards against accepting a request after all others were given up.
func TestRequestAfterAShortDrainIsRefused(t *testing.T) {
	const end = 1950 * clock.Millisecond
	for since, want := range map[clock.Millis]bool{0: true, end: true, end + 1: false, 2700: false} {
		if got := drain.Accepts(since, end, clock.Second); got != want {
			t.Errorf("%d ms after the signal: Accepts = %t, want %t", since, got, want)
		}
	}
}
