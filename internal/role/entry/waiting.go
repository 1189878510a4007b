package entry

import (
	"container/list"
	"sync"

	"github.com/damaskport/damaskport/internal/peer/dispatch"
	"github.com/damaskport/damaskport/internal/state/directory"
)

// signalKind tells what happened to a waiting request.
type signalKind int

const (
	signalVerdict signalKind = iota
	signalOffer
	signalRefuse
	signalPeerGone
	signalEvicted
)

// signal is one event for a waiting request.
type signal struct {
	kind    signalKind
	peer    *peer
	verdict dispatch.Verdict
}

// signalBuffer holds what a few candidates can send before the request reads.
const signalBuffer = 12

// waiter is a request that waits for a slot.
type waiter struct {
	id      string
	tier    int
	signals chan signal
	elem    *list.Element
}

// waitRoom holds the waiting requests of the entry, bounded in number.
type waitRoom struct {
	mu    sync.Mutex
	max   int
	byID  map[string]*waiter
	tiers [directory.Tiers]*list.List
}

func newWaitRoom(size int) *waitRoom {
	r := &waitRoom{max: size, byID: map[string]*waiter{}}
	for i := range r.tiers {
		r.tiers[i] = list.New()
	}
	return r
}

// enter adds a request. When the room is full, the newest request of the
// lowest tier below the new one's leaves; without one, enter returns nil.
func (r *waitRoom) enter(id string, tier int) *waiter {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.byID) >= r.max && !r.evictBelow(tier) {
		return nil
	}
	w := &waiter{id: id, tier: tier, signals: make(chan signal, signalBuffer)}
	w.elem = r.tiers[tier].PushBack(w)
	r.byID[id] = w
	return w
}

func (r *waitRoom) evictBelow(tier int) bool {
	for t := directory.Tiers - 1; t > tier; t-- {
		e := r.tiers[t].Back()
		if e == nil {
			continue
		}
		w := e.Value.(*waiter)
		r.remove(w)
		w.signals <- signal{kind: signalEvicted}
		return true
	}
	return false
}

func (r *waitRoom) leave(w *waiter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byID[w.id] == w {
		r.remove(w)
	}
}

func (r *waitRoom) remove(w *waiter) {
	delete(r.byID, w.id)
	r.tiers[w.tier].Remove(w.elem)
}

// deliver passes a signal to a waiting request and reports whether it was taken.
// One place of the buffer is kept for an eviction.
func (r *waitRoom) deliver(id string, s signal) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w, ok := r.byID[id]
	if !ok || len(w.signals) >= signalBuffer-1 {
		return false
	}
	w.signals <- s
	return true
}

// depths returns the number of waiting requests by tier.
func (r *waitRoom) depths() [directory.Tiers]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out [directory.Tiers]int
	for i, l := range r.tiers {
		out[i] = l.Len()
	}
	return out
}

// broadcast passes a signal to every waiting request.
func (r *waitRoom) broadcast(s signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.byID {
		if len(w.signals) < signalBuffer-1 {
			w.signals <- s
		}
	}
}
