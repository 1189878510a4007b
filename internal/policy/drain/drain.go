// Package drain decides which requests an entry still takes while it shuts
// down.
//
// The load: callers that do not know yet that the entry leaves go on sending,
// on new connections until the balancer has noticed and on kept ones until
// their next answer. A request that may not end before the process does is
// refused at once, since another entry can still serve it.
package drain

import (
	"slices"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	// takeAllMs is how long after the signal every request is taken: callers
	// cannot know before the balancer has asked twice, a second apart.
	takeAllMs = 2700 * clock.Millisecond
	// kept is the number of durations that a Durations remembers for a route.
	kept = 64
)

// Takes reports whether a request that may last for most is taken since after the
// signal by a process that ends at endMs after it. How long others lasted does not
// count: an answer that is cut may be lost to its caller for good, while one that
// is refused is had elsewhere.
func Takes(since, endMs, most clock.Millis) bool {
	return since <= takeAllMs || since+most < endMs
}

// Durations remembers how long the last requests of each route lasted. It is
// not safe for concurrent use.
type Durations struct {
	byRoute map[string]*window
}

type window struct {
	last []clock.Millis
	next int
}

// NewDurations returns an empty Durations.
func NewDurations() *Durations { return &Durations{byRoute: map[string]*window{}} }

// Add notes that a request of the route lasted took.
func (d *Durations) Add(route string, took clock.Millis) {
	w := d.byRoute[route]
	if w == nil {
		w = &window{}
		d.byRoute[route] = w
	}
	if len(w.last) < kept {
		w.last = append(w.last, took)
		return
	}
	w.last[w.next] = took
	w.next = (w.next + 1) % kept
}

// Typical returns the median of the remembered durations, or 0.
func (d *Durations) Typical(route string) clock.Millis {
	w := d.byRoute[route]
	if w == nil {
		return 0
	}
	sorted := slices.Sorted(slices.Values(w.last))
	return sorted[len(sorted)/2]
}

// mostNeed is the part of a request's whole time that it is taken to need at most:
// with more, one slow answer would have all later ones refused for good.
const mostNeed = 0.8

// Need returns the time that a request is taken to need from its first event on,
// of the whole time that it has.
func (d *Durations) Need(route string, whole clock.Millis) clock.Millis {
	return min(d.Typical(route), clock.Millis(float64(whole)*mostNeed))
}
