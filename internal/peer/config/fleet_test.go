package config_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/damaskport/damaskport/internal/peer/config"
	"github.com/damaskport/damaskport/internal/platform/logservice"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/directory"
)

// fleet is a set of processes that share one log. The oracle folds every record
// immediately and in order.
type fleet struct {
	log            *memoryLog
	oracle         *config.Store
	digests        map[int64]uint64 // of the oracle, by version
	processes      []*config.Store
	versions       []int64          // of each process at the last check
	lastID         int              // the number of the last change id
	newestSnapshot int64            // highest version of a snapshot in the log
	withdrawn      map[string]int64 // version at which a key was withdrawn, by key id
	delayed        []update         // sent and not lost; delivered any number of times
}

// update is a message with records or a snapshot from one process to another.
type update struct {
	records []logservice.Record
	snap    *directory.Snapshot
}

// newFleet returns a fleet of 4 processes, all at version 0, with the first change in
// the log.
func newFleet(t *rapid.T) *fleet {
	f := &fleet{log: newMemoryLog(clock.NewManual(0, 0)), oracle: config.New(0), digests: map[int64]uint64{}, withdrawn: map[string]int64{}}
	f.append(t, firstChange())
	for range 4 {
		f.processes = append(f.processes, config.New(rapid.IntRange(1, 20).Draw(t, "tail")))
		f.versions = append(f.versions, 0)
	}
	return f
}

// append appends a change to the log and has the oracle fold it.
func (f *fleet) append(t *rapid.T, c directory.Change) {
	offset, err := f.log.Append(t.Context(), "", encoded(t, c))
	if err != nil {
		t.Fatal(err)
	}
	offer(t, f.oracle, []logservice.Record{{Offset: offset, Data: encoded(t, c)}})
	f.digests[offset] = f.oracle.Version().Digest
	if outcome, ok := f.oracle.FindChange(c.ID, offset); ok && outcome.Verdict.Accepted && len(c.Ops) > 0 && c.Ops[0].WithdrawKey != "" {
		f.withdrawn[c.Ops[0].WithdrawKey] = offset
	}
}

// drawProcess returns a random process and its index.
func (f *fleet) drawProcess(t *rapid.T) (int, *config.Store) {
	i := rapid.IntRange(0, len(f.processes)-1).Draw(t, "process")
	return i, f.processes[i]
}

// change appends a change that an operator makes at one process. Some changes are
// appended twice, as when the answer to the first append was lost.
func (f *fleet) change(t *rapid.T) {
	_, s := f.drawProcess(t)
	f.lastID++
	c := shareChange(fmt.Sprint(f.lastID), s.Version().Number, f.lastID)
	key := fmt.Sprint("k", rapid.IntRange(0, 5).Draw(t, "key"))
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		c.Ops = []directory.Op{{IssueKey: &directory.Key{ID: key, Account: "a", Digest: directory.DigestSecret("s")}}}
	case 1:
		c.Ops = []directory.Op{{WithdrawKey: key}}
	}
	for range rapid.IntRange(1, 2).Draw(t, "copies") {
		f.append(t, c)
	}
}

// read has a process read some records of the log.
func (f *fleet) read(t *rapid.T) {
	_, s := f.drawProcess(t)
	records := f.log.all()
	from := slices.IndexFunc(records, func(r logservice.Record) bool { return r.Offset > s.Version().Number })
	if from >= 0 {
		offer(t, s, records[from:rapid.IntRange(from+1, len(records)).Draw(t, "to")])
	}
}

// exchange has a process catch up with another one.
func (f *fleet) exchange(t *rapid.T) {
	_, s := f.drawProcess(t)
	_, peer := f.drawProcess(t)
	if got := peer.Compare(s.Version()); got == config.Diverged {
		t.Fatalf("%v and %v diverged", peer.Version(), s.Version())
	}
	catchUp(t, s, peer)
}

// send makes one process send an update to another, which arrives later or never.
func (f *fleet) send(t *rapid.T) {
	_, s := f.drawProcess(t)
	_, peer := f.drawProcess(t)
	records, snap := peer.RecordsSince(s.Version().Number)
	f.delayed = append(f.delayed, update{records, snap})
}

// deliver delivers a delayed update to a process, not necessarily the one that it was
// made for.
func (f *fleet) deliver(t *rapid.T) {
	_, s := f.drawProcess(t)
	if len(f.delayed) == 0 {
		return
	}
	u := rapid.SampledFrom(f.delayed).Draw(t, "update")
	if u.snap != nil {
		if err := s.OfferSnapshot(*u.snap); err != nil {
			t.Fatal(err)
		}
	}
	offer(t, s, u.records)
}

// replace restarts a process with an empty store.
func (f *fleet) replace(t *rapid.T) {
	i, _ := f.drawProcess(t)
	f.processes[i] = config.New(rapid.IntRange(1, 20).Draw(t, "tail"))
	f.versions[i] = 0
}

// snapshot appends a snapshot of the state of a process, which may lag behind the log.
func (f *fleet) snapshot(t *rapid.T) {
	_, s := f.drawProcess(t)
	if s.Version().Number == 0 {
		return
	}
	f.lastID++
	snap := s.Current().ToSnapshot()
	f.append(t, directory.Change{ID: fmt.Sprint(f.lastID), Snapshot: &snap})
	f.newestSnapshot = max(f.newestSnapshot, snap.Version)
}

// retain applies retention: it drops old records from the log, but none after the
// version of the newest snapshot.
func (f *fleet) retain(t *rapid.T) {
	if f.newestSnapshot >= f.log.first {
		f.log.retain(rapid.Int64Range(f.log.first, f.newestSnapshot+1).Draw(t, "first"))
	}
}

// check checks that no process has gone back to a lower version, that all have the
// digest of the oracle at their version, and that withdrawn keys stay withdrawn.
func (f *fleet) check(t *rapid.T) {
	for i, s := range f.processes {
		v := s.Version()
		if v.Number < f.versions[i] {
			t.Fatalf("version of process %d fell from %d to %d", i, f.versions[i], v.Number)
		}
		f.versions[i] = v.Number
		if v.Number > 0 && v.Digest != f.digests[v.Number] {
			t.Fatalf("process %d: digest at version %d differs from the oracle's", i, v.Number)
		}
		for key, at := range f.withdrawn {
			if v.Number >= at && !s.Current().KeyWithdrawn(key) {
				t.Fatalf("process %d at version %d: key %s is valid, though withdrawn at version %d", i, v.Number, key, at)
			}
		}
	}
}

// TestFleetUnderFaults checks that lost, late, repeated and reordered updates, restarts
// of processes and retention never lead to diverging or decreasing versions, and that
// all processes reach the same state in the end.
func TestFleetUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		t.Repeat(map[string]func(*rapid.T){
			"": f.check, "change": f.change, "read": f.read, "exchange": f.exchange,
			"send": f.send, "deliver": f.deliver, "replace": f.replace, "snapshot": f.snapshot, "retain": f.retain,
		})
		for i, s := range f.processes {
			offer(t, s, f.log.all())
			if diff := cmp.Diff(f.oracle.Current().ToSnapshot(), s.Current().ToSnapshot()); diff != "" {
				t.Fatalf("process %d after the faults (-oracle +process):\n%s", i, diff)
			}
		}
	})
}
