package gateway

import (
	"math"

	"github.com/damaskport/damaskport/internal/peer/enginequeue"
	"github.com/damaskport/damaskport/internal/policy/place"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/speed"
)

const (
	// progressInterval is the least time between two reports of a stream's progress.
	progressInterval = 500 * clock.Millisecond
	// progressFactor is how many times as long or as short as told an event takes from which
	// on a stream's progress is reported before its end.
	progressFactor = 1.5
)

// addLength records the length of a whole answer to j.
func (j *job) addLength(events int) {
	j.pool.mu.Lock()
	defer j.pool.mu.Unlock()
	j.pool.lengths.Add(j.route.Name, j.ExpectedTokens, events)
}

// eventsLeft returns the expected number of events of the answer that the caller doesn't
// have yet; 0 if unknown.
func (j *job) eventsLeft() int {
	j.pool.mu.Lock()
	n := j.pool.lengths.Events(j.route.Name, j.ExpectedTokens)
	j.pool.mu.Unlock()
	if n == 0 {
		return 0
	}
	return max(n-j.caller.Progress().Writes, 1)
}

// told returns the speed of an engine as its queue owners told it; nil if unknown.
func (p *pool) told(id string) (f *speed.Figures) {
	p.withTable(func(t *place.ServerTable) {
		if told := t.Speed(id); told != (speed.Figures{}) {
			f = &told
		}
	})
	return f
}

// prefillRate returns the prefill rate expected of an engine, rounded; 0 if unknown.
func (p *pool) prefillRate(id string) (rate float64) {
	p.withTable(func(t *place.ServerTable) { rate = math.Round(t.PrefillRate(id)*10) / 10 })
	return rate
}

// pace follows the pace of one stream, of which the queue owner is told.
type pace struct {
	events   int          // since the last report, or since the first event
	windowMs clock.Millis // when the present window of progressInterval began
	window   int          // events in it
}

// next counts an event. At the end of a window in which the pace differed from what was told of
// the engine, it returns the report of it.
func (p *pace) next(now clock.Millis, pool *pool, engine string) (report enginequeue.Ref, ok bool) {
	p.events++
	p.window++
	took := now - p.windowMs
	if took < progressInterval {
		return enginequeue.Ref{}, false
	}
	r := enginequeue.Ref{Events: p.events, Recent: p.window, RecentMs: took}
	p.windowMs, p.window = now, 0
	told := pool.told(engine)
	if told == nil || told.DecodeMs <= 0 {
		return enginequeue.Ref{}, false
	}
	ratio := float64(took) / float64(r.Recent) / told.DecodeMs
	if ratio < progressFactor && ratio > 1/progressFactor {
		return enginequeue.Ref{}, false
	}
	p.events = 0
	return r, true
}

// progress reports events of the answer to the queue owner.
func (r *reservation) progress(report enginequeue.Ref) {
	r.notifyOwner(enginequeue.MethodBegun, report)
}
