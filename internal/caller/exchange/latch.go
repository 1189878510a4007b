package exchange

import "sync"

// latchState is what a Latch has decided.
type latchState int

const (
	latchOpen latchState = iota
	latchBegun
	latchGivenUp
)

// Latch decides between the beginning of something, such as an answer, and a timer that gives it
// up: whichever comes first holds, so that nothing that has begun is cut by a timer that was stopped
// too late. The zero Latch is open. It is safe for concurrent use.
type Latch struct {
	mu    sync.Mutex
	state latchState
}

// Begin reports whether it may begin, or has begun: it was not given up.
func (l *Latch) Begin() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state == latchOpen {
		l.state = latchBegun
	}
	return l.state == latchBegun
}

// GiveUp calls end unless it has begun or was given up. end must not block.
func (l *Latch) GiveUp(end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state == latchOpen {
		l.state = latchGivenUp
		end()
	}
}
