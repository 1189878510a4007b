package claim_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/claim"
	"github.com/damaskport/damaskport/internal/state/directory"
)

func claims(incarnation string, from, n int, expires clock.Millis) []byte {
	rec := claim.Record{Incarnation: incarnation}
	for i := from; i < from+n; i++ {
		rec.Claims = append(rec.Claims, claim.Claim{Key: keyOf(i), Attempt: fmt.Sprintf("%s-%d", incarnation, i), ExpiresMs: expires})
	}
	data, err := json.Marshal(rec)
	if err != nil {
		panic(err)
	}
	return data
}

// TestDigestGivesWholeState reads a stream from its middle, up to a digest of
// several parts, and compares with a reader of the whole stream.
func TestDigestGivesWholeState(t *testing.T) {
	const n = 25000
	end := modelStart + clock.Hour
	var log [][]byte
	whole := claim.New()
	add := func(data []byte) {
		log = append(log, data)
		whole.Apply(int64(len(log)), modelStart, data)
	}
	add(claims("a", 0, n, end))
	parts, err := whole.Digest("d", "a")
	if err != nil {
		t.Fatal(err)
	}
	add(claims("b", n-1, 2, end)) // one claim is lost
	late := claim.New()
	late.Apply(2, modelStart, log[1])
	if _, err := late.Digest("x", "b"); !errors.As(err, new(*claim.NotWholeError)) {
		t.Errorf("digest of a partial state: %v, want NotWholeError", err)
	}
	var decisions []claim.Decision
	for i, p := range parts {
		if late.Whole() {
			t.Errorf("whole before part %d of %d", i, len(parts))
		}
		data, err := json.Marshal(p)
		if err != nil {
			t.Fatal(err)
		}
		add(data)
		decisions = late.Apply(int64(len(log)), modelStart, data)
	}
	if diff := cmp.Diff(whole.Live(modelStart), late.Live(modelStart)); diff != "" {
		t.Errorf("state of a late reader (-want +got):\n%s", diff)
	}
	var verdicts []claim.Verdict
	for _, d := range decisions {
		verdicts = append(verdicts, d.Verdict)
	}
	if diff := cmp.Diff([]claim.Verdict{claim.Lost, claim.Won}, verdicts); diff != "" {
		t.Errorf("verdicts on the held claims (-want +got):\n%s", diff)
	}
}

// TestWholeAfterWindow has a reader without a digest become whole when no
// claim was recorded for the longest window.
func TestWholeAfterWindow(t *testing.T) {
	mark := []byte(`{"incarnation":"a"}`)
	f := claim.New()
	f.Apply(5, modelStart, mark)
	f.Apply(6, modelStart+clock.Hour, claims("b", 0, 1, modelStart+2*clock.Hour))
	f.Apply(7, modelStart+claim.MaxWindow, mark)
	if f.Whole() {
		t.Error("whole while a claim from before the start may hold a key")
	}
	f.Apply(8, modelStart+claim.MaxWindow+2*clock.Hour, mark)
	if !f.Whole() {
		t.Error("not whole after the longest window without a claim")
	}
}

func TestExpiry(t *testing.T) {
	key := claim.IssueKey(modelStart, "n")
	got, err := claim.Expiry(key, modelStart+clock.Hour, 2*clock.Hour)
	if err != nil || got != modelStart+2*clock.Hour {
		t.Errorf("Expiry = %d, %v; want the issue time plus the window", got, err)
	}
	for _, now := range []clock.Millis{modelStart + 2*clock.Hour, modelStart - clock.Hour} {
		if _, err := claim.Expiry(key, now, 2*clock.Hour); !errors.As(err, new(*claim.ExpiredKeyError)) {
			t.Errorf("Expiry at %d: %v, want ExpiredKeyError", now, err)
		}
	}
}

// TestWrongClock: a claim that would hold its key for longer than any window
// is refused, and not cut short, which would let a second one win early.
func TestWrongClock(t *testing.T) {
	f := claim.New()
	got := f.Apply(1, modelStart, claims("a", 0, 1, modelStart+claim.MaxWindow+2*clock.Hour))
	if len(got) != 1 || got[0].Verdict != claim.Late {
		t.Errorf("decisions %+v, want one that refuses the claim", got)
	}
}

func TestRecordChecksItself(t *testing.T) {
	k := keyOf(0)
	for _, text := range []string{
		`{}`,
		`{"incarnation":"a","claims":[{"key":"` + k.String() + `","expiresMs":1}]}`,
		`{"incarnation":"a","claims":[{"key":"00","attempt":"t","expiresMs":1}]}`,
		`{"incarnation":"a","outcomes":[{"key":"` + k.String() + `","attempt":"t","claimOffset":1,"result":"maybe"}]}`,
		`{"incarnation":"a","digest":{"id":"d","upTo":3,"part":1,"parts":1}}`,
	} {
		var rec claim.Record
		if err := json.Unmarshal([]byte(text), &rec); !errors.As(err, new(*directory.FieldError)) {
			t.Errorf("%s: %v, want FieldError", text, err)
		}
	}
}

// TestOutageRefusesAtOnce has the log fail twice: what was sent and what comes
// next is refused without waiting for its deadline, and a later request tests
// whether the log is back.
func TestOutageRefusesAtOnce(t *testing.T) {
	a := claim.NewAuthor(claim.Config{Incarnation: "a"}, claim.New())
	want := func(now clock.Millis, name string) []claim.Action {
		return a.Want(now, claim.Request{Key: claim.KeyOf("a", "/", name), Attempt: name, ExpiresMs: 1e9, DeadlineMs: 1e9})
	}
	want(0, "t1")
	a.AppendUnknown(10, 1)
	want(20, "t2")
	got := reasons(a.AppendUnknown(30, 2))
	got = append(got, reasons(want(40, "t3"))...)
	if diff := cmp.Diff([]claim.RefuseReason{claim.ReasonLog, claim.ReasonLog, claim.ReasonLog}, got); diff != "" {
		t.Errorf("refusals (-want +got):\n%s", diff)
	}
	if acts := want(2000, "t4"); len(acts) != 1 || len(reasons(acts)) != 0 {
		t.Errorf("after a pause: %v, want one append", acts)
	}
}

func reasons(acts []claim.Action) []claim.RefuseReason {
	var out []claim.RefuseReason
	for _, a := range acts {
		if r, ok := a.(claim.Refuse); ok {
			out = append(out, r.Reason)
		}
	}
	return out
}
