package servers_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/servers"
)

const drain = 2 * clock.Second

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
	l := servers.New(drain)
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
	l := servers.New(drain)
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
	l := servers.New(drain)
	l.Put(entry("a", 1))
	l.Put(entry("b", 1))
	l.Away()
	l.Replace(5500, nil)
	l.Answered(5500, 5490)
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

// TestLapseOutlastsTheNextOutage has the store go away again before the servers
// had their time.
func TestLapseOutlastsTheNextOutage(t *testing.T) {
	l := servers.New(drain)
	l.Put(entry("a", 1))
	l.Away()
	l.Replace(5000, nil)
	l.Answered(5000, 4990)
	l.Away()
	l.Tick(9000)
	check(t, "away again", l, "a")
	l.Replace(9000, nil)
	l.Answered(9000, 8990)
	l.Tick(9000 + servers.LapseMs - 1)
	check(t, "within the time to register", l, "a")
	l.Tick(9000 + servers.LapseMs)
	check(t, "after it", l)
}

// TestSeenToGoAfterAnOutage has an entry go that was there after the return: it
// may have lapsed all the same, and is used no longer than a leaving server.
func TestSeenToGoAfterAnOutage(t *testing.T) {
	l := servers.New(drain)
	l.Put(entry("a", 1))
	l.Away()
	l.Put(entry("a", 2))
	l.Answered(5000, 4990)
	l.Remove(5500, "a")
	l.Answered(5500, 5490)
	l.Tick(5600)
	check(t, "shortly after", l, "a")
	l.Tick(4990 + drain)
	check(t, "when a leaving server ends to serve", l)
}

// TestReaderThatIsSteady has a gateway lose the store on its own while a server
// leaves: those that reached it all the time tell that nothing has lapsed.
func TestReaderThatIsSteady(t *testing.T) {
	l := servers.New(drain)
	l.Put(entry("a", 1))
	l.Put(entry("b", 1))
	l.Away()
	l.Replace(5500, nil)
	l.Answered(5500, 5490)
	l.Steady(5600)
	if !l.Tick(5600) {
		t.Error("nothing changed")
	}
	check(t, "missing, with a steady reader", l)

	l = servers.New(drain)
	l.Put(entry("a", 1))
	l.Away()
	if !l.Drop(100, "a") {
		t.Error("the removal that another gateway saw changed nothing")
	}
	check(t, "told to be gone while the store is away", l)
}

// TestCopyOfTheStore has the store come back from a copy that lists servers as they
// were: what left stays out, and what joined since is kept until it had time to
// register.
func TestCopyOfTheStore(t *testing.T) {
	l := servers.New(drain)
	for _, id := range []string{"drained", "removed", "stays", "joined"} {
		l.Put(entry(id, 5))
	}
	d := entry("drained", 6)
	d.Draining = true
	l.Put(d)
	l.Remove(100, "drained")
	l.Remove(100, "removed")
	l.Away()
	l.Replace(2000, []servers.Server{entry("drained", 4), entry("removed", 4), entry("stays", 3)})
	l.Answered(2000, 1990)
	check(t, "after the copy", l, "joined", "stays")
	l.Put(entry("joined", 6))
	l.Put(entry("removed", 7))
	l.Tick(2000 + servers.LapseMs)
	check(t, "written anew", l, "joined", "removed", "stays")
}

func TestDrainingDoesNotLapse(t *testing.T) {
	l := servers.New(drain)
	d := entry("a", 1)
	d.Draining = true
	l.Put(d)
	l.Away()
	l.Remove(1100, "a")
	check(t, "draining and removed while the store is away", l)
	l.Answered(1200, 1190)
	l.Put(entry("a", 2))
	check(t, "an entry of the same start", l)
}

func TestOldEntriesChangeNothing(t *testing.T) {
	l := servers.New(drain)
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
	a, b := servers.New(drain), servers.New(drain)
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
