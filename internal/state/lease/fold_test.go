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

func record(holder string, claims ...lease.Claim) []byte {
	data, err := json.Marshal(lease.Record{Holder: holder, Seq: 1, Claims: claims})
	if err != nil {
		panic(err)
	}
	return data
}

func take(name string, seen, term int64) lease.Claim {
	return lease.Claim{Lease: name, Seen: seen, Term: term, LengthMs: length}
}

// TestLateReader has a reader start behind the take of a lease: it knows the
// lease from the second renewal on, and another one after ForgetMs without a claim.
func TestLateReader(t *testing.T) {
	whole, late := lease.New(), lease.New()
	log := [][]byte{
		record("a", take("x", 0, 0)),
		record("b", take("x", 0, 0)), // refused
		record("a", take("x", 1, 1)),
		record("c", take("x", 1, 0)), // refused
		record("a", take("x", 3, 1)),
	}
	for i, data := range log {
		whole.Apply(int64(i+1), modelBase, data)
		if i < 1 {
			continue
		}
		if _, known := late.Lookup("x"); known && i > 1 {
			t.Errorf("lease known before record %d", i+1)
		}
		late.Apply(int64(i+1), modelBase, data)
	}
	want, _ := whole.Lookup("x")
	got, known := late.Lookup("x")
	if diff := cmp.Diff(want, got); diff != "" || !known {
		t.Errorf("known %v; state of a late reader (-want +got):\n%s", known, diff)
	}
	if _, known := late.Lookup("y"); known {
		t.Error("lease without a claim is known at once")
	}
	late.Apply(6, modelBase+lease.ForgetMs, record("a"))
	if s, known := late.Lookup("y"); !known || s.Last != 0 {
		t.Errorf("lease without a claim for ForgetMs: %+v, known %v", s, known)
	}
}

func TestRecordChecksItself(t *testing.T) {
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

// BenchmarkFold measures the time per renewal and the memory per lease.
func BenchmarkFold(b *testing.B) {
	const renewals = 50_000
	for _, n := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			last := make([]int64, n)
			log := make([][]byte, renewals)
			for i := range log {
				k := i % n
				log[i] = record("entry-1", take(fmt.Sprintf("usage/%d", k), last[k], min(last[k], int64(k+1))))
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

func heap() int64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}
