package clock

import (
	"context"
	"sync"
)

// Manual is a clock that moves only when Advance is called.
type Manual struct {
	mu      sync.Mutex
	now     Millis
	wall    Millis
	waiters []waiter
}

type waiter struct {
	at   Millis
	done chan struct{}
}

// NewManual returns a Manual clock that reads now and wall.
func NewManual(now, wall Millis) *Manual {
	return &Manual{now: now, wall: wall}
}

// Now returns the current reading.
func (m *Manual) Now() Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Wall returns the current wall-clock reading.
func (m *Manual) Wall() Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.wall
}

// Sleep waits until the clock has been advanced by d or ctx ends.
func (m *Manual) Sleep(ctx context.Context, d Millis) error {
	m.mu.Lock()
	if d <= 0 {
		m.mu.Unlock()
		return ctx.Err()
	}
	w := waiter{at: m.now + d, done: make(chan struct{})}
	m.waiters = append(m.waiters, w)
	m.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-w.done:
		return nil
	}
}

// Advance moves both readings by d and wakes the sleepers that are due.
func (m *Manual) Advance(d Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now += d
	m.wall += d
	kept := m.waiters[:0]
	for _, w := range m.waiters {
		if w.at <= m.now {
			close(w.done)
			continue
		}
		kept = append(kept, w)
	}
	m.waiters = kept
}
