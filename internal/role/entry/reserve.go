package entry

import (
	"context"

	"github.com/damaskport/damaskport/internal/caller/exchange"
	"github.com/damaskport/damaskport/internal/peer/dispatch"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// reserve asks the candidates for a slot and takes the first that is offered.
func (d *dispatcher) reserve(ctx context.Context, j *job, candidates []*peer) (*answer, *attemptError) {
	id := j.nextAttempt()
	w := d.e.waitQueue.add(id, j.class.Tier)
	if w == nil {
		return nil, &attemptError{err: overloaded(defaultRetryAfter)}
	}
	defer d.e.waitQueue.drop(w)
	h := &held{d: d, j: j, id: id, open: map[*peer]bool{}}
	for _, p := range candidates {
		if !h.ask(p) {
			j.tried[p] = true
		}
	}
	defer h.cancelAll()
	return h.wait(ctx, w)
}

// held is a set of reservations for one attempt.
type held struct {
	d  *dispatcher
	j  *job
	id string
	// open holds the sidecars that hold the reservation.
	open map[*peer]bool
	// preemptor is the one sidecar that may preempt for the job; nil if none was asked.
	preemptor *peer
	// retryAfter is the shortest time after which a sidecar expects room.
	retryAfter clock.Millis
}

// ask reserves at p, or asks again. Only one sidecar preempts for a job, so
// that one slot is cleared and not one at each.
func (h *held) ask(p *peer) bool {
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

// movePreemption lets another sidecar preempt once the preemptor one is gone.
func (h *held) movePreemption() {
	if h.open[h.preemptor] {
		return
	}
	h.preemptor = nil
	for p := range h.open {
		if h.ask(p) {
			return
		}
	}
}

func (h *held) wait(ctx context.Context, w *waiter) (*answer, *attemptError) {
	for len(h.open) > 0 {
		select {
		case <-ctx.Done():
			return nil, &attemptError{err: stopped(ctx, h.j)}
		case s := <-w.signals:
			ans, err := h.apply(ctx, s)
			if ans != nil || err != nil {
				return ans, err
			}
		}
	}
	return nil, &attemptError{err: overloaded(max(h.retryAfter, defaultRetryAfter)), again: true}
}

// apply takes in one signal; it returns an answer, a final error, or neither.
func (h *held) apply(ctx context.Context, s signal) (*answer, *attemptError) {
	switch s.kind {
	case signalEvicted:
		return nil, &attemptError{err: overloaded(max(h.retryAfter, defaultRetryAfter))}
	case signalPeerGone:
		h.drop(s.peer)
	case signalRefuse:
		h.note(s)
		h.drop(s.peer)
	case signalVerdict:
		h.note(s)
	case signalOffer:
		return h.take(ctx, s.peer)
	}
	return nil, nil
}

func (h *held) note(s signal) {
	if !h.open[s.peer] {
		return
	}
	if r := s.verdict.RetryAfterMs; r > 0 && (h.retryAfter == 0 || r < h.retryAfter) {
		h.retryAfter = r
	}
}

func (h *held) drop(p *peer) {
	if h.open[p] {
		delete(h.open, p)
		h.j.tried[p] = true
		h.movePreemption()
	}
}

// take accepts an offer; offers of the other sidecars are not read meanwhile, and
// their reservations are cancelled once the job is bound.
func (h *held) take(ctx context.Context, p *peer) (*answer, *attemptError) {
	if !h.open[p] {
		return nil, nil
	}
	delete(h.open, p)
	ans, err := h.d.attempt(ctx, h.j, p, h.id)
	if ans != nil {
		return ans, nil
	}
	if final(err) {
		return nil, err
	}
	if err.preempted {
		return nil, err
	}
	h.j.tried[p] = !err.full
	if !err.full || !h.ask(p) {
		h.movePreemption()
	}
	return nil, nil
}

func (h *held) cancelAll() {
	for p := range h.open {
		p.notify(dispatch.MethodCancel, dispatch.ID{ID: h.id})
	}
}

// overloaded is the answer to a request that is shed.
func overloaded(retryAfter clock.Millis) *exchange.Failure {
	return &exchange.Failure{
		Status: 429, Code: "overloaded", NotRun: true, RetryAfterMs: retryAfter,
		Message: "the request cannot meet its class's target now",
	}
}
