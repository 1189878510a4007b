package clock

// maxDriftRate bounds how far two monotonic clocks drift apart, in ms per ms. Quartz
// oscillators stay within a tenth of it.
const maxDriftRate = 0.0005

// Remote converts times of another process's monotonic clock to the local monotonic clock.
// It estimates the offset between the clocks from messages that the other process echoes.
// The transit time of a message is unknown, so the offset is known as a lower bound only.
// The zero value is ready for use and has no estimate. Remote is not safe for concurrent use.
type Remote struct {
	// minOffset is a lower bound of the local clock's time minus the remote clock's time.
	minOffset   Millis
	hasEstimate bool
	updatedMs   Millis // local time at which the message of minOffset was echoed
}

// Echo updates the estimate with a message that was sent at the local time sent and reached
// the other process at its time received. now is the current local time.
func (r *Remote) Echo(now, sent, received Millis) {
	minOffset := sent - received
	if r.hasEstimate && minOffset <= r.minOffsetAt(now) {
		// The estimate keeps the time of its message: parts of a millisecond of drift would be lost otherwise.
		return
	}
	r.minOffset, r.hasEstimate, r.updatedMs = minOffset, true, now
}

// Own converts the time remote of the other process to the earliest local time that it can correspond to. now is
// the current local time. ok is false before the first call of Echo.
func (r *Remote) Own(now, remote Millis) (local Millis, ok bool) {
	return remote + r.minOffsetAt(now), r.hasEstimate
}

// minOffsetAt returns the lower bound of the offset at the local time now: minOffset, less the
// largest possible drift since its message.
func (r *Remote) minOffsetAt(now Millis) Millis {
	return r.minOffset - Millis(float64(max(now-r.updatedMs, 0))*maxDriftRate)
}
