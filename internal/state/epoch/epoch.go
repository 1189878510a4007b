// Package epoch implements store epochs. The platform's store starts a new epoch (era)
// each time it is restored from a backup.
//
// The backup may be some seconds old. Records written after it are lost, and their
// offsets are assigned again, so an offset is meaningful only together with its
// epoch. A Position holds both. Offsets of different epochs cannot be compared.
package epoch

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// MaxNumber is the largest epoch number. It is limited because leader terms combine an
// epoch number with an offset, and their readers may store them as floating-point
// numbers.
const MaxNumber = 1<<20 - 1

// Epoch is a store epoch. The zero value is the unknown epoch, for a store that does
// not report epochs.
type Epoch struct {
	after int64 // epoch number plus 1; 0 if unknown
}

// Of returns the epoch with number n, from 0 to MaxNumber.
func Of(n int64) Epoch { return Epoch{n + 1} }

// Known reports whether the epoch is known.
func (e Epoch) Known() bool { return e.after > 0 }

// Number returns the epoch number; 0 if the epoch is unknown.
func (e Epoch) Number() int64 { return max(e.after-1, 0) }

// After reports whether e is a later epoch than o. Any known epoch is after the
// unknown one.
func (e Epoch) After(o Epoch) bool { return e.after > o.after }

// String returns the number, or "none".
func (e Epoch) String() string {
	if !e.Known() {
		return "none"
	}
	return strconv.FormatInt(e.Number(), 10)
}

// MarshalJSON encodes the number, or null.
func (e Epoch) MarshalJSON() ([]byte, error) {
	if !e.Known() {
		return []byte("null"), nil
	}
	return strconv.AppendInt(nil, e.Number(), 10), nil
}

// UnmarshalJSON decodes and validates an epoch number; null is the unknown epoch.
func (e *Epoch) UnmarshalJSON(data []byte) error {
	var n *int64
	if err := json.Unmarshal(data, &n); err != nil {
		return err
	}
	if n == nil {
		*e = Epoch{}
		return nil
	}
	if *n < 0 || *n > MaxNumber {
		return &RangeError{Value: strconv.FormatInt(*n, 10)}
	}
	*e = Of(*n)
	return nil
}

// RangeError reports an epoch that is not a number from 0 to MaxNumber.
type RangeError struct{ Value string }

// Error returns the value and the valid range.
func (e *RangeError) Error() string {
	return fmt.Sprintf("era %q is no number from 0 to %d", e.Value, int64(MaxNumber))
}

// Reported is the epoch as reported in one answer of the store.
type Reported struct {
	// Epoch is the reported epoch; unknown if the answer reports none or an invalid one.
	Epoch Epoch
	// Malformed is the reported text if it is not a valid epoch number.
	Malformed string
}

// Parse decodes the epoch reported in an answer; an empty text reports none.
func Parse(s string) Reported {
	s = strings.TrimSpace(s)
	if s == "" {
		return Reported{}
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n < 0 || n > MaxNumber {
		return Reported{Malformed: s}
	}
	return Reported{Epoch: Of(n)}
}

// Position is a position in a topic of the store: the epoch and the offset of a
// record, or of the next one to be written. The zero value is the unknown position.
type Position struct {
	era   Epoch
	after int64 // offset plus 1; 0 if unknown
}

// At returns the position of an offset in an epoch.
func At(e Epoch, offset int64) Position { return Position{e, offset + 1} }

// Known reports whether the position is known.
func (p Position) Known() bool { return p.after > 0 }

// Epoch returns the epoch of the position.
func (p Position) Epoch() Epoch { return p.era }

// Offset returns the offset without its epoch, for the store and for logs; -1 if
// unknown.
func (p Position) Offset() int64 { return p.after - 1 }

// Next returns the position of the record after p.
func (p Position) Next() Position { return At(p.era, p.Offset()+1) }

// Before returns the position of the record before p.
func (p Position) Before() Position { return At(p.era, p.Offset()-1) }

// In returns p with the epoch e if p is known and its epoch is not; otherwise p.
func (p Position) In(e Epoch) Position {
	if !p.Known() || p.era.Known() {
		return p
	}
	return Position{e, p.after}
}

// Comparable reports whether p and o are known and have the same epoch.
func (p Position) Comparable(o Position) bool {
	return p.Known() && o.Known() && p.era == o.era
}

// Reaches reports whether p is comparable with o and equal to or after it.
func (p Position) Reaches(o Position) bool { return p.Comparable(o) && p.after >= o.after }

// After reports whether p is later than o: in a later epoch, or at a higher offset in
// the same one. Any known position is after the unknown one.
func (p Position) After(o Position) bool {
	switch {
	case !p.Known() || !o.Known():
		return p.Known()
	case p.era != o.era:
		return p.era.After(o.era)
	}
	return p.after > o.after
}

// String returns offset and epoch, or "nowhere" if the position is unknown.
func (p Position) String() string {
	if !p.Known() {
		return "nowhere"
	}
	return fmt.Sprintf("%d of era %v", p.Offset(), p.era)
}

// wire is the JSON encoding of a position in messages between gateways.
type wire struct {
	Era    Epoch `json:"era"`
	Offset int64 `json:"offset"`
}

// MarshalJSON encodes epoch and offset; the offset is -1 if the position is unknown.
func (p Position) MarshalJSON() ([]byte, error) {
	return json.Marshal(wire{p.era, p.Offset()})
}

// UnmarshalJSON decodes and validates a position.
func (p *Position) UnmarshalJSON(data []byte) error {
	var w wire
	if err := json.Unmarshal(data, &w); err != nil {
		return err
	}
	if w.Offset < -1 {
		return &OffsetError{Offset: w.Offset}
	}
	*p = At(w.Era, w.Offset)
	return nil
}

// OffsetError reports an offset below -1.
type OffsetError struct{ Offset int64 }

// Error returns the offset.
func (e *OffsetError) Error() string { return fmt.Sprintf("offset %d is below 0", e.Offset) }
