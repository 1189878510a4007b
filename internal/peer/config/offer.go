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

// Offer folds records that follow the current version and keeps those beyond
// a gap until the gap closes. Known records are only compared. The error is a
// *DivergenceError: when a record is not the one that was folded, the records
// after it are not taken; when a snapshot record does not agree with the
// history, it is passed over.
func (s *Store) Offer(records []logservice.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.Current().Version()
	defer func() { s.notify(before) }()
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
		case len(s.pending) < maxPending:
			s.pending[r.Offset] = r
		}
	}
	diverged = cmp.Or(diverged, s.drainPending())
	return cmp.Or(diverged, s.bridge())
}

// OfferSnapshot takes the state of another process when its version is higher.
func (s *Store) OfferSnapshot(snap directory.Snapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.Current().Version()
	defer func() { s.notify(before) }()
	if err := s.verify(snap); err != nil {
		return err
	}
	if snap.Omitted || snap.Version <= before {
		return nil
	}
	s.adopt(snap)
	return s.drainPending()
}

// drainPending folds the pending records that follow the current version.
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

// fold applies the record that follows the current version. The error reports
// a snapshot that does not agree with the history; the record is folded.
func (s *Store) fold(r logservice.Record) error {
	var diverged error
	next, verdict := s.Current().Apply(r.Offset, r.Data)
	if snap, id, ok := snapshotOf(r); ok {
		diverged = s.verify(snap)
		s.snapshot = SnapshotPlace{r.Offset, r.AtMs}
		r.Data = withoutState(id, snap)
	}
	s.tail = append(s.tail, folded{r, next.Digest(), verdict})
	if len(s.tail) > s.limit+s.limit/4 {
		s.tail = slices.Clone(s.tail[len(s.tail)-s.limit:])
	}
	s.publish(next)
	return diverged
}

// bridge continues from a pending snapshot when no record between it and its
// own place in the stream is missing.
func (s *Store) bridge() error {
	for _, offset := range slices.Sorted(maps.Keys(s.pending)) {
		snap, _, ok := snapshotOf(s.pending[offset])
		if !ok || snap.Omitted || snap.Version < s.Current().Version() {
			continue
		}
		if !s.covers(snap.Version+1, offset) {
			continue
		}
		if err := s.verify(snap); err != nil {
			return err
		}
		s.adopt(snap)
		return s.drainPending()
	}
	return nil
}

// covers reports whether all records from offset from to offset to are pending.
func (s *Store) covers(from, to int64) bool {
	for offset := from; offset < to; offset++ {
		if _, ok := s.pending[offset]; !ok {
			return false
		}
	}
	return true
}

func (s *Store) adopt(snap directory.Snapshot) {
	s.tail = nil
	s.publish(directory.FromSnapshot(snap))
}

// verify compares a snapshot with the history, as far as it is kept.
func (s *Store) verify(snap directory.Snapshot) error {
	digest, known := s.digestAt(snap.Version)
	if known && digest != snap.Digest {
		return &DivergenceError{snap.Version, digest, snap.Digest}
	}
	return nil
}

// verifyRecord compares a record with the one folded at its offset.
func (s *Store) verifyRecord(r logservice.Record) error {
	i, ok := s.index(r.Offset)
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

// publish makes next the current state.
func (s *Store) publish(next *directory.Directory) {
	if have := s.Current().Version(); next.Version() < have {
		panic(&supervise.InvariantError{
			Invariant: "configuration version only rises",
			Detail:    fmt.Sprintf("from %d to %d", have, next.Version()),
		})
	}
	s.cached = nil
	s.cur.Store(next)
}

func (s *Store) notify(before int64) {
	if s.Current().Version() == before {
		return
	}
	close(s.changed)
	s.changed = make(chan struct{})
	for _, ch := range s.subs {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

// snapshotOf returns the snapshot that a record carries and the change's id.
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

// withoutState returns the record that stands in the tail for a snapshot, so
// that the state is neither kept nor sent twice.
func withoutState(id string, snap directory.Snapshot) json.RawMessage {
	mark := snap.WithoutState()
	data, err := json.Marshal(directory.Change{ID: id, Snapshot: &mark})
	if err != nil {
		panic(&supervise.InvariantError{Invariant: "a snapshot can be encoded", Detail: err.Error()})
	}
	return data
}
