package clock_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// TestRemoteIsNeverTooLate plays two clocks that drift, and messages that take
// any time: a time of the other clock is never placed later than it was, and
// earlier by no more than the quickest message took and the drift since.
func TestRemoteIsNeverTooLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		offset := clock.Millis(rapid.IntRange(-1<<30, 1<<30).Draw(t, "offset"))
		drift := rapid.Float64Range(-0.0002, 0.0002).Draw(t, "drift")
		other := func(own clock.Millis) clock.Millis { return own + offset + clock.Millis(float64(own)*drift) }
		var r clock.Remote
		now, quickest := clock.Millis(0), clock.Millis(1<<40)
		for range rapid.IntRange(1, 30).Draw(t, "messages") {
			now += clock.Millis(rapid.IntRange(0, 20_000).Draw(t, "pause"))
			there := clock.Millis(rapid.IntRange(0, 3000).Draw(t, "there"))
			back := clock.Millis(rapid.IntRange(0, 3000).Draw(t, "back"))
			sent := now
			now += there + back
			r.Echo(now, sent, other(sent+there))
			quickest = min(quickest, there)
			event := now - clock.Millis(rapid.IntRange(0, 2000).Draw(t, "event"))
			got, ok := r.Own(now, other(event))
			if !ok {
				t.Fatal("nothing is known after an echo")
			}
			if got > event+1 {
				t.Fatalf("an event of %d is placed at %d", event, got)
			}
			if most := quickest + now/500; got < event-most-2 {
				t.Fatalf("an event of %d is placed at %d, the quickest message took %d", event, got, quickest)
			}
		}
	})
}

func TestRemoteKnowsNothingAtFirst(t *testing.T) {
	var r clock.Remote
	if _, ok := r.Own(5, 10); ok {
		t.Error("a time is placed before any message")
	}
}
