package clock_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// TestRemoteNeverConvertsTooLate simulates two clocks that drift apart and messages with random
// delays. A remote time must never be converted to a local time later than the true one, nor
// earlier by more than the shortest message delay so far plus the largest possible drift.
func TestRemoteNeverConvertsTooLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		offset := clock.Millis(rapid.IntRange(-1<<30, 1<<30).Draw(t, "offset"))
		drift := rapid.Float64Range(-0.0002, 0.0002).Draw(t, "drift")
		remoteTime := func(local clock.Millis) clock.Millis { return local + offset + clock.Millis(float64(local)*drift) }
		var r clock.Remote
		now, minDelay := clock.Millis(0), clock.Millis(1<<40)
		for range rapid.IntRange(1, 30).Draw(t, "messages") {
			now += clock.Millis(rapid.IntRange(0, 20_000).Draw(t, "pause"))
			outboundMs := clock.Millis(rapid.IntRange(0, 3000).Draw(t, "outboundMs"))
			returnMs := clock.Millis(rapid.IntRange(0, 3000).Draw(t, "returnMs"))
			sent := now
			now += outboundMs + returnMs
			r.Echo(now, sent, remoteTime(sent+outboundMs))
			minDelay = min(minDelay, outboundMs)
			event := now - clock.Millis(rapid.IntRange(0, 2000).Draw(t, "event"))
			got, ok := r.Own(now, remoteTime(event))
			if !ok {
				t.Fatal("Own has no estimate after an echo")
			}
			if got > event+1 {
				t.Fatalf("event at local time %d converted to the later time %d", event, got)
			}
			if maxError := minDelay + now/500; got < event-maxError-2 {
				t.Fatalf("event at local time %d converted to %d, too early for a shortest message delay of %d ms", event, got, minDelay)
			}
		}
	})
}

// TestFrequentEchoesHideNoDrift guards against drift that is lost because little of it falls between two echoes.
func TestFrequentEchoesHideNoDrift(t *testing.T) {
	for _, every := range []clock.Millis{100, 900, 5000} {
		const drift, shortest = 0.0001, clock.Millisecond // of the clocks, and the delay of the first message
		remote := func(local clock.Millis) clock.Millis { return local + clock.Millis(float64(local)*drift) }
		var r clock.Remote
		r.Echo(0, 0, remote(shortest))
		for now := every; now <= clock.Hour; now += every {
			r.Echo(now, now-10, remote(now-5))
			if got, _ := r.Own(now, remote(now)); got > now+1 {
				t.Errorf("echoes every %d ms: local time %d converted to the later time %d", every, now, got)
				break
			}
		}
	}
}

func TestRemoteHasNoEstimateBeforeFirstEcho(t *testing.T) {
	var r clock.Remote
	if _, ok := r.Own(5, 10); ok {
		t.Error("Own has an estimate before the first echo")
	}
}
