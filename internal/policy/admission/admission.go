// Package admission controls how many new requests an entry accepts when its own
// processor or network link is overloaded.
//
// Entries differ in size while the load balancer spreads callers evenly, and a machine
// may become too slow for a load that it carried a moment ago. Work that queues up in
// an entry delays everything: requests are read after their callers have
// disconnected, streams pause, and the decisions that the entry makes for other
// entries stop. So an overloaded entry accepts only the fraction of new requests that
// it can serve, the most urgent first, rejects the rest at once, and advises callers
// and other entries to use another entry.
//
// Processor overload is detected by the queueing delay, not by utilisation: the share
// of the processor that the process may use is not known to it and may change. A delay
// that lasts over several samples distinguishes overload from a burst, and from a
// machine that was suspended. Overload of the link is detected by its utilisation. The
// package is a pure state machine: time and randomness are arguments. A
// Controller is not safe for concurrent use.
package admission

import (
	"math"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	// SampleEvery is the time between two samples. 100 ms, the period of a processor
	// quota, is not a multiple of it, so that samples do not always fall into the same
	// part of the period.
	SampleEvery = 90 * clock.Millisecond
	// lateDelay is the processor queueing delay above which a sample counts as late: a
	// tenth of the shortest usual latency target of a streamed answer. The work on one
	// answer waits for the processor several times.
	lateDelay = 60 * clock.Millisecond
	// criticalDelay is the delay from which the accepted fraction is reduced even while
	// the delay falls: half of the shortest usual latency target.
	criticalDelay = 300 * clock.Millisecond
	// An entry counts as overloaded after at least minLateSamples late samples in a row, if
	// the delay of the first of them began at least minLateDuration ago. minLateDuration is
	// longer than a garbage-collection pause. minLateSamples is 2 because a suspension of
	// the machine, however long, makes only one sample late.
	minLateDuration = 300 * clock.Millisecond
	minLateSamples  = 2
	// fullLinkUtilisation is the utilisation of the link, 0 to 1, above which packets
	// queue.
	fullLinkUtilisation = 0.9
	// linkHalfLife is the half-life of the exponential moving average of the bytes
	// carried by the link.
	linkHalfLife = 500 * clock.Millisecond
	// For each SampleEvery, the accepted fraction is multiplied by decreaseFactor during
	// overload, else increased by increaseStep: it is halved in 0.3 s and recovers fully
	// in 2 s. A sample that was taken late decreases it by at most maxSteps steps.
	decreaseFactor = 0.8
	increaseStep   = 0.05
	maxSteps       = 4.0
	// minAccepted is the smallest accepted fraction: some callers cannot use another
	// entry.
	minAccepted = 0.05
	// divertBelow is the accepted fraction at or below which callers and other entries are
	// advised to use another entry, until all requests are accepted again.
	divertBelow = 0.6
	// rankExponent determines how much smaller the accepted fraction is for the least
	// urgent requests: when half of the most urgent requests are accepted, a sixth of
	// the least urgent ones is.
	rankExponent = 1.5
)

// Sample holds an entry's measurements of itself since the last sample.
type Sample struct {
	// Delay is how long runnable work waited for the processor, in ms.
	Delay clock.Millis
	// Bytes is the number of bytes carried by the link in its busier direction.
	Bytes int64
}

// Controller decides whether new requests are accepted.
type Controller struct {
	bytesPerMs   float64 // capacity of the link; 0 if unknown
	carriedPerMs float64 // moving average, bytes/ms
	lastSampleMs clock.Millis
	// lastDelay is the delay of the last sample. lateSamples is the number of late
	// samples in a row up to now; the delay of the first of these began at lateSinceMs.
	lastDelay   clock.Millis
	lateSamples int
	lateSinceMs clock.Millis
	accepted    float64 // accepted fraction of the most urgent requests, 0 to 1
	diverting   bool    // see Diverting
}

// New returns a Controller that accepts all requests. linkMbps is the capacity of
// the link in Mbit/s; 0 if it is not known.
func New(linkMbps float64) *Controller {
	c := &Controller{accepted: 1}
	c.SetLink(linkMbps)
	return c
}

// SetLink sets the capacity of the link in Mbit/s; 0 if it is not known.
func (c *Controller) SetLink(mbps float64) {
	const bytesPerMsInMbps = 125
	c.bytesPerMs = mbps * bytesPerMsInMbps
}

// Observe adds a sample and adjusts the accepted fraction.
func (c *Controller) Observe(now clock.Millis, s Sample) {
	steps := 1.0
	if dt := now - c.lastSampleMs; c.lastSampleMs != 0 && dt > 0 {
		keep := math.Exp2(-float64(dt) / float64(linkHalfLife))
		c.carriedPerMs = c.carriedPerMs*keep + float64(s.Bytes)/float64(dt)*(1-keep)
		steps = min(float64(dt)/float64(SampleEvery), maxSteps)
	}
	c.lastSampleMs = now
	falling := s.Delay < c.lastDelay && s.Delay < criticalDelay
	c.lastDelay = s.Delay
	if s.Delay <= lateDelay {
		c.lateSamples = 0
	} else if c.lateSamples++; c.lateSamples == 1 {
		c.lateSinceMs = now - s.Delay
	}
	late := c.lateSamples >= minLateSamples && now-c.lateSinceMs >= minLateDuration
	switch {
	case late && falling:
		// The backlog shrinks: the entry can serve the accepted fraction.
	case late, c.bytesPerMs > 0 && c.carriedPerMs > fullLinkUtilisation*c.bytesPerMs:
		c.accepted = max(c.accepted*math.Pow(decreaseFactor, steps), minAccepted)
	default:
		c.accepted = min(c.accepted+increaseStep, 1)
	}
	switch {
	case c.accepted <= divertBelow:
		c.diverting = true
	case c.accepted == 1:
		c.diverting = false
	}
}

// Delay returns the processor queueing delay of the last sample, in ms.
func (c *Controller) Delay() clock.Millis { return c.lastDelay }

// LinkUtilisation returns the utilisation of the link as a fraction of its capacity; 0 if
// the capacity is not known.
func (c *Controller) LinkUtilisation() float64 {
	if c.bytesPerMs == 0 {
		return 0
	}
	return c.carriedPerMs / c.bytesPerMs
}

// AcceptedFraction returns the accepted fraction of the most urgent requests, from 0 to 1.
func (c *Controller) AcceptedFraction() float64 { return c.accepted }

// Diverting reports whether callers and other entries are advised to use another
// entry.
func (c *Controller) Diverting() bool { return c.diverting }

// Accepts reports whether a new request is accepted. rank is the urgency of the request,
// from 0 for the most urgent requests to lowest for the least urgent ones; rnd is a
// uniform random number from 0 up to, but not including, 1.
func (c *Controller) Accepts(rank, lowest int, rnd float64) bool {
	if c.accepted == 1 {
		return true
	}
	relativeRank := float64(min(max(rank, 0), lowest)) / float64(max(lowest, 1))
	return rnd < math.Pow(c.accepted, 1+rankExponent*relativeRank)
}
