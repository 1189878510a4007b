// Package election elects the leader of a group of processes, by conditional
// appends of one keyed record to a topic of the platform's store.
//
// The record names the leader, its process and the term. A record that starts a new
// term is a claim; one that keeps the leader's term is a renewal. The store appends a
// record only if the topic still ends at the offset where its author last read the
// end, so of two concurrent claims one fails. The term of a claim is greater than that
// offset and than all terms read, so terms increase.
//
// A leader may act for LeaseMs, counted from before it sent its last accepted
// record. A challenger claims after it has read no newer record for ClaimMs.
// LeaseMs is shorter than ClaimMs, so the old leader stops before a new one starts.
//
// When the store is restored from a backup it starts a new epoch: recent records
// are lost and their offsets are reused. So each epoch has its own record under its
// own key, and a delayed write of an earlier epoch has no effect. A term has the
// epoch in its high bits and the offset in its low bits. A leader whose LeaseMs has
// not passed writes its record again at once and keeps its term. Any other process
// must assume that there is a leader whose record was lost, so it claims only after
// ClaimMs from when it first learned of the epoch.
package election

import (
	"encoding/json"

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
	// Seq is the number of the record among those of the process, from 1.
	Seq int64 `json:"seq"`
	// Released is set when the leader steps down.
	Released bool `json:"released,omitempty"`
}

// maxTerm bounds the term in a record: after that of the last store epoch no other would come.
const maxTerm = 1 << 62

// FieldError reports an invalid field of a record.
type FieldError struct{ Field, Reason string }

// Error returns the name of the field and the reason.
func (e *FieldError) Error() string { return "leader record field " + e.Field + " " + e.Reason }

// UnmarshalJSON decodes and checks a record. The error is a *FieldError if the term is out of
// range.
func (r *Record) UnmarshalJSON(data []byte) error {
	type plain Record
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return err
	}
	if p.Term < 0 || p.Term > maxTerm {
		return &FieldError{"term", "is out of range"}
	}
	*r = Record(p)
	return nil
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
	// HandoverMs is how long a challenger waits before it claims after the leader has
	// stepped down. It must be at least LeaseMs/2: a process that steps down can be
	// leader again after two such waits at the earliest, which must take LeaseMs.
	HandoverMs clock.Millis
	// SpreadMs is an extra delay of this challenger. It differs between
	// challengers, which makes conflicting claims rare.
	SpreadMs clock.Millis
}

// sentRecord is the time and the term of a record that was sent and not read back yet.
type sentRecord struct {
	atMs clock.Millis
	term int64
}

// Candidate is the state of one candidate in the election. It is a pure state machine
// and not safe for concurrent use. The times passed to its methods are readings of
// one monotonic clock that also advances while the machine is suspended.
type Candidate struct {
	cfg Config
	// epoch is the store's current epoch. read is set once it is known whether that
	// epoch has a record.
	epoch epoch.Epoch
	read  bool
	// last is the newest record of the epoch and lastAt its position, which is the
	// zero Position if there is no record.
	last   Record
	lastAt epoch.Position
	end    epoch.Position // end of the topic
	// readMs is when last was first read. If the epoch has no record, it is when that
	// was first read, or when SetEpoch reported the epoch.
	readMs clock.Millis
	// highestTerm is the highest term read in any epoch.
	highestTerm int64
	lastSeq     int64                // Record.Seq of the last record sent
	sent        map[int64]sentRecord // records sent and not read back yet, by Record.Seq
	// This process is leader in term until untilMs. It last read back a record of
	// its own in epoch recordEpoch.
	term        int64
	untilMs     clock.Millis
	recordEpoch epoch.Epoch
}

// New returns a Candidate that has read nothing.
func New(cfg Config) *Candidate {
	return &Candidate{cfg: cfg, sent: map[int64]sentRecord{}}
}

// Epoch returns the store epoch last passed to SetEpoch.
func (c *Candidate) Epoch() epoch.Epoch { return c.epoch }

// SetEpoch reports that the store's current epoch is e. If it has changed, the topic
// must be read again.
func (c *Candidate) SetEpoch(now clock.Millis, e epoch.Epoch) {
	if e == c.epoch {
		return
	}
	c.epoch, c.read = e, false
	c.last, c.lastAt, c.end = Record{}, epoch.Position{}, epoch.Position{}
	c.readMs = now
}

// ApplyRecord applies the newest record of the current epoch, at position at.
func (c *Candidate) ApplyRecord(now clock.Millis, at epoch.Position, r Record) {
	if at.Epoch() != c.epoch {
		return
	}
	if !c.read || at != c.lastAt {
		c.readMs = now
	}
	c.read = true
	if c.lastAt.After(at) {
		return
	}
	c.lastAt, c.last = at, r
	c.highestTerm = max(c.highestTerm, r.Term)
	if !c.ownRecord() || r.Released {
		c.untilMs = 0
		return
	}
	if s, ok := c.sent[r.Seq]; ok {
		c.term, c.recordEpoch = s.term, c.epoch
		c.untilMs = max(c.untilMs, s.atMs+c.cfg.LeaseMs)
	}
	for seq := range c.sent {
		if seq <= r.Seq {
			delete(c.sent, seq)
		}
	}
}

// NoRecord reports that the current epoch has no record yet.
func (c *Candidate) NoRecord(now clock.Millis) {
	if !c.read {
		c.readMs = now
	}
	c.read = true
}

// ApplyEarlierEpoch applies the record of an earlier epoch. Such a record does not show
// who is leader now, but new terms must be greater than its term.
func (c *Candidate) ApplyEarlierEpoch(r Record) { c.highestTerm = max(c.highestTerm, r.Term) }

// SetEnd reports the position at which the topic ends.
func (c *Candidate) SetEnd(next epoch.Position) {
	if next.Epoch() == c.epoch && next.After(c.end) {
		c.end = next
	}
}

// Next returns the position of the next record to read, which is the end of the topic.
// It is the zero Position until SetEnd has reported an end in the current epoch.
func (c *Candidate) Next() epoch.Position { return c.end }

// ownRecord reports whether this process wrote the newest record.
func (c *Candidate) ownRecord() bool { return c.lastAt.Known() && c.last.Process == c.cfg.Process }

// IsLeader returns the term of this process and whether it is leader at time now.
func (c *Candidate) IsLeader(now clock.Millis) (int64, bool) {
	return c.term, now < c.untilMs
}

// Until returns when the process stops being leader unless it renews; 0 if it is
// not leader.
func (c *Candidate) Until() clock.Millis { return c.untilMs }

// DueMs returns when to send the next claim or renewal, unless a record is read
// before that. Until the record of the epoch is read, it is RenewMs after now.
func (c *Candidate) DueMs(now clock.Millis) clock.Millis {
	_, leader := c.IsLeader(now)
	switch {
	case !c.read:
		return now + c.cfg.RenewMs
	case leader && c.recordEpoch != c.epoch:
		return now
	case leader:
		return c.untilMs - c.cfg.LeaseMs + c.cfg.RenewMs
	case c.lastAt.Known() && c.last.Released:
		return c.readMs + c.cfg.HandoverMs + c.cfg.SpreadMs
	}
	return c.readMs + c.cfg.ClaimMs + c.cfg.SpreadMs
}

// NextRecord returns the next claim or renewal, and the position at which the topic must
// end for the store to append it. A renewal keeps the term.
func (c *Candidate) NextRecord(now clock.Millis) (Record, epoch.Position) {
	c.lastSeq++
	r := Record{Leader: c.cfg.Leader, Process: c.cfg.Process, Term: c.term, Seq: c.lastSeq}
	if _, ok := c.IsLeader(now); !ok {
		r.Term = max(c.epoch.Number()<<offsetBits+c.end.Offset(), c.highestTerm) + 1
	}
	c.sent[c.lastSeq] = sentRecord{now, r.Term}
	return r, c.end
}

// StepDown makes this process step down. It returns the record to append and the
// position at which the topic must end for the store to append it. ok is false if
// there is nothing to append: the process is not leader, or has no record in the
// current epoch.
func (c *Candidate) StepDown(now clock.Millis) (r Record, asOf epoch.Position, ok bool) {
	term, ok := c.IsLeader(now)
	ok = ok && c.recordEpoch == c.epoch && c.end.Known()
	c.untilMs = 0
	c.lastSeq++
	return Record{Leader: c.cfg.Leader, Process: c.cfg.Process, Term: term, Seq: c.lastSeq, Released: true}, c.end, ok
}

// Appended reports that the store has appended record r of this process at position at.
func (c *Candidate) Appended(now clock.Millis, at epoch.Position, r Record) {
	c.SetEnd(at.Next())
	c.ApplyRecord(now, at, r)
}
