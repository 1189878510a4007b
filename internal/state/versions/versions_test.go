package versions_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/servers"
	"github.com/damaskport/damaskport/internal/state/versions"
)

const t0 = 1_000_000 * clock.Second

func ExampleHistory() {
	h := versions.NewHistory()
	h.SetLoaded()
	h.Observe(t0, map[string][]string{"llm": {"1"}})
	fmt.Println(h.Only(t0, "llm"))
	h.Observe(t0+1000, map[string][]string{"llm": {"1", "2"}})
	fmt.Println(h.Only(t0+1000, "llm"))
	fmt.Println(h.Established(t0+1000, "llm", "1"), h.Established(t0+1000, "llm", "2"))
	h.Merge(t0+1100, h.Spans(), true)
	names := h.ToName(t0+1000+versions.HoldBack, map[string]map[string]int{"llm": {"1": 2, "2": 1}})
	h.Named(names)
	fmt.Println(names, h.Established(t0+1000+versions.HoldBack, "llm", "2"))
	// Output:
	// 1 true
	//  false
	// true false
	// map[llm:[2]] true
}

// step is one observation of the versions of a pool, some time after the start.
type step struct {
	at     clock.Millis
	listed []string
}

func TestOnly(t *testing.T) {
	life := versions.StreamLifetime
	tests := []struct {
		name   string
		before versions.Spans // in the store
		steps  []step
		at     clock.Millis
		want   string
	}{
		{"one version ever", nil, []step{{0, []string{"1"}}}, life, "1"},
		{"two", nil, []step{{0, []string{"1", "2"}}}, 10, ""},
		{"the old one left a moment ago", nil, []step{{0, []string{"1"}}, {100, []string{"1", "2"}}, {200, []string{"2"}}}, 300, ""},
		{"the old one left long ago", nil, []step{{0, []string{"1"}}, {100, []string{"1", "2"}}, {200, []string{"2"}}}, 300 + life, "2"},
		{"replaced at once", nil, []step{{0, []string{"1"}}, {100, []string{"2"}}}, 300, ""},
		{"replaced while no gateway ran", versions.Spans{"llm": {"1": {AtMs: t0 - 5000}}}, []step{{0, []string{"2"}}}, 300, ""},
		{"another one in the store, gone long ago", versions.Spans{"llm": {"1": {AtMs: t0 - 2*life, GoneMs: t0 - 2*life}, "2": {AtMs: t0 - 2*life}}}, []step{{0, []string{"2"}}}, 300, "2"},
		{"the old one is back", nil, []step{{0, []string{"1"}}, {100, []string{"2"}}, {200, []string{"1"}}}, 300, ""},
		{"listed all the time, though told to be gone", versions.Spans{"llm": {"1": {AtMs: t0 - life, GoneMs: t0 - life}}}, []step{{0, []string{"1"}}}, 2 * life, "1"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			h := versions.NewHistory()
			h.Merge(t0, tc.before, true)
			h.SetLoaded()
			for _, s := range tc.steps {
				h.Observe(t0+s.at, map[string][]string{"llm": s.listed})
			}
			got, ok := h.Only(t0+tc.at, "llm")
			if got != tc.want || ok != (tc.want != "") {
				t.Errorf("Only = %q, %v, want %q", got, ok, tc.want)
			}
		})
	}
}

func TestUnreadStoreProvesNothing(t *testing.T) {
	h := versions.NewHistory()
	h.Observe(t0, map[string][]string{"llm": {"1"}})
	if v, ok := h.Only(t0, "llm"); ok {
		t.Errorf("Only = %q before the store was read", v)
	}
	if !h.Established(t0, "llm", "2") {
		t.Error("a version must wait for a store that cannot be read")
	}
}

// TestFurtherVersionWaitsForItsRecord guards against a stream that begins at a further version before a record says that
// some do: it would be taken for one of the base version.
func TestFurtherVersionWaitsForItsRecord(t *testing.T) {
	h := versions.NewHistory()
	h.SetLoaded()
	h.Observe(t0, map[string][]string{"llm": {"1"}})
	h.Observe(t0+100, map[string][]string{"llm": {"1", "2"}})
	for _, at := range []clock.Millis{200, 100 + versions.StoreWait} {
		if h.Established(t0+at, "llm", "2") {
			t.Errorf("established after %v without a record", at)
		}
	}
	if h.Overdue(t0+200, "llm", "2") || !h.Overdue(t0+100+versions.StoreWait, "llm", "2") {
		t.Error("want it overdue after StoreWait")
	}
	h.Merge(t0+200, h.Spans(), true)
	few := map[string]map[string]int{"llm": {"1": 3, "2": 2}}
	most := map[string]map[string]int{"llm": {"1": 1, "2": 2}}
	for _, tc := range []struct {
		name    string
		at      clock.Millis
		servers map[string]map[string]int
		want    map[string][]string
	}{
		{"held back", 200, few, map[string][]string{}},
		{"most servers have it", 200, most, map[string][]string{"llm": {"2"}}},
		{"after HoldBack", 100 + versions.HoldBack, few, map[string][]string{"llm": {"2"}}},
	} {
		if diff := cmp.Diff(tc.want, h.ToName(t0+tc.at, tc.servers)); diff != "" {
			t.Errorf("%s: versions to name (-want +got):\n%s", tc.name, diff)
		}
	}
	h.Named(map[string][]string{"llm": {"2"}})
	if !h.Established(t0+200, "llm", "2") {
		t.Error("not established once the record names it")
	}
}

// TestBaseVersion guards against a base version that is not the one of all streams without a record: of a pool that began
// with two, that goes on from one to the next, or whose servers come back to an earlier one.
func TestBaseVersion(t *testing.T) {
	const gone = versions.StreamLifetime + 1
	for _, tc := range []struct {
		name  string
		steps []step
		at    clock.Millis
		want  string
	}{
		{"one version", []step{{0, []string{"1"}}}, 1000, "1"},
		{"a further one", []step{{0, []string{"1"}}, {500, []string{"1", "2"}}}, 1000, "1"},
		{"the further one alone", []step{{0, []string{"1"}}, {500, []string{"2"}}}, 1000, "1"},
		{"the further one for long", []step{{0, []string{"1"}}, {500, []string{"2"}}, {500 + gone, []string{"2"}}}, 600 + gone, "2"},
		{"a third after it", []step{{0, []string{"1"}}, {500, []string{"2"}}, {500 + gone, []string{"2", "3"}}}, 600 + gone, "2"},
		{"a third before that", []step{{0, []string{"1"}}, {500, []string{"1", "2"}}, {900, []string{"2", "3"}}}, 1000, "1"},
		{"back to the first", []step{{0, []string{"1"}}, {500, []string{"2"}}, {900, []string{"1", "2"}}}, 1000, "1"},
		{"two from the beginning", []step{{0, []string{"1", "2"}}}, 1000, ""},
	} {
		h := versions.NewHistory()
		h.SetLoaded()
		for _, s := range tc.steps {
			h.Observe(t0+s.at, map[string][]string{"llm": s.listed})
		}
		if got, ok := h.Base(t0+tc.at, "llm"); got != tc.want || ok != (tc.want != "") {
			t.Errorf("%s: base %q, %t, want %q", tc.name, got, ok, tc.want)
		}
		restarted := versions.NewHistory()
		restarted.Merge(t0+tc.at, h.Spans(), true)
		restarted.SetLoaded()
		if got, _ := restarted.Base(t0+tc.at, "llm"); got != tc.want {
			t.Errorf("%s: base %q after a restart, want %q", tc.name, got, tc.want)
		}
	}
}

// TestSwitchedWithin guards against streams that a gateway began at a server which had just become one of another version
// in place, and could not record: the gateway may have ended then.
func TestSwitchedWithin(t *testing.T) {
	h := versions.NewHistory()
	h.SetLoaded()
	h.Observe(t0, map[string][]string{"llm": {"1", "2"}})
	h.Switched(t0+10_000, t0+10_000, "llm", "2")
	for _, tc := range []struct {
		name     string
		at       clock.Millis
		from, to clock.Millis
		want     bool
	}{
		{"a gateway ended long before", 20_000, 5_000, 9_000, false},
		{"just after", 20_000, 10_500, 10_700, true},
		{"it was silent all the while", 20_000, 9_000, 16_000, true},
		{"long after", 20_000, 13_000, 13_100, false},
		{"no stream of that time is left", 10_001 + versions.StreamLifetime, 10_500, 10_700, false},
	} {
		if got := h.SwitchedWithin(t0+tc.at, "llm", versions.Period{FromMs: t0 + tc.from, ToMs: t0 + tc.to}); got != tc.want {
			t.Errorf("%s: %t, want %t", tc.name, got, tc.want)
		}
	}
}

// TestRecorders guards against a stream that is taken for one of the base version although a gateway that began streams at
// a further one has ended, or is cut off from the store, so that its record lacks some.
func TestRecorders(t *testing.T) {
	names := map[string][]string{"llm": {"2"}}
	for _, tc := range []struct {
		name string
		said []versions.Recorder
		want []string
	}{
		{"nothing said", nil, nil},
		{"the process itself", []versions.Recorder{{Process: "own", Begins: names}}, nil},
		{"names the base version only", []versions.Recorder{{Process: "a", Begins: map[string][]string{"llm": {"1"}}}}, nil},
		{"names one of another pool", []versions.Recorder{{Process: "a", Begins: map[string][]string{"app": {"2"}}}}, nil},
		{"names a further one", []versions.Recorder{{Process: "a", Begins: names}}, []string{"a"}},
		{"is behind, and names none", []versions.Recorder{{Process: "a", Behind: true}}, nil},
		{"used one that it does not name", []versions.Recorder{{Process: "a", Unnamed: true}}, []string{"a"}},
		{"left in order", []versions.Recorder{{Process: "a", Begins: names}, {Process: "a", Begins: names, Left: true}}, nil},
	} {
		r := versions.NewRecorders()
		for i, said := range tc.said {
			r.Learn(t0+clock.Millis(i), said)
		}
		if diff := cmp.Diff(tc.want, r.Begun("own", "llm", "1")); diff != "" {
			t.Errorf("%s (-want +got):\n%s", tc.name, diff)
		}
	}
	r := versions.NewRecorders()
	r.Learn(t0+500, versions.Recorder{Process: "a"})
	r.Learn(t0, versions.Recorder{Process: "a", Begins: names})
	if diff := cmp.Diff([]string{"a"}, r.Begun("own", "llm", "1")); diff != "" {
		t.Errorf("a record by another clock (-want +got):\n%s", diff)
	}
}

// A fleet that is killed and starts anew at any time never takes a stream for one of another
// version: random releases, restarts and stores that hold what was written.
func TestRestartedFleetProvesNoWrongVersion(t *testing.T) {
	for seed := range uint64(300) {
		rnd := rand.New(rand.NewPCG(seed, 3))
		store := versions.Spans{}
		h := versions.NewHistory()
		h.SetLoaded()
		begun := map[string]clock.Millis{} // when the last stream began at a version
		listed := []string{"v0"}
		now := t0
		for i := range 200 {
			now += clock.Millis(rnd.IntN(3000))
			switch rnd.IntN(8) {
			case 0:
				listed = []string{listed[len(listed)-1], fmt.Sprint("v", i)}
			case 1:
				listed = listed[len(listed)-1:]
			case 2:
				h = versions.NewHistory()
				h.Merge(now, store, true)
				h.SetLoaded()
			}
			h.Observe(now, map[string][]string{"llm": listed})
			if rnd.IntN(2) == 0 {
				store = h.Spans()
				h.Merge(now, store, true)
			}
			for _, v := range listed {
				if h.Established(now, "llm", v) && (len(begun) > 0 || len(store) > 0) {
					begun[v] = now
				}
			}
			only, ok := h.Only(now, "llm")
			for v, at := range begun {
				if ok && v != only && now-at < versions.StreamLifetime {
					t.Fatalf("seed %d: all streams are taken for %s, but one of %s began %v ms ago", seed, only, v, now-at)
				}
			}
		}
	}
}

func TestIndex(t *testing.T) {
	x := versions.NewIndex()
	a, b, c := versions.IDOf("a"), versions.IDOf("b"), versions.IDOf("c")
	one, two := versions.Begin{Pool: "llm", Version: "1"}, versions.Begin{Pool: "llm", Version: "2"}
	x.Add(t0, versions.Batch{AtMs: t0, Streams: map[versions.ID]versions.Begin{a: one, b: two}})
	x.Add(t0, versions.Batch{AtMs: t0 + 1000, Streams: map[versions.ID]versions.Begin{a: one, b: one}})
	for id, want := range map[versions.ID]bool{a: true, b: false, c: false} {
		if begin, ok := x.Find(id); ok != want || ok && begin != one {
			t.Errorf("Find(%v) = %v, %v, want %v", id, begin, ok, want)
		}
	}
	x.Sweep(t0 + versions.StreamLifetime + 1)
	if x.Len() != 0 {
		t.Errorf("%d streams kept after the time in which they can go on", x.Len())
	}
}

func TestBatchThroughTheStore(t *testing.T) {
	in := versions.Batch{AtMs: t0, Streams: map[versions.ID]versions.Begin{}}
	for i := range 100 {
		in.Streams[versions.IDOf(fmt.Sprint(i))] = versions.Begin{Pool: "llm", Version: fmt.Sprint(i % 3)}
	}
	data, err := json.Marshal(in)
	if err != nil {
		t.Fatal(err)
	}
	var out versions.Batch
	if err := json.Unmarshal(data, &out); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(in, out); diff != "" {
		t.Error(diff)
	}
	if perStream := len(data) / len(in.Streams); perStream > 12 {
		t.Errorf("%d bytes a stream", perStream)
	}
	var field *versions.FieldError
	if err := json.Unmarshal([]byte(`{"at":1,"ids":{"llm":{"1":"AAA"}}}`), &out); !errors.As(err, &field) {
		t.Errorf("error %v for a cut id, want a FieldError", err)
	}
}

// BenchmarkIndex adds a record of 280 streams, those of one gateway in 4 s at 70 a second, to
// an index, and finds one.
func BenchmarkIndex(b *testing.B) {
	batch := versions.Batch{AtMs: t0, Streams: map[versions.ID]versions.Begin{}}
	for i := range 280 {
		batch.Streams[versions.IDOf(fmt.Sprint(i))] = versions.Begin{Pool: "llm", Version: "1"}
	}
	x := versions.NewIndex()
	for b.Loop() {
		x.Add(t0, batch)
		x.Find(versions.IDOf("7"))
	}
}

// entry is the entry of server s1 in a start.
func entry(start int64) servers.Server { return servers.Server{ID: "s1", Pool: "llm", Start: start} }

// newList returns a list with server s1 in start 10,000, as of a time.
func newList(asOf clock.Millis) *servers.List {
	l := servers.New(2000)
	l.Replace(0, []servers.Server{entry(10_000)})
	l.Shown(asOf)
	return l
}

// TestContactProve guards against streams of two versions: what a list does not show is no proof that nothing was there
// between two reads of it.
func TestContactProve(t *testing.T) {
	c := versions.Contact{Server: "s1", Start: 10_000, OpenedMs: 500, BeganMs: 60_000}
	for _, tc := range []struct {
		name  string
		asOf  clock.Millis
		apply func(l *servers.List)
		want  versions.Proof
	}{
		{"a list that is older than the connection", 400, nil, versions.Unproved},
		{"a list of the moment at which it was opened", 500, nil, versions.Unproved},
		{"a later list with the same start", 700, nil, versions.Proved},
		{"its removal", 700, func(l *servers.List) { l.Remove(650, "s1") }, versions.Proved},
		{"its removal in an outage", 700, func(l *servers.List) { l.StoreUnreachable(); l.Remove(650, "s1") }, versions.Proved},
		{"a start after the first event", 700, func(l *servers.List) { l.Put(entry(65_000)) }, versions.Proved},
		{"a start after its removal and the first event", 700, func(l *servers.List) { l.Remove(650, "s1"); l.Put(entry(65_000)) }, versions.Proved},
		{"a start before the first event", 700, func(l *servers.List) { l.Put(entry(59_000)) }, versions.Restarted},
		{"a start before the first event, and its removal", 700, func(l *servers.List) { l.Put(entry(59_000)); l.Remove(650, "s1") }, versions.Restarted},
		{"a start before the first event, in an older list", 400, func(l *servers.List) { l.Put(entry(59_000)) }, versions.Restarted},
		{"a whole list without the server", 700, func(l *servers.List) { l.Replace(650, nil) }, versions.Untraced},
		{"a whole list without the server, in an outage", 700, func(l *servers.List) { l.StoreUnreachable(); l.Replace(650, nil) }, versions.Untraced},
		{"a whole list with a start after the first event", 700, func(l *servers.List) { l.Replace(650, []servers.Server{entry(65_000)}) }, versions.Untraced},
		{"a whole list with a start before the first event", 700, func(l *servers.List) { l.Replace(650, []servers.Server{entry(59_000)}) }, versions.Restarted},
		{"a start after a whole list without the server", 700, func(l *servers.List) { l.Replace(650, nil); l.Put(entry(65_000)) }, versions.Untraced},
		{"a list after the connection, then one without the server", 700, func(l *servers.List) { l.Shown(600); l.Replace(650, nil) }, versions.Proved},
		{"a whole list without it, then one with it", 700, func(l *servers.List) {
			l.Replace(650, nil)
			l.Put(servers.Server{ID: "s1", Pool: "llm", Start: 10_000, Seq: 1})
		}, versions.Proved},
		{"records without another start", 700, func(l *servers.List) { l.Replace(650, nil); l.Trace(l.LastGap(), nil, true) }, versions.Proved},
		{"records of a start that came and went", 700, func(l *servers.List) {
			l.Replace(650, nil)
			l.Trace(l.LastGap(), map[string][]int64{"s1": {10_000, 59_000}}, true)
		}, versions.Restarted},
		{"records of a start between two lists", 700, func(l *servers.List) {
			l.Replace(650, []servers.Server{entry(65_000)})
			l.Trace(l.LastGap(), map[string][]int64{"s1": {59_000, 65_000}}, true)
		}, versions.Restarted},
		{"records that can't be read", 700, func(l *servers.List) { l.Replace(650, nil); l.Trace(l.LastGap(), nil, false) }, versions.Restarted},
		{"records of a later gap", 700, func(l *servers.List) { l.Replace(650, nil); l.Trace(l.LastGap()+1, nil, true) }, versions.Untraced},
	} {
		l := newList(min(tc.asOf, 400))
		if tc.apply != nil {
			tc.apply(l)
		}
		if got := c.Prove(tc.asOf, l.Starts()); got != tc.want {
			t.Errorf("%s: got %v, want %v", tc.name, got, tc.want)
		}
	}
}

func TestUnprovedStreamIsProvedByTheList(t *testing.T) {
	id := versions.IDOf("r1")
	supposed := versions.Supposed{Pool: "llm", Version: "1", Server: "s1", Start: 10_000, BeganMs: 60_000}
	data, err := json.Marshal(versions.Batch{AtMs: 60_100, Unproved: map[versions.ID]versions.Supposed{id: supposed}})
	if err != nil {
		t.Fatal(err)
	}
	var b versions.Batch
	if err := json.Unmarshal(data, &b); err != nil {
		t.Fatal(err)
	}
	x := versions.NewIndex()
	x.Add(60_200, b)
	got, ok := x.Supposed(id)
	if diff := cmp.Diff(supposed, got); !ok || diff != "" {
		t.Errorf("from a record: %v -want +got\n%s", ok, diff)
	}
	steady := func(wall clock.Millis) clock.Millis { return wall - 50_000 }
	for _, tc := range []struct {
		name  string
		asOf  clock.Millis // in Unix ms
		apply func(l *servers.List)
		want  versions.Proof
	}{
		{"an older list", 60_400, nil, versions.Unproved},
		{"the same start later", 61_000, nil, versions.Proved},
		{"a start after the first event", 66_000, func(l *servers.List) { l.Put(entry(65_000)) }, versions.Proved},
		{"a start before the first event", 61_000, func(l *servers.List) { l.Put(entry(59_900)) }, versions.Restarted},
		{"its removal", 61_000, func(l *servers.List) { l.Remove(1, "s1") }, versions.Proved},
		{"a whole list without the server", 61_000, func(l *servers.List) { l.Replace(1, nil) }, versions.Untraced},
		{"a whole list with a start after the first event", 66_000, func(l *servers.List) { l.Replace(1, []servers.Server{entry(65_000)}) }, versions.Untraced},
	} {
		l := newList(10_000)
		if tc.apply != nil {
			tc.apply(l)
		}
		if got := supposed.Prove(steady(tc.asOf), l.Starts(), steady); got != tc.want {
			t.Errorf("%s: got %v, want %v", tc.name, got, tc.want)
		}
	}
	if got := supposed.Prove(steady(61_000), servers.New(2000).Starts(), steady); got != versions.Unproved {
		t.Errorf("a list that never had the server: got %v, want %v", got, versions.Unproved)
	}
	x.Add(60_300, versions.Batch{AtMs: 60_300, Streams: map[versions.ID]versions.Begin{id: {Pool: "llm", Version: "1"}}})
	if _, ok := x.Supposed(id); ok {
		t.Error("a stream that was proved is still unproved")
	}
}
