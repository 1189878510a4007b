// Package digest collects the parts of a stream's compact digests, by which a
// reader that started behind the first record learns the earlier state.
package digest

import (
	"github.com/cespare/xxhash/v2"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/directory"
)

const (
	// perRetention is the number of digests in one retention time.
	perRetention = 4
	// maxOpen bounds the digests of which only some parts were read.
	maxOpen = 16
)

// Head identifies one part of the state after the record at UpTo.
type Head struct {
	ID   string       `json:"id"`
	UpTo int64        `json:"upTo"`
	AtMs clock.Millis `json:"atMs"`
	// Part counts from 0.
	Part  int `json:"part"`
	Parts int `json:"parts"`
}

// Validate checks the head on its own.
func (h Head) Validate() error {
	if h.ID == "" || h.UpTo < 0 {
		return &directory.FieldError{Field: "digest.id", Value: h.ID, Reason: "must not be empty, with upTo not negative"}
	}
	if h.Part < 0 || h.Part >= h.Parts {
		return &directory.FieldError{Field: "digest.part", Value: h.Part, Reason: "must be from 0 to parts-1"}
	}
	return nil
}

// Heads returns the heads of a digest's parts.
func Heads(id string, upTo int64, atMs clock.Millis, parts int) []Head {
	heads := make([]Head, parts)
	for i := range heads {
		heads[i] = Head{ID: id, UpTo: upTo, AtMs: atMs, Part: i, Parts: parts}
	}
	return heads
}

// Collector collects parts until a digest is complete. The zero value is
// ready for use.
type Collector[E any] struct {
	open []partial[E]
}

type partial[E any] struct {
	head    Head
	have    map[int]bool
	entries []E
}

// Add adds a part that was read at offset, and returns true with all entries
// when it was the last one that was missing.
func (c *Collector[E]) Add(offset int64, h Head, entries []E) ([]E, bool) {
	if h.UpTo >= offset {
		return nil, false
	}
	i := c.find(h)
	p := &c.open[i]
	if p.have[h.Part] || p.head.Parts != h.Parts || p.head.UpTo != h.UpTo {
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

// DueMs returns the log's time at which the digest after one of lastMs must
// be written, so that retention does not pass it. The time is spread over the
// writers by name, so that mostly one of them writes it.
func DueMs(lastMs, retention clock.Millis, name string) clock.Millis {
	period := retention / perRetention
	spread := clock.Millis(xxhash.Sum64String(name) % uint64(period/2+1))
	return lastMs + period + spread
}
