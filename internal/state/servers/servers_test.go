package servers_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/servers"
)

func entry(id string, seq int64) servers.Server {
	return servers.Server{ID: id, Pool: "app", Addr: "10.0.0.1:80", Seq: seq, Start: 100}
}

func usable(l *servers.List) []string {
	ids := []string{}
	for _, s := range l.Usable() {
		ids = append(ids, s.ID)
	}
	return ids
}

func check(t *testing.T, what string, l *servers.List, want ...string) {
	t.Helper()
	if want == nil {
		want = []string{}
	}
	if diff := cmp.Diff(want, usable(l)); diff != "" {
		t.Errorf("%s: usable servers (-want +got):\n%s", what, diff)
	}
}

func TestDrainingIsForGood(t *testing.T) {
	l := servers.New()
	l.Put(entry("a", 1))
	d := entry("a", 2)
	d.Draining = true
	l.Put(d)
	check(t, "draining", l)
	l.Put(entry("a", 3))
	check(t, "ready again under the same start", l)
	again := entry("a", 1)
	again.Start = 200
	l.Put(again)
	check(t, "started anew", l, "a")
	l.Put(entry("a", 9))
	check(t, "a late entry of the earlier start", l, "a")
	if got := l.Usable()[0].Start; got != 200 {
		t.Errorf("start %d, want 200", got)
	}
}

func TestRemovedIsGoneAtOnce(t *testing.T) {
	l := servers.New()
	l.Put(entry("a", 1))
	if !l.Remove(10, "a") {
		t.Error("the removal changed nothing")
	}
	check(t, "removed", l)
	l.Put(entry("a", 2))
	check(t, "registered again", l, "a")
}

// TestLapsedEntries has entries lapse while the store is away: they are kept
// until the servers had time to register again, and no longer.
func TestLapsedEntries(t *testing.T) {
	l := servers.New()
	l.Put(entry("a", 1))
	l.Put(entry("b", 1))
	l.Away(1000)
	l.Away(5000)
	l.Back(5500)
	l.Replace(5500, nil)
	check(t, "lapsed", l, "a", "b")
	l.Put(entry("a", 2))
	now := 5500 + servers.LapseMs - 1
	l.Tick(now)
	check(t, "within the time to register", l, "a", "b")
	if !l.Tick(now + 1) {
		t.Error("the end of the time changed nothing")
	}
	check(t, "after it", l, "a")
}

func TestDrainingDoesNotLapse(t *testing.T) {
	l := servers.New()
	d := entry("a", 1)
	d.Draining = true
	l.Put(d)
	l.Away(1000)
	l.Remove(1100, "a")
	check(t, "draining and removed while the store is away", l)
	l.Back(1200)
	l.Put(entry("a", 2))
	check(t, "an entry of the same start", l)
}

func TestOldEntriesChangeNothing(t *testing.T) {
	l := servers.New()
	l.Put(entry("a", 5))
	moved := entry("a", 4)
	moved.Addr = "10.0.0.2:80"
	if l.Put(moved) || l.Usable()[0].Addr != "10.0.0.1:80" {
		t.Error("an older entry took effect")
	}
	if l.Put(entry("a", 6)) {
		t.Error("an entry with nothing but a higher count is told as a change")
	}
	var later clock.Millis = 100
	if l.Tick(later) {
		t.Error("time alone changed the list")
	}
}

// TestDigest tells lists apart by the servers that may take requests alone.
func TestDigest(t *testing.T) {
	a, b := servers.New(), servers.New()
	a.Put(entry("a", 1))
	a.Put(entry("b", 1))
	b.Put(entry("b", 7))
	b.Put(entry("a", 2))
	if a.Digest() != b.Digest() {
		t.Error("the counts of entries, or their order, differ in the digest")
	}
	d := entry("b", 8)
	d.Draining = true
	b.Put(d)
	if a.Digest() == b.Digest() {
		t.Error("a server that drains does not show")
	}
	a.Remove(10, "b")
	if a.Digest() != b.Digest() {
		t.Error("a server that drains and one that is gone differ")
	}
	moved := entry("a", 9)
	moved.Addr = "10.0.0.9:80"
	a.Put(moved)
	if a.Digest() == b.Digest() {
		t.Error("another address does not show")
	}
}
