package budget_test

import (
	"errors"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/damaskport/damaskport/internal/policy/budget"
)

// TestEventsThatDoNotGrowAreGivenUpFirst guards against streams that are cut because those of a faulty server hold
// the memory for events.
func TestEventsThatDoNotGrowAreGivenUpFirst(t *testing.T) {
	held := budget.NewHeld(800) // 100 for events
	var givenUp []string
	stream := func(name string) *budget.Event {
		return held.Events().Stream(func() { givenUp = append(givenUp, name) })
	}
	stalled, complete, sound, large := stream("stalled"), stream("complete"), stream("sound"), stream("large")
	take := func(e *budget.Event, n int64) {
		t.Helper()
		if err := e.Take(n); err != nil {
			t.Errorf("Take(%d) = %v", n, err)
		}
	}
	take(complete, 20)
	complete.Complete()
	take(stalled, 40)
	take(sound, 20)
	take(sound, 30)
	if diff := cmp.Diff([]string{"stalled"}, givenUp); diff != "" {
		t.Errorf("given up when the memory was full (-want +got):\n%s", diff)
	}
	var full *budget.EventMemoryError
	if err := stalled.Err(); !errors.As(err, &full) || full.Bytes != 40 || full.Limit != 100 {
		t.Errorf("Err of a stream that was given up = %v", err)
	}
	if err := stalled.Take(1); !errors.As(err, &full) {
		t.Errorf("Take of a stream that was given up = %v", err)
	}
	if err := large.Take(81); !errors.As(err, &full) || len(givenUp) != 1 {
		t.Errorf("an event that does not fit beside a complete one: %v, given up: %v", err, givenUp)
	}
	complete.Release()
	take(stream("next"), 50)
	if held.Bytes() != 100 {
		t.Errorf("%d bytes held", held.Bytes())
	}
}

// TestEventsStayWithinTheirMemory guards against events that exceed their memory together, or that are never
// released.
func TestEventsStayWithinTheirMemory(t *testing.T) {
	held := budget.NewHeld(8000)
	var cut atomic.Int64
	var wg sync.WaitGroup
	for range 32 {
		wg.Go(func() {
			for i := range 500 {
				e := held.Events().Stream(func() { cut.Add(1) })
				for range i % 9 {
					if e.Take(50) != nil {
						break
					}
					if n := held.Events().Bytes(); n > held.Events().Limit() {
						t.Errorf("%d bytes held of %d", n, held.Events().Limit())
					}
				}
				if i%3 == 0 {
					e.Complete()
				}
				e.Release()
			}
		})
	}
	wg.Wait()
	if held.Bytes() != 0 {
		t.Errorf("%d bytes held after the last stream; %d were cut", held.Bytes(), cut.Load())
	}
	var none *budget.Held
	e := none.Events().Stream(nil)
	if err := e.Take(1 << 40); err != nil || e.Err() != nil {
		t.Errorf("without a limit: %v", err)
	}
}
