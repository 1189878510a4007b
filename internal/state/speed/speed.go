// Package speed models how fast one backend server works, as its answers show.
//
// It answers two loads: servers that differ in speed by nature, and servers that turn slow
// for seconds while their liveness checks are good. A Model learns the time that a unit of
// each kind of work usually takes, and beside it the recent time, which decays to the usual
// one without new samples: a server that gets no requests because it was slow is tried
// again. The package is pure: time is an argument. A Model is not safe for concurrent use.
package speed

import (
	"math"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	// usualWeight is the least weight of a new sample in the usual time of a unit.
	usualWeight = 0.02
	// minSamples is the number of samples from which on a time is known.
	minSamples = 4
	// recentHalfLife is the half-life of the weight of a sample in the recent time. Slow
	// spells last for seconds: with two seconds, most of what is counted is of the present one.
	recentHalfLife = 2 * clock.Second
	// maxRecentWeight bounds the weight of earlier samples in the recent time, so that a few
	// samples suffice to show a change.
	maxRecentWeight = 3.0
	// maxUsualFactor bounds a sample of a known time to a multiple of it as it changes the
	// usual time, so that a slow spell doesn't become usual at once.
	maxUsualFactor = 2.0
	// saidLifetime is how long a slowness that the server itself reported counts: it changes
	// many times a second.
	saidLifetime = 300 * clock.Millisecond
	// A server turns slow when its work takes slowFactor times as long as usual, and has
	// recovered below recoveredFactor: servers share machines, on which work takes up to two
	// and a half times as long for moments.
	slowFactor      = 3.0
	recoveredFactor = 1.8
)

// Work is a kind of work.
type Work int

// Kinds of work, with the unit of each.
const (
	Prefill Work = iota // a prompt token that isn't cached
	Decode              // an event of an answer, beside the requests that run with it

	kinds
)

// series is what is known of one kind of work. Times are in ms per unit.
type series struct {
	samples  int
	usual    float64
	recent   float64
	weight   float64 // of recent at atMs
	atMs     clock.Millis
	inherits bool // usual was told by another gateway
}

// Model is the speed of one run of a server. The zero value knows nothing.
type Model struct {
	work   [kinds]series
	said   float64 // as the server reported at saidMs
	saidMs clock.Millis
	slow   bool
}

// Figures are a model as it is told to another gateway. Times are in ms per unit; 0 is
// unknown.
type Figures struct {
	// DecodeMs is the recent time per event of an answer, and UsualDecodeMs the usual one.
	DecodeMs      float64 `json:"d,omitempty"`
	UsualDecodeMs float64 `json:"u,omitempty"`
	// Slowness is how many times as long as usual the server's work takes; 0 if as usual.
	Slowness float64 `json:"x,omitempty"`
}

// Add records that units of work took the given time, beginning when the server could.
func (m *Model) Add(now clock.Millis, w Work, units float64, took clock.Millis) {
	if units <= 0 || took <= 0 {
		return
	}
	m.work[w].add(now, float64(took)/units)
}

func (s *series) add(now clock.Millis, perUnit float64) {
	weight := min(s.weightAt(now), maxRecentWeight)
	s.recent = (s.recent*weight + perUnit) / (weight + 1)
	s.weight, s.atMs = weight+1, now
	s.samples++
	if s.samples > minSamples || s.inherits {
		perUnit = min(perUnit, maxUsualFactor*s.usual)
	}
	s.usual += (perUnit - s.usual) * max(1/float64(s.samples), usualWeight)
}

// weightAt returns the weight of the recent time, decayed up to now.
func (s *series) weightAt(now clock.Millis) float64 {
	if s.weight == 0 {
		return 0
	}
	return s.weight * math.Exp2(-float64(max(now-s.atMs, 0))/float64(recentHalfLife))
}

// known reports whether the usual time is known.
func (s *series) known() bool { return s.samples >= minSamples || s.inherits }

// at returns the recent time per unit, which tends to the usual one as it ages.
func (s *series) at(now clock.Millis) float64 {
	w := s.weightAt(now)
	return (s.recent*w + s.usual) / (w + 1)
}

// PerUnit returns the time in ms that a unit of work takes now; ok is false until it is
// known.
func (m *Model) PerUnit(now clock.Millis, w Work) (ms float64, ok bool) {
	s := &m.work[w]
	if !s.known() {
		return 0, false
	}
	return s.at(now), true
}

// Usual returns the time in ms that a unit of work usually takes; ok is false until it is
// known.
func (m *Model) Usual(w Work) (ms float64, ok bool) {
	s := &m.work[w]
	return s.usual, s.known()
}

// Says records the slowness that the server itself reported: 1 is as usual.
func (m *Model) Says(now clock.Millis, slowness float64) {
	if slowness > 0 {
		m.said, m.saidMs = slowness, now
	}
}

// Said returns the slowness that the server itself reported, which tends to 1 as it ages.
func (m *Model) Said(now clock.Millis) float64 {
	age := now - m.saidMs
	if m.said == 0 || age >= saidLifetime {
		return 1
	}
	return 1 + (m.said-1)*(1-float64(max(age, 0))/float64(saidLifetime))
}

// Slowness returns how many times as long as usual the server's work takes now by what its
// answers show: the largest value over the kinds of work, at least 1.
func (m *Model) Slowness(now clock.Millis) float64 {
	most := 1.0
	for i := range m.work {
		if s := &m.work[i]; s.known() && s.usual > 0 {
			most = max(most, s.at(now)/s.usual)
		}
	}
	return most
}

// Turned reports whether the belief that the server is slow has changed since the last call,
// and what it is now.
func (m *Model) Turned(now clock.Millis) (slow, changed bool) {
	x := m.Slowness(now)
	was := m.slow
	m.slow = x >= slowFactor || was && x > recoveredFactor
	return m.slow, m.slow != was
}

// Slow reports whether the server counted as slow at the last call of Turned.
func (m *Model) Slow() bool { return m.slow }

// AgeMs returns the age of the last sample of any kind; -1 without one.
func (m *Model) AgeMs(now clock.Millis) clock.Millis {
	var last clock.Millis
	for _, s := range m.work {
		if s.samples > 0 {
			last = max(last, s.atMs)
		}
	}
	if last == 0 {
		return -1
	}
	return now - last
}

// Figures returns the model as it is told to other gateways, rounded so that it is short.
func (m *Model) Figures(now clock.Millis) Figures {
	var f Figures
	if ms, ok := m.PerUnit(now, Decode); ok {
		f.DecodeMs = round(ms)
	}
	if ms, ok := m.Usual(Decode); ok {
		f.UsualDecodeMs = round(ms)
	}
	if m.slow {
		f.Slowness = round(m.Slowness(now))
	}
	return f
}

func round(x float64) float64 { return math.Round(x*10) / 10 }

// Inherit begins with the figures that another gateway told, unless the model has learnt
// its own.
func (m *Model) Inherit(now clock.Millis, f Figures) {
	s := &m.work[Decode]
	if s.samples > 0 || s.inherits || !(f.UsualDecodeMs > 0) || math.IsInf(f.UsualDecodeMs, 0) {
		return
	}
	s.usual, s.inherits = f.UsualDecodeMs, true
	if f.DecodeMs > 0 && !math.IsInf(f.DecodeMs, 0) {
		s.recent, s.weight, s.atMs = f.DecodeMs, 1, now
	}
}

// Near reports whether two figures are so close that a gateway would choose the same server
// by either.
func (f Figures) Near(o Figures) bool {
	return near(f.DecodeMs, o.DecodeMs) && near(f.Slowness, o.Slowness) && (f.UsualDecodeMs > 0) == (o.UsualDecodeMs > 0)
}

// near reports whether a and b differ by at most a quarter of the larger one.
func near(a, b float64) bool { return math.Abs(a-b) <= max(a, b)/4 }
