package quarantine_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/damaskport/damaskport/internal/policy/quarantine"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/servers"
)

const t0 = 1_000_000 * clock.Second

// ended returns the end of the n-th server at a time under requests of an account, each with
// its parts separated by spaces; * before them marks a trial.
func ended(n int, at clock.Millis, account string, requests ...string) quarantine.Evidence {
	e := quarantine.Ending{Server: servers.Key{ID: fmt.Sprint("s", n), Start: 1}, AtMs: at}
	for i, r := range requests {
		parts, trial := strings.CutPrefix(r, "*")
		e.Suspects = append(e.Suspects, quarantine.Suspect{Request: fmt.Sprint(n, "-", i), Account: account, Subjects: strings.Fields(parts), Trial: trial})
	}
	return quarantine.Evidence{Endings: []quarantine.Ending{e}}
}

func ExampleLedger() {
	l := quarantine.NewLedger()
	l.Answered(t0, []string{"preamble"})
	l.Merge(t0, ended(1, t0, "orchard", "preamble bad"))
	fmt.Println(l.Judge(t0, "orchard", []string{"preamble", "good"}).State, l.Judge(t0, "orchard", []string{"preamble", "bad"}).State)
	l.Merge(t0, ended(2, t0+100, "orchard", "*preamble bad"))
	l.Answered(t0+2000, []string{"preamble", "good"})
	l.Merge(t0+4000, ended(3, t0+4000, "orchard", "*preamble bad"))
	fmt.Println(l.Judge(t0+4000, "orchard", []string{"preamble", "good"}).State, l.Judge(t0+4000, "orchard", []string{"preamble", "bad"}).State)
	// Output:
	// clear suspected
	// clear refused
}

func TestJudge(t *testing.T) {
	bad := []quarantine.Evidence{
		ended(1, t0, "orchard", "a bad", "a x"), ended(2, t0+1000, "orchard", "*a bad"), ended(3, t0+2000, "orchard", "*a bad"),
	}
	tests := []struct {
		name     string
		evidence []quarantine.Evidence
		answered string // parts answered at t0+3500
		account  string
		parts    string
		want     quarantine.State
	}{
		{"no evidence", nil, "", "orchard", "a bad", quarantine.Clear},
		{"one end", bad[:1], "", "orchard", "bad", quarantine.Suspected},
		{"untried ends alone", []quarantine.Evidence{ended(1, t0, "o", "a"), ended(2, t0, "o", "a"), ended(3, t0, "o", "a"), ended(4, t0, "o", "a")}, "", "o", "a", quarantine.Suspected},
		{"two trials", bad, "", "orchard", "a bad", quarantine.Refused},
		{"part of a group that is not told apart", bad, "", "orchard", "a", quarantine.Suspected},
		{"other part was answered", bad, "a", "orchard", "a", quarantine.Clear},
		{"bad part alone", bad, "a", "orchard", "bad", quarantine.Refused},
		{"explained by another part", bad, "a", "orchard", "x", quarantine.Clear},
		{"another account", bad, "a", "meadow", "bad", quarantine.Suspected},
		{"ended under both accounts", append([]quarantine.Evidence{ended(4, t0+3000, "meadow", "*bad")}, bad...), "a", "meadow", "bad", quarantine.Refused},
		{"answered since", bad, "a bad", "orchard", "a bad", quarantine.Clear},
		{"made-up parts beside a foreign one", []quarantine.Evidence{
			ended(1, t0, "orchard", "foreign m1"), ended(2, t0, "orchard", "*foreign m2"), ended(3, t0, "orchard", "*foreign m3"),
		}, "", "meadow", "foreign", quarantine.Suspected},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			l := quarantine.NewLedger()
			for _, e := range tc.evidence {
				l.Merge(t0+3000, e)
			}
			l.Answered(t0+3500, strings.Fields(tc.answered))
			if got := l.Judge(t0+3500, tc.account, strings.Fields(tc.parts)); got.State != tc.want {
				t.Errorf("verdict %v, want %v", got, tc.want)
			}
		})
	}
}

// Two parts that end servers are both found, and a first part that all share is not.
func TestTwoPartsAtOnce(t *testing.T) {
	l := quarantine.NewLedger()
	for i := range 6 {
		at := t0 + clock.Millis(i)*2*clock.Second
		l.Merge(at, ended(i, at, "orchard", []string{"*a bad", "*a worse"}[i%2]))
		l.Answered(at+1500, []string{"a", "good"})
	}
	var got [][]string
	for _, q := range l.Quarantined() {
		got = append(got, q.Subjects)
	}
	if diff := cmp.Diff([][]string{{"bad"}, {"worse"}}, got); diff != "" {
		t.Error(diff)
	}
}

func TestQuarantinedNamesTheEvidence(t *testing.T) {
	l := quarantine.NewLedger()
	var want []quarantine.Ending
	for i := range 3 {
		e := ended(i, t0+clock.Millis(i), "orchard", "*bad")
		l.Merge(t0+100, e)
		want = append(want, e.Endings...)
	}
	got := l.Quarantined()
	if diff := cmp.Diff([]quarantine.Quarantined{{Subjects: []string{"bad"}, SinceMs: t0 + 2, Accounts: []string{"orchard"}, Endings: want}}, got); diff != "" {
		t.Error(diff)
	}
}

func TestRefusedPartIsTriedAgainTwice(t *testing.T) {
	l := quarantine.NewLedger()
	for i := range 3 {
		l.Merge(t0, ended(i, t0, "orchard", "*bad"))
	}
	var tries []clock.Millis
	for at := t0; at < t0+24*3600*clock.Second; at += clock.Second {
		if v := l.Judge(at, "orchard", []string{"bad"}); v.State == quarantine.Clear {
			t.Fatalf("clear after %v", at-t0)
		} else if v.State == quarantine.Suspected && !l.Retry(at, []string{"bad"}).Empty() {
			tries = append(tries, at-t0)
			l.Merge(at, ended(100+len(tries), at, "orchard", "*bad"))
		}
	}
	if diff := cmp.Diff([]clock.Millis{5 * clock.Second, 600 * clock.Second}, tries); diff != "" {
		t.Error(diff)
	}
}

func TestLiftedPartNeedsNewEvidence(t *testing.T) {
	l := quarantine.NewLedger()
	for i := range 3 {
		l.Merge(t0, ended(i, t0, "orchard", "*bad"))
	}
	l.Lift(t0, "bad")
	if v := l.Judge(t0, "orchard", []string{"bad"}); v.State != quarantine.Clear {
		t.Errorf("verdict %v after the lift", v)
	}
	l.Merge(t0+1, ended(4, t0+1, "orchard", "*bad"))
	if v := l.Judge(t0+1, "orchard", []string{"bad"}); v.State != quarantine.Suspected || v.Endings != 1 {
		t.Errorf("verdict %v after one more end, want suspected by 1", v)
	}
}

// Gateways that get the same evidence in any order, and any number of times, decide alike,
// also after it went through the store.
func TestMergeInAnyOrder(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		var all []quarantine.Evidence
		for i := range 12 {
			at := t0 + clock.Millis(rnd.IntN(20_000))
			all = append(all, ended(rnd.IntN(8), at, "orchard", fmt.Sprintf("*a p%d", rnd.IntN(3)), fmt.Sprintf("a q%d", i)))
			if rnd.IntN(3) == 0 {
				all = append(all, quarantine.Evidence{Cleared: []quarantine.Mark{{Subject: fmt.Sprintf("p%d", rnd.IntN(3)), AtMs: at}, {Subject: "a", AtMs: at}}})
			}
		}
		for i := range all {
			for s := range all[i].Endings {
				for k := range all[i].Endings[s].Suspects {
					all[i].Endings[s].Suspects[k].Request = fmt.Sprint(i, "-", k)
				}
			}
		}
		one, two, three := quarantine.NewLedger(), quarantine.NewLedger(), quarantine.NewLedger()
		for _, e := range all {
			one.Merge(t0+60*clock.Second, e)
		}
		for range 2 {
			for _, i := range rnd.Perm(len(all)) {
				two.Merge(t0+60*clock.Second, all[i])
			}
		}
		data, err := json.Marshal(one.Evidence())
		if err != nil {
			t.Fatal(err)
		}
		var stored quarantine.Evidence
		if err := json.Unmarshal(data, &stored); err != nil {
			t.Fatal(err)
		}
		three.Merge(t0+60*clock.Second, stored)
		for name, other := range map[string]*quarantine.Ledger{"other order": two, "from the store": three} {
			if diff := cmp.Diff(partsOf(one), partsOf(other)); diff != "" {
				t.Fatalf("%s (-first +other):\n%s", name, diff)
			}
		}
	}
}

func partsOf(l *quarantine.Ledger) [][]string {
	var out [][]string
	for _, q := range l.Quarantined() {
		out = append(out, q.Subjects)
	}
	return out
}

// A record that a gateway left behind does not refuse a part again that was cleared since.
func TestClearedPartStaysClearedForNewGateways(t *testing.T) {
	left, l := quarantine.NewLedger(), quarantine.NewLedger()
	for i := range 3 {
		e := ended(i, t0, "orchard", "*bad")
		left.Merge(t0, e)
		l.Merge(t0, e)
	}
	l.Answered(t0+5000, []string{"bad"})
	fresh := quarantine.NewLedger()
	for _, e := range []quarantine.Evidence{left.Evidence(), l.Evidence()} {
		fresh.Merge(t0+6000, e)
	}
	if v := fresh.Judge(t0+6000, "orchard", []string{"bad"}); v.State != quarantine.Clear {
		t.Errorf("verdict %v", v)
	}
}

// A caller that makes up parts can make its requests end servers, but the ledger stays within
// its bounds, and keeps what a refusal rests on.
func TestLedgerIsBounded(t *testing.T) {
	l := quarantine.NewLedger()
	for i := range 3 {
		l.Merge(t0, ended(i, t0, "orchard", "*bad"))
	}
	for i := range 2000 {
		at := t0 + clock.Millis(i)
		l.Merge(at, ended(10+i, at, "rogue", fmt.Sprint("m", i)))
		l.Answered(at, []string{fmt.Sprint("n", i)})
	}
	if _, _, n := l.Len(); n > 128 {
		t.Errorf("%d endings kept", n)
	}
	if data, err := json.Marshal(l.Evidence()); err != nil || len(data) > 64<<10 {
		t.Errorf("%d bytes of evidence, error %v", len(data), err)
	}
	if v := l.Judge(t0+1, "orchard", []string{"bad"}); v.State != quarantine.Refused {
		t.Errorf("verdict %v on the refused part", v)
	}
}

func TestInvalidEvidence(t *testing.T) {
	for _, in := range []string{
		`{"endings":[{"server":{"id":"s"},"at":1,"suspects":[{"request":"","parts":["a"]}]}]}`,
		`{"endings":[{"server":{"id":"s"},"at":1,"suspects":[{"request":"r","parts":[""]}]}]}`,
		`{"cleared":[{"part":"` + strings.Repeat("x", 65) + `","at":1}]}`,
	} {
		var e quarantine.Evidence
		var field *quarantine.FieldError
		if err := json.Unmarshal([]byte(in), &e); !errors.As(err, &field) {
			t.Errorf("%.60s: error %v, want a FieldError", in, err)
		}
	}
}

func TestNormalize(t *testing.T) {
	got := quarantine.Normalize([]string{"Ab", "ab", "", strings.Repeat("f", 65)})
	if diff := cmp.Diff([]string{"ab", "#" + got[len(got)-1][1:]}, got); diff != "" || len(got[1]) != 17 {
		t.Errorf("%v %s", got, diff)
	}
}

func TestExaminerRunsOneTrialForEachPart(t *testing.T) {
	x := quarantine.NewExaminer()
	steps := []struct {
		at      clock.Millis
		request string
		parts   string
		want    bool
	}{
		{0, "r1", "bad", true}, {1, "r2", "bad", false}, {1, "r3", "worse", true}, {2, "r1", "bad", true},
		{3, "r4", "other worse", false}, {4000, "r5", "bad", false}, {6000, "r6", "bad worse", true},
	}
	for _, s := range steps {
		if got := x.Ask(s.at, s.request, strings.Fields(s.parts)); got != s.want {
			t.Errorf("%s at %d: %v, want %v", s.request, s.at, got, s.want)
		}
	}
	x.End("r6")
	if !x.Ask(6001, "r7", []string{"bad"}) {
		t.Error("no trial after the end of the one before")
	}
}

// BenchmarkJudge decides on a request while the evidence is at its bound.
func BenchmarkJudge(b *testing.B) {
	l := quarantine.NewLedger()
	for i := range 128 {
		l.Merge(t0, ended(i, t0, "orchard", fmt.Sprintf("*a p%d", i%30), "a x"))
	}
	l.Answered(t0+2000, []string{"a", "x"})
	for b.Loop() {
		l.Judge(t0+3000, "orchard", []string{"a", "good"})
	}
}

// BenchmarkMergeEnding adds one ended server to evidence at its bound, and judges again.
func BenchmarkMergeEnding(b *testing.B) {
	l := quarantine.NewLedger()
	for i := range 128 {
		l.Merge(t0, ended(i, t0, "orchard", fmt.Sprintf("*a p%d", i%30)))
	}
	n := 128
	for b.Loop() {
		n++
		l.Merge(t0+clock.Millis(n), ended(n, t0+clock.Millis(n), "orchard", "a q"))
		l.Judge(t0+clock.Millis(n), "orchard", []string{"a", "good"})
	}
}

func TestBreaksProveEnds(t *testing.T) {
	key := func(id string, start int64) servers.Key { return servers.Key{ID: id, Start: start} }
	request := func(id string) quarantine.Suspect { return quarantine.Suspect{Request: id, Subjects: []string{"bad"}} }
	b := quarantine.NewBreaks()
	got := []bool{b.Add(t0, key("s1", 1), request("r1")), b.Add(t0+100, key("s1", 1), request("r2")), b.Add(t0+200, key("s2", 1), request("r3")), b.Add(t0+300, key("s3", 5), request("r4"))}
	if diff := cmp.Diff([]bool{true, false, true, true}, got); diff != "" {
		t.Error("first at a server: -want +got\n" + diff)
	}
	want := quarantine.Evidence{Endings: []quarantine.Ending{{Server: key("s1", 1), AtMs: t0, Suspects: []quarantine.Suspect{request("r1"), request("r2")}}}}
	if diff := cmp.Diff(want, b.Listed(t0+2000, map[string]int64{"s1": 2, "s2": 1, "s3": 4})); diff != "" {
		t.Error("listed with a later start: -want +got\n" + diff)
	}
	if diff := cmp.Diff(quarantine.Evidence{}, b.Listed(t0+2100, map[string]int64{"s1": 3})); diff != "" {
		t.Error("evidence is given once: -want +got\n" + diff)
	}
	if got := b.Ended(t0+3000, key("s2", 1)).Endings; len(got) != 1 || got[0].AtMs != t0+200 {
		t.Errorf("a server that refuses connections: got %v", got)
	}
	if got := b.Listed(t0+20*clock.Second, map[string]int64{"s3": 6}); !got.Empty() {
		t.Errorf("a start long after the break: got %v", got)
	}
	for i := range 1000 {
		b.Add(t0+clock.Millis(i), key(fmt.Sprint("n", i), 1), request("r"))
	}
	starts := map[string]int64{}
	for i := range 1000 {
		starts[fmt.Sprint("n", i)] = 2
	}
	if got := b.Listed(t0+1000, starts); len(got.Endings) > 256 || got.Endings[len(got.Endings)-1].Server.ID != "n999" {
		t.Errorf("%d servers are kept, want at most 256 and the newest ones", len(got.Endings))
	}
}
