package sidecar

import (
	"context"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/damaskport/damaskport/internal/peer/config"
	"github.com/damaskport/damaskport/internal/peer/dispatch"
	"github.com/damaskport/damaskport/internal/policy/slots"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/ring"
)

const (
	coreQueueSize = 8192 // events queued for the core
	// maxTickInterval is the longest time between two runs of the scheduler's timers.
	maxTickInterval = 250 * clock.Millisecond
)

// event is a message to the core; apply runs on the core's goroutine with the
// current time.
type event interface {
	apply(c *core, now clock.Millis)
}

// core owns the slot scheduler of the backend server. A single goroutine runs it
// and handles events in the order of arrival, so its fields need no lock; other
// goroutines reach the core only by sending events.
type core struct {
	slots    *slots.Scheduler
	clock    clock.Clock
	log      logrus.FieldLogger
	events   *ring.Ring[event]
	waiting  map[string]waitingReservation // by reservation id
	running  map[string]*runningAttempt    // by attempt id, which is the reservation id
	sent     map[*dispatch.Link]sentState
	store    *config.Store
	draining bool // refuses new reservations and attempts
	scope    tally.Scope
}

// waitingReservation is a reservation that is queued or offered a slot, but not
// started.
type waitingReservation struct {
	link  *dispatch.Link
	keyID string
}

// sentState is the state and load last sent to an entry; a heartbeat carries only
// what differs from it.
type sentState struct {
	state dispatch.State
	load  dispatch.Load
}

// runningAttempt is an attempt that occupies a slot. Its context ends when the entry
// closes the request or when stop is called; the cause tells which.
type runningAttempt struct {
	id    string
	keyID string
	ctx   context.Context
	stop  context.CancelCauseFunc
}

// stopError is the cancellation cause of an attempt that the sidecar stops.
type stopError struct{ end dispatch.End }

// Error returns the reason for stopping the attempt.
func (e *stopError) Error() string { return "attempt stopped: " + string(e.end) }

func newCore(s *slots.Scheduler, clk clock.Clock, log logrus.FieldLogger, store *config.Store, scope tally.Scope) *core {
	return &core{
		slots: s, clock: clk, log: log, events: ring.New[event](coreQueueSize),
		waiting: map[string]waitingReservation{}, running: map[string]*runningAttempt{}, sent: map[*dispatch.Link]sentState{},
		store: store, scope: scope,
	}
}

// keyWithdrawn reports whether the current configuration lists the API key with
// this id as withdrawn.
func (c *core) keyWithdrawn(keyID string) bool {
	return c.store.Current().KeyWithdrawn(keyID)
}

// hasConfig reports whether a configuration has been received. Without one the
// sidecar cannot tell which API keys are withdrawn and refuses all work.
func (c *core) hasConfig() bool {
	return c.store.Current().Version() > 0
}

// state returns what heartbeats report to the entries besides the load.
func (c *core) state() dispatch.State {
	return dispatch.State{Config: c.store.Version(), Leaving: c.draining}
}

// Run handles events and scheduler timers until ctx ends, then stops all running
// attempts.
func (c *core) Run(ctx context.Context) error {
	timer := time.NewTimer(maxTickInterval.Duration())
	defer timer.Stop()
	for {
		timer.Reset(c.nextTick().Duration())
		select {
		case <-ctx.Done():
			c.stopAll()
			return nil
		case e := <-c.events.C():
			e.apply(c, c.clock.Now())
		case <-timer.C:
			c.slots.Tick(c.clock.Now())
			c.updateGauges()
		}
		c.performActions()
	}
}

// updateGauges updates the gauges of running attempts and of waiting reservations by
// tier.
func (c *core) updateGauges() {
	l := c.slots.Load()
	c.scope.Gauge("attempts_running").Update(float64(l.Running))
	for tier, n := range l.WaitingByTier {
		c.scope.Tagged(map[string]string{"tier": strconv.Itoa(tier)}).Gauge("reservations_waiting").Update(float64(n))
	}
}

// nextTick returns the time to the scheduler's next deadline, at least 1 ms and
// at most maxTickInterval.
func (c *core) nextTick() clock.Millis {
	at, ok := c.slots.NextDeadline()
	if !ok {
		return maxTickInterval
	}
	return min(max(at-c.clock.Now(), clock.Millisecond), maxTickInterval)
}

// performActions carries out the scheduler's pending decisions: it sends offers and
// refusals to the entries and stops preempted attempts.
func (c *core) performActions() {
	for _, a := range c.slots.Actions() {
		switch a.Kind {
		case slots.ActionOffer:
			if w, ok := c.waiting[a.ID]; ok {
				w.link.Notify(dispatch.MethodOffer, dispatch.ID{ID: a.ID})
			}
		case slots.ActionRefuse:
			c.refuse(a)
		case slots.ActionPreempt:
			c.preempt(a.ID)
		}
	}
}

// refuse removes a waiting reservation and sends its entry the final verdict.
func (c *core) refuse(a slots.Action) {
	w, ok := c.waiting[a.ID]
	if !ok {
		return
	}
	delete(c.waiting, a.ID)
	c.scope.Counter("reservations_refused_total").Inc(1)
	v := wireVerdict(a.ID, a.Verdict)
	v.Final = true
	w.link.Notify(dispatch.MethodRefuse, v)
}

// preempt stops a running attempt in favour of a request of a higher tier.
func (c *core) preempt(id string) {
	r, ok := c.running[id]
	if !ok {
		return
	}
	c.scope.Counter("attempts_preempted_total").Inc(1)
	c.log.WithFields(logrus.Fields{"event": "preempt", "attempt": id}).Info("attempt preempted by a request of a higher tier")
	r.stop(&stopError{dispatch.EndPreempted})
}

func (c *core) stopAll() {
	for _, r := range c.running {
		r.stop(&stopError{dispatch.EndFailed})
	}
}

// load returns the current load in its wire form.
func (c *core) load() dispatch.Load {
	l := c.slots.Load()
	return dispatch.Load{Free: l.Free, Running: l.Running, Waiting: l.WaitingByTier, Preemptible: l.PreemptibleByTier, TokenMs: l.TokenMs}
}

// wireVerdict converts a scheduler verdict to the control protocol.
func wireVerdict(id string, v slots.Verdict) dispatch.Verdict {
	return dispatch.Verdict{
		ID: id, Place: v.QueuePosition, WaitMs: v.WaitMs, Feasible: v.Feasible,
		LowestTier: v.LowestTier, RetryAfterMs: v.RetryAfterMs,
	}
}

// slotReservation converts a reservation from the control protocol. Its age and
// remaining time become points in time of the local clock, since the clocks of
// entry and sidecar may differ.
func slotReservation(r dispatch.Reservation, now clock.Millis) slots.Reservation {
	out := slots.Reservation{
		ID: r.ID, Entry: r.Entry, Class: r.Class, Account: r.Account,
		Tier: r.Tier, Share: r.Share, FloorPercent: r.FloorPercent,
		ArrivedMs: now - r.AgeMs, PromptTokens: r.PromptTokens, MaxTokens: r.MaxTokens, Preemptible: r.Preemptible,
		Resumed: r.Resumed, NonPreempting: r.NonPreempting, WholeAnswer: r.WholeAnswer,
	}
	if r.RemainingMs != 0 {
		out.DeadlineMs = now + r.RemainingMs
	}
	return out
}
