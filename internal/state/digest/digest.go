// Package digest assembles the digests that are written to a stream from time to
// time. A digest is a compact copy of the state so far, split into several records,
// for readers that start after earlier records have expired.
package digest

import (
	"github.com/cespare/xxhash/v2"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/directory"
)

const (
	// perRetention is the number of digest periods in the stream's retention time.
	perRetention = 4
	// maxOpen is the maximum number of incomplete digests that are kept.
	maxOpen = 16
)

// Head identifies one part of a digest, which holds the state after the record at
// offset LastOffset.
type Head struct {
	ID         string       `json:"id"` // the same for all parts
	LastOffset int64        `json:"upTo"`
	AtMs       clock.Millis `json:"atMs"` // log time of the state
	// Part is the index of the part, from 0 to Parts-1.
	Part  int `json:"part"`
	Parts int `json:"parts"`
}

// Validate checks the fields of the head.
func (h Head) Validate() error {
	if h.ID == "" || h.LastOffset < 0 {
		return &directory.FieldError{Field: "digest.id", Value: h.ID, Reason: "must not be empty, with upTo not negative"}
	}
	if h.Part < 0 || h.Part >= h.Parts {
		return &directory.FieldError{Field: "digest.part", Value: h.Part, Reason: "must be from 0 to parts-1"}
	}
	return nil
}

// Heads returns the heads of all parts of a digest.
func Heads(id string, upTo int64, atMs clock.Millis, parts int) []Head {
	heads := make([]Head, parts)
	for i := range heads {
		heads[i] = Head{ID: id, LastOffset: upTo, AtMs: atMs, Part: i, Parts: parts}
	}
	return heads
}

// Collector assembles digests from their parts. It keeps at most maxOpen
// incomplete digests and drops the oldest. The zero value is ready for use.
type Collector[E any] struct {
	open []partial[E]
}

type partial[E any] struct {
	head    Head
	have    map[int]bool
	entries []E
}

// Add adds a part that was read at offset. If it completes its digest, Add returns
// all entries of the digest and true. Parts that are repeated or inconsistent with
// earlier parts, or that claim to cover offset itself, are ignored.
func (c *Collector[E]) Add(offset int64, h Head, entries []E) ([]E, bool) {
	if h.LastOffset >= offset {
		return nil, false
	}
	i := c.find(h)
	p := &c.open[i]
	if p.have[h.Part] || p.head.Parts != h.Parts || p.head.LastOffset != h.LastOffset {
		return nil, false
	}
	p.have[h.Part] = true
	p.entries = append(p.entries, entries...)
	if len(p.have) < h.Parts {
		return nil, false
	}
	all := p.entries
	c.open = append(c.open[:i], c.open[i+1:]...)
	return all, true
}

// find returns the index in open of the digest of h, which is added if it is new.
func (c *Collector[E]) find(h Head) int {
	for i, p := range c.open {
		if p.head.ID == h.ID {
			return i
		}
	}
	if len(c.open) == maxOpen {
		c.open = c.open[1:]
	}
	c.open = append(c.open, partial[E]{head: h, have: map[int]bool{}})
	return len(c.open) - 1
}

// DueMs returns the log time at which the digest after one written at lastMs is due,
// early enough that the last one has not expired. It differs by the writer's name,
// so that usually only one of the writers writes the digest.
func DueMs(lastMs, retention clock.Millis, name string) clock.Millis {
	period := retention / perRetention
	spread := clock.Millis(xxhash.Sum64String(name) % uint64(period/2+1))
	return lastMs + period + spread
}
