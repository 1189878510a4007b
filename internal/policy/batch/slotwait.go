package batch

import "github.com/damaskport/damaskport/internal/runtime/clock"

// runTimeWeight is the weight of a new value in the moving average of the time for which a
// request keeps its slot.
const runTimeWeight = 0.1

// slotHold is the learnt mean time, in ms, for which a request keeps its slot: the prefill of
// its prompt and its answer. It is 0 until a request has ended.
type slotHold float64

// add records a request that kept its slot for took ms.
func (h *slotHold) add(took clock.Millis) {
	if *h == 0 {
		*h = slotHold(took)
		return
	}
	*h += (slotHold(took) - *h) * runTimeWeight
}

// stepMs returns the mean time between two requests that leave a full engine, in ms; 0 if it
// is not known.
func (h slotHold) stepMs(slots int) clock.Millis {
	if h == 0 || slots <= 0 {
		return 0
	}
	return max(clock.Millis(float64(h)/float64(slots)), 1)
}

// SlotWait returns the expected time, in ms, until a request that is added to an engine
// begins to run, if running requests are there already, and one leaves each step ms. It is 0 while a
// slot is free, or if slots or step are not known.
func SlotWait(running, slots int, step clock.Millis) clock.Millis {
	if slots <= 0 || running < slots {
		return 0
	}
	return clock.Millis(running-slots+1) * step
}

// reportSlots adds to l when a request that arrives now would get a slot. An engine with many
// free slots reports nothing.
func (s *Scheduler) reportSlots(l Load) Load {
	if 2*len(s.running) < s.cfg.Slots {
		return l
	}
	l.SlotStepMs = s.hold.stepMs(s.cfg.Slots)
	l.SlotMs = SlotWait(len(s.running), s.cfg.Slots, l.SlotStepMs)
	return l
}
