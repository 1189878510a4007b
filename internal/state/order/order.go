// Package order folds the orders stream: which orders for backend servers are
// intended and have no known result.
//
// Each order is recorded as an intent before it is sent, under an id that it
// keeps. A later holder of the capacity lease finds the intents without an
// outcome and goes on with them under the same ids, so that one need never
// leads to two different orders.
//
// A record is void unless its term and number are greater than those of all
// records before it, and an author numbers by what it has read. So no intent
// of an earlier holder is added once a holder has read back its first record,
// and of two records that an author wrote because it did not know whether the
// first one was recorded, only one counts.
package order

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/directory"
)

// Action is what an order does.
type Action string

// Actions of orders.
const (
	Start Action = "start"
	Stop  Action = "stop"
)

// Result is the known end of an order.
type Result string

// Results of orders.
const (
	Done    Result = "done"
	Refused Result = "refused"
)

// Intent is an order that is or will be sent.
type Intent struct {
	OrderID string `json:"orderId"`
	Action  Action `json:"action"`
	Pool    string `json:"pool"`
	Zone    string `json:"zone"`
	// Server is the server to be stopped.
	Server string `json:"server,omitempty"`
	// AtMs and Term are the log's time and the term of the intent's record,
	// set by the fold.
	AtMs clock.Millis `json:"atMs,omitempty"`
	Term int64        `json:"term,omitempty"`
}

// Outcome ends an intent.
type Outcome struct {
	OrderID string `json:"orderId"`
	Result  Result `json:"result"`
	// Server is the server that was started or stopped.
	Server string `json:"server,omitempty"`
}

// Snapshot states all intents without an outcome.
type Snapshot struct {
	Pending []Intent `json:"pending"`
}

// Record is one record of the orders stream. A record with nothing in it only
// makes records of older terms void.
type Record struct {
	// Author is unique to the process, and Term that of its lease.
	Author string `json:"author"`
	Term   int64  `json:"term"`
	// Seq is one more than that of the last record of the term, from 1 on.
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
		return &directory.FieldError{Field: "term", Value: p.Term, Reason: "must be positive, as seq must, with an author"}
	}
	intents := p.Intents
	if p.Snapshot != nil {
		intents = slices.Concat(intents, p.Snapshot.Pending)
	}
	for _, in := range intents {
		if in.OrderID == "" || in.Pool == "" || in.Action != Start && in.Action != Stop || (in.Action == Stop) == (in.Server == "") {
			return &directory.FieldError{Field: "intents", Value: in, Reason: "must name an order, a pool and, to stop it, a server"}
		}
	}
	for _, o := range p.Outcomes {
		if o.OrderID == "" || o.Result != Done && o.Result != Refused {
			return &directory.FieldError{Field: "outcomes", Value: o, Reason: "must name an order and its result"}
		}
	}
	*r = Record(p)
	return nil
}

// Fold is the state of the orders stream. It has a single owner.
type Fold struct {
	next       int64
	atMs       clock.Millis
	term       int64
	seq        int64
	pending    map[string]Intent
	snapshotMs clock.Millis
	void       int
}

// New returns the Fold of the stream before its first record.
func New() *Fold {
	return &Fold{next: 1, pending: map[string]Intent{}}
}

// Next returns the offset of the next record to apply.
func (f *Fold) Next() int64 { return f.next }

// Term returns the greatest term of a record.
func (f *Fold) Term() int64 { return f.term }

// NextSeq returns the number of the next record of a term.
func (f *Fold) NextSeq(term int64) int64 {
	if term == f.term {
		return f.seq + 1
	}
	return 1
}

// SnapshotMs returns the log's time of the latest snapshot, or of the first
// record where there is none.
func (f *Fold) SnapshotMs() clock.Millis { return f.snapshotMs }

// Void returns the number of records that changed nothing because of their
// terms or because they could not be decoded.
func (f *Fold) Void() int { return f.void }

// Apply folds one record. A record that was applied before changes nothing.
// Records that are past retention are made good by the next snapshot.
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
		f.void++
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

// Pending returns the intents without an outcome, by order id.
func (f *Fold) Pending() []Intent {
	return slices.SortedFunc(maps.Values(f.pending), func(a, b Intent) int { return cmp.Compare(a.OrderID, b.OrderID) })
}
