package config

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/damaskport/damaskport/internal/platform/logservice"
	"github.com/damaskport/damaskport/internal/runtime/supervise"
	"github.com/damaskport/damaskport/internal/state/directory"
)

// Offer folds those records that directly follow the current version. Records beyond
// a gap are kept until the records in between arrive. Records at or below the
// current version are only compared with those already folded. A non-nil error is a
// *DivergenceError: either a record differs from the one folded at its offset, and
// Offer stops there; or a snapshot record does not agree with the history, and Offer
// continues without using that snapshot.
func (s *Store) Offer(records []logservice.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.Current().Version()
	defer func() { s.notifyChanged(before) }()
	var diverged error
	for _, r := range records {
		version := s.Current().Version()
		switch {
		case r.Offset <= version:
			if err := s.verifyRecord(r); err != nil {
				return err
			}
		case r.Offset == version+1:
			diverged = cmp.Or(diverged, s.fold(r))
		case len(s.pending) < maxPendingRecords:
			s.pending[r.Offset] = r
		}
	}
	diverged = cmp.Or(diverged, s.drainPending())
	return cmp.Or(diverged, s.adoptPendingSnapshot())
}

// OfferSnapshot replaces the current state by that of another process if the latter
// has a higher version. The error is a *DivergenceError if the snapshot does not
// agree with the local history.
func (s *Store) OfferSnapshot(snap directory.Snapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.Current().Version()
	defer func() { s.notifyChanged(before) }()
	if err := s.verifySnapshot(snap); err != nil {
		return err
	}
	if snap.Omitted || snap.Version <= before {
		return nil
	}
	s.adopt(snap)
	return s.drainPending()
}

// drainPending folds the pending records that directly follow the current version
// and drops those at or below it. The caller holds mu.
func (s *Store) drainPending() error {
	if len(s.pending) == 0 {
		return nil
	}
	var diverged error
	for {
		r, ok := s.pending[s.Current().Version()+1]
		if !ok {
			break
		}
		delete(s.pending, r.Offset)
		diverged = cmp.Or(diverged, s.fold(r))
	}
	version := s.Current().Version()
	maps.DeleteFunc(s.pending, func(offset int64, _ logservice.Record) bool { return offset <= version })
	return diverged
}

// fold folds the record that directly follows the current version into the state.
// The error reports a snapshot that does not agree with the history; the record is
// folded all the same. The caller holds mu.
func (s *Store) fold(r logservice.Record) error {
	var diverged error
	next, verdict := s.Current().Apply(r.Offset, r.Data)
	if snap, id, ok := snapshotOf(r); ok {
		diverged = s.verifySnapshot(snap)
		s.lastSnapshot = SnapshotPlace{r.Offset, r.AtMs}
		r.Data = withoutState(id, snap)
	}
	s.tail = append(s.tail, foldedRecord{r, next.Digest(), verdict})
	if len(s.tail) > s.maxTail+s.maxTail/4 {
		s.tail = slices.Clone(s.tail[len(s.tail)-s.maxTail:])
	}
	s.publish(next)
	return diverged
}

// adoptPendingSnapshot closes a gap in the records: it adopts the state of a pending
// snapshot record if all records from the snapshot's version up to that record are
// pending. The caller holds mu.
func (s *Store) adoptPendingSnapshot() error {
	for _, offset := range slices.Sorted(maps.Keys(s.pending)) {
		snap, _, ok := snapshotOf(s.pending[offset])
		if !ok || snap.Omitted || snap.Version < s.Current().Version() {
			continue
		}
		if !s.allPending(snap.Version+1, offset) {
			continue
		}
		if err := s.verifySnapshot(snap); err != nil {
			return err
		}
		s.adopt(snap)
		return s.drainPending()
	}
	return nil
}

// allPending reports whether all records from offset from up to, but not including,
// offset to are pending.
func (s *Store) allPending(from, to int64) bool {
	for offset := from; offset < to; offset++ {
		if _, ok := s.pending[offset]; !ok {
			return false
		}
	}
	return true
}

// adopt replaces the state by that of snap and empties Store.tail.
func (s *Store) adopt(snap directory.Snapshot) {
	s.tail = nil
	s.publish(directory.FromSnapshot(snap))
}

// verifySnapshot returns a *DivergenceError if the digest of snap differs from the local one
// of the same version. It returns nil if that digest is no longer known.
func (s *Store) verifySnapshot(snap directory.Snapshot) error {
	digest, known := s.digestAt(snap.Version)
	if known && digest != snap.Digest {
		return &DivergenceError{snap.Version, digest, snap.Digest}
	}
	return nil
}

// verifyRecord returns a *DivergenceError if r differs from the record folded at its
// offset. It returns nil if that record is no longer kept.
func (s *Store) verifyRecord(r logservice.Record) error {
	i, ok := s.tailIndex(r.Offset)
	if !ok {
		return nil
	}
	have := s.tail[i].record.Data
	got := directory.Canonical(r.Data)
	if snap, id, isSnapshot := snapshotOf(r); isSnapshot {
		got = withoutState(id, snap)
	}
	if string(directory.Canonical(have)) != string(got) {
		return &DivergenceError{Version: r.Offset, Have: s.tail[i].digest}
	}
	return nil
}

// publish makes next the current state. It panics if that lowers the version.
func (s *Store) publish(next *directory.Directory) {
	if have := s.Current().Version(); next.Version() < have {
		panic(&supervise.InvariantError{
			Invariant: "configuration version only rises",
			Detail:    fmt.Sprintf("from %d to %d", have, next.Version()),
		})
	}
	s.cachedSnapshot = nil
	s.current.Store(next)
}

// notifyChanged notifies subscribers and waiters if the current version differs from
// oldVersion, the version at the start of the operation. The caller holds mu.
func (s *Store) notifyChanged(oldVersion int64) {
	if s.Current().Version() == oldVersion {
		return
	}
	close(s.changed)
	s.changed = make(chan struct{})
	for _, ch := range s.subscribers {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

// snapshotOf returns the snapshot that a record carries and the id of its change. It
// returns false if the record carries none.
func snapshotOf(r logservice.Record) (directory.Snapshot, string, bool) {
	var c directory.Change
	if !bytes.Contains(r.Data, []byte(`"snapshot"`)) {
		return directory.Snapshot{}, "", false
	}
	if json.Unmarshal(r.Data, &c) != nil || c.Snapshot == nil {
		return directory.Snapshot{}, "", false
	}
	return *c.Snapshot, c.ID, true
}

// withoutState returns the data of a snapshot record without the state. Store.tail, the
// last folded records, keeps snapshot records in this form, since the Store already
// holds the state and would otherwise send it to peers a second time.
func withoutState(id string, snap directory.Snapshot) json.RawMessage {
	mark := snap.WithoutState()
	data, err := json.Marshal(directory.Change{ID: id, Snapshot: &mark})
	if err != nil {
		panic(&supervise.InvariantError{Invariant: "a snapshot can be encoded", Detail: err.Error()})
	}
	return data
}
