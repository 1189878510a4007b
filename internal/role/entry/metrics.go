package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	runtimemetrics "github.com/damaskport/damaskport/internal/runtime/metrics"
)

// metrics holds the entry's counters and histograms.
type metrics struct {
	root    *runtimemetrics.Root
	mu      sync.RWMutex
	byClass map[string]*classMetrics
}

type classMetrics struct {
	scope      tally.Scope
	firstToken tally.Histogram
	duration   tally.Histogram
	running    atomic.Int64
	shed       atomic.Int64
	served     atomic.Int64
	met        atomic.Int64
}

// attainment returns the part of answered requests that met their first-token
// target; 1 before the first.
func (c *classMetrics) attainment() float64 {
	n := c.served.Load()
	if n == 0 {
		return 1
	}
	return float64(c.met.Load()) / float64(n)
}

var buckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond, 600 * time.Millisecond, time.Second,
	2500 * time.Millisecond, 5 * time.Second, 10 * time.Second, 30 * time.Second, time.Minute,
}

func newMetrics() *metrics {
	return &metrics{root: runtimemetrics.New(), byClass: map[string]*classMetrics{}}
}

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
		firstToken: s.Histogram("first_token_seconds", buckets),
		duration:   s.Histogram("request_duration_seconds", buckets),
	}
	m.byClass[name] = c
	return c
}

func (m *metrics) firstToken(class string, d clock.Millis) {
	m.class(class).firstToken.RecordDuration(d.Duration())
}

func (m *metrics) finished(class, code string, d clock.Millis) {
	c := m.class(class)
	c.running.Add(-1)
	c.duration.RecordDuration(d.Duration())
	c.scope.Tagged(map[string]string{"code": code}).Counter("requests_total").Inc(1)
}

// started counts a request that was accepted for serving.
func (m *metrics) started(class string) { m.class(class).running.Add(1) }

// answered counts a request of which the first sign of an answer arrived.
func (m *metrics) answered(class string, met bool) {
	c := m.class(class)
	c.served.Add(1)
	if met {
		c.met.Add(1)
	}
}

// overloaded counts a request that was shed.
func (m *metrics) overloaded(class string) { m.class(class).shed.Add(1) }

func (m *metrics) refused(code string) {
	m.root.Tagged(map[string]string{"code": code}).Counter("requests_refused_total").Inc(1)
}
