package quarantine_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/damaskport/damaskport/internal/policy/quarantine"
)

func ExampleRequest_ID() {
	r := quarantine.Request{Account: "orchard", Method: "POST", Host: "shop.example", Target: "/pay/1?now", Body: []byte("amount=3")}
	id := r.ID()
	r.Host = "Shop.Example"
	fmt.Println(id, id == r.ID(), quarantine.IsRequest(id), quarantine.IsRequest("5c1e07a2"))
	// Output:
	// Rae8eb0991884f77ecce22a6a3b9b0b93 true true false
}

func TestDifferentRequestsHaveDifferentIDs(t *testing.T) {
	base := quarantine.Request{Account: "orchard", Method: "POST", Host: "shop.example", Target: "/pay/1", Body: []byte("a")}
	all := map[string]quarantine.Request{base.ID(): base}
	for _, change := range []func(r *quarantine.Request){
		func(r *quarantine.Request) { r.Account = "meadow" },
		func(r *quarantine.Request) { r.Account = "" },
		func(r *quarantine.Request) { r.Method = "PUT" },
		func(r *quarantine.Request) { r.Host = "pay.example" },
		func(r *quarantine.Request) { r.Target = "/pay/1?" },
		func(r *quarantine.Request) { r.Body = nil },
		func(r *quarantine.Request) { r.Account, r.Method = "orchardPOST", "" },
		func(r *quarantine.Request) { r.Target, r.Body = "/pay/", []byte("1a") },
	} {
		r := base
		change(&r)
		if other, ok := all[r.ID()]; ok {
			t.Errorf("%+v and %+v have the same id", r, other)
		}
		all[r.ID()] = r
	}
}

// BenchmarkRequestID computes the id of requests with bodies of several sizes.
func BenchmarkRequestID(b *testing.B) {
	for _, n := range []int{0, 2 << 10, 100 << 10, 8 << 20} {
		b.Run(fmt.Sprint(n, " B"), func(b *testing.B) {
			r := quarantine.Request{Account: "orchard", Method: "POST", Host: "shop.example", Target: "/draft/1", Body: bytes.Repeat([]byte("x"), n)}
			b.SetBytes(int64(n))
			for b.Loop() {
				r.ID()
			}
		})
	}
}
