package config

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"

	"github.com/damaskport/damaskport/internal/platform/logservice"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/directory"
)

const (
	// defaultTail is the number of records kept for other processes.
	defaultTail = 4096
	// maxPending bounds the records kept beyond a gap.
	maxPending = 65536
	// maxUpdateRecords and maxUpdateBytes bound the answer of RecordsSince.
	maxUpdateRecords = 1000
	maxUpdateBytes   = 1 << 20
)

// Store is a process's copy of the configuration. It is safe for concurrent
// use; Current and Version never block.
type Store struct {
	cur   atomic.Pointer[directory.Directory]
	ready atomic.Bool

	mu       sync.Mutex
	tail     []folded // contiguous, the last one at the current version
	limit    int
	pending  map[int64]logservice.Record // beyond a gap
	subs     []chan struct{}
	changed  chan struct{}
	snapshot SnapshotPlace
	cached   *directory.Snapshot
}

// folded is a record of the tail with the state that it led to.
type folded struct {
	record  logservice.Record
	digest  uint64
	verdict directory.Verdict
}

// SnapshotPlace tells where the last snapshot stands in the stream.
type SnapshotPlace struct {
	Offset int64
	AtMs   clock.Millis
}

// New returns a Store at version 0 that keeps up to tail records; 0 takes a default.
func New(tail int) *Store {
	if tail <= 0 {
		tail = defaultTail
	}
	s := &Store{limit: tail, pending: map[int64]logservice.Record{}, changed: make(chan struct{})}
	s.cur.Store(directory.New())
	return s
}

// Current returns the current state.
func (s *Store) Current() *directory.Directory { return s.cur.Load() }

// Version returns the current version.
func (s *Store) Version() Version {
	d := s.cur.Load()
	return Version{d.Version(), d.Digest()}
}

// Ready reports whether the Store has been current once.
func (s *Store) Ready() bool { return s.ready.Load() }

// MarkReady records that the Store has reached the version of the log or of
// another process that was ready.
func (s *Store) MarkReady() { s.ready.Store(true) }

// Subscribe returns a channel that receives a value after the version has
// changed, for as long as the Store lives; several changes are told as one.
func (s *Store) Subscribe() <-chan struct{} {
	ch := make(chan struct{}, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subs = append(s.subs, ch)
	return ch
}

// Changed returns a channel that is closed at the next change of the version.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Wait returns when the version is at least number, or the error of ctx.
func (s *Store) Wait(ctx context.Context, number int64) error {
	for {
		changed := s.Changed()
		if s.Current().Version() >= number {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// Outcome is the fold's decision about a record.
type Outcome struct {
	Offset  int64
	Data    json.RawMessage
	Verdict directory.Verdict
}

// FindChange returns the outcome of the first record in the tail at an offset
// of at least from that carries the change id.
func (s *Store) FindChange(id string, from int64) (Outcome, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.tail {
		if f.record.Offset >= from && f.verdict.ChangeID == id {
			return Outcome{f.record.Offset, f.record.Data, f.verdict}, true
		}
	}
	return Outcome{}, false
}

// LastSnapshot returns the place of the last snapshot that the Store has seen
// in the stream, or the zero value.
func (s *Store) LastSnapshot() SnapshotPlace {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot
}

// Compare relates the version of another process to the current one.
func (s *Store) Compare(v Version) Relation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.compare(v)
}

func (s *Store) compare(v Version) Relation {
	have := s.Version()
	if v.Number > have.Number {
		return PeerAhead
	}
	digest, known := s.digestAt(v.Number)
	switch {
	case !known:
		return Unknown
	case digest != v.Digest:
		return Diverged
	case v.Number == have.Number:
		return Equal
	default:
		return PeerBehind
	}
}

// digestAt returns the digest of an earlier version, if it is still known.
func (s *Store) digestAt(number int64) (uint64, bool) {
	if have := s.Version(); number == have.Number {
		return have.Digest, true
	}
	if number == 0 {
		return 0, true
	}
	if i, ok := s.index(number); ok {
		return s.tail[i].digest, true
	}
	return 0, false
}

// index returns the place in the tail of the record at offset.
func (s *Store) index(offset int64) (int, bool) {
	if len(s.tail) == 0 {
		return 0, false
	}
	i := offset - s.tail[0].record.Offset
	return int(i), i >= 0 && i < int64(len(s.tail))
}

// RecordsSince returns the first records above version, or the whole current
// state when they are no longer kept, or nothing when there are none.
func (s *Store) RecordsSince(version int64) ([]logservice.Record, *directory.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version >= s.Current().Version() {
		return nil, nil
	}
	if i, ok := s.index(version + 1); ok {
		return firstRecords(s.tail[i:]), nil
	}
	if s.cached == nil {
		snap := s.Current().ToSnapshot()
		s.cached = &snap
	}
	return nil, s.cached
}

// firstRecords returns the first records of tail, at least one, within the
// bounds of one answer.
func firstRecords(tail []folded) []logservice.Record {
	var out []logservice.Record
	size := 0
	for _, f := range tail {
		size += len(f.record.Data)
		if len(out) > 0 && (size > maxUpdateBytes || len(out) == maxUpdateRecords) {
			break
		}
		out = append(out, f.record)
	}
	return out
}
