package lease_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"runtime"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/damaskport/damaskport/internal/state/directory"
	"github.com/damaskport/damaskport/internal/state/lease"
)

// record returns an encoded record of a holder.
func record(holder string, claims ...lease.Claim) []byte {
	data, err := json.Marshal(lease.Record{Holder: holder, Seq: 1, Claims: claims})
	if err != nil {
		panic(err)
	}
	return data
}

// claimOf returns a claim that starts a term, or renews the given term if it is not 0.
// seen is the offset of the last accepted claim.
func claimOf(name string, seen, term int64) lease.Claim {
	return lease.Claim{Lease: name, LastAccepted: seen, Term: term, LengthMs: leaseLength}
}

// TestReaderThatMissedRecords: a reader that missed the claim that started a term
// knows the state of the lease from the second renewal on, which names the first one
// as accepted. It knows after ForgetMs that a lease without claims is free.
func TestReaderThatMissedRecords(t *testing.T) {
	complete, partial := lease.New(), lease.New()
	log := [][]byte{
		record("a", claimOf("x", 0, 0)),
		record("b", claimOf("x", 0, 0)), // rejected
		record("a", claimOf("x", 1, 1)),
		record("c", claimOf("x", 1, 0)), // rejected
		record("a", claimOf("x", 3, 1)),
	}
	for i, data := range log {
		complete.Apply(int64(i+1), modelBase, data)
		if i < 1 {
			continue
		}
		if _, known := partial.Lookup("x"); known && i > 1 {
			t.Errorf("state of the lease is known before record %d", i+1)
		}
		partial.Apply(int64(i+1), modelBase, data)
	}
	want, _ := complete.Lookup("x")
	got, known := partial.Lookup("x")
	if diff := cmp.Diff(want, got); diff != "" || !known {
		t.Errorf("lease known: %v; state of a reader that missed records (-want +got):\n%s", known, diff)
	}
	if _, known := partial.Lookup("y"); known {
		t.Error("state of a lease without claims is known before ForgetMs")
	}
	partial.Apply(6, modelBase+lease.ForgetMs, record("a"))
	if s, known := partial.Lookup("y"); !known || s.Last != 0 {
		t.Errorf("state of a lease without claims for ForgetMs: %+v, known: %v; want no accepted claim, known: true", s, known)
	}
}

func TestRecordRejectsInvalid(t *testing.T) {
	for _, text := range []string{
		`{}`,
		`{"holder":"a","claims":[{"lease":"x","seen":0,"lengthMs":0}]}`,
		`{"holder":"a","claims":[{"lease":"x","seen":0,"lengthMs":3600000}]}`,
		`{"holder":"a","claims":[{"lease":"x","seen":1,"term":2,"lengthMs":1000}]}`,
		`{"holder":"a","claims":[{"lease":"x","seen":1,"lengthMs":1000,"release":true}]}`,
	} {
		var rec lease.Record
		if err := json.Unmarshal([]byte(text), &rec); !errors.As(err, new(*directory.FieldError)) {
			t.Errorf("%s: %v, want FieldError", text, err)
		}
	}
}

// BenchmarkFold measures the time per renewal, its encoded size and the memory
// per lease.
func BenchmarkFold(b *testing.B) {
	const renewals = 50_000
	for _, n := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			last := make([]int64, n)
			log := make([][]byte, renewals)
			for i := range log {
				k := i % n
				log[i] = record("entry-1", claimOf(fmt.Sprintf("usage/%d", k), last[k], min(last[k], int64(k+1))))
				last[k] = int64(i + 1)
			}
			before := heap()
			var f *lease.Fold
			for b.Loop() {
				f = lease.New()
				for i, data := range log {
					f.Apply(int64(i+1), modelBase, data)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/renewals, "ns/renewal")
			b.ReportMetric(float64(len(log[renewals-1])), "wireB/renewal")
			b.ReportMetric(float64(heap()-before)/float64(n), "B/lease")
			runtime.KeepAlive(f)
			runtime.KeepAlive(log)
		})
	}
}

// heap returns the bytes allocated on the heap after a garbage collection.
func heap() int64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}
