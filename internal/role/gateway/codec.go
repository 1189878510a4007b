package gateway

import (
	"net/http"

	"github.com/damaskport/damaskport/internal/policy/place"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// PromptBlock is a block of a prompt that requests may share.
type PromptBlock = place.Block

// Call is what the headers of a caller's request say.
type Call struct {
	ID string // of this attempt of the caller
	// Key is the caller's API key.
	Key string
	// DeadlineMs is how long the caller waits; 0 if it does not say.
	DeadlineMs   clock.Millis
	Model        string
	PromptTokens int
	// OutputTokens is the most that the caller takes.
	OutputTokens int
	// ExpectedTokens is the caller's estimate of the answer's length; 0 if it
	// gives none.
	ExpectedTokens int
	Parts          []PromptBlock
	// ResumesAt is the id of the last event that the caller has.
	ResumesAt string
}

// Send is what the system adds to a request that it passes on.
type Send struct {
	Server     string       // the only server that may run it
	DeadlineMs clock.Millis // what is left
	Account    string
	Engine     bool
	Priority   int // 0 is the most urgent
	// FetchFrom is the address of the server from which the shared parts of the
	// prompt are copied; empty for none.
	FetchFrom string
	// ResumesAt is the id of the last event that was delivered; empty to leave
	// the caller's.
	ResumesAt string
}

// Reply is what the headers of a backend server's answer say.
type Reply struct {
	RequestID string
	// FromServer tells that a backend server vouches for the answer.
	FromServer bool
	// NotRun tells that the request has not run and will not.
	NotRun bool
	// WrongServer tells that another server has the address.
	WrongServer bool
	// Encoded tells that the body is not as the server made it.
	Encoded          bool
	HasLoad          bool
	Running, Waiting int
	// Draining tells that the server leaves: it is not to be used again under its
	// present start.
	Draining bool
	// Named is the server that answered, if the answer names it.
	Named string
	// BackOffMs is how long the server wants no further request of this gateway; 0
	// if it does not say.
	BackOffMs clock.Millis
	// Malformed are the headers that could not be read.
	Malformed []Malformed
}

// Malformed is a header that says nothing.
type Malformed struct{ Name, Value string }

// Codec reads and writes the headers of callers and backend servers.
type Codec interface {
	Call(h http.Header) Call
	Forward(h http.Header, s Send)
	Reply(status int, h http.Header) Reply
	// Refuse sets the headers of the gateway's own answer; retryAfter is 0 for none.
	Refuse(h http.Header, id string, retryAfter clock.Millis)
}
