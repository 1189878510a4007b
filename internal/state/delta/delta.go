// Package delta tells a document by what differs from the one before it, so that
// a small change of a large configuration is a small message.
package delta

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
)

// Delta is the difference between two documents: the bytes between the first
// Prefix and the last Suffix bytes are replaced by Middle.
type Delta struct {
	Prefix int    `json:"prefix,omitempty"`
	Suffix int    `json:"suffix,omitempty"`
	Middle []byte `json:"middle,omitempty"`
	// From and To are the digests of the two documents.
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
}

// MismatchError reports a Delta that belongs to other documents.
type MismatchError struct{ Reason string }

// Error returns the reason.
func (e *MismatchError) Error() string { return "delta: " + e.Reason }

// Make returns the difference from one document to another.
func Make(from, to []byte) Delta {
	d := Delta{From: xxhash.Sum64(from), To: xxhash.Sum64(to)}
	most := min(len(from), len(to))
	for d.Prefix < most && from[d.Prefix] == to[d.Prefix] {
		d.Prefix++
	}
	for d.Suffix < most-d.Prefix && from[len(from)-1-d.Suffix] == to[len(to)-1-d.Suffix] {
		d.Suffix++
	}
	d.Middle = bytes.Clone(to[d.Prefix : len(to)-d.Suffix])
	return d
}

// Apply returns the later document. The error is a *MismatchError when from is
// not the document that d was made from, or the result is not the one meant.
func (d Delta) Apply(from []byte) ([]byte, error) {
	if d.Prefix < 0 || d.Suffix < 0 || d.Prefix > len(from) || d.Suffix > len(from)-d.Prefix {
		return nil, &MismatchError{"the document is too short"}
	}
	if xxhash.Sum64(from) != d.From {
		return nil, &MismatchError{"it was made from another document"}
	}
	to := make([]byte, 0, d.Prefix+len(d.Middle)+d.Suffix)
	to = append(to, from[:d.Prefix]...)
	to = append(to, d.Middle...)
	to = append(to, from[len(from)-d.Suffix:]...)
	if xxhash.Sum64(to) != d.To {
		return nil, &MismatchError{"the result is another document"}
	}
	return to, nil
}
