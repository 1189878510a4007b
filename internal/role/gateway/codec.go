package gateway

import (
	"net/http"

	"github.com/damaskport/damaskport/internal/policy/place"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// PromptBlock is a block of a prompt that requests may share.
type PromptBlock = place.Block

// Call holds the values of the headers of a caller's request.
type Call struct {
	ID string // request id of this attempt of the caller
	// Key is the caller's API key.
	Key string
	// DeadlineMs is how long the caller waits for the answer; 0 if not given.
	DeadlineMs   clock.Millis
	Model        string
	PromptTokens int
	// OutputTokens is the maximum number of output tokens that the caller
	// accepts.
	OutputTokens int
	// ExpectedTokens is the caller's estimate of the number of output tokens; 0
	// if not given.
	ExpectedTokens int
	Blocks         []PromptBlock
	// ResumesAt is the id of the last event that the caller has received.
	ResumesAt string
	// Origin is the request id of the attempt that brought the first event of the stream
	// that the caller takes up again; empty if not given.
	Origin string
}

// Send holds what the gateway sets in the headers of a request that it forwards
// to a server.
type Send struct {
	Server     string       // id of the only server that may run the request
	DeadlineMs clock.Millis // time left until the timeout
	Account    string
	Engine     bool
	Priority   int // 0 is the most urgent
	// CopyFrom is the address of the server from which cached prompt blocks are
	// copied; empty for none.
	CopyFrom string
	// ResumesAt is the id of the last event that was delivered to the caller;
	// empty to keep the caller's own header.
	ResumesAt string
}

// Reply holds what the status and the headers of a backend server's answer say.
type Reply struct {
	RequestID string
	// FromServer is set if the answer carries the mark by which a backend server shows
	// that it sent the answer itself; the platform package decodes it.
	FromServer bool
	// NotRun is set if the server has not run the request and will not run it.
	NotRun bool
	// WrongServer is set if the address belongs to another server than the one
	// that was addressed.
	WrongServer bool
	// Encoded is set if the answer has a Content-Encoding header: the body is not as the
	// server sent it.
	Encoded bool
	// HasLoad is set if the server reports its load: the numbers of Running and
	// Waiting requests.
	HasLoad          bool
	Running, Waiting int
	// Slowness is how many times as long as usual work takes on the server's machine at this
	// moment, as the server reports with its load; 0 if it does not say.
	Slowness float64
	// Draining is set if the server is draining: it is not to be used again until
	// it has restarted.
	Draining bool
	// ServerID is the id of the server that answered; empty if the answer does not
	// name it.
	ServerID string
	// BackOffMs is for how long the server accepts no further request of this
	// gateway; 0 if it does not say.
	BackOffMs clock.Millis
	// HasLimit is set if the server names a Limit: the requests a second that it accepts
	// from all gateways together, for as long as its answers name it. LimitMalformed is set
	// if it named one that could not be parsed.
	HasLimit, LimitMalformed bool
	Limit                    float64
	// Malformed lists the headers whose values could not be parsed or are out of range.
	Malformed []Malformed
}

// Malformed is a header value that could not be parsed, and counts as absent, or that is
// out of range or contradicts another one.
type Malformed struct{ Name, Value string }

// Codec reads and writes the headers of callers' requests and of backend servers'
// answers.
type Codec interface {
	// Call parses the headers of a caller's request.
	Call(h http.Header) Call
	// Forward sets the headers of a request that is forwarded to a server.
	Forward(h http.Header, s Send)
	// Reply parses the status and the headers of a server's answer.
	Reply(status int, h http.Header) Reply
	// Refuse sets the headers of the gateway's own response to the request id;
	// retryAfter is 0 for none.
	Refuse(h http.Header, id string, retryAfter clock.Millis)
}
