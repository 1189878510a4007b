// Package delta encodes a document as its difference from the previous version, so
// that a small change of a large configuration is a small message.
package delta

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
)

// Delta is the difference between two documents. Middle replaces all bytes between
// the first Prefix and the last Suffix bytes, which the documents have in common.
type Delta struct {
	Prefix int    `json:"prefix,omitempty"`
	Suffix int    `json:"suffix,omitempty"`
	Middle []byte `json:"middle,omitempty"`
	// From and To are the xxHash64 digests of the earlier and the later document.
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
}

// MismatchError reports a Delta that cannot be applied to a document.
type MismatchError struct{ Reason string }

// Error returns the reason.
func (e *MismatchError) Error() string { return "delta: " + e.Reason }

// Make returns the Delta that turns document from into document to.
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

// Apply returns the later document, given the earlier one. The error is a
// *MismatchError if a digest does not match, or if from is too short.
func (d Delta) Apply(from []byte) ([]byte, error) {
	if d.Prefix < 0 || d.Suffix < 0 || d.Prefix > len(from) || d.Suffix > len(from)-d.Prefix {
		return nil, &MismatchError{"document is shorter than the unchanged prefix and suffix"}
	}
	if xxhash.Sum64(from) != d.From {
		return nil, &MismatchError{"document does not match the digest of the earlier document"}
	}
	to := make([]byte, 0, d.Prefix+len(d.Middle)+d.Suffix)
	to = append(to, from[:d.Prefix]...)
	to = append(to, d.Middle...)
	to = append(to, from[len(from)-d.Suffix:]...)
	if xxhash.Sum64(to) != d.To {
		return nil, &MismatchError{"result does not match the digest of the later document"}
	}
	return to, nil
}
