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

// fleet is a set of processes around one log. The oracle folds every record
// at once and in order.
type fleet struct {
	log       *memoryLog
	oracle    *config.Store
	digests   map[int64]uint64 // the oracle's, by version
	processes []*config.Store
	versions  []int64 // the last version seen of each process
	ids       int
	covered   int64 // highest version of a snapshot in the log
	withdrawn map[string]int64
	delayed   []update
}

// update is what one process sends another.
type update struct {
	records []logservice.Record
	snap    *directory.Snapshot
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{log: newMemoryLog(clock.NewManual(0, 0)), oracle: config.New(0), digests: map[int64]uint64{}, withdrawn: map[string]int64{}}
	f.append(t, firstChange())
	for range 4 {
		f.processes = append(f.processes, config.New(rapid.IntRange(1, 20).Draw(t, "tail")))
		f.versions = append(f.versions, 0)
	}
	return f
}

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

func (f *fleet) draw(t *rapid.T) (int, *config.Store) {
	i := rapid.IntRange(0, len(f.processes)-1).Draw(t, "process")
	return i, f.processes[i]
}

// change appends a change that an operator makes at one process, at times
// twice, as after a lost answer.
func (f *fleet) change(t *rapid.T) {
	_, s := f.draw(t)
	f.ids++
	c := shareChange(fmt.Sprint(f.ids), s.Version().Number, f.ids)
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

// read brings a process some records of the log.
func (f *fleet) read(t *rapid.T) {
	_, s := f.draw(t)
	records := f.log.all()
	from := slices.IndexFunc(records, func(r logservice.Record) bool { return r.Offset > s.Version().Number })
	if from >= 0 {
		offer(t, s, records[from:rapid.IntRange(from+1, len(records)).Draw(t, "to")])
	}
}

// exchange brings a process what another one has.
func (f *fleet) exchange(t *rapid.T) {
	_, s := f.draw(t)
	_, peer := f.draw(t)
	if got := peer.Compare(s.Version()); got == config.Diverged {
		t.Fatalf("%v and %v diverged", peer.Version(), s.Version())
	}
	catchUp(t, s, peer)
}

// send takes an update for a process, which arrives later or never.
func (f *fleet) send(t *rapid.T) {
	_, s := f.draw(t)
	_, peer := f.draw(t)
	records, snap := peer.RecordsSince(s.Version().Number)
	f.delayed = append(f.delayed, update{records, snap})
}

// deliver brings a process a delayed update, perhaps another one's.
func (f *fleet) deliver(t *rapid.T) {
	_, s := f.draw(t)
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

func (f *fleet) replace(t *rapid.T) {
	i, _ := f.draw(t)
	f.processes[i] = config.New(rapid.IntRange(1, 20).Draw(t, "tail"))
	f.versions[i] = 0
}

// snapshot appends the state of a process, which may lag behind the log.
func (f *fleet) snapshot(t *rapid.T) {
	_, s := f.draw(t)
	if s.Version().Number == 0 {
		return
	}
	f.ids++
	snap := s.Current().ToSnapshot()
	f.append(t, directory.Change{ID: fmt.Sprint(f.ids), Snapshot: &snap})
	f.covered = max(f.covered, snap.Version)
}

// retain drops records, but none after the version of the newest snapshot.
func (f *fleet) retain(t *rapid.T) {
	if f.covered >= f.log.first {
		f.log.retain(rapid.Int64Range(f.log.first, f.covered+1).Draw(t, "first"))
	}
}

func (f *fleet) check(t *rapid.T) {
	for i, s := range f.processes {
		v := s.Version()
		if v.Number < f.versions[i] {
			t.Fatalf("process %d went from version %d to %d", i, f.versions[i], v.Number)
		}
		f.versions[i] = v.Number
		if v.Number > 0 && v.Digest != f.digests[v.Number] {
			t.Fatalf("process %d has another digest at version %d", i, v.Number)
		}
		for key, at := range f.withdrawn {
			if v.Number >= at && !s.Current().KeyWithdrawn(key) {
				t.Fatalf("process %d at version %d: key %s, withdrawn at %d, is valid", i, v.Number, key, at)
			}
		}
	}
}

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
