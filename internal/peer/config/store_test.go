package config_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/damaskport/damaskport/internal/peer/config"
	"github.com/damaskport/damaskport/internal/platform/logservice"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/directory"
)

// TestMain fixes the seed of the property-based tests, unless the flag -rapid.seed sets
// another one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.steps", "80")
	flag.Parse()
	fmt.Println("rapid.seed:", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

// historyWithSnapshots returns the records of 30 changes, some of them rejected. Every
// tenth one is followed by one more change and a snapshot that is two versions old.
func historyWithSnapshots(t testing.TB) []logservice.Record {
	log := newMemoryLog(clock.NewManual(0, 0))
	appendChange(t, log, firstChange())
	source := config.New(0)
	offer(t, source, log.all())
	for i := range 30 {
		basedOn := source.Current().Version() - int64(i%3)/2
		if i%10 == 9 {
			snap := source.Current().ToSnapshot()
			appendChange(t, log, shareChange(fmt.Sprint("a", i), basedOn, i+2))
			appendChange(t, log, shareChange(fmt.Sprint("b", i), basedOn+1, i+3))
			appendChange(t, log, directory.Change{ID: fmt.Sprint("snap", i), Snapshot: &snap})
		} else {
			appendChange(t, log, shareChange(fmt.Sprint(i), basedOn, i+2))
		}
		offer(t, source, log.all())
	}
	return log.all()
}

func offer(t rapid.TB, s *config.Store, records []logservice.Record) {
	t.Helper()
	if err := s.Offer(records); err != nil {
		t.Fatal(err)
	}
}

// TestStateDoesNotDependOnRecordOrder checks that a Store reaches the same state when
// records arrive in any order, more than once, from the log and from other processes.
func TestStateDoesNotDependOnRecordOrder(t *testing.T) {
	records := historyWithSnapshots(t)
	reference := config.New(0)
	offer(t, reference, records)
	want := reference.Current().ToSnapshot()
	rapid.Check(t, func(t *rapid.T) {
		s := config.New(rapid.IntRange(1, 40).Draw(t, "tail"))
		mixed := rapid.Permutation(records).Draw(t, "order")
		last := int64(0)
		for len(mixed) > 0 {
			n := rapid.IntRange(1, len(mixed)).Draw(t, "chunk")
			switch rapid.IntRange(0, 5).Draw(t, "source") {
			case 0:
				offer(t, s, rapid.Permutation(records[:n]).Draw(t, "again"))
			case 1:
				catchUp(t, s, drawPrefix(t, records))
			default:
				offer(t, s, mixed[:n])
				mixed = mixed[n:]
			}
			if v := s.Current().Version(); v < last {
				t.Fatalf("version fell from %d to %d", last, v)
			}
			last = s.Current().Version()
		}
		if diff := cmp.Diff(want, s.Current().ToSnapshot()); diff != "" {
			t.Fatalf("state (-in order +mixed):\n%s", diff)
		}
	})
}

// drawPrefix returns a Store that has folded a random number of the first records.
func drawPrefix(t *rapid.T, records []logservice.Record) *config.Store {
	peer := config.New(5)
	offer(t, peer, records[:rapid.IntRange(1, len(records)).Draw(t, "peerHas")])
	return peer
}

// catchUp offers the records and snapshots of peer to s until s has its version.
func catchUp(t rapid.TB, s, peer *config.Store) {
	t.Helper()
	for s.Version().Number < peer.Version().Number {
		before := s.Version().Number
		records, snap := peer.RecordsSince(before)
		if snap != nil {
			if err := s.OfferSnapshot(*snap); err != nil {
				t.Fatal(err)
			}
		}
		offer(t, s, records)
		if s.Version().Number == before {
			t.Fatalf("update of the peer at version %d did not raise version %d", peer.Version().Number, before)
		}
	}
}

// TestFreshStoreContinuesFromSnapshotPastRetention checks, for every first record that
// the log may retain, that a new Store reaches the last version exactly if a snapshot
// replaces the records that were dropped, and otherwise stays at version 0.
func TestFreshStoreContinuesFromSnapshotPastRetention(t *testing.T) {
	records := historyWithSnapshots(t)
	reference := config.New(0)
	offer(t, reference, records)
	for first := 1; first <= len(records); first++ {
		s := config.New(0)
		for _, r := range records[first-1:] {
			offer(t, s, []logservice.Record{r})
		}
		covered := first == 1 || snapshotCoversDropped(records[first-1:])
		if got := s.Version() == reference.Version(); got != covered {
			t.Errorf("records from %d on: version %d, covered by a snapshot: %v", first, s.Version().Number, covered)
		}
		if !covered && s.Version().Number != 0 {
			t.Errorf("records from %d on: version %d without the records before", first, s.Version().Number)
		}
	}
}

// snapshotCoversDropped reports whether records contain a snapshot that covers all
// records before the first of them.
func snapshotCoversDropped(records []logservice.Record) bool {
	for _, r := range records {
		var c directory.Change
		if c.UnmarshalJSON(r.Data) == nil && c.Snapshot != nil && c.Snapshot.Version+1 >= records[0].Offset {
			return true
		}
	}
	return false
}

// TestStoreDetectsDivergence checks that Compare, Offer and OfferSnapshot detect that
// another process has folded another record at the same offset.
func TestStoreDetectsDivergence(t *testing.T) {
	records := filledLog(t, clock.NewManual(0, 0), 5).all()
	other := append([]logservice.Record(nil), records...)
	other[3].Data = encoded(t, shareChange("other", 3, 99))
	a, b := config.New(0), config.New(0)
	offer(t, a, records)
	offer(t, b, other[:5])
	if got := a.Compare(b.Version()); got != config.Diverged {
		t.Errorf("Compare = %v, want diverged", got)
	}
	var diverged *config.DivergenceError
	if err := a.Offer(other); !errors.As(err, &diverged) || diverged.Version != 4 {
		t.Errorf("Offer error = %v, want divergence at 4", err)
	}
	if err := a.OfferSnapshot(b.Current().ToSnapshot()); !errors.As(err, &diverged) {
		t.Errorf("OfferSnapshot error = %v, want divergence", err)
	}
	for v, want := range map[config.Version]config.Relation{
		a.Version():  config.Equal,
		{Number: 99}: config.PeerAhead,
		{Number: 0}:  config.PeerBehind,
	} {
		if got := a.Compare(v); got != want {
			t.Errorf("Compare(%d) = %v, want %v", v.Number, got, want)
		}
	}
}

// TestDivergedSnapshotDoesNotStopReading checks that a snapshot record with a
// wrong digest is reported, and that the records after it are folded all the same.
func TestDivergedSnapshotDoesNotStopReading(t *testing.T) {
	log := filledLog(t, clock.NewManual(0, 0), 3)
	s := config.New(0)
	offer(t, s, log.all())
	snap := s.Current().ToSnapshot()
	snap.Digest++
	appendChange(t, log, directory.Change{ID: "bad", Snapshot: &snap})
	last := appendChange(t, log, shareChange("after", 4, 50))
	var diverged *config.DivergenceError
	if err := s.Offer(log.all()); !errors.As(err, &diverged) {
		t.Errorf("Offer error = %v, want divergence", err)
	}
	if got := s.Version().Number; got != last {
		t.Errorf("version = %d, want %d", got, last)
	}
	if a, _ := s.Current().Account("a"); a.Share != 50 {
		t.Errorf("share = %d, want 50", a.Share)
	}
}
