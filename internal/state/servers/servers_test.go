package servers_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/servers"
)

const drainTime = 2 * clock.Second

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

func wantUsable(t *testing.T, what string, l *servers.List, want ...string) {
	t.Helper()
	if want == nil {
		want = []string{}
	}
	if diff := cmp.Diff(want, usable(l)); diff != "" {
		t.Errorf("%s: usable servers (-want +got):\n%s", what, diff)
	}
}

func TestDrainingIsFinalForOneStart(t *testing.T) {
	l := servers.New(drainTime)
	l.Put(entry("a", 1))
	d := entry("a", 2)
	d.Draining = true
	l.Put(d)
	wantUsable(t, "draining", l)
	l.Put(entry("a", 3))
	wantUsable(t, "ready again under the same start", l)
	again := entry("a", 1)
	again.Start = 200
	l.Put(again)
	wantUsable(t, "started anew", l, "a")
	l.Put(entry("a", 9))
	wantUsable(t, "a late entry of the earlier start", l, "a")
	if got := l.Usable()[0].Start; got != 200 {
		t.Errorf("start %d, want 200", got)
	}
}

func TestRemovedServerIsDroppedAtOnce(t *testing.T) {
	l := servers.New(drainTime)
	l.Put(entry("a", 1))
	if !l.Remove(10, "a") {
		t.Error("the removal changed nothing")
	}
	wantUsable(t, "removed", l)
	l.Put(entry("a", 2))
	wantUsable(t, "registered again", l, "a")
}

// Entries that lapse during an outage of the store are kept for LapseMs after it, so
// that running servers can register again.
func TestLapsedEntriesAreKeptForLapseMs(t *testing.T) {
	l := servers.New(drainTime)
	l.Put(entry("a", 1))
	l.Put(entry("b", 1))
	l.StoreUnreachable()
	l.Replace(5500, nil)
	l.StoreAnswered(5500, 5490)
	wantUsable(t, "lapsed", l, "a", "b")
	l.Put(entry("a", 2))
	now := 5500 + servers.LapsedKeepMs - 1
	l.DropExpired(now)
	wantUsable(t, "within the time to register", l, "a", "b")
	if !l.DropExpired(now + 1) {
		t.Error("the end of the time changed nothing")
	}
	wantUsable(t, "after it", l, "a")
}

// If another outage starts while lapsed entries are kept, LapseMs starts anew after it.
func TestKeepTimeRestartsAfterNextOutage(t *testing.T) {
	l := servers.New(drainTime)
	l.Put(entry("a", 1))
	l.StoreUnreachable()
	l.Replace(5000, nil)
	l.StoreAnswered(5000, 4990)
	l.StoreUnreachable()
	l.DropExpired(9000)
	wantUsable(t, "away again", l, "a")
	l.Replace(9000, nil)
	l.StoreAnswered(9000, 8990)
	l.DropExpired(9000 + servers.LapsedKeepMs - 1)
	wantUsable(t, "within the time to register", l, "a")
	l.DropExpired(9000 + servers.LapsedKeepMs)
	wantUsable(t, "after it", l)
}

// An entry removed shortly after an outage may have lapsed or its server may be
// draining: it is kept, but not beyond the time for which a draining server serves.
func TestEntryRemovedAfterOutageIsKeptForDrainTime(t *testing.T) {
	l := servers.New(drainTime)
	l.Put(entry("a", 1))
	l.StoreUnreachable()
	l.Put(entry("a", 2))
	l.StoreAnswered(5000, 4990)
	l.Remove(5500, "a")
	l.StoreAnswered(5500, 5490)
	l.DropExpired(5600)
	wantUsable(t, "shortly after", l, "a")
	l.DropExpired(4990 + drainTime)
	wantUsable(t, "when a leaving server ends to serve", l)
}

// If one gateway alone loses the store while a server is removed, gateways without an
// outage confirm that the missing entry was removed and has not lapsed.
func TestReaderWithoutOutageConfirmsRemovals(t *testing.T) {
	l := servers.New(drainTime)
	l.Put(entry("a", 1))
	l.Put(entry("b", 1))
	l.StoreUnreachable()
	l.Replace(5500, nil)
	l.StoreAnswered(5500, 5490)
	l.ConfirmMissing(5600)
	if !l.DropExpired(5600) {
		t.Error("nothing changed")
	}
	wantUsable(t, "missing, with a steady reader", l)

	l = servers.New(drainTime)
	l.Put(entry("a", 1))
	l.StoreUnreachable()
	if !l.Drop(100, "a") {
		t.Error("the removal that another gateway saw changed nothing")
	}
	wantUsable(t, "told to be gone while the store is away", l)
}

// The store is restored from a backup with an outdated list: drained and removed
// servers stay out, and servers that joined since the backup are kept until they had
// time to register again.
func TestStoreRestoredFromBackup(t *testing.T) {
	l := servers.New(drainTime)
	for _, id := range []string{"drained", "removed", "stays", "joined"} {
		l.Put(entry(id, 5))
	}
	d := entry("drained", 6)
	d.Draining = true
	l.Put(d)
	l.Remove(100, "drained")
	l.Remove(100, "removed")
	l.StoreUnreachable()
	l.Replace(2000, []servers.Server{entry("drained", 4), entry("removed", 4), entry("stays", 3)})
	l.StoreAnswered(2000, 1990)
	wantUsable(t, "after the copy", l, "joined", "stays")
	l.Put(entry("joined", 6))
	l.Put(entry("removed", 7))
	l.DropExpired(2000 + servers.LapsedKeepMs)
	wantUsable(t, "written anew", l, "joined", "removed", "stays")
}

func TestDrainingServerIsNotKeptOnLapse(t *testing.T) {
	l := servers.New(drainTime)
	d := entry("a", 1)
	d.Draining = true
	l.Put(d)
	l.StoreUnreachable()
	l.Remove(1100, "a")
	wantUsable(t, "draining and removed while the store is away", l)
	l.StoreAnswered(1200, 1190)
	l.Put(entry("a", 2))
	wantUsable(t, "an entry of the same start", l)
}

func TestOutdatedEntriesAreIgnored(t *testing.T) {
	l := servers.New(drainTime)
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
	if l.DropExpired(later) {
		t.Error("time alone changed the list")
	}
}

// The digest depends only on the servers that may take requests.
func TestDigest(t *testing.T) {
	a, b := servers.New(drainTime), servers.New(drainTime)
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
