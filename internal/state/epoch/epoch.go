// Package epoch represents epochs of the platform's store and positions in its topics. The
// store starts a new epoch each time it is restored from a backup; its API and the JSON
// encodings call an epoch "era".
//
// The backup may be some seconds old. Records written after it are lost, and their
// offsets are assigned again to new records, so an offset identifies a record only
// together with an epoch. A Position holds both. Offsets of different epochs cannot be
// compared.
package epoch

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// MaxNumber is the largest epoch number. A leader term is an integer with the epoch
// number in its high bits and a 32-bit offset in its low bits. With 20 bits for the
// epoch, readers that store terms as 64-bit floating-point numbers lose no precision.
const MaxNumber = 1<<20 - 1

// Epoch is a store epoch. The zero value is the unknown epoch, as of a store that
// reports no epochs.
type Epoch struct {
	numberPlusOne int64 // epoch number plus 1; 0 if unknown
}

// Of returns the epoch with number n, which must be from 0 to MaxNumber.
func Of(n int64) Epoch { return Epoch{n + 1} }

// Known reports whether e has a number, that is, whether it is not the unknown epoch.
func (e Epoch) Known() bool { return e.numberPlusOne > 0 }

// Number returns the epoch number, from 0 to MaxNumber; 0 also if the epoch is unknown.
func (e Epoch) Number() int64 { return max(e.numberPlusOne-1, 0) }

// After reports whether e is a later epoch than o. Any known epoch is after the
// unknown one.
func (e Epoch) After(o Epoch) bool { return e.numberPlusOne > o.numberPlusOne }

// String returns the epoch number in decimal, or "none" if the epoch is unknown.
func (e Epoch) String() string {
	if !e.Known() {
		return "none"
	}
	return strconv.FormatInt(e.Number(), 10)
}

// MarshalJSON encodes the epoch as its number, or as null if it is unknown.
func (e Epoch) MarshalJSON() ([]byte, error) {
	if !e.Known() {
		return []byte("null"), nil
	}
	return strconv.AppendInt(nil, e.Number(), 10), nil
}

// UnmarshalJSON decodes an epoch number; null is the unknown epoch. A number outside
// the range from 0 to MaxNumber is a *RangeError.
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

// RangeError reports an epoch number outside the range from 0 to MaxNumber.
type RangeError struct{ Value string }

// Error describes the invalid value and the valid range.
func (e *RangeError) Error() string {
	return fmt.Sprintf("store epoch %q is outside the range from 0 to %d", e.Value, int64(MaxNumber))
}

// Reported is the epoch that one answer of the store reports.
type Reported struct {
	// Epoch is the reported epoch; unknown if the answer reports none or an invalid one.
	Epoch Epoch
	// Malformed is the reported text if it is not a valid epoch number, else empty.
	Malformed string
}

// Parse parses the epoch number in an answer of the store, with or without surrounding
// white space. A blank text means that the answer reports no epoch.
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

// Position identifies a record in a topic of the store, or the end of the topic, where
// the next record will be written, by epoch and offset. The zero value is the unknown
// position.
type Position struct {
	epoch         Epoch
	offsetPlusOne int64 // offset plus 1; 0 if unknown
}

// At returns the position of an offset in an epoch. The offset must be at least -1,
// which gives the position before the first record: an unknown one.
func At(e Epoch, offset int64) Position { return Position{e, offset + 1} }

// Known reports whether the position has an offset. Its epoch may still be unknown.
func (p Position) Known() bool { return p.offsetPlusOne > 0 }

// Epoch returns the epoch of the position, which may be unknown.
func (p Position) Epoch() Epoch { return p.epoch }

// Offset returns the offset without the epoch, for calls to the store and for logs; -1
// if the position is unknown.
func (p Position) Offset() int64 { return p.offsetPlusOne - 1 }

// Next returns the position of the record after p in the same epoch.
func (p Position) Next() Position { return At(p.epoch, p.Offset()+1) }

// Before returns the position of the record before p in the same epoch.
func (p Position) Before() Position { return At(p.epoch, p.Offset()-1) }

// In returns p with the epoch e if p is known but its epoch is not; otherwise it
// returns p unchanged.
func (p Position) In(e Epoch) Position {
	if !p.Known() || p.epoch.Known() {
		return p
	}
	return Position{e, p.offsetPlusOne}
}

// Comparable reports whether p and o are known positions with the same epoch, so that
// their offsets can be compared. The unknown epoch is equal to itself.
func (p Position) Comparable(o Position) bool {
	return p.Known() && o.Known() && p.epoch == o.epoch
}

// Reaches reports whether p and o are comparable and p has the same or a higher offset.
func (p Position) Reaches(o Position) bool {
	return p.Comparable(o) && p.offsetPlusOne >= o.offsetPlusOne
}

// After reports whether p is later than o: in a later epoch, or at a higher offset in
// the same one. Any known position is after the unknown one.
func (p Position) After(o Position) bool {
	switch {
	case !p.Known() || !o.Known():
		return p.Known()
	case p.epoch != o.epoch:
		return p.epoch.After(o.epoch)
	}
	return p.offsetPlusOne > o.offsetPlusOne
}

// String returns the offset and the epoch for logs, or "nowhere" if the position is
// unknown.
func (p Position) String() string {
	if !p.Known() {
		return "nowhere"
	}
	return fmt.Sprintf("%d of era %v", p.Offset(), p.epoch)
}

// wirePosition is the JSON encoding of a Position in messages between gateways.
type wirePosition struct {
	Epoch  Epoch `json:"era"`
	Offset int64 `json:"offset"`
}

// MarshalJSON encodes the epoch and the offset; the offset is -1 if the position is
// unknown.
func (p Position) MarshalJSON() ([]byte, error) {
	return json.Marshal(wirePosition{p.epoch, p.Offset()})
}

// UnmarshalJSON decodes a position. An offset below -1 is an *OffsetError.
func (p *Position) UnmarshalJSON(data []byte) error {
	var w wirePosition
	if err := json.Unmarshal(data, &w); err != nil {
		return err
	}
	if w.Offset < -1 {
		return &OffsetError{Offset: w.Offset}
	}
	*p = At(w.Epoch, w.Offset)
	return nil
}

// OffsetError reports a decoded position whose offset is below -1.
type OffsetError struct{ Offset int64 }

// Error describes the invalid offset and the valid range.
func (e *OffsetError) Error() string {
	return fmt.Sprintf("offset %d of a position is below -1", e.Offset)
}
