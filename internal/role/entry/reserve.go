package entry

import (
	"context"

	"github.com/damaskport/damaskport/internal/caller/exchange"
	"github.com/damaskport/damaskport/internal/peer/dispatch"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// reserve sends reservations for one attempt to the candidates, waits, and runs the
// attempt on the first slot that is offered.
func (d *dispatcher) reserve(ctx context.Context, j *job, candidates []*peer) (*answer, *attemptError) {
	id := j.nextAttempt()
	w := d.e.waitQueue.add(id, j.class.Tier)
	if w == nil {
		return nil, &attemptError{err: overloaded(defaultRetryAfter)}
	}
	defer d.e.waitQueue.drop(w)
	h := &reservationSet{d: d, j: j, id: id, open: map[*peer]bool{}}
	for _, p := range candidates {
		if !h.reserveAt(p) {
			j.tried[p] = true
		}
	}
	defer h.cancelAll()
	return h.wait(ctx, w)
}

// reservationSet is the set of reservations for one attempt at several sidecars.
type reservationSet struct {
	d  *dispatcher
	j  *job
	id string
	// open contains the sidecars at which the reservation is pending.
	open map[*peer]bool
	// preemptor is the only sidecar that may preempt another request for the job; nil
	// if there is none.
	preemptor *peer
	// retryAfter is the shortest time, in ms, after which a sidecar expects to have
	// capacity; 0 is unknown.
	retryAfter clock.Millis
}

// reserveAt sends or repeats the reservation at p and reports whether p is
// connected. Only one sidecar may preempt for a job; otherwise each would preempt a
// request although the job needs a single slot.
func (h *reservationSet) reserveAt(p *peer) bool {
	r := h.j.reservation(h.id, h.d.e.incarnation, h.d.e.clock.Now())
	r.NonPreempting = h.preemptor != nil && h.preemptor != p
	if !p.notify(dispatch.MethodReserve, r) {
		return false
	}
	if !r.NonPreempting {
		h.preemptor = p
	}
	h.open[p] = true
	return true
}

// movePreemption allows another sidecar to preempt once the reservation at the
// preemptor is no longer pending.
func (h *reservationSet) movePreemption() {
	if h.open[h.preemptor] {
		return
	}
	h.preemptor = nil
	for p := range h.open {
		if h.reserveAt(p) {
			return
		}
	}
}

// wait handles signals until an attempt was answered or has finally failed, or no
// reservation is pending any more.
func (h *reservationSet) wait(ctx context.Context, w *waiter) (*answer, *attemptError) {
	for len(h.open) > 0 {
		select {
		case <-ctx.Done():
			return nil, &attemptError{err: requestEnded(ctx, h.j)}
		case s := <-w.signals:
			ans, err := h.handleSignal(ctx, s)
			if ans != nil || err != nil {
				return ans, err
			}
		}
	}
	return nil, &attemptError{err: overloaded(max(h.retryAfter, defaultRetryAfter)), retryable: true}
}

// handleSignal handles one signal. It returns an answer, an error that ends the
// wait, or neither to continue waiting.
func (h *reservationSet) handleSignal(ctx context.Context, s signal) (*answer, *attemptError) {
	switch s.kind {
	case signalEvicted:
		return nil, &attemptError{err: overloaded(max(h.retryAfter, defaultRetryAfter))}
	case signalPeerDisconnected:
		h.removeAt(s.peer)
	case signalRefuse:
		h.recordVerdict(s)
		h.removeAt(s.peer)
	case signalVerdict:
		h.recordVerdict(s)
	case signalOffer:
		return h.acceptOffer(ctx, s.peer)
	}
	return nil, nil
}

// recordVerdict lowers retryAfter to the estimate of a verdict.
func (h *reservationSet) recordVerdict(s signal) {
	if !h.open[s.peer] {
		return
	}
	if r := s.verdict.RetryAfterMs; r > 0 && (h.retryAfter == 0 || r < h.retryAfter) {
		h.retryAfter = r
	}
}

// removeAt removes the reservation at p, which has ended there.
func (h *reservationSet) removeAt(p *peer) {
	if h.open[p] {
		delete(h.open, p)
		h.j.tried[p] = true
		h.movePreemption()
	}
}

// acceptOffer runs the attempt on the slot that p offers. Signals of other sidecars
// stay buffered meanwhile; if the attempt succeeds, their reservations are
// cancelled. If p refuses for lack of a slot, the reservation there is repeated.
func (h *reservationSet) acceptOffer(ctx context.Context, p *peer) (*answer, *attemptError) {
	if !h.open[p] {
		return nil, nil
	}
	delete(h.open, p)
	ans, err := h.d.attempt(ctx, h.j, p, h.id)
	if ans != nil {
		return ans, nil
	}
	if isFinal(err) {
		return nil, err
	}
	if err.preempted {
		return nil, err
	}
	h.j.tried[p] = !err.full
	if !err.full || !h.reserveAt(p) {
		h.movePreemption()
	}
	return nil, nil
}

// cancelAll cancels all pending reservations.
func (h *reservationSet) cancelAll() {
	for p := range h.open {
		p.notify(dispatch.MethodCancel, dispatch.ID{ID: h.id})
	}
}

// overloaded returns the failure (429) of a request that is shed.
func overloaded(retryAfter clock.Millis) *exchange.Failure {
	return &exchange.Failure{
		Status: 429, Code: "overloaded", NotRun: true, RetryAfterMs: retryAfter,
		Message: "the request cannot meet the latency target of its class at the current load",
	}
}
