// Package era tells the lives of the platform's store apart.
//
// The store may come back from a copy that is some seconds old. What was written
// since is gone, and its offsets are given out again: an offset means something
// only together with the era in which the store told it. A Position holds both,
// and offsets of different eras cannot be compared.
package era

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// Most is the largest number of an era: terms hold it beside an offset, and readers
// of terms may keep them as floating-point numbers.
const Most = 1<<20 - 1

// Era is one life of the store. The zero value is that of a store that tells none.
type Era struct {
	after int64 // the number and one
}

// Of returns the era of a number from 0 to Most.
func Of(n int64) Era { return Era{n + 1} }

// Known reports whether the store tells its era.
func (e Era) Known() bool { return e.after > 0 }

// Number returns the era's number; 0 for one that is not known.
func (e Era) Number() int64 { return max(e.after-1, 0) }

// After reports whether the store was in e later than in o.
func (e Era) After(o Era) bool { return e.after > o.after }

// String returns the number, or "none".
func (e Era) String() string {
	if !e.Known() {
		return "none"
	}
	return strconv.FormatInt(e.Number(), 10)
}

// MarshalJSON encodes the number, or null.
func (e Era) MarshalJSON() ([]byte, error) {
	if !e.Known() {
		return []byte("null"), nil
	}
	return strconv.AppendInt(nil, e.Number(), 10), nil
}

// UnmarshalJSON decodes and checks a number; null is no era.
func (e *Era) UnmarshalJSON(data []byte) error {
	var n *int64
	if err := json.Unmarshal(data, &n); err != nil {
		return err
	}
	if n == nil {
		*e = Era{}
		return nil
	}
	if *n < 0 || *n > Most {
		return &RangeError{Value: strconv.FormatInt(*n, 10)}
	}
	*e = Of(*n)
	return nil
}

// RangeError reports an era that is no number from 0 to Most.
type RangeError struct{ Value string }

// Error tells the value and the range.
func (e *RangeError) Error() string {
	return fmt.Sprintf("era %q is no number from 0 to %d", e.Value, int64(Most))
}

// Word is what one answer of the store says of its era.
type Word struct {
	// Era is the era; none if the answer does not say.
	Era Era
	// Malformed is what the answer says instead of a number.
	Malformed string
}

// Parse decodes the text of an answer; an empty one says nothing.
func Parse(s string) Word {
	s = strings.TrimSpace(s)
	if s == "" {
		return Word{}
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n < 0 || n > Most {
		return Word{Malformed: s}
	}
	return Word{Era: Of(n)}
}

// Position is a place in a topic of the store: the offset of a record, or of the
// next one, in one era. The zero value is nowhere.
type Position struct {
	era   Era
	after int64 // the offset and one
}

// At returns the position of an offset in an era.
func At(e Era, offset int64) Position { return Position{e, offset + 1} }

// Known reports whether p is anywhere.
func (p Position) Known() bool { return p.after > 0 }

// Era returns the era in which p is.
func (p Position) Era() Era { return p.era }

// Offset returns the offset alone, for the store and for logs; -1 for nowhere.
func (p Position) Offset() int64 { return p.after - 1 }

// Next returns the position behind p.
func (p Position) Next() Position { return At(p.era, p.Offset()+1) }

// Before returns the position of the record before p.
func (p Position) Before() Position { return At(p.era, p.Offset()-1) }

// In returns p in an era, for a position that the store told without one.
func (p Position) In(e Era) Position {
	if !p.Known() || p.era.Known() {
		return p
	}
	return Position{e, p.after}
}

// Comparable reports whether p and o are places of the same era.
func (p Position) Comparable(o Position) bool {
	return p.Known() && o.Known() && p.era == o.era
}

// Reaches reports whether p is at o or behind it, in the same era.
func (p Position) Reaches(o Position) bool { return p.Comparable(o) && p.after >= o.after }

// After reports whether p was written after o: in a later era, or behind it in the
// same one. Any place is after nowhere.
func (p Position) After(o Position) bool {
	switch {
	case !p.Known() || !o.Known():
		return p.Known()
	case p.era != o.era:
		return p.era.After(o.era)
	}
	return p.after > o.after
}

// String returns era and offset.
func (p Position) String() string {
	if !p.Known() {
		return "nowhere"
	}
	return fmt.Sprintf("%d of era %v", p.Offset(), p.era)
}

// wire is a position as gateways tell it.
type wire struct {
	Era    Era   `json:"era"`
	Offset int64 `json:"offset"`
}

// MarshalJSON encodes era and offset; the offset of nowhere is -1.
func (p Position) MarshalJSON() ([]byte, error) {
	return json.Marshal(wire{p.era, p.Offset()})
}

// UnmarshalJSON decodes and checks a position.
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

// OffsetError reports an offset that no record has.
type OffsetError struct{ Offset int64 }

// Error tells the offset.
func (e *OffsetError) Error() string { return fmt.Sprintf("offset %d is below 0", e.Offset) }
