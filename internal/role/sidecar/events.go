package sidecar

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/peer/dispatch"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// reserveEvent queues a reservation for a slot and sends its entry a verdict, or a
// refusal if it cannot be served.
type reserveEvent struct {
	link *dispatch.Link
	r    dispatch.Reservation
}

func (e reserveEvent) apply(c *core, now clock.Millis) {
	if c.draining || !c.hasConfig() || c.keyWithdrawn(e.r.KeyID) {
		e.link.Notify(dispatch.MethodRefuse, dispatch.Verdict{ID: e.r.ID, LowestTier: -1, Final: true})
		return
	}
	v := wireVerdict(e.r.ID, c.slots.Reserve(now, slotReservation(e.r, now)))
	if !v.Feasible {
		v.Final = true
		e.link.Notify(dispatch.MethodRefuse, v)
		return
	}
	c.waiting[e.r.ID] = waitingReservation{link: e.link, keyID: e.r.KeyID}
	e.link.Notify(dispatch.MethodVerdict, v)
}

// cancelEvent drops the waiting reservation, or stops the running attempt, with
// the given id.
type cancelEvent struct{ id string }

func (e cancelEvent) apply(c *core, now clock.Millis) {
	if r, ok := c.running[e.id]; ok {
		r.stop(&stopError{dispatch.EndCancelled})
		return
	}
	delete(c.waiting, e.id)
	c.slots.Cancel(now, e.id)
}

// startEvent starts an attempt, either on the slot offered to its reservation or,
// without a reservation, on a free slot. A startReply is sent to reply.
type startEvent struct {
	r     dispatch.Reservation
	ctx   context.Context
	reply chan<- startReply
}

// startReply holds the started attempt, or the refusal if run is nil.
type startReply struct {
	run     *runningAttempt
	refusal dispatch.Refusal
}

func (e startEvent) apply(c *core, now clock.Millis) {
	if refusal, ok := c.admit(e.r); !ok {
		e.reply <- startReply{refusal: refusal}
		return
	}
	if _, offered := c.waiting[e.r.ID]; offered {
		delete(c.waiting, e.r.ID)
		if !c.slots.Accept(now, e.r.ID) {
			c.slots.Cancel(now, e.r.ID)
			e.reply <- startReply{refusal: dispatch.Refusal{Code: dispatch.CodeOfferLapsed, Message: "the offer has expired", NotRun: true}}
			return
		}
	} else if v, ok := c.slots.TryStart(now, slotReservation(e.r, now)); !ok {
		e.reply <- startReply{refusal: dispatch.Refusal{Code: dispatch.CodeFull, Message: "no slot is free", NotRun: true, RetryAfterMs: v.RetryAfterMs}}
		return
	}
	ctx, stop := context.WithCancelCause(e.ctx)
	r := &runningAttempt{id: e.r.ID, keyID: e.r.KeyID, ctx: ctx, stop: stop}
	c.running[r.id] = r
	e.reply <- startReply{run: r}
}

// admit checks the conditions for starting an attempt other than slots: the
// sidecar takes work, the API key is valid and the attempt is not already running.
func (c *core) admit(r dispatch.Reservation) (dispatch.Refusal, bool) {
	if c.draining {
		return dispatch.Refusal{Code: dispatch.CodeLeaving, Message: "the backend server is draining", NotRun: true}, false
	}
	if !c.hasConfig() {
		return dispatch.Refusal{Code: dispatch.CodeLeaving, Message: "the sidecar has no configuration yet", NotRun: true}, false
	}
	if c.keyWithdrawn(r.KeyID) {
		return dispatch.Refusal{Code: dispatch.CodeKeyWithdrawn, Message: "the API key has been withdrawn", NotRun: true}, false
	}
	if _, running := c.running[r.ID]; running {
		return dispatch.Refusal{Code: dispatch.CodeDuplicate, Message: "an attempt with this id is already running", Unknown: true}, false
	}
	return dispatch.Refusal{}, true
}

// progressEvent reports the number of output tokens that a running attempt has
// generated so far.
type progressEvent struct {
	id     string
	tokens int
}

func (e progressEvent) apply(c *core, now clock.Millis) {
	c.slots.Progress(now, e.id, e.tokens)
}

// finishEvent frees the slot of an attempt that has ended and reports its final
// number of output tokens.
type finishEvent struct {
	id     string
	tokens int
}

func (e finishEvent) apply(c *core, now clock.Millis) {
	r, ok := c.running[e.id]
	if !ok {
		return
	}
	r.stop(nil)
	delete(c.running, e.id)
	c.slots.Finish(now, e.id, e.tokens)
}

// linkClosedEvent drops the waiting reservations of a closed control connection.
// Running attempts go on, since their answers use data connections.
type linkClosedEvent struct {
	link  *dispatch.Link
	entry string
}

func (e linkClosedEvent) apply(c *core, now clock.Millis) {
	delete(c.sent, e.link)
	for id, w := range c.waiting {
		if w.link == e.link {
			delete(c.waiting, id)
			c.slots.Cancel(now, id)
		}
	}
	c.log.WithFields(logrus.Fields{"event": "entryGone", "entry": e.entry}).Info("control connection closed")
}

// heartbeatEvent sends a heartbeat to an entry with the state and the load, each
// only if it differs from the last one sent.
type heartbeatEvent struct{ link *dispatch.Link }

func (e heartbeatEvent) apply(c *core, _ clock.Millis) {
	if e.link.Closed() {
		delete(c.sent, e.link)
		return
	}
	last := c.sent[e.link]
	now := sentState{c.state(), c.load()}
	h := dispatch.Heartbeat{}
	if now.state != last.state {
		h.State = &now.state
	}
	if !now.load.Equal(last.load) {
		h.Load = &now.load
	}
	c.sent[e.link] = now
	e.link.Notify(dispatch.MethodHeartbeat, h)
}

// loadEvent sends the current load to reply, for the answer to a hello.
type loadEvent struct{ reply chan<- dispatch.Load }

func (e loadEvent) apply(c *core, _ clock.Millis) { e.reply <- c.load() }

// configEvent, sent after each configuration change, stops the running attempts
// and refuses the waiting reservations of API keys that have been withdrawn.
type configEvent struct{}

func (configEvent) apply(c *core, now clock.Millis) {
	for _, r := range c.running {
		if c.keyWithdrawn(r.keyID) {
			r.stop(&stopError{dispatch.EndWithdrawn})
		}
	}
	for id, w := range c.waiting {
		if c.keyWithdrawn(w.keyID) {
			delete(c.waiting, id)
			c.slots.Cancel(now, id)
			w.link.Notify(dispatch.MethodRefuse, dispatch.Verdict{ID: id, LowestTier: -1, Final: true})
		}
	}
}

// drainEvent makes the core refuse new reservations and attempts for good; done is
// closed once it does.
type drainEvent struct{ done chan<- struct{} }

func (e drainEvent) apply(c *core, now clock.Millis) {
	c.draining = true
	c.slots.Drain(now)
	close(e.done)
}

// runningCountEvent sends the number of running attempts to reply.
type runningCountEvent struct{ reply chan<- int }

func (e runningCountEvent) apply(c *core, _ clock.Millis) { e.reply <- len(c.running) }
