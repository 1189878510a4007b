package claim

import "github.com/damaskport/damaskport/internal/runtime/clock"

// Request asks to run one attempt of a protected request, that is, one that
// carries an idempotency key.
type Request struct {
	Key Key
	// Attempt is the name of the attempt, unique over all attempts.
	Attempt string
	// ExpiresMs is the end of the key's idempotency window, in log time.
	ExpiresMs clock.Millis
	// DeadlineMs is the latest time to hand the attempt over, on the
	// monotonic clock that the Author is driven by.
	DeadlineMs clock.Millis
}

// Action is an effect that the caller of an Author must carry out: Append,
// HandOver, Refuse or Answer.
type Action interface{ action() }

// Append adds a record to the stream. The caller reports the result, with the
// Batch number, to Author.Appended, AppendFailed or AppendUnknown.
type Append struct {
	Batch int64
	Data  []byte
}

// HandOver sends the attempt to the backend server, exactly once. The caller
// reports the result to Author.Finished.
type HandOver struct {
	Request Request
	// Offset is the offset of the accepted claim in the stream.
	Offset int64
}

// RefuseReason is why an attempt was not run.
type RefuseReason string

// Reasons to refuse an attempt.
const (
	// ReasonDeadline: the attempt's deadline passed before its hand-over.
	ReasonDeadline RefuseReason = "deadline"
	// ReasonLog: the log has failed repeatedly to append records.
	ReasonLog RefuseReason = "logUnavailable"
	// ReasonClaimsUnknown: the sidecar does not know all live claims yet.
	ReasonClaimsUnknown RefuseReason = "claimsUnknown"
	// ReasonExpired: the key's idempotency window has ended.
	ReasonExpired RefuseReason = "keyExpired"
	// ReasonStopping: the sidecar is shutting down.
	ReasonStopping RefuseReason = "stopping"
	// ReasonAbandoned: this attempt was submitted before and refused while its
	// claim could still be recorded.
	ReasonAbandoned RefuseReason = "attemptKnown"
)

// Refuse tells the requester that the attempt was not run and never will be.
type Refuse struct {
	Request Request
	Reason  RefuseReason
}

// Answer tells the requester that another attempt holds the key, or that this
// attempt was already submitted. Result is empty while the holder may still be running.
// Holder is empty if no claim is accepted yet.
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
