package epoch

import "github.com/damaskport/damaskport/internal/runtime/clock"

// Witness is what a record says of the store: the epoch in which it was written, and since when, by the wall clock,
// its author knew of that epoch; 0 if it does not say.
type Witness struct {
	Epoch   Epoch
	SinceMs clock.Millis
}

// Age returns what records say of the age of the current epoch e to a process that has just started. left is for how
// long it has to expect that the store lacks what others write again within d after a restore: 0 if the epoch is
// older than that, or if no record tells of an earlier one. sinceMs is since when the epoch is known, by the wall
// clock; 0 if a record of it does not say.
func Age(e Epoch, wall, d clock.Millis, all []Witness) (left, sinceMs clock.Millis) {
	if !e.Known() || len(all) == 0 {
		return 0, wall
	}
	left, sinceMs = d, wall
	for _, w := range all {
		if w.Epoch != e {
			continue
		}
		if w.SinceMs == 0 {
			return 0, 0
		}
		sinceMs = min(sinceMs, w.SinceMs)
	}
	return max(d-(wall-sinceMs), 0), sinceMs
}
