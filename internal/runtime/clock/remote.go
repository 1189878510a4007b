package clock

// driftPerMs is by how much two steady clocks move apart at the most, as a part
// of the time: quartz is within a tenth of that.
const driftPerMs = 0.0005

// Remote places times of another process's steady clock on the own one. It is
// told of messages there and knows bounds only: how long one was on its way is
// unknown. The zero value knows nothing.
type Remote struct {
	// lead is at most the own clock less the other one.
	lead  Millis
	known bool
	atMs  Millis // when lead was true, by the own clock
}

// Echo takes in that a message, which was sent at sent by the own clock, was at
// the other process at got by its clock.
func (r *Remote) Echo(now, sent, got Millis) {
	lead := sent - got
	if r.known {
		lead = max(lead, r.leadAt(now))
	}
	r.lead, r.known, r.atMs = lead, true, now
}

// Own returns the earliest time by the own clock that the other one's time t can
// have been; ok is false while nothing is known.
func (r *Remote) Own(now, t Millis) (own Millis, ok bool) {
	return t + r.leadAt(now), r.known
}

func (r *Remote) leadAt(now Millis) Millis {
	return r.lead - Millis(float64(max(now-r.atMs, 0))*driftPerMs)
}
