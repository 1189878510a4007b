// Package election elects the leader of a group of processes, by conditional
// appends of one keyed record to a topic of the platform's store.
//
// The record names the leader, its process and the term. The store appends it
// only if the topic still ends where the author last read, so of two concurrent
// claims one fails. The term of a claim is greater than that offset and than all
// terms read, so terms increase.
//
// A leader may act for LeaseMs, counted from before it sent its last accepted
// record. A challenger claims after it has seen no newer record for ClaimMs.
// LeaseMs is shorter than ClaimMs, so the old leader stops before a new one starts.
//
// When the store is restored from a backup it starts a new epoch: recent records
// are lost and their offsets are reused. So each epoch has its own record under its
// own key, and a delayed write of an earlier epoch has no effect. A term has the
// epoch in its high bits and the offset in its low bits. A leader whose LeaseMs has
// not passed writes its record again at once and keeps its term. Any other process
// must assume a leader whose record was lost, so it claims only ClaimMs after it
// learned of the epoch.
package election

import (
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/epoch"
)

// offsetBits is the number of low bits of a term that hold the offset; the bits
// above them hold the store epoch.
const offsetBits = 32

// Record is the record that names the leader.
type Record struct {
	Leader  string `json:"holder"`  // name of the leader
	Process string `json:"process"` // unique to each start of the leader
	Term    int64  `json:"term"`
	// Seq numbers the records of one process from 1.
	Seq int64 `json:"seq"`
	// Released is set when the leader steps down.
	Released bool `json:"released,omitempty"`
}

// Config holds the parameters of a Candidate.
type Config struct {
	Leader  string // name of this candidate
	Process string // unique to each start of the candidate
	// LeaseMs is how long a leader may act after it sent an accepted record.
	LeaseMs clock.Millis
	// ClaimMs is how long a challenger waits for a renewal before it claims. It
	// must be greater than LeaseMs.
	ClaimMs clock.Millis
	// RenewMs is the time between two records of the leader.
	RenewMs clock.Millis
	// HandoverMs is how long a challenger waits after a release. A process that
	// steps down can lead again after two hand-overs at the earliest, which
	// must take at least LeaseMs.
	HandoverMs clock.Millis
	// SpreadMs is an extra delay of this challenger. It differs between
	// challengers, which makes conflicting claims rare.
	SpreadMs clock.Millis
}

// sentRecord describes a record that was sent but not yet read back.
type sentRecord struct {
	atMs clock.Millis
	term int64
}

// Candidate is the state of one candidate in the election. It is a pure state machine
// and not safe for concurrent use. The times passed to its methods are readings of
// one monotonic clock that also advances while the machine is suspended.
type Candidate struct {
	cfg Config
	// epoch is the store's current epoch. read is set once the record of this epoch,
	// or its absence, was read.
	epoch epoch.Epoch
	read  bool
	// last is the newest record of the epoch and lastAt its position, which is the
	// zero Position if there is no record.
	last   Record
	lastAt epoch.Position
	end    epoch.Position // end of the topic
	// readMs is when last was first read, or when the epoch was if it has no record.
	readMs clock.Millis
	// highestTerm is the highest term read in any epoch.
	highestTerm int64
	seq         int64
	unread      map[int64]sentRecord // by Record.Seq
	// This process is leader in term until untilMs. It last read back a record of
	// its own in epoch recordEpoch.
	term        int64
	untilMs     clock.Millis
	recordEpoch epoch.Epoch
}

// New returns a Candidate that has read nothing.
func New(cfg Config) *Candidate {
	return &Candidate{cfg: cfg, unread: map[int64]sentRecord{}}
}

// Epoch returns the store epoch last passed to SetEpoch.
func (t *Candidate) Epoch() epoch.Epoch { return t.epoch }

// SetEpoch reports that the store is in epoch e. If the epoch has changed, the topic
// must be read again.
func (t *Candidate) SetEpoch(now clock.Millis, e epoch.Epoch) {
	if e == t.epoch {
		return
	}
	t.epoch, t.read = e, false
	t.last, t.lastAt, t.end = Record{}, epoch.Position{}, epoch.Position{}
	t.readMs = now
}

// ApplyRecord applies the newest record of the current epoch, at position at.
func (t *Candidate) ApplyRecord(now clock.Millis, at epoch.Position, r Record) {
	if at.Epoch() != t.epoch {
		return
	}
	if !t.read || at != t.lastAt {
		t.readMs = now
	}
	t.read = true
	if t.lastAt.After(at) {
		return
	}
	t.lastAt, t.last = at, r
	t.highestTerm = max(t.highestTerm, r.Term)
	if !t.ownRecord() || r.Released {
		t.untilMs = 0
		return
	}
	if s, ok := t.unread[r.Seq]; ok {
		t.term, t.recordEpoch = s.term, t.epoch
		t.untilMs = max(t.untilMs, s.atMs+t.cfg.LeaseMs)
	}
	for seq := range t.unread {
		if seq <= r.Seq {
			delete(t.unread, seq)
		}
	}
}

// NoRecord reports that the current epoch has no record yet.
func (t *Candidate) NoRecord(now clock.Millis) {
	if !t.read {
		t.readMs = now
	}
	t.read = true
}

// ApplyEarlierEpoch applies the record of an earlier epoch. It does not show who is leader
// now, but new terms must be greater than its term.
func (t *Candidate) ApplyEarlierEpoch(r Record) { t.highestTerm = max(t.highestTerm, r.Term) }

// SetEnd reports the position at which the topic ends.
func (t *Candidate) SetEnd(next epoch.Position) {
	if next.Epoch() == t.epoch && next.After(t.end) {
		t.end = next
	}
}

// Next returns the position of the next record to read. It is the zero Position
// before the topic of the current epoch was read to its end.
func (t *Candidate) Next() epoch.Position { return t.end }

// ownRecord reports whether this process wrote the newest record.
func (t *Candidate) ownRecord() bool { return t.lastAt.Known() && t.last.Process == t.cfg.Process }

// IsLeader returns the term of this process and whether it is leader at time now.
func (t *Candidate) IsLeader(now clock.Millis) (int64, bool) {
	return t.term, now < t.untilMs
}

// Until returns when the process stops being leader unless it renews; 0 if it is
// not leader.
func (t *Candidate) Until() clock.Millis { return t.untilMs }

// DueMs returns when to send the next claim or renewal, if nothing else is read
// until then.
func (t *Candidate) DueMs(now clock.Millis) clock.Millis {
	_, leader := t.IsLeader(now)
	switch {
	case !t.read:
		return now + t.cfg.RenewMs
	case leader && t.recordEpoch != t.epoch:
		return now
	case leader:
		return t.untilMs - t.cfg.LeaseMs + t.cfg.RenewMs
	case t.lastAt.Known() && t.last.Released:
		return t.readMs + t.cfg.HandoverMs + t.cfg.SpreadMs
	}
	return t.readMs + t.cfg.ClaimMs + t.cfg.SpreadMs
}

// NextRecord returns the next claim or renewal, and the position at which the topic must
// end for the store to append it. A renewal keeps the term.
func (t *Candidate) NextRecord(now clock.Millis) (Record, epoch.Position) {
	t.seq++
	r := Record{Leader: t.cfg.Leader, Process: t.cfg.Process, Term: t.term, Seq: t.seq}
	if _, ok := t.IsLeader(now); !ok {
		r.Term = max(t.epoch.Number()<<offsetBits+t.end.Offset(), t.highestTerm) + 1
	}
	t.unread[t.seq] = sentRecord{now, r.Term}
	return r, t.end
}

// StepDown makes this process step down. It returns the record to append and the
// position at which the topic must end for it. ok is false if there is nothing to
// append: the process is not leader, or has no record in the current epoch.
func (t *Candidate) StepDown(now clock.Millis) (r Record, asOf epoch.Position, ok bool) {
	term, ok := t.IsLeader(now)
	ok = ok && t.recordEpoch == t.epoch && t.end.Known()
	t.untilMs = 0
	t.seq++
	return Record{Leader: t.cfg.Leader, Process: t.cfg.Process, Term: term, Seq: t.seq, Released: true}, t.end, ok
}

// Appended reports that record r of this process was appended at position at.
func (t *Candidate) Appended(now clock.Millis, at epoch.Position, r Record) {
	t.SetEnd(at.Next())
	t.ApplyRecord(now, at, r)
}
