package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	// readBackoff is the pause after the first failed call of the store; it
	// doubles with each further one.
	readBackoff = 150 * clock.Millisecond
	// longestPause is the most, and longestReaderPause that of a gateway whose
	// reads tell the others that the store is back.
	longestPause       = 1800 * clock.Millisecond
	longestReaderPause = 450 * clock.Millisecond
	// probedPause is the pause of those for whom another duty asks: they wake with
	// its first answer, and ask by themselves in case only its topic is away.
	probedPause = 3600 * clock.Millisecond
)

// outage wakes all that wait for the store once one call of it succeeds.
type outage struct {
	// configPolls tells that the duty that follows the configuration asks for all.
	configPolls atomic.Bool

	mu       sync.Mutex
	answered chan struct{}
}

func newOutage() *outage { return &outage{answered: make(chan struct{})} }

// storeAnswered tells that the store answered.
func (o *outage) storeAnswered() {
	o.mu.Lock()
	defer o.mu.Unlock()
	close(o.answered)
	o.answered = make(chan struct{})
}

// nextAnswer returns a channel that is closed with the next answer of the store.
func (o *outage) nextAnswer() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.answered
}

// outagePause waits before a call of the store that failed is made again. It
// ends early when the store answers another call of this gateway, or a reader
// tells that it has answered. probes tells that the caller asks for all duties.
func (g *Gateway) outagePause(ctx context.Context, failures int, probes bool) {
	longest := longestPause
	if g.peers.ranksAmong(subjectReaders, readers) {
		longest = longestReaderPause
	}
	d := min(readBackoff<<min(max(failures-1, 0), 8), longest)
	if !probes && g.outage.configPolls.Load() {
		d, longest = probedPause, probedPause
	}
	// Gateways that lost the store together do not come back together.
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
