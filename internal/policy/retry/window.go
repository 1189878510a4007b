package retry

import (
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// ratioMargin is the fraction of WindowLimit.Ratio that an instance uses. The rest is a
// reserve because the windows of other instances, and of whoever verifies the bound,
// start at other times.
const ratioMargin = 0.8

// bucketMs is the width of the buckets in which a window counts.
const bucketMs = 500 * clock.Millisecond

// WindowLimit limits the retries of a pool over all instances that send to it: in any
// window of WindowMs, at most Ratio times the pool's requests plus Slack.
type WindowLimit struct {
	Ratio    float64 // retries per request, for example 0.2
	Slack    float64 // retries
	WindowMs clock.Millis
}

// bucket counts the requests and retries of bucketMs from startMs on.
type bucket struct {
	startMs  clock.Millis
	requests int
	retries  int
}

// WindowBudget enforces one instance's part of a WindowLimit in a sliding window, without
// coordination between instances: the ratio applies to the instance's own requests,
// and the slack is divided equally. It is not safe for concurrent use.
type WindowBudget struct {
	cfg     WindowLimit
	buckets []bucket // oldest first
}

// NewWindowBudget returns a WindowBudget without requests or retries.
func NewWindowBudget(b WindowLimit) *WindowBudget { return &WindowBudget{cfg: b} }

// SetLimit changes the bound. Requests and retries counted so far are kept.
func (w *WindowBudget) SetLimit(cfg WindowLimit) { w.cfg = cfg }

// bucketAt returns the bucket of now and removes those that left the window.
func (w *WindowBudget) bucketAt(now clock.Millis) *bucket {
	start := now - now%bucketMs
	for len(w.buckets) > 0 && w.buckets[0].startMs <= start-w.cfg.WindowMs-bucketMs {
		w.buckets = w.buckets[1:]
	}
	if n := len(w.buckets); n > 0 && w.buckets[n-1].startMs == start {
		return &w.buckets[n-1]
	}
	w.buckets = append(w.buckets, bucket{startMs: start})
	return &w.buckets[len(w.buckets)-1]
}

// Request counts a request received from a caller.
func (w *WindowBudget) Request(now clock.Millis) { w.bucketAt(now).requests++ }

// Left returns the number of retries that this instance may send now, given the
// number of instances that share the slack. It is negative if more retries were sent
// than the current window allows.
func (w *WindowBudget) Left(now clock.Millis, instances int) int {
	w.bucketAt(now)
	requests, retries := 0, 0
	for _, k := range w.buckets {
		requests += k.requests
		retries += k.retries
	}
	share := w.cfg.Slack / float64(max(instances, 1))
	return int(w.cfg.Ratio*ratioMargin*float64(requests)+share) - retries
}

// Take counts one retry and returns true, or returns false if none is left.
func (w *WindowBudget) Take(now clock.Millis, instances int) bool {
	if w.Left(now, instances) < 1 {
		return false
	}
	w.bucketAt(now).retries++
	return true
}
