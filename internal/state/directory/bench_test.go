package directory_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/damaskport/damaskport/internal/state/directory"
)

// populated returns a directory with n client accounts that have one key each.
func populated(tb rapid.TB, n int) *directory.Directory {
	tb.Helper()
	ops := []directory.Op{
		{SetPool: &directory.Pool{Name: "assistant", Kind: directory.PoolModel, Model: "m", Slots: 8}},
		{SetClass: &directory.Class{Name: "chat", Tier: 1, Pools: []string{"assistant"}}},
	}
	for i := range n {
		name := fmt.Sprintf("account-%04d", i)
		ops = append(ops, directory.Op{SetAccount: &directory.Account{Name: name, Share: 1, Classes: []string{"chat"}}},
			directory.Op{IssueKey: &directory.Key{ID: fmt.Sprintf("k%04d", i), Account: name, Digest: directory.DigestSecret(name)}})
	}
	return mustApply(tb, directory.New(), directory.Change{ID: "fill", Ops: ops})
}

// mustApply applies c as the next record and fails the test if it is rejected.
func mustApply(tb rapid.TB, d *directory.Directory, c directory.Change) *directory.Directory {
	tb.Helper()
	next, v := d.Apply(d.Version()+1, mustMarshal(tb, c))
	if !v.Accepted {
		tb.Fatalf("change %s rejected: %s", c.ID, v.Reason)
	}
	return next
}

// mustMarshal returns v encoded as JSON.
func mustMarshal(tb rapid.TB, v any) []byte {
	tb.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		tb.Fatal(err)
	}
	return data
}

// BenchmarkApply measures the time and allocations per change of one subject.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{10, 1000, 6300} {
		d := populated(b, n)
		changes := map[string]directory.Op{
			"withdrawKey": {WithdrawKey: "k0003"},
			"setAccount":  {SetAccount: &directory.Account{Name: "account-0003", Share: 2, Classes: []string{"chat"}}},
		}
		for name, op := range changes {
			data := mustMarshal(b, directory.Change{ID: "c", BasedOn: d.Version(), Ops: []directory.Op{op}})
			b.Run(fmt.Sprintf("%s/accounts=%d", name, n), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if _, v := d.Apply(d.Version()+1, data); !v.Accepted {
						b.Fatal(v.Reason)
					}
				}
			})
		}
	}
}

// BenchmarkSnapshot measures the time to encode a snapshot, and its size.
func BenchmarkSnapshot(b *testing.B) {
	d := populated(b, 6300)
	b.ReportAllocs()
	size := 0
	for b.Loop() {
		size = len(mustMarshal(b, d.ToSnapshot()))
	}
	b.ReportMetric(float64(size), "bytes")
}
