package retry

import (
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// windowMargin is the part of the ratio that an entry spends, since the windows
// of entries and of those who count do not begin at one time.
const windowMargin = 0.8

// bucketMs is the resolution of the window.
const bucketMs = 500 * clock.Millisecond

// Bound is the bound on the repeated sends of a pool, over all entries: in any
// window at most Ratio times the pool's requests and Slack more.
type Bound struct {
	Ratio    float64
	Slack    float64
	WindowMs clock.Millis
}

type bucket struct {
	at       clock.Millis
	requests int
	repeats  int
}

// Window is one entry's share of a Bound, kept without a coordinator: the
// entry counts its own requests for the ratio and takes an equal part of the
// slack. It is not safe for concurrent use.
type Window struct {
	cfg     Bound
	buckets []bucket
}

// NewWindow returns an unspent Window.
func NewWindow(b Bound) *Window { return &Window{cfg: b} }

// SetBound changes the bound; what was spent stays spent.
func (w *Window) SetBound(cfg Bound) { w.cfg = cfg }

func (w *Window) at(now clock.Millis) *bucket {
	start := now - now%bucketMs
	for len(w.buckets) > 0 && w.buckets[0].at <= start-w.cfg.WindowMs-bucketMs {
		w.buckets = w.buckets[1:]
	}
	if n := len(w.buckets); n > 0 && w.buckets[n-1].at == start {
		return &w.buckets[n-1]
	}
	w.buckets = append(w.buckets, bucket{at: start})
	return &w.buckets[len(w.buckets)-1]
}

// Request counts a request of a caller.
func (w *Window) Request(now clock.Millis) { w.at(now).requests++ }

// Left returns how many repeats are left now, among entries that share the slack.
func (w *Window) Left(now clock.Millis, entries int) int {
	w.at(now)
	requests, repeats := 0, 0
	for _, k := range w.buckets {
		requests += k.requests
		repeats += k.repeats
	}
	share := w.cfg.Slack / float64(max(entries, 1))
	return int(w.cfg.Ratio*windowMargin*float64(requests)+share) - repeats
}

// Take spends one repeat if there is one left.
func (w *Window) Take(now clock.Millis, entries int) bool {
	if w.Left(now, entries) < 1 {
		return false
	}
	w.at(now).repeats++
	return true
}
