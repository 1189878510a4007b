package servers_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/servers"
)

const drainTime = 2 * clock.Second

// entry returns an entry of a server that is not draining, always of the same start (server process).
func entry(id string, seq int64) servers.Server {
	return servers.Server{ID: id, Pool: "app", Addr: "10.0.0.1:80", Seq: seq, Start: 100}
}

// usable returns the ids of the servers on which requests may be placed.
func usable(l *servers.List) []string {
	ids := []string{}
	for _, s := range l.Usable() {
		ids = append(ids, s.ID)
	}
	return ids
}

// wantUsable checks the ids of the usable servers; what describes the step of the test.
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
	wantUsable(t, "draining entry", l)
	l.Put(entry("a", 3))
	wantUsable(t, "a later entry of the same server process that is not draining", l)
	again := entry("a", 1)
	again.Start = 200
	l.Put(again)
	wantUsable(t, "after a restart of the server", l, "a")
	l.Put(entry("a", 9))
	wantUsable(t, "after a delayed entry of the earlier server process", l, "a")
	if got := l.Usable()[0].Start; got != 200 {
		t.Errorf("start %d, want 200", got)
	}
}

func TestRemovedServerIsDroppedAtOnce(t *testing.T) {
	l := servers.New(drainTime)
	l.Put(entry("a", 1))
	if !l.Remove(10, "a") {
		t.Error("Remove reports no change")
	}
	wantUsable(t, "after the removal", l)
	l.Put(entry("a", 2))
	wantUsable(t, "after the server registered again", l, "a")
}

// Entries that lapse during an outage of the store are kept for LapsedKeepMs after it, so
// that running servers can register again.
func TestLapsedEntriesAreKeptAfterOutage(t *testing.T) {
	l := servers.New(drainTime)
	l.Put(entry("a", 1))
	l.Put(entry("b", 1))
	l.StoreUnreachable()
	l.Replace(5500, nil)
	l.StoreAnswered(5500, 5490)
	wantUsable(t, "both entries lapsed", l, "a", "b")
	l.Put(entry("a", 2))
	now := 5500 + servers.LapsedKeepMs - 1
	l.DropExpired(now)
	wantUsable(t, "1 ms before the end of LapsedKeepMs", l, "a", "b")
	if !l.DropExpired(now + 1) {
		t.Error("DropExpired reports no change at the end of LapsedKeepMs")
	}
	wantUsable(t, "at the end of LapsedKeepMs, b not registered again", l, "a")
}

// If another outage of the store begins while lapsed entries are kept, they are kept for
// LapsedKeepMs after that outage too.
func TestKeepTimeRestartsAfterNextOutage(t *testing.T) {
	l := servers.New(drainTime)
	l.Put(entry("a", 1))
	l.StoreUnreachable()
	l.Replace(5000, nil)
	l.StoreAnswered(5000, 4990)
	l.StoreUnreachable()
	l.DropExpired(9000)
	wantUsable(t, "during the second outage", l, "a")
	l.Replace(9000, nil)
	l.StoreAnswered(9000, 8990)
	l.DropExpired(9000 + servers.LapsedKeepMs - 1)
	wantUsable(t, "1 ms before the end of LapsedKeepMs", l, "a")
	l.DropExpired(9000 + servers.LapsedKeepMs)
	wantUsable(t, "at the end of LapsedKeepMs", l)
}

// An entry that disappears shortly after an outage of the store may have lapsed, or its
// server may be draining. The entry is kept, but not longer than a draining server
// would serve requests.
func TestEntryRemovedAfterOutageIsKeptForDrainTime(t *testing.T) {
	l := servers.New(drainTime)
	l.Put(entry("a", 1))
	l.StoreUnreachable()
	l.Put(entry("a", 2))
	l.StoreAnswered(5000, 4990)
	l.Remove(5500, "a")
	l.StoreAnswered(5500, 5490)
	l.DropExpired(5600)
	wantUsable(t, "shortly after the removal", l, "a")
	l.DropExpired(4990 + drainTime)
	wantUsable(t, "when a draining server would stop serving", l)
}

// The store is unreachable for one gateway only, while a server is removed. Gateways
// without an outage then confirm that the missing entry was removed and did not lapse.
func TestGatewayWithoutOutageConfirmsRemovals(t *testing.T) {
	l := servers.New(drainTime)
	l.Put(entry("a", 1))
	l.Put(entry("b", 1))
	l.StoreUnreachable()
	l.Replace(5500, nil)
	l.StoreAnswered(5500, 5490)
	l.ConfirmMissing(5600)
	if !l.DropExpired(5600) {
		t.Error("DropExpired reports no change after ConfirmMissing")
	}
	wantUsable(t, "after a gateway without an outage confirmed the removals", l)

	l = servers.New(drainTime)
	l.Put(entry("a", 1))
	l.StoreUnreachable()
	if !l.Drop(100, "a") {
		t.Error("Drop reports no change for a removal observed by another gateway")
	}
	wantUsable(t, "after a removal observed by another gateway, during an outage", l)
}

// The store is restored from a backup with an outdated server list. Drained and removed
// servers must not become usable again, and servers that joined since the backup are
// kept so that they have time to register again.
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
	wantUsable(t, "after the list from the backup", l, "joined", "stays")
	l.Put(entry("joined", 6))
	l.Put(entry("removed", 7))
	l.DropExpired(2000 + servers.LapsedKeepMs)
	wantUsable(t, "after two servers registered again", l, "joined", "removed", "stays")
}

func TestDrainingServerIsNotKeptOnLapse(t *testing.T) {
	l := servers.New(drainTime)
	d := entry("a", 1)
	d.Draining = true
	l.Put(d)
	l.StoreUnreachable()
	l.Remove(1100, "a")
	wantUsable(t, "draining server removed during an outage", l)
	l.StoreAnswered(1200, 1190)
	l.Put(entry("a", 2))
	wantUsable(t, "after a later entry of the same server process", l)
}

func TestOutdatedEntriesAreIgnored(t *testing.T) {
	l := servers.New(drainTime)
	l.Put(entry("a", 5))
	moved := entry("a", 4)
	moved.Addr = "10.0.0.2:80"
	if l.Put(moved) || l.Usable()[0].Addr != "10.0.0.1:80" {
		t.Error("an entry with a lower sequence number was applied")
	}
	if l.Put(entry("a", 6)) {
		t.Error("Put reports a change for an entry that differs only in its sequence number")
	}
	var later clock.Millis = 100
	if l.DropExpired(later) {
		t.Error("DropExpired reports a change, but no entry is missing")
	}
}

// The digest depends only on the servers that are not draining, and not on sequence
// numbers or the order of entries.
func TestDigest(t *testing.T) {
	a, b := servers.New(drainTime), servers.New(drainTime)
	a.Put(entry("a", 1))
	a.Put(entry("b", 1))
	b.Put(entry("b", 7))
	b.Put(entry("a", 2))
	if a.Digest() != b.Digest() {
		t.Error("the digest depends on the sequence numbers or the order of the entries")
	}
	d := entry("b", 8)
	d.Draining = true
	b.Put(d)
	if a.Digest() == b.Digest() {
		t.Error("the digest did not change when a server started to drain")
	}
	a.Remove(10, "b")
	if a.Digest() != b.Digest() {
		t.Error("the digests differ between a draining server and a removed one")
	}
	moved := entry("a", 9)
	moved.Addr = "10.0.0.9:80"
	a.Put(moved)
	if a.Digest() == b.Digest() {
		t.Error("the digest did not change with the address of a server")
	}
}

func TestProveNotices(t *testing.T) {
	n := servers.NewNotices()
	early := servers.Unproved{NeededMs: 1000, SentMs: 50_000, Draining: true}
	for _, id := range []string{"same", "anew", "later", "gone"} {
		n.MarkUnproved(id, early)
	}
	n.MarkUnproved("fresh", servers.Unproved{NeededMs: 3000, SentMs: 52_000, Draining: true})
	starts := map[string]int64{"same": 10_000, "anew": 49_000, "later": 51_000, "fresh": 51_500}
	if got := n.Prove(999, starts); len(got) != 0 {
		t.Errorf("an older list proves %v", got)
	}
	got := n.Prove(2000, starts)
	slices.SortFunc(got, func(a, b servers.Key) int { return strings.Compare(a.ID, b.ID) })
	want := []servers.Key{{ID: "anew", Start: 49_000}, {ID: "same", Start: 10_000}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error("-want +got\n" + diff)
	}
	if got := n.Prove(2000, map[string]int64{"later": 49_000}); len(got) != 0 {
		t.Errorf("a notice is proved twice: %v", got)
	}
	again := map[string]int64{"gone": 49_000}
	if diff := cmp.Diff([]servers.Key{{ID: "gone", Start: 49_000}}, n.Prove(2500, again)); diff != "" {
		t.Errorf("a server that was not listed for a while (-want +got):\n%s", diff)
	}
}

// TestUnprovedDrainingNoticeHolds guards against requests at a server that said it drains: the list shows the start that said
// so before it proves that it did.
func TestUnprovedDrainingNoticeHolds(t *testing.T) {
	n := servers.NewNotices()
	n.MarkDraining(900, servers.Key{ID: "s", Start: 10_000})
	n.MarkUnproved("s", servers.Unproved{NeededMs: 1000, SentMs: 50_000, Draining: true})
	n.MarkUnproved("pauses", servers.Unproved{NeededMs: 1000, SentMs: 50_000, BackOffUntilMs: 4000})
	for k, want := range map[servers.Key]bool{
		{ID: "s", Start: 10_000}: true, {ID: "s", Start: 49_000}: true, {ID: "s", Start: 50_001}: false, {ID: "pauses", Start: 49_000}: false,
	} {
		if got := n.Draining(k); got != want {
			t.Errorf("start %d of %s drains: %t, want %t", k.Start, k.ID, got, want)
		}
	}
}

// TestBackOffIsOfEachStartThatMayHaveAsked guards against a back-off that is forgotten, or kept for a later start.
func TestBackOffIsOfEachStartThatMayHaveAsked(t *testing.T) {
	n := servers.NewNotices()
	n.MarkUnproved("s", servers.Unproved{NeededMs: 1000, SentMs: 50_000, BackOffUntilMs: 4000})
	ends := func() []clock.Millis {
		return []clock.Millis{n.BackOffUntil(servers.Key{ID: "s", Start: 10_000}), n.BackOffUntil(servers.Key{ID: "s", Start: 50_000}), n.BackOffUntil(servers.Key{ID: "s", Start: 50_001})}
	}
	if diff := cmp.Diff([]clock.Millis{4000, 4000, 0}, ends()); diff != "" {
		t.Errorf("ends before the list shows who asked (-want +got):\n%s", diff)
	}
	n.MarkUnproved("s", servers.Unproved{NeededMs: 1500, SentMs: 51_000, Draining: true})
	if diff := cmp.Diff([]servers.Key{{ID: "s", Start: 50_000}}, n.Prove(1500, map[string]int64{"s": 50_000})); diff != "" {
		t.Errorf("starts that drain (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]clock.Millis{0, 4000, 0}, ends()); diff != "" {
		t.Errorf("ends once it is shown (-want +got):\n%s", diff)
	}
}

// TestNoticesOfTwoStartsAreNotMixed guards against a start that inherits what the one before it has said.
func TestNoticesOfTwoStartsAreNotMixed(t *testing.T) {
	const start = 5000
	n := servers.NewNotices()
	n.MarkUnproved("s", servers.Unproved{NeededMs: 1000, SentMs: start - 1000, Draining: true, BackOffUntilMs: 600_000})
	n.MarkUnproved("s", servers.Unproved{NeededMs: 2500, SentMs: start + 600, BackOffUntilMs: 3000})
	k := servers.Key{ID: "s", Start: start}
	if diff := cmp.Diff(clock.Millis(3000), n.BackOffUntil(k)); diff != "" {
		t.Errorf("end before the list shows the start (-want +got):\n%s", diff)
	}
	if out := n.Prove(3000, map[string]int64{"s": start}); len(out) != 0 {
		t.Errorf("starts that drain: %v", out)
	}
	if diff := cmp.Diff(clock.Millis(3000), n.BackOffUntil(k)); diff != "" {
		t.Errorf("end once it shows it (-want +got):\n%s", diff)
	}
}

// TestBackOffIsNeverShort guards against requests in the last millisecond of a back-off.
func TestBackOffIsNeverShort(t *testing.T) {
	for _, tt := range []struct{ asked, d, want time.Duration }{
		{time.Second, 300 * time.Millisecond, 300 * time.Millisecond},
		{time.Second + 999*time.Microsecond, 300 * time.Millisecond, 300 * time.Millisecond},
		{time.Second + 999*time.Microsecond, time.Hour, servers.MaxBackOff.Duration()},
	} {
		end := servers.NewNotices().BackOff(clock.FromDuration(tt.asked), servers.Key{ID: "s", Start: 1}, clock.FromDuration(tt.d))
		if took := end.Duration() - tt.asked; took < tt.want || took > tt.want+time.Millisecond {
			t.Errorf("a back-off of %v that was asked for at %v took %v", tt.d, tt.asked, took)
		}
	}
}

// TestStartsOfServersThatAreGone guards against a start that is forgotten, or that is taken for an earlier one, because
// its server takes no requests.
func TestStartsOfServersThatAreGone(t *testing.T) {
	l := servers.New(2 * clock.Second)
	l.Put(servers.Server{ID: "listed", Start: 1})
	l.Put(servers.Server{ID: "draining", Start: 1})
	l.Put(servers.Server{ID: "draining", Start: 2, Draining: true})
	l.Put(servers.Server{ID: "removed", Start: 3})
	l.Drop(0, "removed")
	l.Put(servers.Server{ID: "drained and removed", Start: 4, Draining: true})
	l.Drop(0, "drained and removed")
	l.Put(servers.Server{ID: "back", Start: 5, Draining: true})
	l.Put(servers.Server{ID: "back", Start: 6})
	want := map[string]int64{"listed": 1, "draining": 2, "removed": 3, "drained and removed": 4, "back": 6}
	starts, got := l.Starts(), map[string]int64{}
	for id := range want {
		got[id] = starts.Latest(id)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("latest starts (-want +got):\n%s", diff)
	}
}
