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
		fmt.Printf("heap %d MB, held for callers %d MB\n", a.Heap()/mb, a.Held()/mb)
	}
	// Output:
	// heap 140 MB, held for callers 98 MB
	// heap 71 MB, held for callers 49 MB
}

// TestAccountStaysWithinLimit guards against shares that add up to more than the machine has.
func TestAccountStaysWithinLimit(t *testing.T) {
	for limit := int64(128); limit <= 4096; limit += 31 {
		for reserved := int64(20); reserved < limit*6/10; reserved += 7 {
			a := budget.Account{Limit: limit * mb, Reserved: reserved * mb, Growth: 8 * mb}
			if sum := a.Heap() + a.Reserved + a.Growth; sum > a.Limit || a.Heap() > a.Limit*6/10 || a.Held() > a.Heap()*3/4 {
				t.Fatalf("%+v: heap %d, held %d", a, a.Heap(), a.Held())
			}
		}
	}
	got := []int64{budget.Account{}.Heap(), budget.Account{Limit: 20 * mb, Reserved: 75 * mb}.Heap()}
	if d := cmp.Diff([]int64{0, 12 * mb}, got); d != "" {
		t.Error(d)
	}
}

// TestHeldIsBounded guards against bodies, answers and connections that exceed their memory together, or
// that are never given back.
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
		body.Room(55), body.Room(56), body.Take(55), body.Take(1), body.Room(1), answer.Room(32), answer.Take(32), answer.Take(1), unbounded.Room(1000), unbounded.Take(1000),
	}
	if d := cmp.Diff([]bool{true, false, true, false, false, true, true, false, true, true}, got); d != "" || h.Bytes() != 87 {
		t.Errorf("%d bytes held: %s", h.Bytes(), d)
	}
	conns := 2
	h = budget.NewHeld(4 * budget.ConnBytes).WithConns(func() int { return conns })
	serve := h.Request()
	if !serve.For(budget.Serve).Take(budget.ConnBytes) || serve.For(budget.Serve).Take(1) || h.Bytes() != 3*budget.ConnBytes {
		t.Errorf("%d bytes held for two connections and a request", h.Bytes())
	}
}

// A head of 4,000 fields costs far more than the 16 KB that it may have on the wire.
func ExampleHeadBytes() {
	fmt.Println(budget.HeadBytes(20), budget.HeadBytes(4000)>>10)
	// Output: 0 1984
}
