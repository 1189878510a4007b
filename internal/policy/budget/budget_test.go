package budget_test

import (
	"fmt"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/damaskport/damaskport/internal/policy/budget"
)

const mb = 1 << 20

// The heap of a process that may have 284 MB is bounded by what is left beside its reserved memory.
func ExampleAccount() {
	for _, reserved := range []int64{75, 183} {
		a := budget.Account{Limit: 284 * mb, Reserved: reserved * mb, Growth: 8 * mb}
		fmt.Printf("heap %d MB, bodies and answers %d MB\n", a.Heap()/mb, a.Held()/mb)
	}
	// Output:
	// heap 150 MB, bodies and answers 75 MB
	// heap 71 MB, bodies and answers 35 MB
}

// TestAccountStaysWithinLimit guards against shares that add up to more than the machine has.
func TestAccountStaysWithinLimit(t *testing.T) {
	for limit := int64(128); limit <= 4096; limit += 31 {
		for reserved := int64(20); reserved < limit*6/10; reserved += 7 {
			a := budget.Account{Limit: limit * mb, Reserved: reserved * mb, Growth: 8 * mb}
			if sum := a.Heap() + a.Reserved + a.Growth; sum > a.Limit || a.Heap() > a.Limit*6/10 || a.Held() > a.Heap()/2 {
				t.Fatalf("%+v: heap %d, held %d", a, a.Heap(), a.Held())
			}
		}
	}
	got := []int64{budget.Account{}.Heap(), budget.Account{Limit: 20 * mb, Reserved: 75 * mb}.Heap()}
	if d := cmp.Diff([]int64{0, 12 * mb}, got); d != "" {
		t.Error(d)
	}
}

// TestHeldIsBounded guards against bodies and answers that exceed their memory together, or that are never given back.
func TestHeldIsBounded(t *testing.T) {
	h := budget.NewHeld(100)
	var wg sync.WaitGroup
	for range 16 {
		wg.Go(func() {
			for range 1000 {
				r := h.Request()
				_ = r.For(budget.Body).Take(30)
				_ = r.For(budget.Answer).Take(20)
				r.Release()
			}
		})
	}
	wg.Wait()
	if h.Bytes() != 0 {
		t.Fatalf("%d bytes held after all requests", h.Bytes())
	}
	r := h.Request()
	var none budget.Request
	body, answer, unbounded := r.For(budget.Body), r.For(budget.Answer), none.For(budget.Body)
	got := []bool{
		body.Room(75), body.Room(76), body.Take(75), body.Take(1), body.Room(1), answer.Room(25), answer.Take(25), answer.Take(1), unbounded.Room(1000), unbounded.Take(1000),
	}
	if d := cmp.Diff([]bool{true, false, true, false, false, true, true, false, true, true}, got); d != "" || h.Bytes() != 100 {
		t.Errorf("%d bytes held: %s", h.Bytes(), d)
	}
}
