package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	// minBackOff is the back-off after the first failed call of the store. It doubles
	// with each further failure.
	minBackOff = 150 * clock.Millisecond
	// maxBackOff is the maximum back-off, and maxReaderBackOff that of a store
	// reader, whose successful reads tell the other gateways that the outage has ended.
	maxBackOff       = 1800 * clock.Millisecond
	maxReaderBackOff = 450 * clock.Millisecond
	// waitingBackOff is the back-off of a task while the task that follows the
	// configuration polls the store for all tasks. The first answer to that task wakes
	// the others. They still make calls of their own, in case only the configuration's
	// topic is unavailable.
	waitingBackOff = 3600 * clock.Millisecond
)

// outage wakes all tasks that wait for the store as soon as one call of it succeeds. It
// is safe for concurrent use.
type outage struct {
	// configPolls is set while the task that follows the configuration polls the store
	// for all tasks.
	configPolls atomic.Bool

	mu       sync.Mutex
	answered chan struct{}
}

func newOutage() *outage { return &outage{answered: make(chan struct{})} }

// storeAnswered records that the store has answered a call, and wakes all tasks that
// wait for the store.
func (o *outage) storeAnswered() {
	o.mu.Lock()
	defer o.mu.Unlock()
	close(o.answered)
	o.answered = make(chan struct{})
}

// nextAnswer returns a channel that is closed when the store answers the next call.
func (o *outage) nextAnswer() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.answered
}

// backOff backs off before a failed call of the store is made again. It ends early
// if the store answers another call of this gateway, or if an update of a store reader
// shows that the store has answered the reader. failures is the number of failures in a
// row. pollsForAll is set if the caller polls the store for all tasks.
func (g *Gateway) backOff(ctx context.Context, failures int, pollsForAll bool) {
	limit := maxBackOff
	if g.peers.ranksAmong(subjectReaders, storeReaders) {
		limit = maxReaderBackOff
	}
	d := min(minBackOff<<min(max(failures-1, 0), 8), limit)
	if !pollsForAll && g.outage.configPolls.Load() {
		d, limit = waitingBackOff, waitingBackOff
	}
	// The jitter keeps gateways that lost the store at the same time from calling it
	// again at the same time.
	d = d/2 + clock.Millis(rand.Int64N(int64(d)))
	answered := g.outage.nextAnswer()
	_, updated, _ := g.updates.current()
	wait, cancel := context.WithTimeout(ctx, min(d, limit).Duration())
	defer cancel()
	select {
	case <-wait.Done():
	case <-answered:
	case <-updated:
	}
}
