package gateway

import (
	"context"
	"time"

	"github.com/damaskport/damaskport/internal/peer/dispatch"
	"github.com/damaskport/damaskport/internal/peer/enginequeue"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// verdict is a queue owner's answer to a reservation.
type verdict struct {
	granted    bool
	retryAfter clock.Millis
	// chooseAgain is set if the request is to choose a server again: the engine
	// has a new queue owner or accepts no requests for now, or another server
	// could start the request at once.
	chooseAgain bool
}

// reservation is a request's entry in an engine queue. A request that is sent
// without waiting is only announced to the queue owner, and counts as granted.
type reservation struct {
	b       *peerTable
	pool    *pool
	r       enginequeue.Reservation
	sentMs  clock.Millis
	verdict chan verdict

	// Guarded by the mutex of the peer table.
	owner   *peer
	granted bool
}

// resolve passes the verdict of queue owner p to the reservation id, unless that
// has ended, is already granted, or has another queue owner by now.
func (b *peerTable) resolve(p *peer, id string, v verdict) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.reservations[id]
	if t == nil || t.granted || t.owner != p {
		return
	}
	t.granted = v.granted
	if !v.granted {
		delete(b.reservations, id)
	}
	t.verdict <- v
}

// reserve requests a start at the engine from its queue owner. It returns nil if
// no queue owner is connected.
func (b *peerTable) reserve(pool *pool, r enginequeue.Reservation) *reservation {
	return b.open(pool, dispatch.MethodReserve, r)
}

// announce reports a request that is sent without waiting to the engine's queue
// owner. It returns nil if no queue owner is connected.
func (b *peerTable) announce(pool *pool, r enginequeue.Reservation) *reservation {
	return b.open(pool, enginequeue.MethodAnnounce, r)
}

// open adds a reservation and sends it to the engine's queue owner by method. It
// returns nil if no queue owner is connected.
func (b *peerTable) open(pool *pool, method string, r enginequeue.Reservation) *reservation {
	b.mu.Lock()
	defer b.mu.Unlock()
	id := r.Engine.ID
	b.pools[id] = pool
	h, ok := b.owners[id]
	if !ok {
		h = b.electOwner(id)
		b.owners[id] = h
	}
	if h == nil || h.link == nil {
		return nil
	}
	t := &reservation{
		b: b, pool: pool, r: r, sentMs: b.g.clock.Now(), verdict: make(chan verdict, 1),
		owner: h, granted: method == enginequeue.MethodAnnounce,
	}
	b.reservations[r.ID] = t
	h.link.Notify(method, r)
	return t
}

// begun reports to the queue owner that the first event has arrived.
func (t *reservation) begun() { t.notifyOwner(enginequeue.MethodBegun, enginequeue.Ref{}) }

// done reports to the queue owner that the request has ended. unreached is set if
// it could not reach the engine; pause is the back-off that the engine asked for,
// 0 for none.
func (t *reservation) done(unreached bool, pause clock.Millis) {
	t.notifyOwner(enginequeue.MethodDone, enginequeue.Ref{Unreachable: unreached, BackOffMs: pause})
}

// cancel withdraws the reservation.
func (t *reservation) cancel() { t.notifyOwner(dispatch.MethodCancel, enginequeue.Ref{}) }

// notifyOwner sends ref to the queue owner by method. Every method but begun
// removes the reservation. t may be nil.
func (t *reservation) notifyOwner(method string, ref enginequeue.Ref) {
	if t == nil {
		return
	}
	t.b.mu.Lock()
	defer t.b.mu.Unlock()
	if method == enginequeue.MethodBegun {
		t.r.Begun = true
	} else {
		delete(t.b.reservations, t.r.ID)
	}
	if p := t.owner; p != nil && p.link != nil {
		ref.ID = t.r.ID
		p.link.Notify(method, ref)
	}
}

// dropWaiting cancels the reservations that wait for a start at an engine; their
// requests choose a server again.
func (b *peerTable) dropWaiting(engine string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, t := range b.reservations {
		if t.granted || t.r.Engine.ID != engine {
			continue
		}
		if t.owner != nil && t.owner.link != nil {
			t.owner.link.Notify(dispatch.MethodCancel, enginequeue.Ref{ID: id})
		}
		delete(b.reservations, id)
		t.verdict <- verdict{chooseAgain: true}
	}
}

// await waits for the verdict. better is called every reviewEvery and reports
// whether to withdraw the reservation and choose again, for example because
// another server could start the request at once.
func (t *reservation) await(ctx context.Context, better func() bool) (verdict, error) {
	tick := time.NewTicker(reviewEvery.Duration())
	defer tick.Stop()
	for {
		select {
		case v := <-t.verdict:
			return v, nil
		case <-ctx.Done():
			t.cancel()
			return verdict{}, context.Cause(ctx)
		case <-tick.C:
			if t.b.dropSilentOwner(t) {
				// The engines of the silent queue owner were reassigned, and the
				// verdict to choose again has been sent.
				continue
			}
			if better() {
				t.cancel()
				return verdict{chooseAgain: true}, nil
			}
		}
	}
}

// dropSilentOwner reassigns the engines of t's queue owner, and returns true, if
// it has sent nothing for queueOwnerTimeout while t waits there: an owner with a
// queue reports its load more often than that.
func (b *peerTable) dropSilentOwner(t *reservation) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := t.owner
	now := b.g.clock.Now()
	// On a busy processor, received messages are read late, by as much as other
	// ready work is delayed.
	silent := queueOwnerTimeout + b.g.gate.delay()
	if p == nil || p.link == nil || t.granted || now-t.sentMs <= silent || now-p.link.Heard() <= silent {
		return false
	}
	b.markSilent(p, now)
	return true
}
