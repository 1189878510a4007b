package sidecar

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/peer/dispatch"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// reserveEvent asks for a place among the waiting.
type reserveEvent struct {
	link *dispatch.Link
	r    dispatch.Reservation
}

func (e reserveEvent) apply(c *core, now clock.Millis) {
	if c.leaving || !c.configured() || c.withdrawn(e.r.KeyID) {
		e.link.Notify(dispatch.MethodRefuse, dispatch.Verdict{ID: e.r.ID, LowestTier: -1, Final: true})
		return
	}
	v := wireVerdict(e.r.ID, c.slots.Reserve(now, reservation(e.r, now)))
	if !v.Feasible {
		v.Final = true
		e.link.Notify(dispatch.MethodRefuse, v)
		return
	}
	c.waiting[e.r.ID] = waiting{link: e.link, keyID: e.r.KeyID}
	e.link.Notify(dispatch.MethodVerdict, v)
}

// cancelEvent drops a reservation or stops a running attempt.
type cancelEvent struct{ id string }

func (e cancelEvent) apply(c *core, now clock.Millis) {
	if r, ok := c.runs[e.id]; ok {
		r.stop(&endError{dispatch.EndCancelled})
		return
	}
	delete(c.waiting, e.id)
	c.slots.Cancel(now, e.id)
}

// startEvent turns an offer, or a free slot, into a running attempt.
type startEvent struct {
	r     dispatch.Reservation
	ctx   context.Context
	reply chan<- startReply
}

type startReply struct {
	run     *run
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
			e.reply <- startReply{refusal: dispatch.Refusal{Code: dispatch.CodeOfferLapsed, Message: "the offer has lapsed", NotRun: true}}
			return
		}
	} else if v, ok := c.slots.TryStart(now, reservation(e.r, now)); !ok {
		e.reply <- startReply{refusal: dispatch.Refusal{Code: dispatch.CodeFull, Message: "no slot is free", NotRun: true, RetryAfterMs: v.RetryAfterMs}}
		return
	}
	ctx, stop := context.WithCancelCause(e.ctx)
	r := &run{id: e.r.ID, keyID: e.r.KeyID, ctx: ctx, stop: stop}
	c.runs[r.id] = r
	e.reply <- startReply{run: r}
}

// admit checks what does not depend on slots.
func (c *core) admit(r dispatch.Reservation) (dispatch.Refusal, bool) {
	if c.leaving {
		return dispatch.Refusal{Code: dispatch.CodeLeaving, Message: "the backend server is leaving", NotRun: true}, false
	}
	if !c.configured() {
		return dispatch.Refusal{Code: dispatch.CodeLeaving, Message: "the sidecar has no configuration yet", NotRun: true}, false
	}
	if c.withdrawn(r.KeyID) {
		return dispatch.Refusal{Code: dispatch.CodeKeyWithdrawn, Message: "the key is withdrawn", NotRun: true}, false
	}
	if _, running := c.runs[r.ID]; running {
		return dispatch.Refusal{Code: dispatch.CodeDuplicate, Message: "the attempt runs already", Unknown: true}, false
	}
	return dispatch.Refusal{}, true
}

// progressEvent reports tokens generated so far.
type progressEvent struct {
	id     string
	tokens int
}

func (e progressEvent) apply(c *core, now clock.Millis) {
	c.slots.Progress(now, e.id, e.tokens)
}

// finishEvent frees the slot of an attempt.
type finishEvent struct {
	id     string
	tokens int
}

func (e finishEvent) apply(c *core, now clock.Millis) {
	r, ok := c.runs[e.id]
	if !ok {
		return
	}
	r.stop(nil)
	delete(c.runs, e.id)
	c.slots.Finish(now, e.id, e.tokens)
}

// goneEvent drops the waiting reservations of a closed connection.
type goneEvent struct {
	link  *dispatch.Link
	entry string
}

func (e goneEvent) apply(c *core, now clock.Millis) {
	delete(c.told, e.link)
	for id, w := range c.waiting {
		if w.link == e.link {
			delete(c.waiting, id)
			c.slots.Cancel(now, id)
		}
	}
	c.log.WithFields(logrus.Fields{"event": "entryGone", "entry": e.entry}).Info("control connection closed")
}

// heartbeatEvent answers an entry's heartbeat.
type heartbeatEvent struct{ link *dispatch.Link }

func (e heartbeatEvent) apply(c *core, _ clock.Millis) {
	if e.link.Closed() {
		delete(c.told, e.link)
		return
	}
	last := c.told[e.link]
	now := told{c.state(), c.load()}
	h := dispatch.Heartbeat{}
	if now.state != last.state {
		h.State = &now.state
	}
	if !now.load.Equal(last.load) {
		h.Load = &now.load
	}
	c.told[e.link] = now
	e.link.Notify(dispatch.MethodHeartbeat, h)
}

// loadEvent reads the load for a greeting.
type loadEvent struct{ reply chan<- dispatch.Load }

func (e loadEvent) apply(c *core, _ clock.Millis) { e.reply <- c.load() }

// configEvent stops what runs or waits for keys that have been withdrawn.
type configEvent struct{}

func (configEvent) apply(c *core, now clock.Millis) {
	for _, r := range c.runs {
		if c.withdrawn(r.keyID) {
			r.stop(&endError{dispatch.EndWithdrawn})
		}
	}
	for id, w := range c.waiting {
		if c.withdrawn(w.keyID) {
			delete(c.waiting, id)
			c.slots.Cancel(now, id)
			w.link.Notify(dispatch.MethodRefuse, dispatch.Verdict{ID: id, LowestTier: -1, Final: true})
		}
	}
}

// drainEvent refuses new work from now on.
type drainEvent struct{ done chan<- struct{} }

func (e drainEvent) apply(c *core, now clock.Millis) {
	c.leaving = true
	c.slots.Drain(now)
	close(e.done)
}

// idleEvent reports the number of attempts that still run.
type idleEvent struct{ reply chan<- int }

func (e idleEvent) apply(c *core, _ clock.Millis) { e.reply <- len(c.runs) }
