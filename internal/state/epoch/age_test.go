package epoch_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/epoch"
)

// TestAge guards against a process that takes the records of a store that was just restored for complete, and against
// one that waits where the store was not restored.
func TestAge(t *testing.T) {
	const now, d = 1_000_000, 2_000
	e, before := epoch.Of(6), epoch.Of(5)
	for name, c := range map[string]struct {
		epoch epoch.Epoch
		all   []epoch.Witness
		want  []clock.Millis
	}{
		"no epochs":                        {epoch.Epoch{}, []epoch.Witness{{Epoch: before, SinceMs: 1}}, []clock.Millis{0, now}},
		"first start":                      {e, nil, []clock.Millis{0, now}},
		"restored, nobody has written":     {e, []epoch.Witness{{Epoch: before, SinceMs: 1}}, []clock.Millis{d, now}},
		"restored a moment ago":            {e, []epoch.Witness{{Epoch: before, SinceMs: 1}, {Epoch: e, SinceMs: now - 500}, {Epoch: e, SinceMs: now - 300}}, []clock.Millis{d - 500, now - 500}},
		"restored long ago":                {e, []epoch.Witness{{Epoch: before, SinceMs: 1}, {Epoch: e, SinceMs: now - 90_000}}, []clock.Millis{0, now - 90_000}},
		"written by an earlier build":      {e, []epoch.Witness{{Epoch: e}, {Epoch: e, SinceMs: now - 500}}, []clock.Millis{0, 0}},
		"by a clock that is ahead":         {e, []epoch.Witness{{Epoch: e, SinceMs: now + 700}}, []clock.Millis{d, now}},
		"earlier build, in another epoch":  {e, []epoch.Witness{{Epoch: before}}, []clock.Millis{d, now}},
		"a later epoch that was forgotten": {before, []epoch.Witness{{Epoch: e, SinceMs: 1}}, []clock.Millis{d, now}},
	} {
		t.Run(name, func(t *testing.T) {
			left, since := epoch.Age(c.epoch, now, d, c.all)
			if diff := cmp.Diff(c.want, []clock.Millis{left, since}); diff != "" {
				t.Errorf("time left and since when (-want +got):\n%s", diff)
			}
		})
	}
}
