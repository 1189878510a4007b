// Package dispatch defines the protocol between entries and sidecars. An entry
// accepts the requests of callers and assigns them to backend servers; a sidecar
// runs beside one backend server and hands its slots out.
//
// Control messages are JSON-RPC 2.0 notifications and calls over one TCP
// connection that the entry dials. Request bodies and answers are sent over HTTP
// to the sidecar's data address, so that back-pressure on a request body or answer
// never delays control messages.
package dispatch

import (
	"encoding/json"
	"slices"

	"github.com/damaskport/damaskport/internal/peer/config"
	"github.com/damaskport/damaskport/internal/platform/logservice"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/directory"
)

// Methods of the control connection, with the types of their parameters.
const (
	MethodHello       = "hello"       // call by the entry: Hello, answered with HelloReply
	MethodReserve     = "reserve"     // entry to sidecar: Reservation
	MethodVerdict     = "verdict"     // sidecar to entry: Verdict on a reservation
	MethodOffer       = "offer"       // sidecar to entry: a slot is free for the reservation ID
	MethodRefuse      = "refuse"      // sidecar to entry: Verdict with Final set
	MethodCancel      = "cancel"      // entry to sidecar: ID of a reservation
	MethodHeartbeat   = "heartbeat"   // both directions: Heartbeat
	MethodFetchConfig = "fetchConfig" // call in both directions: FetchConfig, answered with FetchConfigReply
)

// Headers and trailers of the data connection.
const (
	HeaderReservation = "Damaskport-Reservation" // entry to sidecar: Reservation as JSON
	HeaderAttempt     = "Damaskport-Attempt"     // sidecar to entry: Reservation.ID of the attempt that is answered
	HeaderResult      = "Damaskport-Result"      // sidecar to entry: ResultAnswer or ResultRefused
	HeaderRequest     = "Damaskport-Request"     // entry to sidecar: Request as JSON
	TrailerEnd        = "Damaskport-End"         // sidecar to entry, after an answer: End
)

// Values of HeaderResult.
const (
	ResultAnswer  = "answer"  // the body is the backend server's answer
	ResultRefused = "refused" // the body is a Refusal as JSON
)

// End is the outcome of an attempt whose answer has begun; it is the value of
// TrailerEnd.
type End string

// Outcomes of attempts.
const (
	EndComplete  End = "complete"
	EndPreempted End = "preempted" // stopped for a request of a higher tier
	EndFailed    End = "failed"
	EndCancelled End = "cancelled"
	EndWithdrawn End = "withdrawn" // the API key was withdrawn meanwhile
)

// State is the state of the sender. Each side sends it in Hello or HelloReply, and
// again in a heartbeat when it has changed.
type State struct {
	Config config.Version `json:"config"`
	// Leaving is set by a sidecar that is draining: it accepts no new requests. An
	// entry sets it if the platform lists the sidecar's instance as leaving; the
	// sidecar then drains.
	Leaving bool `json:"leaving,omitempty"`
	// Services is the number of plain services that the platform lists, 0 if unknown.
	// Their sidecars share the budget of claim appends. Set by entries only.
	Services int `json:"services,omitempty"`
	// Servers is the number of all backend servers that the platform lists, 0 if
	// unknown. Set by entries only.
	Servers int `json:"servers,omitempty"`
}

// Hello is the first message on a control connection: the entry names itself and sends its
// state.
type Hello struct {
	// Entry is the instance name of the entry, and Incarnation identifies its process.
	Entry       string `json:"entry"`
	Incarnation string `json:"incarnation"`
	State       State  `json:"state"`
	// Term is the start time of the sidecar's instance in the platform's list; 0 if
	// unknown. It is the fencing number of the sidecar: of two sidecars beside one
	// backend server, the one with the higher term is the current one.
	Term int64 `json:"term,omitempty"`
}

// HelloReply describes the sidecar.
type HelloReply struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	Pool        string `json:"pool"`
	Zone        string `json:"zone"`
	// DataURL is the base URL for request bodies and answers.
	DataURL string `json:"dataUrl"`
	// Slots is the number of requests that the backend server runs concurrently.
	Slots int `json:"slots"`
	// ProgressTimeoutMs is the time without output of the backend server after which
	// the sidecar ends an attempt.
	ProgressTimeoutMs clock.Millis `json:"progressTimeoutMs"`
	State             State        `json:"state"`
	Load              Load         `json:"load"`
}

// Load is the load of the backend server, as counted by its sidecar.
type Load struct {
	// Free is the number of free slots.
	Free    int `json:"free"`
	Running int `json:"running"`
	// Waiting is the number of waiting requests by tier; index 0 is the highest tier.
	Waiting []int `json:"waiting,omitempty"`
	// Preemptible is the number of running requests that may be preempted, by tier.
	Preemptible []int `json:"preemptible,omitempty"`
	// TokenMs is the observed time per output token, in milliseconds; 0 if unknown.
	TokenMs float64 `json:"tokenMs,omitempty"`
}

// Heartbeat shows that the sender is alive. State and Load are nil if they have not
// changed since the sender's previous message on the connection.
type Heartbeat struct {
	State *State `json:"state,omitempty"`
	Load  *Load  `json:"load,omitempty"`
}

// Equal reports whether l and o are equal.
func (l Load) Equal(o Load) bool {
	return l.Free == o.Free && l.Running == o.Running && l.TokenMs == o.TokenMs && slices.Equal(l.Waiting, o.Waiting) && slices.Equal(l.Preemptible, o.Preemptible)
}

// Reservation requests a slot for one attempt.
type Reservation struct {
	ID string `json:"id"`
	// Entry is the incarnation of the requesting entry.
	Entry   string `json:"entry"`
	Class   string `json:"class"`
	Account string `json:"account"`
	// KeyID is the id of the API key of the request.
	KeyID string `json:"keyId"`
	// Tier is 0 for the highest tier.
	Tier int `json:"tier"`
	// Share is the weight of the account within the tier, at least 1.
	Share int `json:"share"`
	// FloorPercent is the floor of the class: the part of the tokens charged at the
	// backend server that the class is entitled to while it waits; 0 to 100.
	FloorPercent int `json:"floorPercent,omitempty"`
	// RemainingMs is the time left until the target time of the first token, or of
	// the whole answer if WholeAnswer is set; 0 for no target.
	RemainingMs  clock.Millis `json:"remainingMs,omitempty"`
	WholeAnswer  bool         `json:"wholeAnswer,omitempty"`
	PromptTokens int          `json:"promptTokens,omitempty"`
	// MaxTokens bounds the output length; 0 for no bound.
	MaxTokens int `json:"maxTokens,omitempty"`
	// AgeMs is the time since the request arrived at the entry.
	AgeMs clock.Millis `json:"ageMs,omitempty"`
	// Resumed is set if an earlier attempt at the request was interrupted.
	Resumed bool `json:"resumed,omitempty"`
	// Preemptible is set if the running request may be stopped and resumed later.
	Preemptible bool `json:"preemptible,omitempty"`
	// NonPreempting is set if no running request is to be preempted for this one,
	// because another sidecar may preempt for it. Sending the reservation again
	// without it allows preemption here.
	NonPreempting bool `json:"nonPreempting,omitempty"`
}

// UnmarshalJSON decodes and checks a reservation.
func (r *Reservation) UnmarshalJSON(data []byte) error {
	type plain Reservation
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return err
	}
	if p.ID == "" || p.Account == "" {
		return &directory.FieldError{Field: "reservation.id", Value: p.ID, Reason: "id and account must not be empty"}
	}
	if p.Tier < 0 || p.Tier >= directory.Tiers {
		return &directory.FieldError{Field: "reservation.tier", Value: p.Tier, Reason: "unknown tier"}
	}
	p.Share = max(p.Share, 1)
	*r = Reservation(p)
	return nil
}

// Verdict is a sidecar's estimate for one reservation.
type Verdict struct {
	ID string `json:"id"`
	// Place is the estimated number of waiting requests that are served before it.
	Place int `json:"place"`
	// WaitMs is the estimated time until the request starts.
	WaitMs clock.Millis `json:"waitMs"`
	// Feasible is set if the request is expected to meet its target.
	Feasible bool `json:"feasible"`
	// LowestTier is the lowest tier (largest number) with a request that is waiting
	// or running preemptibly at the sidecar; -1 if there is none.
	LowestTier int `json:"lowestTier"`
	// RetryAfterMs is the time until the work ahead of the request is expected to be
	// done.
	RetryAfterMs clock.Millis `json:"retryAfterMs,omitempty"`
	// Final is set if the sidecar no longer holds the reservation.
	Final bool `json:"final,omitempty"`
}

// ID identifies a reservation. It is the parameter of MethodOffer and MethodCancel.
type ID struct {
	ID string `json:"id"`
}

// FetchConfig requests the configuration records after the version Since.
type FetchConfig struct {
	Since config.Version `json:"since"`
}

// FetchConfigReply carries the first records after the requested version, or the
// whole state if the sender no longer keeps those records.
type FetchConfigReply struct {
	Records  []logservice.Record `json:"records,omitempty"`
	Snapshot *directory.Snapshot `json:"snapshot,omitempty"`
	// Version is the sender's current version, and Ready its config.Store.Ready.
	Version config.Version `json:"version"`
	Ready   bool           `json:"ready"`
}

// Request describes the request to run. It is sent as the header HeaderRequest of
// the data connection. Method and Path are empty for a chat completion.
type Request struct {
	Method string              `json:"method,omitempty"`
	Path   string              `json:"path,omitempty"` // including the query
	Header map[string][]string `json:"header,omitempty"`
	// Protected is set for requests that must run at most once.
	Protected      bool   `json:"protected,omitempty"`
	IdempotencyKey string `json:"idempotencyKey,omitempty"`
	Route          string `json:"route,omitempty"`
	// ResumeTokens is the number of output tokens that earlier attempts have already
	// delivered; the answer continues after them.
	ResumeTokens int `json:"resumeTokens,omitempty"`
	// Whole is set if the answer is delivered in one piece, not streamed. The account
	// is then charged for complete answers only, since the caller gets no other.
	Whole bool `json:"whole,omitempty"`
}

// Refusal is the body of an answer whose HeaderResult is ResultRefused.
type Refusal struct {
	// Code is one of the constants below.
	Code    string `json:"code"`
	Message string `json:"message"`
	// NotRun is set if the request was not and will not be sent to the backend server.
	NotRun bool `json:"notRun"`
	// Unknown is set if the request may have run.
	Unknown      bool         `json:"unknown,omitempty"`
	RetryAfterMs clock.Millis `json:"retryAfterMs,omitempty"`
	// DoneStatus is the HTTP status with which the backend server answered an earlier
	// attempt; 0 if there is none.
	DoneStatus int `json:"doneStatus,omitempty"`
}

// Values of Refusal.Code.
const (
	CodeFull         = "full"         // no slot is free
	CodeLeaving      = "leaving"      // the sidecar is draining or has stopped, or has not received a configuration yet
	CodeDuplicate    = "duplicate"    // the attempt already runs
	CodeKeyWithdrawn = "keyWithdrawn" // the API key is withdrawn
	CodePreempted    = "preempted"    // stopped for a request of a higher tier
	CodeOfferLapsed  = "offerLapsed"  // the offer of the slot has expired
	CodeBadRequest   = "badRequest"
	CodeLogDown      = "logUnavailable"
	CodeUnavailable  = "serverUnavailable"
	CodeUnknown      = "outcomeUnknown" // the request may have run
	CodeAlreadyDone  = "alreadyDone"    // an earlier attempt has run; see Refusal.DoneStatus
)
