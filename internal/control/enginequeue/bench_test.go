package enginequeue_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/damaskport/damaskport/internal/peer/dispatch"
	"github.com/damaskport/damaskport/internal/peer/enginequeue"
)

// BenchmarkMessages measures the time that a Host takes per heartbeat message, by the
// number of connected gateways.
func BenchmarkMessages(b *testing.B) {
	for _, n := range []int{10, 100, 360} {
		b.Run(fmt.Sprint("gateways=", n), func(b *testing.B) {
			var received atomic.Int64
			h, ctx := startHostWithHeartbeats(b, func(string, enginequeue.Heartbeat) { received.Add(1) })
			var gateways []*gateway
			for i := range n {
				gateways = append(gateways, connect(ctx, b, h, fmt.Sprint("g", i)))
			}
			time.Sleep(100 * time.Millisecond)
			b.ResetTimer()
			for i := range b.N {
				gateways[i%n].link.Notify(dispatch.MethodHeartbeat, enginequeue.Heartbeat{})
			}
			for received.Load() < int64(b.N) {
				time.Sleep(time.Millisecond)
			}
		})
	}
}
