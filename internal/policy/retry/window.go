package retry

import (
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// ratioMargin is the fraction of Bound.Ratio that an instance uses. The rest is a
// reserve because the windows of other instances, and of whoever verifies the bound,
// start at other times.
const ratioMargin = 0.8

// bucketMs is the width of the buckets in which a window counts.
const bucketMs = 500 * clock.Millisecond

// Bound limits the retries of a pool over all instances that send to it: in any
// window of WindowMs, at most Ratio times the pool's requests plus Slack.
type Bound struct {
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

// Window enforces one instance's part of a Bound in a sliding window, without
// coordination between instances: the ratio applies to the instance's own requests,
// and the slack is divided equally. It is not safe for concurrent use.
type Window struct {
	cfg     Bound
	buckets []bucket // oldest first
}

// NewWindow returns a Window without requests or retries.
func NewWindow(b Bound) *Window { return &Window{cfg: b} }

// SetBound changes the bound. Requests and retries counted so far are kept.
func (w *Window) SetBound(cfg Bound) { w.cfg = cfg }

// bucketAt returns the bucket of now and removes those that left the window.
func (w *Window) bucketAt(now clock.Millis) *bucket {
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
func (w *Window) Request(now clock.Millis) { w.bucketAt(now).requests++ }

// Left returns the number of retries that this instance may send now, given the
// number of instances that share the slack. It is negative if more retries were sent
// than the current window allows.
func (w *Window) Left(now clock.Millis, instances int) int {
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
func (w *Window) Take(now clock.Millis, instances int) bool {
	if w.Left(now, instances) < 1 {
		return false
	}
	w.bucketAt(now).retries++
	return true
}
