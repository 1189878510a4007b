package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	// readBackoff is the back-off after the first failed call of the store. It doubles
	// with each further failure.
	readBackoff = 150 * clock.Millisecond
	// longestPause is the maximum back-off, and longestReaderPause that of a store
	// reader, whose successful reads tell the other gateways that the outage has ended.
	longestPause       = 1800 * clock.Millisecond
	longestReaderPause = 450 * clock.Millisecond
	// probedPause is the back-off of a task while the task that follows the
	// configuration polls the store for all tasks. The first answer to that task wakes
	// the others. They still make calls of their own, in case only the configuration's
	// topic is unavailable.
	probedPause = 3600 * clock.Millisecond
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

// outagePause backs off before a failed call of the store is made again. It ends early
// if the store answers another call of this gateway, or if an update of a store reader
// shows that the store has answered the reader. failures is the number of failures in a
// row. probes is set if the caller polls the store for all tasks.
func (g *Gateway) outagePause(ctx context.Context, failures int, probes bool) {
	longest := longestPause
	if g.peers.ranksAmong(subjectReaders, readers) {
		longest = longestReaderPause
	}
	d := min(readBackoff<<min(max(failures-1, 0), 8), longest)
	if !probes && g.outage.configPolls.Load() {
		d, longest = probedPause, probedPause
	}
	// The jitter keeps gateways that lost the store at the same time from calling it
	// again at the same time.
	d = d/2 + clock.Millis(rand.Int64N(int64(d)))
	over := g.outage.nextAnswer()
	_, told, _ := g.updates.current()
	wait, cancel := context.WithTimeout(ctx, min(d, longest).Duration())
	defer cancel()
	select {
	case <-wait.Done():
	case <-over:
	case <-told:
	}
}
