package budget

import "sync/atomic"

// Use is what memory is held for. It may have its share of the memory, which keeps some for the uses
// with a larger one.
type Use float64

// The uses of memory. What is held for a longer time, or can no longer be refused, has a larger share.
const (
	Body   Use = 0.55
	Serve  Use = 0.75 // a request besides its body, RequestBytes
	Answer Use = 1 - eventShare
)

const (
	// ConnBytes is what an open connection of a caller costs.
	ConnBytes = 16 << 10
	// RequestBytes is what a request costs while it is served, besides its body and with the
	// connection to its server.
	RequestBytes = 24 << 10
	// FieldBytes is what a field of a request's head costs once it is parsed, whatever its length: an
	// entry of a table, its copy that is forwarded, and what the collector has not freed yet of both.
	FieldBytes = 512
	// freeFields is the number of fields that RequestBytes includes.
	freeFields = 32
)

// HeadBytes returns what the head of a request with the number of fields costs besides RequestBytes.
func HeadBytes(fields int) int64 { return int64(max(fields-freeFields, 0)) * FieldBytes }

// Held counts the memory that a process holds for callers. It is safe for concurrent use.
type Held struct {
	limit int64
	bytes atomic.Int64
	conns func() int // open connections of callers; nil if they are not counted
	// events is the memory for events; nil for no limit.
	events *Events
}

// NewHeld returns a Held for at most limit bytes; 0 for no limit.
func NewHeld(limit int64) *Held {
	h := &Held{limit: limit}
	if limit > 0 {
		h.events = newEvents(int64(eventShare * float64(limit)))
	}
	return h
}

// WithConns returns a Held with the limit and the events of h that counts the open connections of callers.
func (h *Held) WithConns(open func() int) *Held {
	if h == nil {
		return &Held{conns: open}
	}
	return &Held{limit: h.limit, conns: open, events: h.events}
}

// Events returns the memory for events, which is a part of h; nil for no limit.
func (h *Held) Events() *Events {
	if h == nil {
		return nil
	}
	return h.events
}

// Bytes returns the number of bytes held.
func (h *Held) Bytes() int64 {
	n := h.bytes.Load() + h.events.Bytes()
	if h.conns != nil {
		n += int64(h.conns()) * ConnBytes
	}
	return n
}

// Limit returns the most bytes that may be held for a use; 0 for no limit.
func (h *Held) Limit(u Use) int64 { return int64(float64(u) * float64(h.limit)) }

// take holds n more bytes for a use, if that leaves the sum within its limit.
func (h *Held) take(n int64, u Use) bool {
	h.bytes.Add(n)
	if h.limit > 0 && h.Bytes() > h.Limit(u) {
		h.bytes.Add(-n)
		return false
	}
	return true
}

// Request is what is held for one request; it is not safe for concurrent use. The zero value of it
// has no limit.
type Request struct {
	held  *Held
	bytes int64
}

// Request returns a request for which nothing is held yet.
func (h *Held) Request() Request { return Request{held: h} }

// For returns the memory of the request for a use.
func (r *Request) For(u Use) Memory { return Memory{r, u} }

// Memory is the memory of a request for a use.
type Memory struct {
	r   *Request
	use Use
}

// Room reports whether n more bytes could be held now.
func (m Memory) Room(n int64) bool {
	h := m.r.held
	return h == nil || h.limit == 0 || h.Bytes()+n <= h.Limit(m.use)
}

// Take holds n more bytes. It returns false, and holds no more, if that would exceed the limit.
func (m Memory) Take(n int64) bool {
	if m.r.held == nil {
		return true
	}
	if !m.r.held.take(n, m.use) {
		return false
	}
	m.r.bytes += n
	return true
}

// Release ends the holding of all bytes of the request.
func (r *Request) Release() {
	if r.held != nil {
		r.held.bytes.Add(-r.bytes)
		r.bytes = 0
	}
}
