// Package tenure decides who holds the duties of one holder, by conditional
// writes to one record.
//
// The record names the holder, its process and the term. A claim is written
// only if the topic still ends where its author last read, so of two claims
// one fails. The term of a claim is above that offset, so terms grow.
//
// A holder acts for HoldMs from before it sent its last accepted record; a
// challenger claims when it has seen the same record for ClaimMs. HoldMs is the
// shorter one, so the first ends before the second begins.
package tenure

import (
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// Record is the content of the topic's record of the holder.
type Record struct {
	Holder  string `json:"holder"`
	Process string `json:"process"` // differs for each start of a holder
	Term    int64  `json:"term"`
	// Seq counts the records of one process.
	Seq int64 `json:"seq"`
	// Released is set when the holder gives the duties away.
	Released bool `json:"released,omitempty"`
}

// Config holds the parameters of a Tenure.
type Config struct {
	Holder  string
	Process string
	// HoldMs is how long a holder acts after it sent an accepted record.
	HoldMs clock.Millis
	// ClaimMs is how long a challenger waits for a renewal.
	ClaimMs clock.Millis
	// RenewMs is the time between two records of the holder.
	RenewMs clock.Millis
	// HandoverMs is how long a challenger waits after a release. Two of them in
	// a row last as long as a term must be away from its holder.
	HandoverMs clock.Millis
	// SpreadMs delays this challenger, so that few claims meet.
	SpreadMs clock.Millis
}

// Tenure is the state machine of one process. It has a single owner. Times
// are of one monotonic clock that counts suspended time.
type Tenure struct {
	cfg     Config
	last    Record
	offset  int64 // of last, -1 for none
	next    int64 // where the topic ends
	sawMs   clock.Millis
	read    bool
	seq     int64
	sent    map[int64]clock.Millis
	untilMs clock.Millis
}

// New returns a Tenure that has read nothing.
func New(cfg Config) *Tenure {
	return &Tenure{cfg: cfg, offset: -1, sent: map[int64]clock.Millis{}}
}

// Seen applies the newest record, with its offset; an offset below 0 tells that
// there is none.
func (t *Tenure) Seen(now clock.Millis, offset int64, r Record) {
	if !t.read || offset != t.offset {
		t.sawMs = now
	}
	t.read = true
	if offset < t.offset {
		return
	}
	t.offset, t.last = offset, r
	if !t.mine() || r.Released {
		t.untilMs = 0
		return
	}
	if sentMs, ok := t.sent[r.Seq]; ok {
		t.untilMs = max(t.untilMs, sentMs+t.cfg.HoldMs)
	}
	for seq := range t.sent {
		if seq <= r.Seq {
			delete(t.sent, seq)
		}
	}
}

// End tells where the topic ends.
func (t *Tenure) End(next int64) { t.next = max(t.next, next) }

// Next returns the offset of the next record to read.
func (t *Tenure) Next() int64 { return t.next }

func (t *Tenure) mine() bool { return t.offset >= 0 && t.last.Process == t.cfg.Process }

// Holds reports whether this process may act, and its term.
func (t *Tenure) Holds(now clock.Millis) (int64, bool) {
	return t.last.Term, t.mine() && now < t.untilMs
}

// Until returns when the process must stop to act unless it renews.
func (t *Tenure) Until() clock.Millis { return t.untilMs }

// Last returns the newest record.
func (t *Tenure) Last() Record { return t.last }

// DueMs returns when Write has a record to send.
func (t *Tenure) DueMs(now clock.Millis) clock.Millis {
	switch {
	case !t.read:
		return now + t.cfg.RenewMs
	case t.mine() && !t.last.Released && now < t.untilMs:
		return t.untilMs - t.cfg.HoldMs + t.cfg.RenewMs
	case t.offset < 0:
		return t.sawMs + t.cfg.SpreadMs
	case t.last.Released:
		return t.sawMs + t.cfg.HandoverMs + t.cfg.SpreadMs
	}
	return t.sawMs + t.cfg.ClaimMs + t.cfg.SpreadMs
}

// Write returns the record to append and the offset at which the topic must
// end for it. A renewal keeps the term.
func (t *Tenure) Write(now clock.Millis) (Record, int64) {
	t.seq++
	t.sent[t.seq] = now
	r := Record{Holder: t.cfg.Holder, Process: t.cfg.Process, Term: t.last.Term, Seq: t.seq}
	if _, ok := t.Holds(now); !ok {
		r.Term = max(t.next, t.last.Term) + 1
	}
	return r, t.next
}

// Release returns the record that gives the duties away; ok is false when this
// process does not hold them.
func (t *Tenure) Release(now clock.Millis) (r Record, asOf int64, ok bool) {
	term, ok := t.Holds(now)
	t.untilMs = 0
	t.seq++
	return Record{Holder: t.cfg.Holder, Process: t.cfg.Process, Term: term, Seq: t.seq, Released: true}, t.next, ok
}

// Appended applies the answer that a record was appended at offset.
func (t *Tenure) Appended(now clock.Millis, offset int64, r Record) {
	t.End(offset + 1)
	t.Seen(now, offset, r)
}
