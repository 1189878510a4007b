package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	runtimemetrics "github.com/damaskport/damaskport/internal/runtime/metrics"
)

// metrics holds the entry's counters and histograms. The metrics of a class are
// created when they are first used.
type metrics struct {
	root    *runtimemetrics.Root
	mu      sync.RWMutex
	byClass map[string]*classMetrics
}

// classMetrics are the metrics of one class. The counters serve Status and
// attainment.
type classMetrics struct {
	scope      tally.Scope
	firstToken tally.Histogram
	duration   tally.Histogram
	running    atomic.Int64 // requests in progress, including waiting ones
	shed       atomic.Int64 // requests refused as overload (429)
	answered   atomic.Int64 // requests whose answer has begun
	met        atomic.Int64 // those of answered that met their latency target
}

// attainment returns the fraction, 0 to 1, of answered requests that met their
// latency target; 1 before the first answer.
func (c *classMetrics) attainment() float64 {
	n := c.answered.Load()
	if n == 0 {
		return 1
	}
	return float64(c.met.Load()) / float64(n)
}

// latencyBuckets are the bounds of the latency histograms.
var latencyBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond, 600 * time.Millisecond, time.Second,
	2500 * time.Millisecond, 5 * time.Second, 10 * time.Second, 30 * time.Second, time.Minute,
}

func newMetrics() *metrics {
	return &metrics{root: runtimemetrics.New(), byClass: map[string]*classMetrics{}}
}

// class returns the metrics of a class, creating them if needed.
func (m *metrics) class(name string) *classMetrics {
	m.mu.RLock()
	c := m.byClass[name]
	m.mu.RUnlock()
	if c != nil {
		return c
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if c := m.byClass[name]; c != nil {
		return c
	}
	s := m.root.Tagged(map[string]string{"class": name})
	c = &classMetrics{
		scope:      s,
		firstToken: s.Histogram("first_token_seconds", latencyBuckets),
		duration:   s.Histogram("request_duration_seconds", latencyBuckets),
	}
	m.byClass[name] = c
	return c
}

// firstToken records the time from a request's arrival to its first token.
func (m *metrics) firstToken(class string, d clock.Millis) {
	m.class(class).firstToken.RecordDuration(d.Duration())
}

// finished records the end of a started request with its code and total duration.
func (m *metrics) finished(class, code string, d clock.Millis) {
	c := m.class(class)
	c.running.Add(-1)
	c.duration.RecordDuration(d.Duration())
	c.scope.Tagged(map[string]string{"code": code}).Counter("requests_total").Inc(1)
}

// started counts a request that was accepted for serving.
func (m *metrics) started(class string) { m.class(class).running.Add(1) }

// answered counts a request whose answer has begun, and whether it met its latency
// target.
func (m *metrics) answered(class string, met bool) {
	c := m.class(class)
	c.answered.Add(1)
	if met {
		c.met.Add(1)
	}
}

// overloaded counts a request that was shed (status 429).
func (m *metrics) overloaded(class string) { m.class(class).shed.Add(1) }

// refused counts a request that was rejected before it was started.
func (m *metrics) refused(code string) {
	m.root.Tagged(map[string]string{"code": code}).Counter("requests_refused_total").Inc(1)
}
