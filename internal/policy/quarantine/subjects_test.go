package quarantine_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/damaskport/damaskport/internal/policy/quarantine"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

func TestJudgeRequests(t *testing.T) {
	tests := []struct {
		name     string
		evidence []quarantine.Evidence
		answered string // subjects answered at t0+3500
		subjects string
		want     quarantine.Verdict
	}{
		{"one end", []quarantine.Evidence{ended(1, t0, "orchard", "Ra")}, "", "Ra", quarantine.Verdict{State: quarantine.Suspected, Subjects: []string{"Ra"}, ByRequest: true, Endings: 1}},
		{"another request", []quarantine.Evidence{ended(1, t0, "orchard", "Ra")}, "", "Rb", quarantine.Verdict{}},
		{
			"three ends, one under a trial", []quarantine.Evidence{ended(1, t0, "orchard", "p Ra"), ended(2, t0+1, "orchard", "p Ra"), ended(3, t0+2, "orchard", "*p Ra")}, "p", "p Ra",
			quarantine.Verdict{State: quarantine.Refused, Subjects: []string{"Ra"}, ByRequest: true, Endings: 3},
		},
		{
			"part beside a refused request", []quarantine.Evidence{ended(1, t0, "orchard", "p Ra"), ended(2, t0+1, "orchard", "p Ra"), ended(3, t0+2, "orchard", "*p Ra")}, "", "p Rb",
			quarantine.Verdict{State: quarantine.Suspected, Subjects: []string{"p"}, Endings: 1},
		},
		{
			"three ends without a trial", []quarantine.Evidence{ended(1, t0, "orchard", "Ra"), ended(2, t0+1, "orchard", "Ra"), ended(3, t0+2, "orchard", "Ra")}, "", "Ra",
			quarantine.Verdict{State: quarantine.Suspected, Subjects: []string{"Ra"}, ByRequest: true, Endings: 3, Retrial: true},
		},
		{
			"answered after three ends", []quarantine.Evidence{ended(1, t0, "orchard", "Ra"), ended(2, t0+1, "orchard", "Ra"), ended(3, t0+2, "orchard", "Ra")}, "Ra", "Ra",
			quarantine.Verdict{},
		},
		{
			"bad part of requests that came twice", []quarantine.Evidence{
				ended(1, t0, "orchard", "bad Ra"), ended(2, t0+1, "orchard", "*bad Ra"), ended(3, t0+2, "orchard", "*bad Rb"),
				ended(4, t0+3, "orchard", "*bad Rb"), ended(5, t0+4, "orchard", "*bad Rc"),
			}, "", "bad Rd",
			quarantine.Verdict{State: quarantine.Refused, Subjects: []string{"bad"}, Endings: 3},
		},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			l := quarantine.NewLedger()
			for _, e := range tc.evidence {
				l.Merge(t0+3000, e)
			}
			l.Answered(t0+3500, strings.Fields(tc.answered))
			if diff := cmp.Diff(tc.want, l.Judge(t0+3500, "orchard", strings.Fields(tc.subjects))); diff != "" {
				t.Error("-want +got\n" + diff)
			}
		})
	}
}

// Four requests that end servers at once are refused, and not the part that sound ones share
// with them.
func TestRequestsAreBlamedBeforeASharedPart(t *testing.T) {
	l := quarantine.NewLedger()
	l.Answered(t0, []string{"shared", "Rsound"})
	at := t0
	for round := range 3 {
		for i := range 4 {
			at += 100
			trial := ""
			if round > 0 {
				trial = "*"
			}
			l.Merge(at, ended(10*round+i, at, "orchard", fmt.Sprintf("%sshared Rbad%d", trial, i), "shared Rsound"))
		}
	}
	var refused []string
	for _, q := range l.Quarantined() {
		refused = append(refused, q.Subjects...)
		if quarantine.IsRequest(q.Subjects[0]) && !slices.Equal(q.Prompt, []string{"shared"}) {
			t.Errorf("prompt of %v is %v", q.Subjects, q.Prompt)
		}
	}
	l.Answered(at+500, []string{"shared", "Rsound"})
	for i := range 4 {
		if id := fmt.Sprint("Rbad", i); !slices.Contains(refused, id) || l.Judge(at+600, "orchard", []string{"shared", id}).State != quarantine.Refused {
			t.Errorf("%s is not refused", id)
		}
	}
	if slices.Contains(refused, "shared") {
		t.Error("the shared part is refused")
	}
	if v := l.Judge(at+600, "orchard", []string{"shared", "Rother"}); v.State != quarantine.Clear {
		t.Errorf("verdict on a sound request: %+v", v)
	}
}

// However often a refused request comes, and whether it was tried before or not, at most three
// servers end under it over a day after the third.
func TestRefusedRequestIsTriedAgainSeldom(t *testing.T) {
	for _, tc := range []struct {
		trial string
		want  []clock.Millis
	}{
		{"*Ra", []clock.Millis{5 * clock.Second, 600 * clock.Second}},
		{"Ra", []clock.Millis{0, 600 * clock.Second}},
	} {
		l := quarantine.NewLedger()
		for i := range 3 {
			l.Merge(t0, ended(i, t0, "orchard", tc.trial))
		}
		var tries []clock.Millis
		for at := t0; at < t0+24*3600*clock.Second; at += clock.Second / 2 {
			switch v := l.Judge(at, "orchard", []string{"Ra"}); {
			case v.State == quarantine.Clear:
				t.Fatalf("clear after %v", at-t0)
			case v.State == quarantine.Suspected && !v.Wait && !l.Retry(at, []string{"Ra"}).Empty():
				tries = append(tries, at-t0)
				l.Merge(at, ended(100+len(tries), at, "orchard", "*Ra"))
			}
		}
		if diff := cmp.Diff(tc.want, tries); diff != "" {
			t.Errorf("%s: -want +got\n%s", tc.trial, diff)
		}
	}
}

// While servers go on to end, a retrial would tell nothing: it waits until they do not, but for a
// minute only.
func TestRetrialWaitsForCalm(t *testing.T) {
	for _, tc := range []struct {
		lasts, want clock.Millis // of the ends, and to the retrial
	}{{0, 5000}, {3000, 8000}, {20_000, 25_000}, {300_000, 60_000}} {
		l := quarantine.NewLedger()
		for i := range 3 {
			l.Merge(t0, ended(i, t0, "orchard", "*Ra"))
		}
		got := clock.Millis(-1)
		for after := clock.Millis(0); after <= 100_000 && got < 0; after += 1000 {
			if after > 0 && after <= tc.lasts {
				l.Merge(t0+after, ended(100+int(after), t0+after, "orchard", fmt.Sprint("R", after)))
			}
			if l.Judge(t0+after, "orchard", []string{"Ra"}).Retrial {
				got = after
			}
		}
		if got != tc.want {
			t.Errorf("servers end for %d ms: tried again after %d ms, want %d", tc.lasts, got, tc.want)
		}
	}
}

// Two requests on the same ended servers are not told apart: neither is refused until a server
// ends under one of them alone, or an answer clears the other.
func TestRequestsOnTheSameServersAreNotToldApart(t *testing.T) {
	at := t0 + 1000
	for _, tc := range []struct {
		name   string
		more   func(l *quarantine.Ledger)
		states [2]quarantine.State
	}{
		{"same servers", func(*quarantine.Ledger) {}, [2]quarantine.State{quarantine.Suspected, quarantine.Suspected}},
		{"one of them alone", func(l *quarantine.Ledger) {
			for i := range 3 {
				l.Merge(at, ended(10+i, at, "orchard", "*Ra"))
			}
		}, [2]quarantine.State{quarantine.Refused, quarantine.Refused}},
		{"other answered", func(l *quarantine.Ledger) { l.Answered(at, []string{"Rb"}) }, [2]quarantine.State{quarantine.Refused, quarantine.Clear}},
	} {
		l := quarantine.NewLedger()
		for i := range 4 {
			l.Merge(t0, ended(i, t0, "orchard", "*Ra", "Rb"))
		}
		tc.more(l)
		var got [2]quarantine.State
		for i, id := range []string{"Ra", "Rb"} {
			v := l.Judge(at, "orchard", []string{id})
			if got[i] = v.State; v.Retrial && v.Endings >= 3 {
				got[i] = quarantine.Refused // but for one try
			}
		}
		if got != tc.states {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.states)
		}
	}
}

// Servers that go on to end while a request is refused show another cause: a request that was
// answered before runs as a trial again, one that never was stays refused.
func TestEndsWithoutARefusedRequestDoubtIt(t *testing.T) {
	l := quarantine.NewLedger()
	l.Answered(t0, []string{"Rsound"})
	for i, id := range []string{"Rsound", "Rbad"} {
		for n := range 3 {
			l.Merge(t0+2000, ended(10*i+n, t0+2000+clock.Millis(n), "orchard", "*"+id))
		}
	}
	states := func(at clock.Millis) [2]quarantine.State {
		return [2]quarantine.State{l.Judge(at, "orchard", []string{"Rsound"}).State, l.Judge(at, "orchard", []string{"Rbad"}).State}
	}
	got := [][2]quarantine.State{states(t0 + 2100)}
	l.Merge(t0+2200, ended(50, t0+2200, "orchard", "*Rbad"))
	got = append(got, states(t0+2300))
	l.Merge(t0+2400, ended(51, t0+2400, "orchard", "Rother"))
	got = append(got, states(t0+2500))
	both := [2]quarantine.State{quarantine.Refused, quarantine.Refused}
	want := [][2]quarantine.State{both, both, {quarantine.Suspected, quarantine.Refused}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error("-want +got\n" + diff)
	}
}

// A request that was answered before is not refused for servers that another refused subject
// ended, and one that never was is.
func TestKnownRequestIsNotRefusedForExplainedEnds(t *testing.T) {
	l := quarantine.NewLedger()
	l.Answered(t0, []string{"Rsound"})
	for i := range 6 {
		at := t0 + 2000 + clock.Millis(i)
		if i%2 == 0 {
			l.Merge(at, ended(i, at, "orchard", "*Rbad", "*Rsound"))
		} else {
			l.Merge(at, ended(i, at, "orchard", "*bad Rbad", "*bad Rother"))
		}
	}
	got := [2]quarantine.State{l.Judge(t0+2100, "orchard", []string{"Rsound"}).State, l.Judge(t0+2100, "orchard", []string{"Rbad"}).State}
	if diff := cmp.Diff([2]quarantine.State{quarantine.Suspected, quarantine.Refused}, got); diff != "" {
		t.Error("-want +got\n" + diff)
	}
}

// Requests without a body of their own are one request with several prompts: it was answered, so
// that the part which all that ended servers had is refused.
func TestPartOfAKnownRequestIsBlamed(t *testing.T) {
	l := quarantine.NewLedger()
	l.Answered(t0, []string{"a", "Rsame"})
	for i := range 3 {
		at := t0 + 2000 + clock.Millis(i)
		l.Merge(at, ended(i, at, "orchard", "a bad Rsame"))
	}
	if v := l.Judge(t0+2100, "orchard", []string{"b", "Rsame"}); v.State != quarantine.Clear {
		t.Errorf("verdict %+v on another prompt, want clear", v)
	}
	for i := range 2 {
		at := t0 + 2010 + clock.Millis(i)
		l.Merge(at, ended(10+i, at, "orchard", "*a bad Rsame"))
	}
	got := [2]quarantine.State{l.Judge(t0+2100, "orchard", []string{"a", "Rsame"}).State, l.Judge(t0+2100, "orchard", []string{"a", "bad", "Rsame"}).State}
	if diff := cmp.Diff([2]quarantine.State{quarantine.Suspected, quarantine.Refused}, got); diff != "" {
		t.Error("-want +got\n" + diff)
	}
}

// The result of the first trial of a refused request is waited for; if it does not come, the
// request is refused until the next one.
func TestResultOfFirstTrialIsWaitedFor(t *testing.T) {
	l := quarantine.NewLedger()
	for i := range 3 {
		l.Merge(t0, ended(i, t0, "orchard", "Ra"))
	}
	if l.Retry(t0, []string{"Ra"}).Empty() || !l.Retry(t0+1, []string{"Ra"}).Empty() {
		t.Error("want one trial")
	}
	type step struct {
		AtMs          clock.Millis
		State         quarantine.State
		Wait, Retrial bool
	}
	var got []step
	for _, at := range []clock.Millis{100, 1400, 1600, 4900, 5000} {
		v := l.Judge(t0+at, "orchard", []string{"Ra"})
		got = append(got, step{at, v.State, v.Wait, v.Retrial})
	}
	want := []step{
		{100, quarantine.Suspected, true, false}, {1400, quarantine.Suspected, true, false}, {1600, quarantine.Refused, false, false},
		{4900, quarantine.Refused, false, false}, {5000, quarantine.Suspected, false, true},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error("-want +got\n" + diff)
	}
}

// A caller that sends a new request each time, many of them beside each other, evicts nothing
// that counts against the requests of another.
func TestAccountsDoNotCrowdOutEachOther(t *testing.T) {
	l := quarantine.NewLedger()
	l.Merge(t0, ended(1, t0, "orchard", "Ra"))
	l.Merge(t0+1, ended(2, t0+1, "orchard", "*Ra"))
	for i := range 600 {
		at := t0 + 10 + clock.Millis(i)
		var requests []string
		for n := range 40 {
			requests = append(requests, fmt.Sprintf("*shared R%d-%d", i, n))
		}
		l.Merge(at, ended(100+i, at, "rogue", requests...))
	}
	at := t0 + 2000
	huge := ended(9, at, "rogue", strings.Repeat(`"<`, 30)+" Rhuge")
	huge.Endings[0].Suspects[0].Request = strings.Repeat("x", 1<<20)
	l.Merge(at, huge)
	last := ended(3, at, "rogue", slices.Repeat([]string{"shared Rother"}, 30)...)
	mine := ended(3, at, "orchard", "Ra")
	mine.Endings[0].Suspects[0].Request = "mine"
	l.Merge(at, last)
	l.Merge(at, mine)
	if v := l.Judge(at, "orchard", []string{"Ra"}); v.State != quarantine.Refused {
		t.Errorf("verdict %+v, want refused by three ends", v)
	}
	data, err := json.Marshal(l.Evidence())
	if err != nil || len(data) > 262144 {
		t.Errorf("%d bytes of evidence, error %v", len(data), err)
	}
	// Bounds of the build before: it rejects records beyond them.
	var e struct {
		Endings           []struct{ Suspects []struct{ Parts []string } }
		Cleared, Retrials []struct{ Part string }
	}
	if err := json.Unmarshal(data, &e); err != nil {
		t.Fatal(err)
	}
	if len(e.Endings) > 128 || len(e.Cleared) > 1024 || len(e.Retrials) > 1024 {
		t.Errorf("%d endings, %d and %d marks", len(e.Endings), len(e.Cleared), len(e.Retrials))
	}
	for _, end := range e.Endings {
		if len(end.Suspects) > 16 {
			t.Errorf("%d suspects", len(end.Suspects))
		}
	}
}

func TestRequestHasRoomBesideManyParts(t *testing.T) {
	var parts []string
	for i := range 100 {
		parts = append(parts, fmt.Sprint("p", i))
	}
	subjects := append(quarantine.Normalize(parts), "Ra")
	data, err := json.Marshal(ended(1, t0, "orchard", strings.Join(subjects, " ")))
	if err != nil {
		t.Fatal(err)
	}
	var e quarantine.Evidence
	if err := json.Unmarshal(data, &e); err != nil {
		t.Error(err)
	}
}

// What an operator clears of a prompt part holds for the requests that were refused with it.
func TestLiftOfAPartLiftsItsRequests(t *testing.T) {
	l := quarantine.NewLedger()
	for i := range 3 {
		l.Merge(t0, ended(i, t0, "orchard", "*bad Ra"))
	}
	news := l.Lift(t0, "bad")
	other := quarantine.NewLedger()
	for i := range 3 {
		other.Merge(t0, ended(i, t0, "orchard", "*bad Ra"))
	}
	other.Merge(t0, news)
	for _, l := range []*quarantine.Ledger{l, other} {
		if v := l.Judge(t0+1, "orchard", []string{"bad", "Ra"}); v.State != quarantine.Clear {
			t.Errorf("verdict %+v after the lift", v)
		}
	}
}

func TestParseSubject(t *testing.T) {
	id := quarantine.Request{Account: "orchard"}.ID()
	for in, want := range map[string]string{" 3F1c9a22 ": "3f1c9a22", id: id, "": "", "R12": "", "Rz" + id[2:]: ""} {
		got, err := quarantine.ParseSubject(in)
		var field *quarantine.FieldError
		if got != want || (want == "") != errors.As(err, &field) {
			t.Errorf("%q: %q, error %v, want %q", in, got, err, want)
		}
	}
}

// BenchmarkSoundRequest is what the ledger costs a request while no server has ended, and
// BenchmarkSoundRequestBesideEvidence while the evidence is at its bound.
func BenchmarkSoundRequest(b *testing.B) { benchmarkSound(b, quarantine.NewLedger()) }

func BenchmarkSoundRequestBesideEvidence(b *testing.B) {
	l := quarantine.NewLedger()
	for i := range 128 {
		l.Merge(t0, ended(i, t0, "orchard", fmt.Sprintf("*a Rbad%d", i%30), fmt.Sprint("a Rx", i)))
	}
	l.Answered(t0+2000, []string{"a"})
	benchmarkSound(b, l)
}

func benchmarkSound(b *testing.B, l *quarantine.Ledger) {
	body := []byte(strings.Repeat("x", 2<<10))
	n := 0
	for b.Loop() {
		n++
		r := quarantine.Request{Account: "orchard", Method: "POST", Host: "shop.example", Target: fmt.Sprint("/draft/", n), Body: body}
		subjects := []string{"a", r.ID()}
		at := t0 + 3000 + clock.Millis(n/1000)
		l.Judge(at, "orchard", subjects)
		l.Judge(at, "orchard", subjects)
		l.Answered(at, subjects)
	}
}
