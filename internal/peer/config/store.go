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
	// defaultTailRecords is the default number of records that are kept to be sent to other
	// processes.
	defaultTailRecords = 4096
	// maxPendingRecords bounds the number of records that are kept beyond a gap.
	maxPendingRecords = 65536
	// maxUpdateRecords and maxUpdateBytes bound the records that one call of
	// RecordsSince returns.
	maxUpdateRecords = 1000
	maxUpdateBytes   = 1 << 20
)

// Store is the copy of the configuration that a process holds. It is safe for
// concurrent use; Current and Version never block.
type Store struct {
	current atomic.Pointer[directory.Directory]
	ready   atomic.Bool

	mu sync.Mutex
	// tail holds the last folded records: contiguous, up to the current version, and
	// maxTail or up to a quarter more.
	tail    []foldedRecord
	maxTail int
	// pending holds the records beyond a gap, by offset.
	pending map[int64]logservice.Record
	// subscribers are the channels of Subscribe; changed is closed and replaced
	// whenever the version changes.
	subscribers []chan struct{}
	changed     chan struct{}
	// lastSnapshot is the place of the last snapshot record that was folded.
	lastSnapshot SnapshotPlace
	// cachedSnapshot is a snapshot of the current state, nil until RecordsSince needs it.
	cachedSnapshot *directory.Snapshot
}

// foldedRecord is a record of Store.tail, with the digest of the state after it and the
// decision on it.
type foldedRecord struct {
	record  logservice.Record
	digest  uint64
	verdict directory.Verdict
}

// SnapshotPlace is the place of a snapshot record in the config stream.
type SnapshotPlace struct {
	Offset int64
	// AtMs is the log's timestamp of the record.
	AtMs clock.Millis
}

// New returns a Store at version 0 that keeps the last tail records to send to other
// processes; 0 selects the default of 4096.
func New(tail int) *Store {
	if tail <= 0 {
		tail = defaultTailRecords
	}
	s := &Store{maxTail: tail, pending: map[int64]logservice.Record{}, changed: make(chan struct{})}
	s.current.Store(directory.New())
	return s
}

// Current returns the current state.
func (s *Store) Current() *directory.Directory { return s.current.Load() }

// Version returns the current version.
func (s *Store) Version() Version {
	d := s.current.Load()
	return Version{d.Version(), d.Digest()}
}

// Ready reports whether the Store has been up to date at least once; see MarkReady.
func (s *Store) Ready() bool { return s.ready.Load() }

// MarkReady records that the Store has reached the end of the log, or the version of
// another process that is ready.
func (s *Store) MarkReady() { s.ready.Store(true) }

// Subscribe returns a channel that receives a value whenever the version has changed.
// Changes that follow each other before the value is received are combined into one.
// A subscription lasts as long as the Store.
func (s *Store) Subscribe() <-chan struct{} {
	ch := make(chan struct{}, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, ch)
	return ch
}

// Changed returns a channel that is closed when the version next changes.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Wait waits until the version is at least number. It returns the error of ctx if ctx
// ends first.
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

// Outcome is the decision of the fold on the change that a record carries.
type Outcome struct {
	Offset  int64
	Data    json.RawMessage
	Verdict directory.Verdict
}

// FindChange returns the outcome of the change with the given id: that of the first
// record that carries it at an offset of at least from. It returns false if no such
// record is kept.
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

// LastSnapshot returns the place of the last snapshot record that the Store has
// folded, or the zero value if there is none.
func (s *Store) LastSnapshot() SnapshotPlace {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastSnapshot
}

// Compare returns the relation of another process's version to the current one.
func (s *Store) Compare(v Version) Relation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.compare(v)
}

// compare implements Compare. The caller holds mu.
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

// digestAt returns the digest of the current or an earlier version, and false if it
// is not known. The caller holds mu.
func (s *Store) digestAt(number int64) (uint64, bool) {
	if have := s.Version(); number == have.Number {
		return have.Digest, true
	}
	if number == 0 {
		return 0, true
	}
	if i, ok := s.tailIndex(number); ok {
		return s.tail[i].digest, true
	}
	return 0, false
}

// tailIndex returns the index in Store.tail of the record at offset, and false if it does
// not contain the record. The caller holds mu.
func (s *Store) tailIndex(offset int64) (int, bool) {
	if len(s.tail) == 0 {
		return 0, false
	}
	i := offset - s.tail[0].record.Offset
	return int(i), i >= 0 && i < int64(len(s.tail))
}

// RecordsSince returns the first records above version, at most 1000 and, beyond the
// first one, at most 1 MiB in all. If those records are no longer kept, it returns a
// snapshot of the current state instead; if there are none, it returns nil for both.
func (s *Store) RecordsSince(version int64) ([]logservice.Record, *directory.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version >= s.Current().Version() {
		return nil, nil
	}
	if i, ok := s.tailIndex(version + 1); ok {
		return firstRecords(s.tail[i:]), nil
	}
	if s.cachedSnapshot == nil {
		snap := s.Current().ToSnapshot()
		s.cachedSnapshot = &snap
	}
	return nil, s.cachedSnapshot
}

// firstRecords returns the first records of tail: at least one, and no more than
// maxUpdateRecords and maxUpdateBytes.
func firstRecords(tail []foldedRecord) []logservice.Record {
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
