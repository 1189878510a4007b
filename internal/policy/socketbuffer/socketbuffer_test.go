package socketbuffer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/damaskport/damaskport/internal/policy/socketbuffer"
)

func ExampleBudget_With() {
	b := socketbuffer.NewBudget(284<<20, 4100)
	b, s := b.With(socketbuffer.Caller)
	fmt.Println(s.Receive > 48<<10, s.Bytes() == b.Given())
	// Output: true true
}

// TestSumStaysWithinBudget guards against sizes that together exceed the budget, whatever opens and
// closes in which order.
func TestSumStaysWithinBudget(t *testing.T) {
	for _, c := range []struct{ memory, conns int }{{284 << 20, 4100}, {256 << 20, 4096}, {71 << 20, 1025}, {16 << 20, 4100}, {2 << 30, 100}} {
		r := rand.New(rand.NewPCG(53, uint64(c.memory)))
		b := socketbuffer.NewBudget(c.memory, c.conns)
		var open []socketbuffer.Sizes
		for range 20 * c.conns {
			if len(open) > 0 && (len(open) == c.conns || r.IntN(3) == 0) {
				i := r.IntN(len(open))
				b = b.Without(open[i])
				open[i] = open[len(open)-1]
				open = open[:len(open)-1]
				continue
			}
			var s socketbuffer.Sizes
			b, s = b.With(socketbuffer.Kinds[r.IntN(len(socketbuffer.Kinds))])
			if f := socketbuffer.Floor(); s.Receive < f.Receive || s.Send < f.Send || s.Piece != 0 && s.Piece < f.Piece {
				t.Fatalf("%+v is less than the floor %+v", s, f)
			}
			open = append(open, s)
			if b.Given()+len(open)*b.Rest(len(open)) > b.Bytes() {
				t.Fatalf("%d bytes given of %d to %d connections, and %d to each at the end", b.Given(), b.Bytes(), len(open), b.Rest(len(open)))
			}
		}
		for _, s := range open {
			b = b.Without(s)
		}
		if diff := cmp.Diff([]int{0, 0}, []int{b.Given(), b.Open()}); diff != "" {
			t.Errorf("given and open after the last one closed (-want +got):\n%s", diff)
		}
	}
}

// TestTensOfConnectionsHaveRoom guards against buffers that slow long answers down while few connections
// are open.
func TestTensOfConnectionsHaveRoom(t *testing.T) {
	b := socketbuffer.NewBudget(284<<20, 4100)
	for i := range 100 {
		var s socketbuffer.Sizes
		kind := []socketbuffer.Kind{socketbuffer.Caller, socketbuffer.Server}[i%2]
		if b, s = b.With(kind); s.Send+s.Receive < 48<<10 {
			t.Fatalf("connection %d to a %v has %+v", i, kind, s)
		}
	}
}
