// Package ring joins tasks by bounded first-in, first-out queues.
package ring

import "context"

// Ring is a bounded queue between tasks. It is safe for concurrent use.
type Ring[T any] struct {
	items chan T
}

// New returns a Ring that holds at most size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make(chan T, size)}
}

// TryPut adds v and reports whether there was room.
func (r *Ring[T]) TryPut(v T) bool {
	select {
	case r.items <- v:
		return true
	default:
		return false
	}
}

// Put adds v, waiting for room until ctx ends.
func (r *Ring[T]) Put(ctx context.Context, v T) error {
	select {
	case r.items <- v:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Take removes the oldest item, waiting for one until ctx ends.
func (r *Ring[T]) Take(ctx context.Context) (T, error) {
	select {
	case v := <-r.items:
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// C returns the channel from which items may be received.
func (r *Ring[T]) C() <-chan T {
	return r.items
}

// In returns the channel on which items may be sent.
func (r *Ring[T]) In() chan<- T {
	return r.items
}

// Len returns the number of items held.
func (r *Ring[T]) Len() int {
	return len(r.items)
}
