package clock

import (
	"context"
	"sync"
)

// Manual is a Clock for tests that stands still until Advance is called. It is safe for
// concurrent use.
type Manual struct {
	mu      sync.Mutex
	now     Millis
	wall    Millis
	waiters []waiter
}

// waiter is a Sleep in progress.
type waiter struct {
	dueMs Millis
	done  chan struct{}
}

// NewManual returns a Manual clock that starts at the monotonic time now and the wall-clock
// time wall.
func NewManual(now, wall Millis) *Manual {
	return &Manual{now: now, wall: wall}
}

// Now returns the clock's monotonic time.
func (m *Manual) Now() Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Wall returns the clock's wall-clock time.
func (m *Manual) Wall() Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.wall
}

// Sleep waits until the clock has been advanced by d and returns nil; if ctx ends first, it
// returns the error of ctx.
func (m *Manual) Sleep(ctx context.Context, d Millis) error {
	m.mu.Lock()
	if d <= 0 {
		m.mu.Unlock()
		return ctx.Err()
	}
	w := waiter{dueMs: m.now + d, done: make(chan struct{})}
	m.waiters = append(m.waiters, w)
	m.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-w.done:
		return nil
	}
}

// Advance moves the monotonic and the wall-clock time forward by d, and ends each Sleep whose
// time has passed.
func (m *Manual) Advance(d Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now += d
	m.wall += d
	kept := m.waiters[:0]
	for _, w := range m.waiters {
		if w.dueMs <= m.now {
			close(w.done)
			continue
		}
		kept = append(kept, w)
	}
	m.waiters = kept
}
