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
	// again tells that a server is to be chosen again: the engine's host has
	// changed, or another server could start the request at once.
	again bool
}

// turn is a request's place in the order of an engine.
type turn struct {
	b       *board
	pool    *pool
	r       enginequeue.Reservation
	askedMs clock.Millis
	verdict chan verdict

	// Guarded by the board.
	peer    *peer
	granted bool
}

func (b *board) settle(p *peer, id string, v verdict) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.turns[id]
	if t == nil || t.granted || t.peer != p {
		return
	}
	t.granted = v.granted
	if !v.granted {
		delete(b.turns, id)
	}
	t.verdict <- v
}

// reserve asks for a start; nil when no host is up.
func (b *board) reserve(pool *pool, r enginequeue.Reservation) *turn {
	return b.open(pool, dispatch.MethodReserve, r)
}

// announce tells of a request that is sent at once; nil when no host is up.
func (b *board) announce(pool *pool, r enginequeue.Reservation) *turn {
	return b.open(pool, enginequeue.MethodAnnounce, r)
}

func (b *board) open(pool *pool, method string, r enginequeue.Reservation) *turn {
	b.mu.Lock()
	defer b.mu.Unlock()
	id := r.Engine.ID
	b.pools[id] = pool
	h, ok := b.hosts[id]
	if !ok {
		h = b.top(id)
		b.hosts[id] = h
	}
	if h == nil || h.link == nil {
		return nil
	}
	t := &turn{
		b: b, pool: pool, r: r, askedMs: b.g.clock.Now(), verdict: make(chan verdict, 1),
		peer: h, granted: method == enginequeue.MethodAnnounce,
	}
	b.turns[r.ID] = t
	h.link.Notify(method, r)
	return t
}

// begun tells that the first event has arrived.
func (t *turn) begun() { t.note(enginequeue.MethodBegun, enginequeue.Ref{}) }

// done tells that the request has ended; unreached tells that it could not
// reach the engine, and pause for how long the engine wants nothing.
func (t *turn) done(unreached bool, pause clock.Millis) {
	t.note(enginequeue.MethodDone, enginequeue.Ref{Unreachable: unreached, BackOffMs: pause})
}

// cancel takes a reservation back.
func (t *turn) cancel() { t.note(dispatch.MethodCancel, enginequeue.Ref{}) }

func (t *turn) note(method string, ref enginequeue.Ref) {
	if t == nil {
		return
	}
	t.b.mu.Lock()
	defer t.b.mu.Unlock()
	if method == enginequeue.MethodBegun {
		t.r.Begun = true
	} else {
		delete(t.b.turns, t.r.ID)
	}
	if p := t.peer; p != nil && p.link != nil {
		ref.ID = t.r.ID
		p.link.Notify(method, ref)
	}
}

// leave has the requests that wait for a start at an engine choose again.
func (b *board) leave(engine string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, t := range b.turns {
		if t.granted || t.r.Engine.ID != engine {
			continue
		}
		if t.peer != nil && t.peer.link != nil {
			t.peer.link.Notify(dispatch.MethodCancel, enginequeue.Ref{ID: id})
		}
		delete(b.turns, id)
		t.verdict <- verdict{again: true}
	}
}

// await waits for the verdict. better is asked from time to time whether
// another server could start the request at once.
func (t *turn) await(ctx context.Context, better func() bool) (verdict, error) {
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
			if t.b.quiet(t) {
				// The host's engines were given to others, and so was this turn.
				continue
			}
			if better() {
				t.cancel()
				return verdict{again: true}, nil
			}
		}
	}
}

// quiet takes the engines away from a host of which nothing was heard while t
// waits there: a host with a queue tells its load all the time.
func (b *board) quiet(t *turn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := t.peer
	now := b.g.clock.Now()
	// What arrives is read late by as much as anything that is ready waits.
	silent := queueSilent + b.g.gate.delay()
	if p == nil || p.link == nil || t.granted || now-t.askedMs <= silent || now-p.link.Heard() <= silent {
		return false
	}
	b.lost(p, now)
	return true
}
