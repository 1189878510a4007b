// Package drain decides which requests an entry still takes while it shuts
// down.
//
// The load: callers that do not know yet that the entry leaves go on sending,
// on new connections until the balancer has noticed and on kept ones until
// their next answer. A request that cannot end before the process does is
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
	// slowdown is by how much a request may last longer than those before it.
	slowdown = 1.6
	// enough is the number of durations that tell how long others last.
	enough = 16
)

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

// Longest returns the longest of the remembered durations, or 0 if there are
// too few of them.
func (d *Durations) Longest(route string) clock.Millis {
	w := d.byRoute[route]
	if w == nil || len(w.last) < enough {
		return 0
	}
	return slices.Max(w.last)
}

// Takes reports whether a request is taken since after the signal by a process
// that ends at endMs after it. longest is how long such requests last, and
// most how long this one may.
func Takes(since, endMs, longest, most clock.Millis) bool {
	if since <= takeAllMs {
		return true
	}
	expected := min(clock.Millis(float64(longest)*slowdown), most)
	if longest == 0 {
		expected = most
	}
	return since+expected < endMs
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
