package budget_test

import (
	"fmt"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/damaskport/damaskport/internal/policy/budget"
)

const mb = 1 << 20

// The heap of a process that may have 284 MB is bounded by what is resident; that of one with much reserved
// memory by what is left beside it.
func ExampleAccount() {
	for _, reserved := range []int64{75, 183} {
		a := budget.Account{Limit: 284 * mb, Reserved: reserved * mb, Growth: 8 * mb}
		fmt.Printf("heap %d MB, bodies and answers %d MB\n", a.Heap()/mb, a.Held()/mb)
	}
	// Output:
	// heap 170 MB, bodies and answers 85 MB
	// heap 79 MB, bodies and answers 39 MB
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
				_ = r.Take(30, budget.Body)
				_ = r.Take(20, budget.Answer)
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
	got := []bool{r.Take(75, budget.Body), r.Take(1, budget.Body), r.Take(25, budget.Answer), r.Take(1, budget.Answer), none.Take(1000, budget.Body)}
	if d := cmp.Diff([]bool{true, false, true, false, true}, got); d != "" || h.Bytes() != 100 {
		t.Errorf("%d bytes held: %s", h.Bytes(), d)
	}
}
