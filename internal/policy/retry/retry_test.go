package retry_test

import (
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/damaskport/damaskport/internal/policy/retry"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

func newRand() *rand.Rand { return rand.New(rand.NewPCG(20261203, 1)) }

// TestRetriesBoundedDuringOutage has a pool in which all attempts fail, and later
// nine of ten: the retries must stay within the burst plus a tenth of the successes.
func TestRetriesBoundedDuringOutage(t *testing.T) {
	b, rnd := retry.NewBudget(retry.Config{Percent: 10, Burst: 5}), newRand()
	extra, successes := 0, 0
	for i := range 10000 {
		if i > 1000 && i%10 == 0 {
			b.Success()
			successes++
			continue
		}
		if b.Decide(0, retry.Attempt{Outcome: retry.OutcomeFailed, Attempts: 1}, rnd).Retry {
			extra++
		}
	}
	if bound := 5 + successes/10; extra > bound || extra < bound-1 {
		t.Errorf("%d extra attempts after %d successes, want %d", extra, successes, bound)
	}
}

// TestDecide checks single decisions. A protected request must run at most once: it is retried
// only if the attempt certainly did not run.
func TestDecide(t *testing.T) {
	tests := []struct {
		name string
		a    retry.Attempt
		want retry.Decision
	}{
		{"protected and unknown", retry.Attempt{Outcome: retry.OutcomeUnknown, Protected: true, Attempts: 1}, retry.Decision{Reason: retry.ReasonProtected}},
		{"protected and failed", retry.Attempt{Outcome: retry.OutcomeFailed, Protected: true, Attempts: 1}, retry.Decision{Reason: retry.ReasonProtected}},
		{"protected and preempted", retry.Attempt{Outcome: retry.OutcomePreempted, Protected: true, Attempts: 1}, retry.Decision{Reason: retry.ReasonProtected}},
		{"delivered", retry.Attempt{Outcome: retry.OutcomeFailed, Delivered: 1, Attempts: 1}, retry.Decision{Reason: retry.ReasonDelivered}},
		{"bound", retry.Attempt{Outcome: retry.OutcomeFailed, Attempts: 3, MaxAttempts: 3}, retry.Decision{Reason: retry.ReasonMaxAttempts}},
		{"deadline", retry.Attempt{Outcome: retry.OutcomeNotRun, Attempts: 1, DeadlineMs: 1100, RetryAfterMs: 100}, retry.Decision{Reason: retry.ReasonDeadline}},
		{"preempted past the bound", retry.Attempt{Outcome: retry.OutcomePreempted, Delivered: 5, Resumable: true, Attempts: 9, MaxAttempts: 3}, retry.Decision{Retry: true}},
	}
	for _, tt := range tests {
		got := retry.NewBudget(retry.Config{}).Decide(1000, tt.a, newRand())
		if diff := cmp.Diff(tt.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", tt.name, diff)
		}
	}
}

func TestBackoffHonorsRetryAfter(t *testing.T) {
	rnd := newRand()
	var longest clock.Millis
	for i := range 1000 {
		if got := retry.Backoff(i%10, 2*clock.Second, rnd); got < 2*clock.Second {
			t.Fatalf("back-off of %d ms, want at least the Retry-After of 2000", got)
		}
		longest = max(longest, retry.Backoff(20, 0, rnd))
	}
	if longest > 5*clock.Second || longest < 4*clock.Second {
		t.Errorf("longest backoff %d ms, want up to 5000", longest)
	}
}

func TestHedge(t *testing.T) {
	b := retry.NewBudget(retry.Config{Burst: 1})
	l := retry.NewLatency()
	for i := range clock.Millis(99) {
		l.Add(0, i+1)
	}
	if _, known := l.P95(0); known {
		t.Error("P95 of 99 samples is known, want 100 samples required")
	}
	l.Add(0, 100)
	p95, known := l.P95(0)
	if !known || p95 < 94 || p95 > 96 {
		t.Errorf("p95 = %d known %t, want 95", p95, known)
	}
	slow := retry.Pending{WaitedMs: p95}
	got := []bool{
		b.Hedge(retry.Pending{WaitedMs: p95 - 1}, p95, known),
		b.Hedge(retry.Pending{WaitedMs: p95, Protected: true}, p95, known),
		b.Hedge(retry.Pending{WaitedMs: p95, FirstToken: true}, p95, known),
		b.Hedge(slow, p95, false),
		b.Hedge(slow, p95, known),
		b.Hedge(slow, p95, known),
	}
	if diff := cmp.Diff([]bool{false, false, false, false, true, false}, got); diff != "" {
		t.Errorf("hedges (-want +got):\n%s", diff)
	}
	if _, known := l.P95(2 * clock.Minute); known {
		t.Error("P95 of samples older than two windows is known")
	}
}

// TestReturnAfterLeavesTime guards against a Retry-After that ends after the caller's own time.
func TestReturnAfterLeavesTime(t *testing.T) {
	for _, tc := range []struct{ after, left, want clock.Millis }{{700, 5000, 700}, {5000, 1200, 600}, {700, 0, 1}, {0, 1000, 0}} {
		if got := retry.ReturnAfter(tc.after, tc.left); got != tc.want {
			t.Errorf("ReturnAfter(%d, %d) = %d, want %d", tc.after, tc.left, got, tc.want)
		}
	}
}
