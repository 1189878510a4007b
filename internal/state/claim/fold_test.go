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

// claims returns an encoded record of n claims, on the keys numbered from,
// from+1 and so on.
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

// TestDigestRestoresState: a reader that starts after the first record and restores
// its state from a digest in several parts has the same state as a reader of the
// complete stream.
func TestDigestRestoresState(t *testing.T) {
	const n = 25000
	end := modelStart + clock.Hour
	var log [][]byte
	complete := claim.New()
	add := func(data []byte) {
		log = append(log, data)
		complete.Apply(int64(len(log)), modelStart, data)
	}
	add(claims("a", 0, n, end))
	parts, err := complete.Digest("d", "a")
	if err != nil {
		t.Fatal(err)
	}
	add(claims("b", n-1, 2, end)) // the first of the two loses
	restored := claim.New()
	restored.Apply(2, modelStart, log[1])
	if _, err := restored.Digest("x", "b"); !errors.As(err, new(*claim.IncompleteStateError)) {
		t.Errorf("digest of an incomplete state: %v, want IncompleteStateError", err)
	}
	var decisions []claim.Decision
	for i, p := range parts {
		if restored.Complete() {
			t.Errorf("state is complete before part %d of %d of the digest was read", i, len(parts))
		}
		data, err := json.Marshal(p)
		if err != nil {
			t.Fatal(err)
		}
		add(data)
		decisions = restored.Apply(int64(len(log)), modelStart, data)
	}
	if diff := cmp.Diff(complete.Live(modelStart), restored.Live(modelStart)); diff != "" {
		t.Errorf("state restored from the digest (-want +got):\n%s", diff)
	}
	var verdicts []claim.Verdict
	for _, d := range decisions {
		verdicts = append(verdicts, d.Verdict)
	}
	if diff := cmp.Diff([]claim.Verdict{claim.Lost, claim.Won}, verdicts); diff != "" {
		t.Errorf("verdicts on the buffered claims (-want +got):\n%s", diff)
	}
}

// TestCompleteAfterQuietPeriod: a reader that missed records and finds no digest
// knows that no claim is live once none was recorded for the maximum lifetime.
func TestCompleteAfterQuietPeriod(t *testing.T) {
	emptyRecord := []byte(`{"incarnation":"a"}`)
	f := claim.New()
	f.Apply(5, modelStart, emptyRecord)
	f.Apply(6, modelStart+clock.Hour, claims("b", 0, 1, modelStart+2*clock.Hour))
	f.Apply(7, modelStart+claim.MaxWindow, emptyRecord)
	if f.Complete() {
		t.Error("state is complete while a missed claim may still hold a key")
	}
	f.Apply(8, modelStart+claim.MaxWindow+2*clock.Hour, emptyRecord)
	if !f.Complete() {
		t.Error("state is incomplete after the maximum lifetime without a claim")
	}
}

// TestExpiry: the window of an issued key starts at its time of issue, and Expiry
// rejects a key outside its window.
func TestExpiry(t *testing.T) {
	key := claim.IssueKey(modelStart, "n")
	got, err := claim.Expiry(key, modelStart+clock.Hour, 2*clock.Hour)
	if err != nil || got != modelStart+2*clock.Hour {
		t.Errorf("Expiry = %d, %v; want the issue time plus the window", got, err)
	}
	if got, _ := claim.Expiry("n", modelStart, 2*clock.Hour); got != modelStart.AddFull(2*clock.Hour) {
		t.Errorf("Expiry of another key = %d; want all of the window, whatever part of a millisecond was cut off", got)
	}
	for _, now := range []clock.Millis{modelStart + 2*clock.Hour, modelStart - clock.Hour} {
		if _, err := claim.Expiry(key, now, 2*clock.Hour); !errors.As(err, new(*claim.ExpiredKeyError)) {
			t.Errorf("Expiry at %d: %v, want ExpiredKeyError", now, err)
		}
	}
}

// TestRefusesExpiryTooFarAhead: a claim that would hold its key for longer than
// the maximum lifetime is refused. Shortening it instead would free the key
// early, and a second attempt could be accepted.
func TestRefusesExpiryTooFarAhead(t *testing.T) {
	f := claim.New()
	got := f.Apply(1, modelStart, claims("a", 0, 1, modelStart+claim.MaxWindow+2*clock.Hour))
	if len(got) != 1 || got[0].Verdict != claim.BadExpiry {
		t.Errorf("decisions %+v, want one with the verdict BadExpiry", got)
	}
}

func TestRecordRejectsInvalid(t *testing.T) {
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

// TestOutageRefusesAtOnce: after two appends with unknown results, the attempts in
// them and a new one are refused without waiting for their deadlines. A request after
// the probe interval is appended, which tests whether the log is available again.
func TestOutageRefusesAtOnce(t *testing.T) {
	a := claim.NewAuthor(claim.Config{Incarnation: "a"}, claim.New())
	submit := func(now clock.Millis, name string) []claim.Action {
		return a.Submit(now, claim.Request{Key: claim.KeyOf("a", "/", name), Attempt: name, ExpiresMs: 1e9, DeadlineMs: 1e9})
	}
	submit(0, "t1")
	a.AppendUnknown(10, 1)
	submit(20, "t2")
	got := reasons(a.AppendUnknown(30, 2))
	got = append(got, reasons(submit(40, "t3"))...)
	if diff := cmp.Diff([]claim.RefuseReason{claim.ReasonLog, claim.ReasonLog, claim.ReasonLog}, got); diff != "" {
		t.Errorf("refusals (-want +got):\n%s", diff)
	}
	if acts := submit(2000, "t4"); len(acts) != 1 || len(reasons(acts)) != 0 {
		t.Errorf("after the probe interval: %v, want one append", acts)
	}
}

// reasons returns the reasons of the refusals among acts.
func reasons(acts []claim.Action) []claim.RefuseReason {
	var out []claim.RefuseReason
	for _, a := range acts {
		if r, ok := a.(claim.Refuse); ok {
			out = append(out, r.Reason)
		}
	}
	return out
}
