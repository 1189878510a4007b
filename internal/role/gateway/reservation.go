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
	peers   *peerTable
	pool    *pool
	msg     enginequeue.Reservation
	sentMs  clock.Millis
	verdict chan verdict

	// Guarded by the mutex of the peer table.
	owner   *peer
	granted bool
}

// resolve passes the verdict of queue owner p to the reservation id, unless that
// has ended, is already granted, or has another queue owner by now.
func (t *peerTable) resolve(p *peer, id string, v verdict) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.reservations[id]
	if r == nil || r.granted || r.owner != p {
		return
	}
	r.granted = v.granted
	if !v.granted {
		delete(t.reservations, id)
	}
	r.verdict <- v
}

// reserve requests a start at the engine from its queue owner. It returns nil if
// no queue owner is connected.
func (t *peerTable) reserve(pool *pool, msg enginequeue.Reservation) *reservation {
	return t.openReservation(pool, dispatch.MethodReserve, msg)
}

// announce reports a request that is sent without waiting to the engine's queue
// owner. It returns nil if no queue owner is connected.
func (t *peerTable) announce(pool *pool, msg enginequeue.Reservation) *reservation {
	return t.openReservation(pool, enginequeue.MethodAnnounce, msg)
}

// openReservation adds a reservation and sends it to the engine's queue owner by
// method. It returns nil if no queue owner is connected.
func (t *peerTable) openReservation(pool *pool, method string, msg enginequeue.Reservation) *reservation {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := msg.Engine.ID
	t.pools[id] = pool
	owner, ok := t.owners[id]
	if !ok {
		owner = t.electOwner(id)
		t.owners[id] = owner
	}
	if owner == nil || owner.link == nil {
		return nil
	}
	r := &reservation{
		peers: t, pool: pool, msg: msg, sentMs: t.g.clock.Now(), verdict: make(chan verdict, 1),
		owner: owner, granted: method == enginequeue.MethodAnnounce,
	}
	t.reservations[msg.ID] = r
	owner.link.Notify(method, msg)
	return r
}

// begun reports to the queue owner that the first event has arrived, and the slowness that the
// engine reported itself; 0 if it did not.
func (r *reservation) begun(slowness float64) {
	r.notifyOwner(enginequeue.MethodBegun, enginequeue.Ref{Slowness: slowness})
}

// done reports to the queue owner that the request has ended, and what that says of the engine.
func (r *reservation) done(ref enginequeue.Ref) { r.notifyOwner(enginequeue.MethodDone, ref) }

// cancel withdraws the reservation.
func (r *reservation) cancel() { r.notifyOwner(dispatch.MethodCancel, enginequeue.Ref{}) }

// notifyOwner sends ref to the queue owner by method. Every method but begun
// removes the reservation. r may be nil.
func (r *reservation) notifyOwner(method string, ref enginequeue.Ref) {
	if r == nil {
		return
	}
	r.peers.mu.Lock()
	defer r.peers.mu.Unlock()
	if method == enginequeue.MethodBegun {
		r.msg.Begun = true
	} else {
		delete(r.peers.reservations, r.msg.ID)
	}
	if p := r.owner; p != nil && p.link != nil {
		ref.ID = r.msg.ID
		p.link.Notify(method, ref)
	}
}

// dropWaiting cancels the reservations that wait for a start at an engine; their
// requests choose a server again.
func (t *peerTable) dropWaiting(engine string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, r := range t.reservations {
		if r.granted || r.msg.Engine.ID != engine {
			continue
		}
		if r.owner != nil && r.owner.link != nil {
			r.owner.link.Notify(dispatch.MethodCancel, enginequeue.Ref{ID: id})
		}
		delete(t.reservations, id)
		r.verdict <- verdict{chooseAgain: true}
	}
}

// await waits for the verdict. better is called every reviewEvery and reports
// whether to withdraw the reservation and choose again, for example because
// another server could start the request at once.
func (r *reservation) await(ctx context.Context, better func() bool) (verdict, error) {
	tick := time.NewTicker(reviewEvery.Duration())
	defer tick.Stop()
	for {
		select {
		case v := <-r.verdict:
			return v, nil
		case <-ctx.Done():
			r.cancel()
			return verdict{}, context.Cause(ctx)
		case <-tick.C:
			if r.peers.dropSilentOwner(r) {
				// The engines of the silent queue owner were reassigned, and the
				// verdict to choose again has been sent.
				continue
			}
			if better() {
				r.cancel()
				return verdict{chooseAgain: true}, nil
			}
		}
	}
}

// dropSilentOwner reassigns the engines of r's queue owner, and returns true, if
// it has sent nothing for queueOwnerTimeout while r waits there: an owner with a
// queue reports its load more often than that.
func (t *peerTable) dropSilentOwner(r *reservation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := r.owner
	now := t.g.clock.Now()
	// On a busy processor, received messages are read late, by as much as other
	// ready work is delayed.
	silent := queueOwnerTimeout + t.g.gate.probeDelay()
	if p == nil || p.link == nil || r.granted || now-r.sentMs <= silent || now-p.link.Heard() <= silent {
		return false
	}
	t.markSilent(p, now)
	return true
}
