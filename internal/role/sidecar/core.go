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
	coreRingSize = 8192
	idleTick     = 250 * clock.Millisecond
)

// event is one input of the core; apply runs on the core's goroutine.
type event interface {
	apply(c *core, now clock.Millis)
}

// core owns the scheduler of the server's slots. One goroutine applies the
// events in order; everything else passes events to it.
type core struct {
	slots   *slots.Scheduler
	clock   clock.Clock
	log     logrus.FieldLogger
	events  *ring.Ring[event]
	waiting map[string]waiting
	runs    map[string]*run
	told    map[*dispatch.Link]told
	store   *config.Store
	leaving bool
	scope   tally.Scope
}

// waiting is a reservation that has not started.
type waiting struct {
	link  *dispatch.Link
	keyID string
}

// told is what an entry was told last.
type told struct {
	state dispatch.State
	load  dispatch.Load
}

// run is an attempt that holds a slot.
type run struct {
	id    string
	keyID string
	ctx   context.Context
	stop  context.CancelCauseFunc
}

// endError is the cause with which a run is stopped.
type endError struct{ end dispatch.End }

// Error returns the end.
func (e *endError) Error() string { return "run stopped: " + string(e.end) }

func newCore(s *slots.Scheduler, clk clock.Clock, log logrus.FieldLogger, store *config.Store, scope tally.Scope) *core {
	return &core{
		slots: s, clock: clk, log: log, events: ring.New[event](coreRingSize),
		waiting: map[string]waiting{}, runs: map[string]*run{}, told: map[*dispatch.Link]told{},
		store: store, scope: scope,
	}
}

// withdrawn reports whether a key id is withdrawn.
func (c *core) withdrawn(keyID string) bool {
	return c.store.Current().KeyWithdrawn(keyID)
}

// configured reports whether the sidecar knows which keys are withdrawn.
func (c *core) configured() bool {
	return c.store.Current().Version() > 0
}

func (c *core) state() dispatch.State {
	return dispatch.State{Config: c.store.Version(), Leaving: c.leaving}
}

// Run applies events until ctx ends.
func (c *core) Run(ctx context.Context) error {
	timer := time.NewTimer(idleTick.Duration())
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
			c.gauge()
		}
		c.act()
	}
}

// gauge publishes the load.
func (c *core) gauge() {
	l := c.slots.Load()
	c.scope.Gauge("attempts_running").Update(float64(l.Running))
	for tier, n := range l.WaitingByTier {
		c.scope.Tagged(map[string]string{"tier": strconv.Itoa(tier)}).Gauge("reservations_waiting").Update(float64(n))
	}
}

func (c *core) nextTick() clock.Millis {
	at, ok := c.slots.NextDeadline()
	if !ok {
		return idleTick
	}
	return min(max(at-c.clock.Now(), clock.Millisecond), idleTick)
}

// act carries out the scheduler's decisions.
func (c *core) act() {
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

func (c *core) preempt(id string) {
	r, ok := c.runs[id]
	if !ok {
		return
	}
	c.scope.Counter("attempts_preempted_total").Inc(1)
	c.log.WithFields(logrus.Fields{"event": "preempt", "attempt": id}).Info("attempt stopped for a higher tier")
	r.stop(&endError{dispatch.EndPreempted})
}

func (c *core) stopAll() {
	for _, r := range c.runs {
		r.stop(&endError{dispatch.EndFailed})
	}
}

func (c *core) load() dispatch.Load {
	l := c.slots.Load()
	return dispatch.Load{Free: l.Free, Running: l.Running, Waiting: l.WaitingByTier, Preemptible: l.PreemptibleByTier, TokenMs: l.TokenMs}
}

func wireVerdict(id string, v slots.Verdict) dispatch.Verdict {
	return dispatch.Verdict{
		ID: id, Place: v.QueuePosition, WaitMs: v.WaitMs, Feasible: v.Feasible,
		LowestTier: v.LowestTier, RetryAfterMs: v.RetryAfterMs,
	}
}

func reservation(r dispatch.Reservation, now clock.Millis) slots.Reservation {
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
