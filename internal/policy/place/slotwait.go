package place

import (
	"github.com/damaskport/damaskport/internal/policy/batch"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// slotWait returns how long a new request is expected to wait for a slot of the engine s
// with the load l, in ms. It counts the requests that this entry has sent since the queue
// owner's report. Engines admit urgent requests first, so that a latency-sensitive one waits
// only for those of its kind, and for one slot.
func (s *serverState) slotWait(l batch.Load, sensitive bool) clock.Millis {
	wait := batch.SlotWait(l.Running+s.sentSinceReport, s.Slots, l.SlotStepMs)
	if l.SlotMs > 0 {
		wait = max(wait, l.SlotMs+clock.Millis(s.sentSinceReport)*l.SlotStepMs)
	}
	if wait == 0 || !sensitive {
		return wait
	}
	part := float64(l.LatencySensitive) / float64(max(l.Running, 1))
	return max(clock.Millis(float64(wait)*part), l.SlotStepMs)
}
