// Package pace finds how many requests a gateway may have in flight at a server that has just
// started or can be reached again.
//
// The load that it answers: all gateways learn of such a server within moments, and to each of
// them it is the emptiest of the pool, so that together they send it far more than it has slots
// for; or each of them avoids it for as long as its last back-off and its rate of failures say,
// although it answers. A Window begins at the gateway's share of the slots, grows with each
// good answer and shrinks with each bad one. It is a pure state machine: time and randomness are
// arguments. A Window is not safe for concurrent use.
package pace

import (
	"math/rand/v2"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	// slowFactor times the usual time per request and its deviation is the time from which an
	// answer is slow: as many requests again wait at the server as it runs.
	slowFactor = 2
	// queuedFactor times the usual time per request, and its deviation, is the time from which
	// an answer shows a queue, in which the window does not grow.
	queuedFactor = 1.25
	// usedPart is the part of the slots that gateways with a share below one use at first: their
	// requests meet by chance, and the queue of all slots in use would be long.
	usedPart = 0.7
	// growth is the factor by which a share below one grows with each good answer; it doubles
	// where no time per request shows a queue, as the queue owners of engines hold back.
	growth = 1.05
	// maxSpreadMs bounds the time over which the gateways spread their first requests, and the
	// pause between two requests of a gateway whose share is less than one: callers must not
	// miss a server for longer than after a failed connection.
	maxSpreadMs = 4 * clock.Second
	// unboundMs is how long a window must not have bound the gateway until it ends.
	unboundMs = 2 * clock.Second
)

// Share is what the gateways share of a server.
type Share struct {
	Slots    int // requests that the server runs at once
	Gateways int // gateways that send it requests
}

// size returns the requests in flight by which the gateways together use the slots without a
// queue, and at most all slots; below one it is the fraction of the time for which one request
// may be in flight, with room for chance.
func (s Share) size() float64 {
	size := float64(max(s.Slots, 1)) / float64(max(s.Gateways, 1))
	if size < 1 {
		return size * usedPart
	}
	return size
}

// floor returns the least size of a window, at which a gateway still learns when the server
// answers well again.
func (s Share) floor() float64 { return min(s.size(), 1) }

// Window is the number of requests of one gateway that may be in flight at one start of a
// server.
type Window struct {
	share Share
	size  float64
	// usualMs is the usual time per request of the pool in ms; 0 if it has none.
	usualMs float64
	begun   bool
	// rest is set until the pause after an answer at restedMs is chosen.
	rest     bool
	restedMs clock.Millis
	openMs   clock.Millis // no request before
	boundMs  clock.Millis // when the window last bound the gateway
	// shrunkMs is when the window last shrank.
	shrunkMs clock.Millis
	good     bool // an answer was good
}

// New returns the window for a server. usualMs is the usual time per request of the pool in ms;
// 0 if it has none, as for model engines, whose queue owners spread the requests.
func New(share Share, usualMs float64) *Window {
	return &Window{share: share, size: share.size(), usualMs: max(usualMs, 0)}
}

// Excess returns how many windows would wait in front of another request, by the requests in
// flight: 0 if the window has room. At its first call after from it chooses when the gateway
// sends its first request.
func (w *Window) Excess(now, from clock.Millis, inFlight int, rnd *rand.Rand) float64 {
	if !w.begun {
		w.begun, w.boundMs = true, max(now, from)
		w.openMs = max(now, from) + clock.Millis(rnd.Float64()*float64(w.pauseMs()))
	}
	if w.rest {
		w.rest = false
		w.openMs = max(w.openMs, w.restedMs+clock.Millis((0.5+rnd.Float64())*float64(w.pauseMs())))
	}
	limit := max(w.size, 1)
	switch {
	case now < w.openMs:
		w.boundMs = now
		return float64(inFlight+1) / min(w.size, 1)
	case float64(inFlight+1) <= limit:
		return 0
	default:
		w.boundMs = now
		return float64(inFlight+1)/limit - 1 + 1/limit
	}
}

// pauseMs returns the pause after which a gateway with a share below one sends its next request.
func (w *Window) pauseMs() clock.Millis {
	if w.size >= 1 {
		return 0
	}
	return min(clock.Millis(w.usualMs*(1/w.size-1)), maxSpreadMs)
}

// Answered records a complete answer that took tookMs. deviationMs is the usual deviation of the
// time per request. It reports whether the answer was good.
func (w *Window) Answered(now, tookMs clock.Millis, deviationMs float64) bool {
	if w.usualMs > 0 && float64(tookMs) > slowFactor*(w.usualMs+deviationMs) {
		w.Bad(now, now-tookMs)
		return false
	}
	w.good = true
	switch {
	case w.usualMs > 0 && float64(tookMs) > queuedFactor*w.usualMs+deviationMs:
		// A queue forms: the window is large enough.
	case w.size < 1 && w.usualMs > 0:
		w.size = min(w.size*growth, 1)
	case w.size < 1:
		w.size = min(2*w.size, 1)
	default:
		w.size++
	}
	w.restedMs, w.rest = now, true
	return true
}

// Bad records that the server refused a request, sent at sentMs, for lack of capacity, failed or
// was slow. The window shrinks once for all requests that were in flight at the same time.
func (w *Window) Bad(now, sentMs clock.Millis) {
	w.boundMs = now
	if sentMs < w.shrunkMs {
		return
	}
	w.shrunkMs = now
	w.size = max(w.size/2, w.share.floor())
	w.restedMs, w.rest = now, true
}

// Size returns the requests that may be in flight; below one, the fraction of the time for
// which one may be.
func (w *Window) Size() float64 { return w.size }

// Done reports whether the window has nothing to limit any more: it has reached the server's
// slots, or has not bound the gateway for a while.
func (w *Window) Done(now clock.Millis) bool {
	return w.good && (w.size >= float64(max(w.share.Slots, 1)) || now-w.boundMs >= unboundMs)
}
