// Package order tracks, from the orders stream of a shared log, the orders to
// start and stop backend servers that have no known result yet.
//
// Each order is recorded as an intent before it is sent to the platform, with an
// ID that does not change. A later holder of the capacity lease finds the intents
// without an outcome and sends them again under the same IDs, so that the same
// demand is never ordered twice.
//
// A record is ignored unless its pair of term and sequence number is greater than
// those of all records before it. An author continues from the numbers that it has
// read. So once a new holder of the lease has read back its first record, an earlier
// holder can add no intents. If an author writes a record again because the result of
// the append was unknown, only one of the two takes effect.
//
// From time to time an author writes a snapshot of the intents without an outcome, for
// readers that start after earlier records have expired.
package order

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/directory"
)

// Action is what an order does: start or stop a server.
type Action string

// Actions of orders.
const (
	Start Action = "start"
	Stop  Action = "stop"
)

// Result is how an order ended.
type Result string

// Results of orders.
const (
	// Done: the platform accepted the order, or its server list shows the effect.
	Done Result = "done"
	// Refused: the platform rejected the order.
	Refused Result = "refused"
)

// Intent is an order that is about to be sent, or was sent, to the platform.
type Intent struct {
	OrderID string `json:"orderId"`
	Action  Action `json:"action"`
	Pool    string `json:"pool"`
	Zone    string `json:"zone"`
	// Server is the server to stop; empty in an order to start one.
	Server string `json:"server,omitempty"`
	// AtMs is the log time (the timestamp that the log gave to the record) and
	// Term the term of the record that added the intent. Fold sets them.
	AtMs clock.Millis `json:"atMs,omitempty"`
	Term int64        `json:"term,omitempty"`
}

// Outcome is the result of an order. It removes the order's intent.
type Outcome struct {
	OrderID string `json:"orderId"`
	Result  Result `json:"result"`
	// Server is the server that was started or stopped; empty if the platform's
	// server list did not show it.
	Server string `json:"server,omitempty"`
}

// Snapshot lists all intents without an outcome.
type Snapshot struct {
	Pending []Intent `json:"pending"`
}

// Record is one record of the orders stream. An empty record only has the effect that
// later records of lower terms are ignored.
type Record struct {
	// Author identifies the process that wrote the record.
	Author string `json:"author"`
	// Term is the term of the capacity lease that the author holds.
	Term int64 `json:"term"`
	// Seq is the sequence number of the record within its term, from 1.
	Seq      int64     `json:"seq"`
	Intents  []Intent  `json:"intents,omitempty"`
	Outcomes []Outcome `json:"outcomes,omitempty"`
	Snapshot *Snapshot `json:"snapshot,omitempty"`
}

// UnmarshalJSON decodes and checks a record.
func (r *Record) UnmarshalJSON(data []byte) error {
	type plain Record
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return err
	}
	if p.Author == "" || p.Term < 1 || p.Seq < 1 {
		return &directory.FieldError{Field: "term", Value: p.Term, Reason: "term and seq must be positive, and author must not be empty"}
	}
	intents := p.Intents
	if p.Snapshot != nil {
		intents = slices.Concat(intents, p.Snapshot.Pending)
	}
	for _, in := range intents {
		if in.OrderID == "" || in.Pool == "" || in.Action != Start && in.Action != Stop || (in.Action == Stop) == (in.Server == "") {
			return &directory.FieldError{Field: "intents", Value: in, Reason: "must have an order ID, a pool, the action start or stop, and a server only to stop it"}
		}
	}
	for _, o := range p.Outcomes {
		if o.OrderID == "" || o.Result != Done && o.Result != Refused {
			return &directory.FieldError{Field: "outcomes", Value: o, Reason: "must have an order ID and the result done or refused"}
		}
	}
	*r = Record(p)
	return nil
}

// Fold is the state of the orders stream, computed from its records in order. It is
// not safe for concurrent use.
type Fold struct {
	next       int64             // offset of the next record
	atMs       clock.Millis      // log time of the latest record
	term       int64             // Record.Term of the last record that was not ignored
	seq        int64             // Record.Seq of that record
	pending    map[string]Intent // intents without an outcome, by order ID
	snapshotMs clock.Millis      // log time of the latest snapshot, or of the first record
	ignored    int               // see Ignored
}

// New returns the state of a stream before its first record.
func New() *Fold {
	return &Fold{next: 1, pending: map[string]Intent{}}
}

// Next returns the offset of the next record to apply.
func (f *Fold) Next() int64 { return f.next }

// Term returns the term of the last record that was not ignored, which is the greatest
// so far; 0 if there is none.
func (f *Fold) Term() int64 { return f.term }

// NextSeq returns the sequence number for the next record that an author writes in
// the term.
func (f *Fold) NextSeq(term int64) int64 {
	if term == f.term {
		return f.seq + 1
	}
	return 1
}

// SnapshotMs returns the log time of the latest snapshot, or of the first record
// if there is no snapshot; 0 before the first record.
func (f *Fold) SnapshotMs() clock.Millis { return f.snapshotMs }

// Ignored returns the number of records that were ignored because of their term and
// sequence number, or because they could not be decoded.
func (f *Fold) Ignored() int { return f.ignored }

// Apply applies the record at an offset of the stream; atMs is its log time. It ignores
// a record that was applied before. If records were missed because the log no longer
// retains them, the next snapshot corrects the state.
func (f *Fold) Apply(offset int64, atMs clock.Millis, data []byte) {
	if offset < f.next {
		return
	}
	f.next = offset + 1
	f.atMs = max(f.atMs, atMs)
	if f.snapshotMs == 0 {
		f.snapshotMs = f.atMs
	}
	var rec Record
	err := json.Unmarshal(data, &rec)
	if err != nil || rec.Term < f.term || rec.Term == f.term && rec.Seq <= f.seq {
		f.ignored++
		return
	}
	f.term, f.seq = rec.Term, rec.Seq
	if rec.Snapshot != nil {
		clear(f.pending)
		f.snapshotMs = f.atMs
		for _, in := range rec.Snapshot.Pending {
			f.pending[in.OrderID] = in
		}
	}
	for _, o := range rec.Outcomes {
		delete(f.pending, o.OrderID)
	}
	for _, in := range rec.Intents {
		in.AtMs, in.Term = f.atMs, rec.Term
		f.pending[in.OrderID] = in
	}
}

// Pending returns the intents without an outcome, ordered by order ID.
func (f *Fold) Pending() []Intent {
	return slices.SortedFunc(maps.Values(f.pending), func(a, b Intent) int { return cmp.Compare(a.OrderID, b.OrderID) })
}
