package window_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"runtime"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/directory"
	"github.com/damaskport/damaskport/internal/state/window"
)

func encode(rec window.Record) []byte {
	data, err := json.Marshal(rec)
	if err != nil {
		panic(err)
	}
	return data
}

// increments returns an encoded record of one sidecar with an increment for each of
// n accounts, in the window that contains the time at.
func increments(sidecar string, n int, at clock.Millis) []byte {
	rec := window.Record{Incarnation: sidecar}
	for i := range n {
		rec.Increments = append(rec.Increments, window.Increment{
			Account: fmt.Sprintf("account-%d", i),
			Window:  window.Containing(at, windowLength),
			Figures: window.Figures{Requests: 10, PromptTokens: 1000, OutputTokens: 2000},
		})
	}
	return encode(rec)
}

// TestDigestRestoresState: a reader that restores its state from a digest, in which
// the windows of an account are spread over several parts, has the same state as a
// reader of the complete stream.
func TestDigestRestoresState(t *testing.T) {
	complete, restored := window.New(0, 1), window.New(0, 1)
	offset := int64(0)
	for w := range 24 {
		for s := range 500 {
			offset++
			complete.Apply(offset, modelBase, increments(fmt.Sprint("s", s), 2, modelBase+clock.Millis(w)*windowLength))
		}
	}
	seals := complete.DueSeals(modelBase+clock.Hour, sealGrace, windowLength)
	seals[0].OutputTokens -= 7
	parts, err := complete.Digest("d", "r")
	if err != nil {
		t.Fatal(err)
	}
	if len(parts) < 3 {
		t.Fatalf("digest has %d parts, want at least 3", len(parts))
	}
	log := [][]byte{encode(window.Record{Incarnation: "r", Seals: seals})}
	for _, p := range parts {
		log = append(log, encode(p))
	}
	for _, data := range log {
		offset++
		complete.Apply(offset, modelBase, data)
		restored.Apply(offset, modelBase, data)
	}
	if diff := cmp.Diff(complete.Entries(), restored.Entries()); diff != "" || !restored.Complete() {
		t.Errorf("state restored from the digest (complete: %v; -want +got):\n%s", restored.Complete(), diff)
	}
	if got := restored.Owed(seals[0].Account); got != 7 {
		t.Errorf("owed %d tokens, want the 7 that were counted but are not in the seal", got)
	}
}

// TestTooLate: an increment for a closed window changes no state, and its tokens
// are counted as too late.
func TestTooLate(t *testing.T) {
	f := window.New(0, 1)
	f.Apply(1, modelBase+window.AcceptIncrementsMs+windowLength, increments("s", 1, modelBase))
	if got := f.Entries(); len(got) != 0 || f.TooLate() != 3000 {
		t.Errorf("state %+v, %d tokens in increments for closed windows; want no state and 3000 tokens", got, f.TooLate())
	}
}

func TestRecordRejectsInvalid(t *testing.T) {
	for _, text := range []string{
		`{}`,
		`{"incarnation":"a","increments":[{"account":"x","windowStartMs":5,"windowEndMs":5}]}`,
		`{"incarnation":"a","increments":[{"account":"x","windowStartMs":0,"windowEndMs":5,"requests":-1}]}`,
		`{"incarnation":"a","seals":[{"windowStartMs":0,"windowEndMs":5}]}`,
		`{"incarnation":"a","digest":{"id":"d","upTo":1,"part":0,"parts":0}}`,
	} {
		var rec window.Record
		if err := json.Unmarshal([]byte(text), &rec); !errors.As(err, new(*directory.FieldError)) {
			t.Errorf("%s: %v, want FieldError", text, err)
		}
	}
}

// BenchmarkFold measures the time per increment, the memory per account and
// window, and the encoded size of an increment, with 20 sidecars.
func BenchmarkFold(b *testing.B) {
	const sidecars = 20
	for _, n := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var log [][]byte
			for s := range sidecars {
				log = append(log, increments(fmt.Sprint("sidecar-", s), n, modelBase))
			}
			before := heap()
			var f *window.Fold
			for b.Loop() {
				f = window.New(0, 1)
				for i, data := range log {
					f.Apply(int64(i+1), modelBase, data)
				}
			}
			all := float64(n * sidecars)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/all, "ns/increment")
			b.ReportMetric(float64(heap()-before)/float64(n), "B/accountWindow")
			b.ReportMetric(float64(len(log[0]))/float64(n), "wireB/increment")
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
