package speed

import "math"

// Lengths predicts the length of streamed answers, in events, by route: from the caller's
// hint or from the earlier answers of the route, whichever has been nearer. The zero value is
// ready for use; it is not safe for concurrent use.
type Lengths struct {
	byRoute map[string]*lengths
}

const (
	// lengthWeight is the weight of a new answer in the means of a route, and hintStep the
	// factor by which the events per hinted unit follow the median.
	lengthWeight = 0.1
	hintStep     = 1.05
	// maxRoutes bounds the number of routes that are remembered.
	maxRoutes = 4096
)

// lengths is what is known of one route.
type lengths struct {
	mean             float64 // events
	perHint          float64 // events per hinted unit, at the median
	meanErr, hintErr float64 // mean relative errors of the two predictions
}

// Add records a whole answer of a number of events; hint is the caller's estimate in its own
// unit, 0 if it gave none.
func (l *Lengths) Add(route string, hint, events int) {
	if events <= 0 {
		return
	}
	n := float64(events)
	r := l.byRoute[route]
	if r == nil {
		if l.byRoute == nil || len(l.byRoute) >= maxRoutes {
			l.byRoute = map[string]*lengths{}
		}
		r = &lengths{mean: n}
		l.byRoute[route] = r
	}
	r.meanErr += (math.Abs(r.mean-n)/n - r.meanErr) * lengthWeight
	r.mean += (n - r.mean) * lengthWeight
	if hint <= 0 {
		return
	}
	if r.perHint == 0 {
		r.perHint = n / float64(hint)
	}
	predicted := r.perHint * float64(hint)
	r.hintErr += (math.Abs(predicted-n)/n - r.hintErr) * lengthWeight
	switch {
	case n > predicted:
		r.perHint *= hintStep
	case n < predicted:
		r.perHint /= hintStep
	}
}

// Events returns the expected length of an answer of the route; 0 if it isn't known.
func (l *Lengths) Events(route string, hint int) int {
	r := l.byRoute[route]
	if r == nil {
		return 0
	}
	if hint > 0 && r.perHint > 0 && r.hintErr < r.meanErr {
		return max(int(math.Round(r.perHint*float64(hint))), 1)
	}
	return max(int(math.Round(r.mean)), 1)
}
