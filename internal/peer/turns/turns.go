// Package turns is the protocol between gateways and the scheduler beside a
// model engine: JSON-RPC notifications over one connection that the gateway
// dials (a dispatch.Link). Requests and answers do not pass through it.
//
//	gateway -> scheduler  hello, reserve, announce, cancel, begun, done, heartbeat
//	scheduler -> gateway  offer, refuse, load
package turns

import (
	"github.com/damaskport/damaskport/internal/policy/batch"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// Methods beside those of the dispatch protocol.
const (
	// MethodAnnounce tells of a request that was sent without a reservation.
	MethodAnnounce = "announce"
	MethodBegun    = "begun"
	MethodDone     = "done"
	MethodLoad     = "load"
)

// Engine names one start of an engine and tells its size.
type Engine struct {
	ID           string `json:"id"`
	Start        int64  `json:"start"`
	Slots        int    `json:"slots"`
	MemoryTokens int    `json:"memoryTokens"`
}

// Hello opens a connection.
type Hello struct {
	Entry  string `json:"entry"`
	Engine Engine `json:"engine"`
	// Running are the entry's requests at the engine.
	Running []Reservation `json:"running,omitempty"`
}

// Reservation asks for a start at the engine. Times are relative to the
// message, since clocks differ.
type Reservation struct {
	ID       string `json:"id"`
	Account  string `json:"account,omitempty"`
	Priority int    `json:"priority,omitempty"`
	Tight    bool   `json:"tight,omitempty"`
	Unread   int    `json:"unread"`
	Tokens   int    `json:"tokens"`
	// TargetMs, DeadlineMs and NeedMs are as in batch.Request.
	TargetMs   clock.Millis `json:"targetMs"`
	DeadlineMs clock.Millis `json:"deadlineMs"`
	NeedMs     clock.Millis `json:"needMs,omitempty"`
	// Part is the last shared part of the prompt, which the engine holds from
	// the first event on.
	Part string `json:"part,omitempty"`
	// Begun is set in a Hello for requests whose first event has arrived.
	Begun bool `json:"begun,omitempty"`
}

// Request converts r at the time of the message's arrival.
func (r Reservation) Request(now clock.Millis, entry string) batch.Request {
	return batch.Request{
		ID: r.ID, Entry: entry, Account: r.Account, Priority: r.Priority, Tight: r.Tight, Unread: r.Unread, Tokens: r.Tokens,
		TargetMs: now + r.TargetMs, DeadlineMs: now + r.DeadlineMs, NeedMs: r.NeedMs,
	}
}

// Ref names a request.
type Ref struct {
	ID string `json:"id"`
}

// Refusal tells that a reservation was dropped.
type Refusal struct {
	ID           string       `json:"id"`
	RetryAfterMs clock.Millis `json:"retryAfterMs"`
}

// Load is the engine's load, and the shared parts that it came to hold since
// the last Load of the connection.
type Load struct {
	batch.Load
	Parts []string `json:"parts,omitempty"`
}
