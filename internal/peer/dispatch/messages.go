// Package dispatch is the protocol between entries and sidecars.
//
// Control messages are JSON-RPC 2.0 notifications and calls over one TCP
// connection that the entry dials. Request bodies and answers travel over
// HTTP to the sidecar's data address, so that back-pressure never holds up
// control messages.
package dispatch

import (
	"encoding/json"
	"slices"

	"github.com/damaskport/damaskport/internal/peer/config"
	"github.com/damaskport/damaskport/internal/platform/logservice"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/directory"
)

// Methods of the control connection.
const (
	MethodHello       = "hello"
	MethodReserve     = "reserve"
	MethodVerdict     = "verdict"
	MethodOffer       = "offer"
	MethodRefuse      = "refuse"
	MethodCancel      = "cancel"
	MethodHeartbeat   = "heartbeat"
	MethodFetchConfig = "fetchConfig"
)

// Headers and trailers of the data connection.
const (
	HeaderReservation = "Damaskport-Reservation"
	HeaderAttempt     = "Damaskport-Attempt"
	HeaderResult      = "Damaskport-Result"
	HeaderRequest     = "Damaskport-Request"
	TrailerEnd        = "Damaskport-End"
)

// Values of HeaderResult.
const (
	ResultAnswer  = "answer"
	ResultRefused = "refused"
)

// End tells how an attempt ended; it is the value of TrailerEnd.
type End string

// Ends of attempts.
const (
	EndComplete  End = "complete"
	EndPreempted End = "preempted"
	EndFailed    End = "failed"
	EndCancelled End = "cancelled"
	EndWithdrawn End = "withdrawn"
)

// State is what each side tells the other with every greeting and heartbeat.
type State struct {
	Config config.Version `json:"config"`
	// Leaving tells that the sender takes no new work, or, from an entry,
	// that the platform lists the sidecar's instance as leaving.
	Leaving bool `json:"leaving,omitempty"`
	// Services is the number of plain services that the platform lists; their
	// sidecars share the budget of claim appends. Only entries tell it.
	Services int `json:"services,omitempty"`
	// Servers is the number of all backend servers that the platform lists.
	Servers int `json:"servers,omitempty"`
}

// Hello opens a control connection.
type Hello struct {
	Entry       string `json:"entry"`
	Incarnation string `json:"incarnation"`
	State       State  `json:"state"`
	// Term is when the platform started the sidecar's instance, by its list.
	// Of two sidecars beside one backend server, the one with the higher term
	// is the present one.
	Term int64 `json:"term,omitempty"`
}

// HelloReply describes the sidecar.
type HelloReply struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	Pool        string `json:"pool"`
	Zone        string `json:"zone"`
	DataURL     string `json:"dataUrl"`
	Slots       int    `json:"slots"`
	// ProgressTimeoutMs is the silence of its server that the sidecar bears.
	ProgressTimeoutMs clock.Millis `json:"progressTimeoutMs"`
	State             State        `json:"state"`
	Load              Load         `json:"load"`
}

// Load is the sidecar's own account of its server.
type Load struct {
	Free    int   `json:"free"`
	Running int   `json:"running"`
	Waiting []int `json:"waiting,omitempty"` // by tier
	// Preemptible counts the running requests that may be preempted, by tier.
	Preemptible []int `json:"preemptible,omitempty"`
	// TokenMs is the observed time per token, in milliseconds; 0 is unknown.
	TokenMs float64 `json:"tokenMs,omitempty"`
}

// Heartbeat shows that the sender lives. State and load are left out when they
// are the same as in the sender's last message on the connection.
type Heartbeat struct {
	State *State `json:"state,omitempty"`
	Load  *Load  `json:"load,omitempty"`
}

// Equal reports whether two loads are the same.
func (l Load) Equal(o Load) bool {
	return l.Free == o.Free && l.Running == o.Running && l.TokenMs == o.TokenMs && slices.Equal(l.Waiting, o.Waiting) && slices.Equal(l.Preemptible, o.Preemptible)
}

// Reservation asks for a slot.
type Reservation struct {
	ID string `json:"id"`
	// Entry is the incarnation of the entry that asks.
	Entry   string `json:"entry"`
	Class   string `json:"class"`
	Account string `json:"account"`
	KeyID   string `json:"keyId"`
	Tier    int    `json:"tier"`
	Share   int    `json:"share"`
	// FloorPercent is the class's floor of the charged tokens.
	FloorPercent int `json:"floorPercent,omitempty"`
	// RemainingMs is the time left to the first-token target, or to that of the
	// whole answer; 0 is no target.
	RemainingMs  clock.Millis `json:"remainingMs,omitempty"`
	WholeAnswer  bool         `json:"wholeAnswer,omitempty"`
	PromptTokens int          `json:"promptTokens,omitempty"`
	// MaxTokens bounds the output length; 0 is no bound.
	MaxTokens int `json:"maxTokens,omitempty"`
	// AgeMs is the time since the request arrived at the entry.
	AgeMs clock.Millis `json:"ageMs,omitempty"`
	// Resumed tells that an earlier attempt was interrupted.
	Resumed     bool `json:"resumed,omitempty"`
	Preemptible bool `json:"preemptible,omitempty"`
	// NonPreempting tells that nothing is preempted for it here, as another sidecar
	// was asked to. The same reservation without it withdraws this.
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
		return &directory.FieldError{Field: "reservation.tier", Value: p.Tier, Reason: "is no tier"}
	}
	p.Share = max(p.Share, 1)
	*r = Reservation(p)
	return nil
}

// Verdict is a sidecar's estimate for one reservation.
type Verdict struct {
	ID       string       `json:"id"`
	Place    int          `json:"place"`
	WaitMs   clock.Millis `json:"waitMs"`
	Feasible bool         `json:"feasible"`
	// LowestTier is the lowest tier held, as its number; -1 is none.
	LowestTier   int          `json:"lowestTier"`
	RetryAfterMs clock.Millis `json:"retryAfterMs,omitempty"`
	// Final tells that the reservation is no longer held.
	Final bool `json:"final,omitempty"`
}

// ID names one reservation; it is the body of offers and cancels.
type ID struct {
	ID string `json:"id"`
}

// FetchConfig asks for what follows a version of the configuration.
type FetchConfig struct {
	Since config.Version `json:"since"`
}

// FetchConfigReply holds what follows, and the version of the one who answers.
type FetchConfigReply struct {
	Records  []logservice.Record `json:"records,omitempty"`
	Snapshot *directory.Snapshot `json:"snapshot,omitempty"`
	Version  config.Version      `json:"version"`
	Ready    bool                `json:"ready"`
}

// Request describes what is to be run, as the header HeaderRequest of the data
// connection. Method and Path are empty for a chat completion.
type Request struct {
	Method string              `json:"method,omitempty"`
	Path   string              `json:"path,omitempty"` // with the query
	Header map[string][]string `json:"header,omitempty"`
	// Protected requests run at most once.
	Protected      bool   `json:"protected,omitempty"`
	IdempotencyKey string `json:"idempotencyKey,omitempty"`
	Route          string `json:"route,omitempty"`
	// ResumeTokens is the number of tokens that the caller has already.
	ResumeTokens int `json:"resumeTokens,omitempty"`
	// Whole tells that the caller takes the answer whole: of one that does not end
	// it gets nothing, and is charged nothing.
	Whole bool `json:"whole,omitempty"`
}

// Refusal is the body of an answer with ResultRefused.
type Refusal struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	// NotRun is true when the request was not and will not be handed over.
	NotRun bool `json:"notRun"`
	// Unknown is true when the request may have run.
	Unknown      bool         `json:"unknown,omitempty"`
	RetryAfterMs clock.Millis `json:"retryAfterMs,omitempty"`
	// DoneStatus is the backend server's status of an earlier attempt that ran.
	DoneStatus int `json:"doneStatus,omitempty"`
}

// Codes of refusals.
const (
	CodeFull         = "full"
	CodeLeaving      = "leaving"
	CodeDuplicate    = "duplicate"
	CodeKeyWithdrawn = "keyWithdrawn"
	CodePreempted    = "preempted"
	CodeOfferLapsed  = "offerLapsed"
	CodeBadRequest   = "badRequest"
	CodeLogDown      = "logUnavailable"
	CodeUnavailable  = "serverUnavailable"
	CodeUnknown      = "outcomeUnknown"
	CodeAlreadyDone  = "alreadyDone"
)
