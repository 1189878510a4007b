package claim_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/claim"
)

// BenchmarkFold measures the time and memory per claim and its encoded size,
// with 100 claims a record.
func BenchmarkFold(b *testing.B) {
	const perRecord = 100
	for _, n := range []int{10_000, 100_000, 400_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var log [][]byte
			for i := range n / perRecord {
				log = append(log, claims("sidecar", i*perRecord, perRecord, modelStart+clock.Hour))
			}
			before := heap()
			var f *claim.Fold
			b.ResetTimer()
			for range b.N {
				f = claim.New()
				for i, data := range log {
					f.Apply(int64(i+1), modelStart, data)
				}
			}
			b.StopTimer()
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/claim")
			b.ReportMetric(float64(heap()-before)/float64(n), "B/claim")
			b.ReportMetric(float64(len(log[0]))/perRecord, "wireB/claim")
			runtime.KeepAlive(f)
			runtime.KeepAlive(log)
		})
	}
}

// heap returns the bytes allocated on the heap after a garbage collection.
func heap() int64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}
