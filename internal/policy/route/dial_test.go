package route_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/damaskport/damaskport/internal/policy/route"
)

// TestDialOrderTaskHoldersFirstAndSpread has 300 gateways that connect to each other:
// each must dial those with a task first, and no gateway may be dialed by many others
// at the same position of their orders.
func TestDialOrderTaskHoldersFirstAndSpread(t *testing.T) {
	const n = 300
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint("g", i))
	}
	tasks := []route.RankedTask{{Key: "readers", Count: 3}, {Key: "e1", Count: 1}, {Key: "e2", Count: 1}, {Key: "e1", Count: 1}}
	var tasked []string
	for _, k := range tasks {
		tasked = append(tasked, route.Rendezvous(k.Key, names, k.Count)...)
	}
	slices.Sort(tasked)
	tasked = slices.Compact(tasked)
	dialed := map[int]map[string]int{}
	for _, self := range names {
		others := slices.DeleteFunc(slices.Clone(names), func(s string) bool { return s == self })
		order := route.DialOrder(self, others, tasks)
		want := slices.DeleteFunc(slices.Clone(tasked), func(s string) bool { return s == self })
		first := slices.Sorted(slices.Values(order[:len(want)]))
		if diff := cmp.Diff(want, first); diff != "" {
			t.Fatalf("gateways that %s dials first (-want +got):\n%s", self, diff)
		}
		if diff := cmp.Diff(slices.Sorted(slices.Values(others)), slices.Sorted(slices.Values(order))); diff != "" {
			t.Fatalf("gateways that %s dials (-want +got):\n%s", self, diff)
		}
		for i, name := range order {
			if dialed[i] == nil {
				dialed[i] = map[string]int{}
			}
			dialed[i][name]++
		}
	}
	for i, by := range dialed {
		for name, count := range by {
			// All gateways dial the few with a task first, so these are dialed more often
			// at the first positions.
			if most := max(12, 2*n/len(tasked)); count > most {
				t.Errorf("%s is dialed by %d gateways at position %d, want at most %d", name, count, i, most)
			}
		}
	}
}

func TestDialOrderWithoutTasks(t *testing.T) {
	got := route.DialOrder("a", []string{"b", "c"}, nil)
	if diff := cmp.Diff([]string{"b", "c"}, slices.Sorted(slices.Values(got))); diff != "" {
		t.Error(diff)
	}
	if got := route.DialOrder("a", nil, []route.RankedTask{{Key: "x", Count: 2}}); len(got) > 0 {
		t.Errorf("dial order without other gateways: %v, want none", got)
	}
}
