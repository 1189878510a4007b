package enginequeue_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/damaskport/damaskport/internal/peer/dispatch"
	"github.com/damaskport/damaskport/internal/peer/enginequeue"
)

// BenchmarkMessages measures the time of a host for one message, by the number
// of gateways that are connected.
func BenchmarkMessages(b *testing.B) {
	for _, n := range []int{10, 100, 360} {
		b.Run(fmt.Sprint("gateways=", n), func(b *testing.B) {
			var seen atomic.Int64
			h, ctx := startHostWith(b, func(string, enginequeue.Heartbeat) { seen.Add(1) })
			var all []*gateway
			for i := range n {
				all = append(all, connect(ctx, b, h, fmt.Sprint("g", i)))
			}
			time.Sleep(100 * time.Millisecond)
			b.ResetTimer()
			for i := range b.N {
				all[i%n].link.Notify(dispatch.MethodHeartbeat, enginequeue.Heartbeat{})
			}
			for seen.Load() < int64(b.N) {
				time.Sleep(time.Millisecond)
			}
		})
	}
}
