package gateway

import (
	"context"
	"time"

	"github.com/damaskport/damaskport/internal/peer/dispatch"
	"github.com/damaskport/damaskport/internal/peer/enginequeue"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// verdict is a host's answer to a reservation.
type verdict struct {
	granted    bool
	retryAfter clock.Millis
	// chooseAgain tells that a server is to be chosen again: the engine's host has
	// changed, or another server could start the request at once.
	chooseAgain bool
}

// reservation is a request's place in the order of an engine.
type reservation struct {
	b       *peerTable
	pool    *pool
	r       enginequeue.Reservation
	sentMs  clock.Millis
	verdict chan verdict

	// Guarded by the peer table.
	owner   *peer
	granted bool
}

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

// reserve asks for a start; nil when no host is up.
func (b *peerTable) reserve(pool *pool, r enginequeue.Reservation) *reservation {
	return b.open(pool, dispatch.MethodReserve, r)
}

// announce tells of a request that is sent at once; nil when no host is up.
func (b *peerTable) announce(pool *pool, r enginequeue.Reservation) *reservation {
	return b.open(pool, enginequeue.MethodAnnounce, r)
}

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

// begun tells that the first event has arrived.
func (t *reservation) begun() { t.notifyOwner(enginequeue.MethodBegun, enginequeue.Ref{}) }

// done tells that the request has ended; unreached tells that it could not
// reach the engine, and pause for how long the engine wants nothing.
func (t *reservation) done(unreached bool, pause clock.Millis) {
	t.notifyOwner(enginequeue.MethodDone, enginequeue.Ref{Unreachable: unreached, BackOffMs: pause})
}

// cancel takes a reservation back.
func (t *reservation) cancel() { t.notifyOwner(dispatch.MethodCancel, enginequeue.Ref{}) }

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

// dropWaiting has the requests that wait for a start at an engine choose again.
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

// await waits for the verdict. better is asked from time to time whether
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
				// The host's engines were given to others, and so was this turn.
				continue
			}
			if better() {
				t.cancel()
				return verdict{chooseAgain: true}, nil
			}
		}
	}
}

// dropSilentOwner takes the engines away from a host of which nothing was heard while t
// waits there: a host with a queue tells its load all the time.
func (b *peerTable) dropSilentOwner(t *reservation) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := t.owner
	now := b.g.clock.Now()
	// What arrives is read late by as much as anything that is ready waits.
	silent := queueOwnerTimeout + b.g.gate.delay()
	if p == nil || p.link == nil || t.granted || now-t.sentMs <= silent || now-p.link.Heard() <= silent {
		return false
	}
	b.markSilent(p, now)
	return true
}
