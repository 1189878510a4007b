package exchange_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/damaskport/damaskport/internal/caller/exchange"
)

// TestDeparture plays the orders in which a caller may leave. It guards against requests that are
// sent for callers that have left, and against ones that have to be completed and are not.
func TestDeparture(t *testing.T) {
	type result struct {
		Sent    []bool // what Send returned
		Dropped bool
	}
	for _, tc := range []struct {
		name      string
		completed bool
		steps     string // l: Left, s: Send, u: Unsent
		want      result
	}{
		{"stays", true, "s", result{[]bool{true}, false}},
		{"leaves before it is sent", true, "ls", result{[]bool{false}, true}},
		{"leaves after it was sent", true, "sl", result{[]bool{true}, false}},
		{"leaves after it was sent, need not be completed", false, "sl", result{[]bool{true}, true}},
		{"is not run, then leaves", true, "suls", result{[]bool{true, false}, true}},
		{"leaves, then is not run", true, "slus", result{[]bool{true, false}, true}},
		{"is not run, is sent again, leaves", true, "susl", result{[]bool{true, true}, false}},
		{"is withheld while its caller leaves", true, "lu", result{nil, true}},
	} {
		drops := 0
		d := exchange.NewDeparture(tc.completed, func() { drops++ })
		var got result
		for _, step := range tc.steps {
			switch step {
			case 'l':
				d.Left()
			case 's':
				got.Sent = append(got.Sent, d.Send())
			case 'u':
				d.Unsent()
			}
		}
		got.Dropped = d.Dropped()
		if diff := cmp.Diff(tc.want, got); diff != "" || got.Dropped != (drops == 1) {
			t.Errorf("%s: dropped %d times (-want +got):\n%s", tc.name, drops, diff)
		}
	}
}
