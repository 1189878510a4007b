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
//
// When the store comes back from a copy, records are gone, and their offsets are
// given out again. So each era of the store has a record of its own, under a key of
// its own: a write of an earlier era that lands late changes nothing. The term of a
// claim holds the era above the offset. A holder that still holds by its own clock
// writes its record anew at once and goes on under its term; to anyone else a holder
// may act that it cannot see, and it claims ClaimMs after it came to know the era.
package tenure

import (
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/era"
)

// offsetBits are the bits of a term for the offset; the era's number is above them.
const offsetBits = 32

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

// sent is a record on its way.
type sent struct {
	atMs clock.Millis
	term int64
}

// Tenure is the state machine of one process. It has a single owner. Times
// are of one monotonic clock that counts suspended time.
type Tenure struct {
	cfg Config
	// era is the present one of the store, and read tells that its record was
	// looked for.
	era  era.Era
	read bool
	// last is the newest record of the era, at at; nowhere for none.
	last  Record
	at    era.Position
	next  era.Position // where the topic ends
	sawMs clock.Millis // when last was seen first, or the era when there is none
	// highest is the highest term of any era that was seen.
	highest int64
	seq     int64
	sent    map[int64]sent
	// The own hold: its term, until when it lasts, and the era in which it was
	// written last.
	term    int64
	untilMs clock.Millis
	held    era.Era
}

// New returns a Tenure that has read nothing.
func New(cfg Config) *Tenure {
	return &Tenure{cfg: cfg, sent: map[int64]sent{}}
}

// Era returns the era of the store that the Tenure knows.
func (t *Tenure) Era() era.Era { return t.era }

// Enter tells that the store is in era e. In another one than before nothing is
// known of the topic.
func (t *Tenure) Enter(now clock.Millis, e era.Era) {
	if e == t.era {
		return
	}
	t.era, t.read = e, false
	t.last, t.at, t.next = Record{}, era.Position{}, era.Position{}
	t.sawMs = now
}

// Seen applies the newest record of the present era.
func (t *Tenure) Seen(now clock.Millis, at era.Position, r Record) {
	if at.Era() != t.era {
		return
	}
	if !t.read || at != t.at {
		t.sawMs = now
	}
	t.read = true
	if t.at.After(at) {
		return
	}
	t.at, t.last = at, r
	t.highest = max(t.highest, r.Term)
	if !t.mine() || r.Released {
		t.untilMs = 0
		return
	}
	if s, ok := t.sent[r.Seq]; ok {
		t.term, t.held = s.term, t.era
		t.untilMs = max(t.untilMs, s.atMs+t.cfg.HoldMs)
	}
	for seq := range t.sent {
		if seq <= r.Seq {
			delete(t.sent, seq)
		}
	}
}

// None tells that the present era has no record yet.
func (t *Tenure) None(now clock.Millis) {
	if !t.read {
		t.sawMs = now
	}
	t.read = true
}

// Earlier applies the record of an earlier era: who holds is not known by it, but
// terms grow.
func (t *Tenure) Earlier(r Record) { t.highest = max(t.highest, r.Term) }

// End tells where the topic ends.
func (t *Tenure) End(next era.Position) {
	if next.Era() == t.era && next.After(t.next) {
		t.next = next
	}
}

// Next returns the position of the next record to read; nowhere before the topic was
// read whole.
func (t *Tenure) Next() era.Position { return t.next }

func (t *Tenure) mine() bool { return t.at.Known() && t.last.Process == t.cfg.Process }

// Holds reports whether this process may act, and its term.
func (t *Tenure) Holds(now clock.Millis) (int64, bool) {
	return t.term, now < t.untilMs
}

// Until returns when the process must stop to act unless it renews.
func (t *Tenure) Until() clock.Millis { return t.untilMs }

// DueMs returns when Write has a record to send.
func (t *Tenure) DueMs(now clock.Millis) clock.Millis {
	_, holds := t.Holds(now)
	switch {
	case !t.read:
		return now + t.cfg.RenewMs
	case holds && t.held != t.era:
		return now
	case holds:
		return t.untilMs - t.cfg.HoldMs + t.cfg.RenewMs
	case t.at.Known() && t.last.Released:
		return t.sawMs + t.cfg.HandoverMs + t.cfg.SpreadMs
	}
	return t.sawMs + t.cfg.ClaimMs + t.cfg.SpreadMs
}

// Write returns the record to append and the position at which the topic must
// end for it. A renewal keeps the term.
func (t *Tenure) Write(now clock.Millis) (Record, era.Position) {
	t.seq++
	r := Record{Holder: t.cfg.Holder, Process: t.cfg.Process, Term: t.term, Seq: t.seq}
	if _, ok := t.Holds(now); !ok {
		r.Term = max(t.era.Number()<<offsetBits+t.next.Offset(), t.highest) + 1
	}
	t.sent[t.seq] = sent{now, r.Term}
	return r, t.next
}

// Release returns the record that gives the duties away; ok is false when this
// process does not hold them, or has no record in the present era.
func (t *Tenure) Release(now clock.Millis) (r Record, asOf era.Position, ok bool) {
	term, ok := t.Holds(now)
	ok = ok && t.held == t.era && t.next.Known()
	t.untilMs = 0
	t.seq++
	return Record{Holder: t.cfg.Holder, Process: t.cfg.Process, Term: term, Seq: t.seq, Released: true}, t.next, ok
}

// Appended applies the answer that a record was appended at a position.
func (t *Tenure) Appended(now clock.Millis, at era.Position, r Record) {
	t.End(at.Next())
	t.Seen(now, at, r)
}
