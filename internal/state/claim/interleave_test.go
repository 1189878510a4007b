package claim_test

import (
	"flag"
	"fmt"
	"testing"
)

var depth = flag.Int("depth", 4, "maximum number of events in a sequence of TestInterleavings")

// event is one step of a sequence; enabled reports whether it is possible in
// the current state of the model.
type event struct {
	name    string
	enabled func(m *model) bool
	do      func(m *model)
}

// choices returns a choose function that returns the values of vs in turn.
func choices(vs ...int) func(int) int {
	return func(int) int {
		v := vs[0]
		vs = vs[1:]
		return v
	}
}

// allEvents returns the events of a model with two members.
func allEvents() []event {
	var out []event
	for i := range 2 {
		out = append(out, memberEvents(i)...)
	}
	for how, name := range map[int]string{0: "recorded", 1: "failed", 2: "recorded, result unknown", 3: "delayed, result unknown"} {
		out = append(out, event{"append " + name,
			func(m *model) bool { return len(m.openAppends) > 0 },
			func(m *model) { m.completeAppend(0, choices(0, how)) }})
	}
	return append(out,
		event{"delayed append recorded",
			func(m *model) bool { return len(m.unconfirmed) > 0 },
			func(m *model) { m.recordDelayed(0, choices(0)) }},
		event{"deadline",
			func(m *model) bool { return m.now == modelStart },
			func(m *model) { m.now += modelDeadline - 1; m.tick(0, choices(1)) }},
	)
}

// memberEvents returns the events of member i. They create at most 6 processes and
// attempts in total.
func memberEvents(i int) []event {
	unread := func(m *model) bool { return m.members[i].fold.Next() <= int64(len(m.log)) }
	running := func(m *model) bool { return len(m.members[i].active) > 0 }
	return []event{
		{fmt.Sprint("read ", i), unread, func(m *model) { m.read(i, choices(0)) }},
		{fmt.Sprint("not run ", i), running, func(m *model) { m.finish(i, choices(0)) }},
		{fmt.Sprint("done ", i), running, func(m *model) { m.finish(i, choices(1)) }},
		{fmt.Sprint("crash ", i), func(m *model) bool { return m.created < 6 }, func(m *model) { m.crash(i, nil) }},
		{fmt.Sprint("submit ", i), func(m *model) bool { return m.created < 6 }, func(m *model) { m.submit(i, choices(0)) }},
	}
}

// TestInterleavings runs all sequences of up to -depth events after two members
// have submitted attempts for the same key, and checks the model's invariants after
// each event.
func TestInterleavings(t *testing.T) {
	events := allEvents()
	runs := 0
	var walk func(path []event)
	walk = func(path []event) {
		for _, e := range events {
			m := newModel(2, noFault)
			m.submit(0, choices(0))
			m.submit(1, choices(0))
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
				t.Fatalf("%v after %v", m.err, eventNames(next))
			}
			if len(next) < *depth {
				walk(next)
			}
		}
	}
	walk(nil)
	t.Logf("%d sequences of up to %d events", runs, *depth)
}

func eventNames(path []event) []string {
	var out []string
	for _, e := range path {
		out = append(out, e.name)
	}
	return out
}
