package claim

import "github.com/damaskport/damaskport/internal/runtime/clock"

// Request is one attempt of a protected request.
type Request struct {
	Key     Key
	Attempt string
	// ExpiresMs is the end of the key's window in the log's time.
	ExpiresMs clock.Millis
	// DeadlineMs is the time, on the clock of the Author's inputs, after
	// which the attempt must not be handed over.
	DeadlineMs clock.Millis
}

// Action is what an Author wants done: Append, HandOver, Refuse or Answer.
type Action interface{ action() }

// Append adds a record to the stream. Its result goes to Appended,
// AppendFailed or AppendUnknown.
type Append struct {
	Batch int64
	Data  []byte
}

// HandOver gives the attempt to the backend server, once. The end of the
// attempt goes to Finished.
type HandOver struct {
	Request Request
	// Offset is that of the accepted claim.
	Offset int64
}

// RefuseReason tells why an attempt was not run.
type RefuseReason string

// Reasons to refuse.
const (
	ReasonDeadline RefuseReason = "deadline"
	ReasonLog      RefuseReason = "logUnavailable"
	ReasonNotWhole RefuseReason = "claimsUnknown"
	ReasonExpired  RefuseReason = "keyExpired"
	ReasonStopping RefuseReason = "stopping"
	ReasonKnown    RefuseReason = "attemptKnown"
)

// Refuse answers that the attempt was not run; it never will be.
type Refuse struct {
	Request Request
	Reason  RefuseReason
}

// Answer answers that the key is held by another attempt. Result is empty
// while that attempt may be running.
type Answer struct {
	Request Request
	Holder  Entry
	Result  Result
	Status  int
}

func (Append) action()   {}
func (HandOver) action() {}
func (Refuse) action()   {}
func (Answer) action()   {}
