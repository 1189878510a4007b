package retry

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	latencyWindow     = 30 * clock.Second
	latencyMaxMs      = int64(10 * clock.Minute)
	latencyDigits     = 2
	minLatencySamples = 100
)

// Latency observes the first-token times of a pool over the present window of
// 30 s, or the one before while the present one has few samples.
type Latency struct {
	startMs       clock.Millis
	current, last *hdrhistogram.Histogram
}

// NewLatency returns a Latency without samples.
func NewLatency() *Latency {
	return &Latency{current: newHistogram(), last: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, latencyMaxMs, latencyDigits)
}

// Add records a first-token time.
func (l *Latency) Add(now, d clock.Millis) {
	l.turn(now)
	_ = l.current.RecordValue(min(max(int64(d), 1), latencyMaxMs))
}

// P95 returns the 95th percentile and whether enough samples were seen.
func (l *Latency) P95(now clock.Millis) (clock.Millis, bool) {
	l.turn(now)
	if l.current.TotalCount()+l.last.TotalCount() < minLatencySamples {
		return 0, false
	}
	of := l.current
	if of.TotalCount() < minLatencySamples {
		of = l.last
	}
	return clock.Millis(of.ValueAtQuantile(95)), true
}

func (l *Latency) turn(now clock.Millis) {
	if now-l.startMs < latencyWindow {
		return
	}
	if now-l.startMs >= 2*latencyWindow {
		l.current.Reset()
	}
	l.last.Reset()
	l.last, l.current = l.current, l.last
	l.startMs = now
}
