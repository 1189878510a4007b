// Package memory keeps the memory of a process within what its machine lets it have.
//
// A machine may count resident memory, or reserved memory, as a limit on data (RLIMIT_DATA) does:
// all private memory that can be written to, whether it is used or not. In a program with C code, each thread
// reserves a stack of 256 KB in place of the system's default, 8 MB on most systems.
package memory

import (
	"runtime"
	"runtime/debug"
	"runtime/metrics"

	"github.com/damaskport/damaskport/internal/policy/budget"
)

const (
	threadBytes = 256 << 10
	// Threads beside those that run Go code wait in system calls, such as for a file.
	threadsPerProc, threadsBeside = 2, 16
)

// inherited is the limit that the environment sets for the heap.
var inherited = debug.SetMemoryLimit(-1)

// Apply limits the heap of the process to its part of the memory that the process may have, and returns
// the account. limitMb is what the settings say, in MB, 0 for nothing; a smaller limit of the system
// counts in its place.
func Apply(limitMb float64) budget.Account {
	a := budget.Account{
		Limit:    least(int64(limitMb*(1<<20)), dataLimit(), groupLimit()),
		Reserved: max(data()-heapReserved(), 0),
		Growth:   threadBytes * int64(threadsPerProc*runtime.GOMAXPROCS(0)+threadsBeside),
	}
	if heap := a.Heap(); heap > 0 {
		debug.SetMemoryLimit(min(heap, inherited))
	}
	return a
}

// least returns the smallest of the limits that are known; 0 if none is.
func least(limits ...int64) int64 {
	var smallest int64
	for _, l := range limits {
		if l > 0 && (smallest == 0 || l < smallest) {
			smallest = l
		}
	}
	return smallest
}

// heapReserved returns the number of bytes reserved for the heap, with those returned to the system.
func heapReserved() int64 {
	s := []metrics.Sample{
		{Name: "/memory/classes/heap/free:bytes"}, {Name: "/memory/classes/heap/objects:bytes"}, {Name: "/memory/classes/heap/released:bytes"},
		{Name: "/memory/classes/heap/stacks:bytes"}, {Name: "/memory/classes/heap/unused:bytes"},
	}
	metrics.Read(s)
	var sum uint64
	for _, v := range s {
		sum += v.Value.Uint64()
	}
	return int64(sum)
}
