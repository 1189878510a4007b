// Package ring provides a bounded first-in, first-out queue for passing items between
// goroutines.
package ring

import "context"

// Ring is a bounded first-in, first-out queue. It is safe for concurrent use.
type Ring[T any] struct {
	items chan T
}

// New returns a Ring that holds at most size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make(chan T, size)}
}

// TryPut adds v if the queue is not full. It never blocks and reports whether v was added.
func (r *Ring[T]) TryPut(v T) bool {
	select {
	case r.items <- v:
		return true
	default:
		return false
	}
}

// Put adds v. While the queue is full, it waits for room; if ctx ends first, it returns
// the error of ctx.
func (r *Ring[T]) Put(ctx context.Context, v T) error {
	select {
	case r.items <- v:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Take removes and returns the oldest item. While the queue is empty, it waits for one; if
// ctx ends first, it returns the error of ctx.
func (r *Ring[T]) Take(ctx context.Context) (T, error) {
	select {
	case v := <-r.items:
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// C returns the queue's channel for receiving, for use in a select.
func (r *Ring[T]) C() <-chan T {
	return r.items
}

// In returns the queue's channel for sending, for use in a select.
func (r *Ring[T]) In() chan<- T {
	return r.items
}

// Len returns the number of queued items.
func (r *Ring[T]) Len() int {
	return len(r.items)
}
