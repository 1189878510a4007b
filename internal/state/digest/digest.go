// Package digest assembles state digests. A digest is a compact copy of the state that
// results from the records of a stream so far. Writers of the stream append one from
// time to time, split into several records (parts), for readers that start after
// earlier records have expired.
package digest

import (
	"github.com/cespare/xxhash/v2"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/directory"
)

const (
	// digestsPerRetention is the number of digest periods in the retention time of the
	// stream's records.
	digestsPerRetention = 4
	// maxIncomplete is the maximum number of incomplete digests that a Collector keeps.
	maxIncomplete = 16
)

// Head identifies one part of a digest.
type Head struct {
	ID         string       `json:"id"`   // id of the digest, equal in all its parts
	LastOffset int64        `json:"upTo"` // offset of the last record that the state includes
	AtMs       clock.Millis `json:"atMs"` // log time of the state: highest timestamp up to LastOffset
	// Part is the index of this part, from 0 to Parts-1.
	Part  int `json:"part"`
	Parts int `json:"parts"`
}

// Validate checks id, offset and part index; the error is a *directory.FieldError.
func (h Head) Validate() error {
	if h.ID == "" || h.LastOffset < 0 {
		return &directory.FieldError{Field: "digest.id", Value: h.ID, Reason: "must not be empty, and upTo must not be negative"}
	}
	if h.Part < 0 || h.Part >= h.Parts {
		return &directory.FieldError{Field: "digest.part", Value: h.Part, Reason: "must be from 0 to parts-1"}
	}
	return nil
}

// Heads returns the heads of a digest with the given number of parts, in the order of
// the parts. lastOffset and atMs are the offset and the log time of the state.
func Heads(id string, lastOffset int64, atMs clock.Millis, parts int) []Head {
	heads := make([]Head, parts)
	for i := range heads {
		heads[i] = Head{ID: id, LastOffset: lastOffset, AtMs: atMs, Part: i, Parts: parts}
	}
	return heads
}

// Collector assembles digests from their parts, with entries of type E. It keeps at
// most maxIncomplete incomplete digests; beyond that it drops the one whose first part
// was read the longest ago. The zero value is ready for use.
type Collector[E any] struct {
	incomplete []partialDigest[E]
}

// partialDigest is a digest of which not all parts have been read.
type partialDigest[E any] struct {
	head      Head
	partsRead map[int]bool
	entries   []E
}

// Add adds a part that was read from the stream at the given offset. If the part
// completes its digest, Add returns the entries of all parts and true. A part is
// ignored if it was read before, if it is inconsistent with earlier parts of its
// digest, or if its state claims to include the record at offset or a later one.
func (c *Collector[E]) Add(offset int64, h Head, entries []E) ([]E, bool) {
	if h.LastOffset >= offset {
		return nil, false
	}
	i := c.findOrAdd(h)
	p := &c.incomplete[i]
	if p.partsRead[h.Part] || p.head.Parts != h.Parts || p.head.LastOffset != h.LastOffset {
		return nil, false
	}
	p.partsRead[h.Part] = true
	p.entries = append(p.entries, entries...)
	if len(p.partsRead) < h.Parts {
		return nil, false
	}
	all := p.entries
	c.incomplete = append(c.incomplete[:i], c.incomplete[i+1:]...)
	return all, true
}

// findOrAdd returns the index in incomplete of the digest that h belongs to. If this
// part is the first one read, it adds the digest.
func (c *Collector[E]) findOrAdd(h Head) int {
	for i, p := range c.incomplete {
		if p.head.ID == h.ID {
			return i
		}
	}
	if len(c.incomplete) == maxIncomplete {
		c.incomplete = c.incomplete[1:]
	}
	c.incomplete = append(c.incomplete, partialDigest[E]{head: h, partsRead: map[int]bool{}})
	return len(c.incomplete) - 1
}

// DueMs returns the log time at which the next digest is due after one that was written
// at the log time lastMs. It is 1/4 to 3/8 of the retention time later, so that the
// last digest has not expired. Within that range the due time depends on the writer's
// name, so that usually only one of the writers appends the digest.
func DueMs(lastMs, retention clock.Millis, writer string) clock.Millis {
	period := retention / digestsPerRetention
	spread := clock.Millis(xxhash.Sum64String(writer) % uint64(period/2+1))
	return lastMs + period + spread
}
