package entry

import (
	"container/list"
	"sync"

	"github.com/damaskport/damaskport/internal/peer/dispatch"
	"github.com/damaskport/damaskport/internal/state/directory"
)

// signalKind is the kind of a signal to a waiting request.
type signalKind int

const (
	signalVerdict          signalKind = iota // a sidecar has queued the reservation
	signalOffer                              // a sidecar offers a slot
	signalRefuse                             // a sidecar has refused or dropped the reservation
	signalPeerDisconnected                   // the connection to a sidecar has ended
	signalEvicted                            // the entry's wait queue dropped the request
)

// signal is one event for a waiting request.
type signal struct {
	kind    signalKind
	peer    *peer
	verdict *dispatch.Verdict // of signalVerdict and signalRefuse, else nil
}

// signalBuffer is the number of signals buffered for a request, enough for what a few
// candidates send while the request is not receiving.
const signalBuffer = 12

// waiter is an attempt that waits for a slot.
type waiter struct {
	id      string // attempt id
	tier    int
	signals chan signal
	elem    *list.Element
}

// waitQueue holds the waiting requests of the entry, at most max, and delivers
// signals to them. It is safe for concurrent use.
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

// add adds a request. If the queue is full, it evicts the newest request of the
// lowest tier, provided that this tier is below the given one; otherwise add
// returns nil.
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

// evictBelow evicts the newest request of the lowest non-empty tier below tier, and
// reports whether there was one. A higher number is a lower tier.
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

// drop removes a request that no longer waits, unless it was evicted already.
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

// deliver sends a signal to the waiting request with the attempt id. It returns false
// if there is none or its buffer is full, in which one place is reserved for an
// eviction.
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

// depths returns the number of waiting requests in each tier.
func (r *waitQueue) depths() [directory.Tiers]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out [directory.Tiers]int
	for i, l := range r.tiers {
		out[i] = l.Len()
	}
	return out
}

// broadcast sends a signal to every waiting request whose buffer has room.
func (r *waitQueue) broadcast(s signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.byID {
		if len(w.signals) < signalBuffer-1 {
			w.signals <- s
		}
	}
}
