// Package admission decides how much new work an entry takes when its own
// processor or link cannot keep up.
//
// The load: entries differ in size, the balancer spreads callers evenly, and a
// machine may turn slow under what it bore a moment ago. Work that waits in the
// entry is late everywhere: requests are read after their callers have gone,
// streams pause, and whatever the entry decides for others stands still. So the
// entry takes the part of the new requests that it can bear, the most urgent
// first, refuses the rest at once, and says that callers and other entries had
// better turn elsewhere.
//
// Delay is the measure, not utilisation: a processor's share is not known to
// the process and may change. A delay that stands over several samples tells
// overload from a burst, and from a machine that was suspended. The package is
// a pure state machine: time and randomness are arguments. A Controller is not
// safe for concurrent use.
package admission

import (
	"math"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	// SampleEvery is the time between two samples: no part of the tenth of a second
	// in which a processor quota is counted.
	SampleEvery = 90 * clock.Millisecond
	// standingDelay is the delay that counts: a tenth of the shortest usual target
	// of a streamed answer, which has several such waits.
	standingDelay = 60 * clock.Millisecond
	// graveDelay is the delay that no falling excuses: half of such a target.
	graveDelay = 300 * clock.Millisecond
	// standingFor is how long delays must last, and standingSamples how many of
	// them: longer than a collection of garbage, and more than a suspension leaves.
	standingFor     = 300 * clock.Millisecond
	standingSamples = 2
	// fullLink is the part of the link from which packets wait.
	fullLink = 0.9
	// linkHalf is the time after which carried bytes count half.
	linkHalf = 500 * clock.Millisecond
	// decrease and increase move the part taken in each SampleEvery: halved in
	// 0.3 s, whole again in 2 s. A late sample counts as mostSteps at the most.
	decrease  = 0.8
	increase  = 0.05
	mostSteps = 4.0
	// leastPart is taken always: its callers find no other entry.
	leastPart = 0.05
	// awayPart is the part from which down others are told to turn elsewhere,
	// until all is taken again.
	awayPart = 0.6
	// lessUrgent is by how much steeper the part falls for the least urgent
	// requests: of half of the most urgent ones, a sixth of them is taken.
	lessUrgent = 1.5
)

// Sample is what an entry measured of itself since the last sample.
type Sample struct {
	// Delay is how long ready work waited for the processor.
	Delay clock.Millis
	// Bytes were carried in the busier direction of the link.
	Bytes int64
}

// Controller is the state machine.
type Controller struct {
	bytesPerMs float64 // of the link; 0 if unknown
	carried    float64 // bytes in a ms
	atMs       clock.Millis
	// delay is the last one, and samples the number of those without a short one
	// among them, since sinceMs.
	delay   clock.Millis
	samples int
	sinceMs clock.Millis
	part    float64
	away    bool
}

// New returns a Controller that takes everything. linkMbps is the capacity of
// the link in Mbit/s; 0 if it is not known.
func New(linkMbps float64) *Controller {
	c := &Controller{part: 1}
	c.SetLink(linkMbps)
	return c
}

// SetLink sets the capacity of the link in Mbit/s; 0 if it is not known.
func (c *Controller) SetLink(mbps float64) {
	const bytesPerMsInMbps = 125
	c.bytesPerMs = mbps * bytesPerMsInMbps
}

// Observe takes in a sample.
func (c *Controller) Observe(now clock.Millis, s Sample) {
	steps := 1.0
	if dt := now - c.atMs; c.atMs != 0 && dt > 0 {
		keep := math.Exp2(-float64(dt) / float64(linkHalf))
		c.carried = c.carried*keep + float64(s.Bytes)/float64(dt)*(1-keep)
		steps = min(float64(dt)/float64(SampleEvery), mostSteps)
	}
	c.atMs = now
	falls := s.Delay < c.delay && s.Delay < graveDelay
	c.delay = s.Delay
	if s.Delay <= standingDelay {
		c.samples = 0
	} else if c.samples++; c.samples == 1 {
		c.sinceMs = now - s.Delay
	}
	late := c.samples >= standingSamples && now-c.sinceMs >= standingFor
	switch {
	case late && falls:
		// What waits gets less: the part taken is one that can be borne.
	case late, c.bytesPerMs > 0 && c.carried > fullLink*c.bytesPerMs:
		c.part = max(c.part*math.Pow(decrease, steps), leastPart)
	default:
		c.part = min(c.part+increase, 1)
	}
	switch {
	case c.part <= awayPart:
		c.away = true
	case c.part == 1:
		c.away = false
	}
}

// Delay returns the last delay.
func (c *Controller) Delay() clock.Millis { return c.delay }

// Link returns the part of the link's capacity that is in use; 0 if that is
// not known.
func (c *Controller) Link() float64 {
	if c.bytesPerMs == 0 {
		return 0
	}
	return c.carried / c.bytesPerMs
}

// Part returns the part of the most urgent requests that is taken.
func (c *Controller) Part() float64 { return c.part }

// Away reports whether callers and other entries had better turn elsewhere.
func (c *Controller) Away() bool { return c.away }

// Takes reports whether a new request is taken. rank is 0 for the most urgent
// requests and lowest for the least urgent ones; rnd is in [0, 1).
func (c *Controller) Takes(rank, lowest int, rnd float64) bool {
	if c.part == 1 {
		return true
	}
	less := float64(min(max(rank, 0), lowest)) / float64(max(lowest, 1))
	return rnd < math.Pow(c.part, 1+lessUrgent*less)
}
