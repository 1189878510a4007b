package retry

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	latencyWindow     = 30 * clock.Second
	latencyMaxMs      = int64(10 * clock.Minute) // longer times are recorded as this
	latencyDigits     = 2                        // significant digits of the histograms
	minLatencySamples = 100                      // minimum samples for a percentile
)

// Latency holds histograms of the time to first token in a pool, for the current
// and the previous window of 30 s. It is not safe for concurrent use.
type Latency struct {
	startMs           clock.Millis // start of the current window
	current, previous *hdrhistogram.Histogram
}

// NewLatency returns a Latency without samples.
func NewLatency() *Latency {
	return &Latency{current: newHistogram(), previous: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, latencyMaxMs, latencyDigits)
}

// Add records a time to first token, d.
func (l *Latency) Add(now, d clock.Millis) {
	l.rotate(now)
	_ = l.current.RecordValue(min(max(int64(d), 1), latencyMaxMs))
}

// P95 returns the 95th percentile of the time to first token in the current window,
// or in the previous one if the current one has fewer than 100 samples. It returns
// false if both together have fewer than 100.
func (l *Latency) P95(now clock.Millis) (clock.Millis, bool) {
	l.rotate(now)
	if l.current.TotalCount()+l.previous.TotalCount() < minLatencySamples {
		return 0, false
	}
	histogram := l.current
	if histogram.TotalCount() < minLatencySamples {
		histogram = l.previous
	}
	return clock.Millis(histogram.ValueAtQuantile(95)), true
}

// rotate starts a new window if the current one is over.
func (l *Latency) rotate(now clock.Millis) {
	if now-l.startMs < latencyWindow {
		return
	}
	if now-l.startMs >= 2*latencyWindow {
		l.current.Reset()
	}
	l.previous.Reset()
	l.previous, l.current = l.current, l.previous
	l.startMs = now
}
