package engine

import (
	"container/heap"
	"context"
)

// batch hands out slots in the order of priority, then of arrival.
type batch struct {
	free    int
	running int
	seq     int64
	waiting waitHeap
}

type waiter struct {
	priority int
	seq      int64
	granted  chan struct{}
	index    int
}

// acquire takes a slot, waiting for one until ctx ends or cancelled is closed.
func (e *Engine) acquire(ctx context.Context, priority int, cancelled <-chan struct{}) bool {
	e.mu.Lock()
	b := &e.batch
	if b.free > 0 {
		b.free--
		b.running++
		e.recordLoad()
		e.mu.Unlock()
		return true
	}
	b.seq++
	wt := &waiter{priority: priority, seq: b.seq, granted: make(chan struct{})}
	heap.Push(&b.waiting, wt)
	e.recordLoad()
	e.mu.Unlock()
	select {
	case <-wt.granted:
		return true
	case <-ctx.Done():
	case <-cancelled:
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if wt.index < 0 {
		e.releaseLocked()
		return false
	}
	heap.Remove(&b.waiting, wt.index)
	e.recordLoad()
	return false
}

func (e *Engine) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.releaseLocked()
}

// releaseLocked passes a slot on. The caller holds e.mu.
func (e *Engine) releaseLocked() {
	b := &e.batch
	if b.waiting.Len() > 0 {
		wt := heap.Pop(&b.waiting).(*waiter)
		close(wt.granted)
	} else {
		b.free++
		b.running--
	}
	e.recordLoad()
}

// waitHeap orders waiters for container/heap.
type waitHeap []*waiter

func (h waitHeap) Len() int { return len(h) }

func (h waitHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority < h[j].priority
	}
	return h[i].seq < h[j].seq
}

func (h waitHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push adds x, a *waiter.
func (h *waitHeap) Push(x any) {
	wt := x.(*waiter)
	wt.index = len(*h)
	*h = append(*h, wt)
}

// Pop removes the last waiter.
func (h *waitHeap) Pop() any {
	old := *h
	wt := old[len(old)-1]
	wt.index = -1
	*h = old[:len(old)-1]
	return wt
}
