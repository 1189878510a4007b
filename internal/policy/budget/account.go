// Package budget divides the memory that a machine lets a process have, and bounds what the process
// holds of it at a time. All sizes are in bytes.
package budget

const (
	// heapShare is the share of the memory for the heap: the rest is for the kernel's memory of sockets,
	// a quarter, and for what is resident besides the heap.
	heapShare = 0.6
	// mappedShare is the share of the heap's reserved memory that is in use at most. The runtime returns
	// unused memory to the machine, but keeps it reserved.
	mappedShare = 0.7
	// leastShare is the share of the memory below which a smaller heap is of no use: the collector
	// would run all the time.
	leastShare = 0.25
	// heldShare is the share of the heap for what is held for callers at a time; the rest is for what
	// the collector has not freed yet.
	heldShare = 0.7
)

// Account is the account of a process's memory.
type Account struct {
	// Limit is what the machine lets the process have; 0 if that is not known.
	Limit int64
	// Reserved is the memory reserved besides the heap, resident or not: stacks of threads, tables
	// of the runtime, data and memory of C code.
	Reserved int64
	// Growth is what may be reserved later besides the heap: stacks of more threads.
	Growth int64
}

// Heap returns the most memory that the heap may have in use; 0 for no limit.
//
// It bounds two sums by Limit: what is resident, and what is reserved. If more than Limit is reserved
// already, the machine doesn't count it, and only the first is bounded.
func (a Account) Heap() int64 {
	limit, left := float64(a.Limit), float64(a.Limit-a.Reserved-a.Growth)
	heap := heapShare * limit
	if left > 0 {
		heap = min(heap, max(mappedShare*left, leastShare*limit))
	}
	return int64(heap)
}

// Held returns the most memory that may be held for callers at a time; 0 for no limit.
func (a Account) Held() int64 { return int64(heldShare * float64(a.Heap())) }
