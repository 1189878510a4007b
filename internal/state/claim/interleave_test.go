package claim_test

import (
	"flag"
	"fmt"
	"testing"
)

var depth = flag.Int("depth", 4, "events in each sequence of TestInterleavings")

// event is one step of a small run; enabled tells whether it can happen.
type event struct {
	name    string
	enabled func(m *model) bool
	do      func(m *model)
}

// fixed returns a choose function that gives vs in turn.
func fixed(vs ...int) func(int) int {
	return func(int) int {
		v := vs[0]
		vs = vs[1:]
		return v
	}
}

func smallEvents() []event {
	var out []event
	for i := range 2 {
		out = append(out, memberEvents(i)...)
	}
	for how, name := range map[int]string{0: "recorded", 1: "refused", 2: "answer lost", 3: "late"} {
		out = append(out, event{"append " + name,
			func(m *model) bool { return len(m.open) > 0 },
			func(m *model) { m.answer(0, fixed(0, how)) }})
	}
	return append(out,
		event{"late record",
			func(m *model) bool { return len(m.limbo) > 0 },
			func(m *model) { m.land(0, fixed(0)) }},
		event{"deadline",
			func(m *model) bool { return m.now == modelStart },
			func(m *model) { m.now += modelDeadline - 1; m.tick(0, fixed(1)) }},
	)
}

func memberEvents(i int) []event {
	unread := func(m *model) bool { return m.members[i].fold.Next() <= int64(len(m.log)) }
	running := func(m *model) bool { return len(m.members[i].active) > 0 }
	return []event{
		{fmt.Sprint("read ", i), unread, func(m *model) { m.read(i, fixed(0)) }},
		{fmt.Sprint("not sent ", i), running, func(m *model) { m.finish(i, fixed(0)) }},
		{fmt.Sprint("done ", i), running, func(m *model) { m.finish(i, fixed(1)) }},
		{fmt.Sprint("crash ", i), func(m *model) bool { return m.made < 6 }, func(m *model) { m.crash(i, nil) }},
		{fmt.Sprint("want ", i), func(m *model) bool { return m.made < 6 }, func(m *model) { m.want(i, fixed(0)) }},
	}
}

// TestInterleavings runs all sequences of a few events after two members have
// claimed the same key.
func TestInterleavings(t *testing.T) {
	events := smallEvents()
	runs := 0
	var walk func(path []event)
	walk = func(path []event) {
		for _, e := range events {
			m := newModel(2, noFault)
			m.want(0, fixed(0))
			m.want(1, fixed(0))
			for _, p := range path {
				p.do(m)
			}
			if !e.enabled(m) {
				continue
			}
			e.do(m)
			runs++
			next := append(path[:len(path):len(path)], e)
			if m.err != nil {
				t.Fatalf("%v after %v", m.err, names(next))
			}
			if len(next) < *depth {
				walk(next)
			}
		}
	}
	walk(nil)
	t.Logf("%d runs of up to %d events", runs, *depth)
}

func names(path []event) []string {
	var out []string
	for _, e := range path {
		out = append(out, e.name)
	}
	return out
}
