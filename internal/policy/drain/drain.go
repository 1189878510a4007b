// Package drain decides which requests an instance still accepts while it shuts
// down.
//
// Callers keep sending requests during the shutdown: on new connections until
// the load balancer detects that the instance is draining, and on keep-alive
// connections until their next response. A request that might not complete before
// the process exits is refused immediately, because another instance can serve it.
package drain

import (
	"slices"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	// acceptAllMs is the time after the shutdown signal during which every request
	// is accepted. The load balancer stops sending only after two health checks, one
	// second apart, have failed.
	acceptAllMs = 2700 * clock.Millisecond
	// samplesPerRoute is the number of recent durations that AnswerDurations keeps per route.
	samplesPerRoute = 64
)

// Accepts reports whether a request is accepted that arrives since ms after the
// shutdown signal and may last up to most ms, if answers have to begin within endMs of the
// signal. The maximum decides, not the typical duration: a refused request can be
// served by another instance, but an interrupted answer may be lost to the caller.
func Accepts(since, endMs, most clock.Millis) bool {
	return since <= min(acceptAllMs, endMs) || since+most < endMs
}

// AnswerDurations holds the durations of the last 64 answers of each route, from the first
// streamed event to the end. It is not safe for concurrent use.
type AnswerDurations struct {
	byRoute map[string]*ringBuffer
}

type ringBuffer struct {
	samples []clock.Millis
	next    int // index of the oldest sample, once full
}

// NewAnswerDurations returns an empty AnswerDurations.
func NewAnswerDurations() *AnswerDurations {
	return &AnswerDurations{byRoute: map[string]*ringBuffer{}}
}

// Add records the duration of a completed answer of the route.
func (d *AnswerDurations) Add(route string, took clock.Millis) {
	w := d.byRoute[route]
	if w == nil {
		w = &ringBuffer{}
		d.byRoute[route] = w
	}
	if len(w.samples) < samplesPerRoute {
		w.samples = append(w.samples, took)
		return
	}
	w.samples[w.next] = took
	w.next = (w.next + 1) % samplesPerRoute
}

// Median returns the median of the route's recent durations in ms, or 0 without
// any.
func (d *AnswerDurations) Median(route string) clock.Millis {
	w := d.byRoute[route]
	if w == nil {
		return 0
	}
	sorted := slices.Sorted(slices.Values(w.samples))
	return sorted[len(sorted)/2]
}

// maxNeedFraction bounds ExpectedDuration relative to the total time that a request has. Without
// the bound, one answer slower than that would cause all later requests of the route
// to be refused, so that no new duration is ever recorded.
const maxNeedFraction = 0.8

// ExpectedDuration returns the time in ms that a request of the route is expected to take from
// its first streamed event to its end, given the total time whole that it has: the
// typical duration, but at most 0.8 of whole.
func (d *AnswerDurations) ExpectedDuration(route string, whole clock.Millis) clock.Millis {
	return min(d.Median(route), clock.Millis(float64(whole)*maxNeedFraction))
}
