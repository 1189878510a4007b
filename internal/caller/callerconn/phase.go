package callerconn

import "github.com/damaskport/damaskport/internal/runtime/clock"

const (
	// lookTime is how long a connection is read once its time is over, for what arrived in time
	// and was not read: the process may not have run.
	lookTime = 10 * clock.Millisecond
	// headSlackBytes is by how much a head may exceed its limit: callers may count less of it.
	headSlackBytes = 4 << 10
)

// Limits bound a connection while no request is handled.
type Limits struct {
	IdleMs    clock.Millis // until the first byte of a request
	HeadMs    clock.Millis // from the first byte of a request's head to the end of the head
	HeadBytes int          // size of a request's head
}

// State is what a connection is used for.
type State int

// The states, in the order in which a request passes through them.
const (
	Idle     State = iota // nothing of the next request has arrived
	Head                  // a part of a request's head has arrived
	Read                  // the HTTP server has read a head, or has given up on it
	Handled               // the handler has the request
	Returned              // the handler has returned
	Closing               // a request was refused unread, nothing more is read or written
)

// Phase is a state of a connection with the time of its beginning. It is immutable.
type Phase struct {
	State   State
	SinceMs clock.Millis
	Limits  Limits // in force when the phase began
	// LookUntilMs is the time to which the phase was extended by lookTime; 0 if it was not.
	LookUntilMs clock.Millis
	Bytes       int // of the head that have arrived
}

// Deadline returns the time at which p ends unless something arrives, and whether it has one. now
// are the limits in force. A caller may know the limits of either time: the longer ones apply.
func (p Phase) Deadline(now Limits) (clock.Millis, bool) {
	switch p.State {
	case Idle:
		return max(p.SinceMs+max(p.Limits.IdleMs, now.IdleMs), p.LookUntilMs), true
	case Head:
		return max(p.SinceMs+max(p.Limits.HeadMs, now.HeadMs), p.LookUntilMs), true
	}
	return 0, false
}

// Received returns the phase after n bytes have arrived.
func (p Phase) Received(n int, nowMs clock.Millis, now Limits) Phase {
	switch p.State {
	case Idle:
		return Phase{State: Head, SinceMs: nowMs, Limits: now, Bytes: n}
	case Head:
		p.Bytes += n
	}
	return p
}

// TooLong reports whether the part of a head that has arrived is longer than a head may be.
func (p Phase) TooLong(now Limits) bool {
	return p.State == Head && p.Bytes > max(p.Limits.HeadBytes, now.HeadBytes)+headSlackBytes
}

// Waited returns the phase after nothing has arrived until nowMs, and whether it is over.
func (p Phase) Waited(nowMs clock.Millis, now Limits) (Phase, bool) {
	at, ok := p.Deadline(now)
	switch {
	case !ok:
		return p, true
	case nowMs < at:
		return p, false
	case p.LookUntilMs == 0:
		p.LookUntilMs = nowMs + lookTime
		return p, false
	}
	return p, true
}

// Unanswered reports whether a request has begun to arrive and will not be handled if the
// connection is closed: the HTTP server closes it before it calls the handler.
func (p Phase) Unanswered() bool { return p.State == Head || p.State == Read }
