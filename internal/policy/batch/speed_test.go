package batch_test

import (
	"fmt"
	"testing"

	"github.com/damaskport/damaskport/internal/policy/batch"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// TestThresholdsFollowTheReadingSpeed plays engines that read far slower and
// faster than usual ones. What starts at once beside a prompt that is being read
// is what takes a step or two to read, whatever the engine's speed.
func TestThresholdsFollowTheReadingSpeed(t *testing.T) {
	for _, speed := range []float64{8, 45, 200} {
		t.Run(fmt.Sprint(speed), func(t *testing.T) {
			s := batch.New(batch.Config{Slots: 64, MemoryTokens: 1_000_000})
			now := clock.Millis(0)
			for i := range 30 {
				// One prompt after the other, each read alone, tells the speed.
				id := fmt.Sprint("taught", i)
				ask(s, now, id, func(r *batch.Request) { r.Unread, r.DeadlineMs = 20_000, now+60_000 })
				for range 400 {
					if len(granted(s)) > 0 {
						break
					}
					now += 10
					s.Tick(now)
				}
				now += clock.Millis(20_000 / speed)
				s.Begun(now, id)
				s.Done(now, id)
			}
			now += 60_000
			s.Tick(now)
			ask(s, now, "read", func(r *batch.Request) { r.Unread, r.DeadlineMs = int(200*speed), now+60_000 })
			if got := granted(s); len(got) != 1 {
				t.Fatalf("granted %v, want the first prompt", got)
			}
			ask(s, now, "step", func(r *batch.Request) { r.Unread, r.DeadlineMs = int(20*speed), now+60_000 })
			if got := granted(s); len(got) != 1 {
				t.Errorf("a prompt of 20 ms waits for its turn")
			}
			ask(s, now, "long", func(r *batch.Request) { r.Unread, r.DeadlineMs = int(100*speed), now+60_000 })
			if got := granted(s); len(got) != 0 {
				t.Errorf("a prompt of 100 ms starts beside one that is being read: %v", got)
			}
		})
	}
}
