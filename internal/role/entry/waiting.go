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
	verdict *dispatch.Verdict // nil unless the kind carries one
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

// waitQueue holds the waiting requests of the entry, bounded in number.
type waitQueue struct {
	mu    sync.Mutex
	max   int
	byID  map[string]*waiter
	tiers [directory.Tiers]*list.List
}

func newWaitQueue(size int) *waitQueue {
	r := &waitQueue{max: size, byID: map[string]*waiter{}}
	for i := range r.tiers {
		r.tiers[i] = list.New()
	}
	return r
}

// add adds a request. When the queue is full, the newest request of the
// lowest tier below the new one's leaves; without one, add returns nil.
func (r *waitQueue) add(id string, tier int) *waiter {
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

func (r *waitQueue) evictBelow(tier int) bool {
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

func (r *waitQueue) drop(w *waiter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byID[w.id] == w {
		r.remove(w)
	}
}

func (r *waitQueue) remove(w *waiter) {
	delete(r.byID, w.id)
	r.tiers[w.tier].Remove(w.elem)
}

// deliver passes a signal to a waiting request and reports whether it was taken.
// One place of the buffer is kept for an eviction.
func (r *waitQueue) deliver(id string, s signal) bool {
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
func (r *waitQueue) depths() [directory.Tiers]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out [directory.Tiers]int
	for i, l := range r.tiers {
		out[i] = l.Len()
	}
	return out
}

// broadcast passes a signal to every waiting request.
func (r *waitQueue) broadcast(s signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.byID {
		if len(w.signals) < signalBuffer-1 {
			w.signals <- s
		}
	}
}
