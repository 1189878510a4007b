// Package enginequeue hosts the order in which gateways start their requests at model
// engines.
//
// One goroutine owns the state: connections and a timer are its inputs. Nothing
// of it must last: when an engine gets another host, the gateways announce to
// it what runs.
package enginequeue

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/damaskport/damaskport/internal/peer/dispatch"
	"github.com/damaskport/damaskport/internal/peer/enginequeue"
	"github.com/damaskport/damaskport/internal/policy/batch"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/ring"
	"github.com/damaskport/damaskport/internal/runtime/supervise"
)

const (
	inputs = 4096
	// loadEvery is the least time between two messages with loads to a
	// connection, and loadPerLink what each further connection adds, so that a
	// host's messages a second do not grow with the square of the gateways.
	loadEvery   = 80 * clock.Millisecond
	loadPerLink = 8 * clock.Millisecond
	// farPerLink is what each further connection adds for gateways of other
	// availability zones, which seldom choose an engine here: bytes between zones
	// have their price.
	farPerLink = 24 * clock.Millisecond
	// tellEvery is the least time between two looks at what the connections are to
	// be told of loads: an eighth of loadEvery, so that it adds little to it.
	tellEvery = 10 * clock.Millisecond
	// queueBeat is the most while a gateway has requests here and some wait, so
	// that it can tell silence from a queue.
	queueBeat = 120 * clock.Millisecond
	// maxParts bounds the shared parts of an engine that are remembered for new
	// connections.
	maxParts = 4096
	// idleEngine is how long an engine without requests is remembered.
	idleEngine = 30 * clock.Second
	// sweepEvery is the time between two looks for such engines.
	sweepEvery = 5 * clock.Second
)

// Host orders the starts at the engines that gateways ask it about.
type Host struct {
	log   logrus.FieldLogger
	clock clock.Clock
	scope tally.Scope
	in    *ring.Ring[input]
	// On takes messages that have nothing to do with turns, by method, with the name
	// of the gateway that sent them; it must be set before Run.
	On map[string]func(entry string, params json.RawMessage) error
	// Zone is the host's availability zone; it must be set before Run.
	Zone string
	// Overloaded reports whether engines had better be hosted elsewhere; it must be
	// set before Run.
	Overloaded func() bool
	// OnHello is told of each connection and returns the answer to its greeting, and
	// OnFetch that to a gateway that asks for the configuration. OnBeat takes the
	// beats of gateways. All must be set before Run.
	OnHello func(entry string) any
	OnFetch func() any
	OnBeat  func(entry string, b enginequeue.Heartbeat)

	// Owned by the goroutine of Run.
	engines map[string]*engine
	links   map[*dispatch.Link]*client
	byEntry map[string]*dispatch.Link
	where   map[string]place // by request
	sweptMs clock.Millis
	// toldMs is when the connections were looked at last, and untold tells that
	// something has come since.
	toldMs clock.Millis
	untold bool
}

type engine struct {
	enginequeue.Engine
	batch *batch.Scheduler
	parts map[string]string // by request that has not begun
	// held tells for each part when the engine used it last, as a count of uses.
	held   map[string]int
	uses   int
	usedMs clock.Millis
}

type client struct {
	entry  string
	far    bool // in another availability zone
	toldMs clock.Millis
	told   map[string]told // by engine
	// open is the number of requests that the gateway has here.
	open int
	// waits is the number of those that wait for their start.
	waits int
	// asked tells that a beat waits for an answer, and overloaded what was told.
	asked, overloaded bool
}

// place is where a request is, and whose it is.
type place struct {
	engine *engine
	client *client
	waits  bool
}

type told struct {
	load  batch.Load
	atMs  clock.Millis
	start int64
	uses  int
}

// input is one message of a connection; method is empty when it has ended.
type input struct {
	link   *dispatch.Link
	method string
	params json.RawMessage
}

// NewHost returns a Host without engines.
func NewHost(log logrus.FieldLogger, c clock.Clock, scope tally.Scope) *Host {
	return &Host{
		log: log, clock: c, scope: scope, in: ring.New[input](inputs),
		engines: map[string]*engine{}, links: map[*dispatch.Link]*client{}, byEntry: map[string]*dispatch.Link{}, where: map[string]place{},
	}
}

// Accept takes connections from ln until ctx ends.
func (h *Host) Accept(ctx context.Context, ln net.Listener) error {
	return supervise.Accept(ctx, ln, func(conn net.Conn) { h.Serve(ctx, conn) })
}

// Serve takes one connection in, until it or ctx ends.
func (h *Host) Serve(ctx context.Context, conn net.Conn) {
	l := dispatch.NewLink(conn, h.clock, func(l *dispatch.Link, method string, params json.RawMessage) (any, error) {
		return nil, h.in.Put(ctx, input{l, method, params})
	})
	go func() {
		select {
		case <-l.Done():
		case <-ctx.Done():
			l.Close()
		}
		if err := h.in.Put(ctx, input{link: l}); err != nil {
			h.log.WithField("event", "hostEnded").Debug(err)
		}
	}()
}

// Run applies the messages of all connections in their order until ctx ends.
func (h *Host) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(h.wait(h.clock.Now()).Duration())
		select {
		case <-ctx.Done():
			return nil
		case in := <-h.in.C():
			if err := h.apply(h.clock.Now(), in); err != nil {
				h.log.WithFields(logrus.Fields{"event": "messageUnreadable", "method": in.method}).Warn(err)
				in.link.Close()
			}
		case <-timer.C:
			now := h.clock.Now()
			for _, e := range h.engines {
				e.batch.Tick(now)
			}
			h.sweep(now)
		}
		h.tell(h.clock.Now())
	}
}

func (h *Host) wait(now clock.Millis) clock.Millis {
	wait := loadEvery
	if h.untold {
		wait = h.toldMs + tellEvery - now
	}
	for _, e := range h.engines {
		if at, ok := e.batch.NextTick(now); ok {
			wait = min(wait, at-now)
		}
	}
	return max(wait, clock.Millisecond)
}

func (h *Host) apply(now clock.Millis, in input) error {
	c := h.links[in.link]
	if in.method == "" {
		if c != nil {
			h.drop(now, in.link, c)
		}
		return nil
	}
	if in.method == dispatch.MethodHello {
		return h.greet(now, in, c)
	}
	if c == nil {
		return errors.New("the first message must be a greeting")
	}
	if on, ok := h.On[in.method]; ok {
		return on(c.entry, in.params)
	}
	switch in.method {
	case dispatch.MethodReserve, enginequeue.MethodAnnounce:
		var r enginequeue.Reservation
		if err := json.Unmarshal(in.params, &r); err != nil {
			return err
		}
		h.open(now, c, in.method, r)
	case enginequeue.MethodFetch:
		in.link.Notify(enginequeue.MethodConfig, h.OnFetch())
	case dispatch.MethodHeartbeat:
		var b enginequeue.Heartbeat
		if err := json.Unmarshal(in.params, &b); err != nil {
			return err
		}
		c.asked = true
		h.OnBeat(c.entry, b)
	default:
		var ref enginequeue.Ref
		if err := json.Unmarshal(in.params, &ref); err != nil {
			return err
		}
		h.progress(now, c, in.method, ref)
	}
	return nil
}

// greet takes a connection in; c is nil unless it has greeted before.
func (h *Host) greet(now clock.Millis, in input, c *client) error {
	if c != nil {
		return errors.New("a second greeting on a connection")
	}
	var m enginequeue.Hello
	if err := json.Unmarshal(in.params, &m); err != nil {
		return err
	}
	if old := h.byEntry[m.Entry]; old != nil {
		h.drop(now, old, h.links[old])
		old.Close()
	}
	h.links[in.link], h.byEntry[m.Entry] = &client{entry: m.Entry, far: m.Zone != h.Zone, told: map[string]told{}}, in.link
	h.log.WithFields(logrus.Fields{"event": "entry", "entry": m.Entry}).Info()
	in.link.Notify(enginequeue.MethodWelcome, h.OnHello(m.Entry))
	return nil
}

// progress notes how a request goes on, and what that tells of its engine.
func (h *Host) progress(now clock.Millis, c *client, method string, ref enginequeue.Ref) {
	at, ok := h.where[ref.ID]
	if !ok {
		return
	}
	e := at.engine
	h.note(now, e, method, ref.ID)
	if ref.Unreachable {
		h.log.WithFields(logrus.Fields{"event": "engineUnreached", "server": e.ID, "entry": c.entry}).Warn()
		e.batch.ReportUnreachable(now, c.entry)
	}
	if ref.BackOffMs > 0 {
		e.batch.BackOff(now, ref.BackOffMs)
	}
}

// open takes a request in. Another start of the engine holds nothing.
func (h *Host) open(now clock.Millis, c *client, method string, r enginequeue.Reservation) {
	e := h.engines[r.Engine.ID]
	if e == nil || e.Start < r.Engine.Start {
		e = &engine{
			Engine: r.Engine, batch: batch.New(batch.Config{Slots: r.Engine.Slots, MemoryTokens: r.Engine.MemoryTokens}),
			parts: map[string]string{}, held: map[string]int{},
		}
		h.engines[r.Engine.ID] = e
	}
	e.usedMs = now
	h.forget(r.ID)
	waits := method == dispatch.MethodReserve
	h.where[r.ID] = place{e, c, waits}
	c.open++
	if waits {
		c.waits++
	}
	e.parts[r.ID] = r.Block
	if waits {
		e.batch.Submit(now, r.Request(now, c.entry))
		return
	}
	e.batch.Adopt(now, r.Request(now, c.entry), r.Begun)
	if r.Begun {
		e.hold(r.Block)
	}
}

func (h *Host) note(now clock.Millis, e *engine, method, id string) {
	e.usedMs = now
	switch method {
	case dispatch.MethodCancel:
		e.batch.Cancel(now, id)
	case enginequeue.MethodBegun:
		e.hold(e.parts[id])
		e.batch.FirstEvent(now, id)
	case enginequeue.MethodDone:
		e.batch.Done(now, id)
	}
	if method != enginequeue.MethodBegun {
		h.forget(id)
	}
	delete(e.parts, id)
}

// forget drops a request.
func (h *Host) forget(id string) {
	if at, ok := h.where[id]; ok {
		h.decided(id)
		at.client.open--
		delete(h.where, id)
	}
}

// decided notes that a request waits no longer.
func (h *Host) decided(id string) {
	if at, ok := h.where[id]; ok && at.waits {
		at.waits = false
		at.client.waits--
		h.where[id] = at
	}
}

// drop ends what a gateway that is gone had here.
func (h *Host) drop(now clock.Millis, l *dispatch.Link, c *client) {
	delete(h.links, l)
	delete(h.byEntry, c.entry)
	h.log.WithFields(logrus.Fields{"event": "entryGone", "entry": c.entry}).Info()
	for _, e := range h.engines {
		for _, id := range e.batch.DropEntry(now, c.entry) {
			h.forget(id)
			delete(e.parts, id)
		}
	}
}

// hold notes that the engine has used a shared part.
func (e *engine) hold(part string) {
	if part == "" || len(e.held) >= maxParts {
		return
	}
	e.uses++
	e.held[part] = e.uses
}

// usedSince returns the parts that were used after a count of uses, the last
// used one last.
func (e *engine) usedSince(uses int) []string {
	if uses == e.uses {
		return nil
	}
	var out []string
	for part, at := range e.held {
		if at > uses {
			out = append(out, part)
		}
	}
	slices.SortFunc(out, func(a, b string) int { return e.held[a] - e.held[b] })
	return out
}

func (h *Host) sweep(now clock.Millis) {
	if now-h.sweptMs < sweepEvery {
		return
	}
	h.sweptMs = now
	for id, e := range h.engines {
		if e.batch.Idle() && now-e.usedMs > idleEngine {
			delete(h.engines, id)
		}
	}
}

// tell sends the gateways what concerns them: verdicts at once, and loads when
// it is time.
func (h *Host) tell(now clock.Millis) {
	for _, e := range h.engines {
		for _, a := range e.batch.Actions() {
			h.act(h.byEntry[a.Entry], e, a)
		}
	}
	h.untold = now-h.toldMs < tellEvery
	if h.untold {
		return
	}
	h.toldMs = now
	h.tellLoads(now)
	h.closeSilent(now)
}

// tellLoads tells loads to those that lack them. Those that have requests waiting
// here it also shows that the host lives, however many connections there are:
// they leave a host that is silent for long.
func (h *Host) tellLoads(now clock.Millis) {
	overloaded := h.Overloaded()
	near := loadEvery + loadPerLink*clock.Millis(len(h.links))
	far := loadEvery + farPerLink*clock.Millis(len(h.links))
	for l, c := range h.links {
		due := now-c.toldMs >= near && (!c.far || c.asked || now-c.toldMs >= far)
		queued := c.waits > 0 && now-c.toldMs >= queueBeat
		if !due && !queued {
			continue
		}
		m := enginequeue.Loads{Loads: h.changed(now, c), Overloaded: overloaded}
		if len(m.Loads) > 0 || c.asked || queued || c.overloaded != overloaded {
			l.Notify(enginequeue.MethodLoad, m)
			c.toldMs, c.asked, c.overloaded = now, false, overloaded
		}
	}
}

// closeSilent closes the connections of gateways that show no sign of life.
func (h *Host) closeSilent(now clock.Millis) {
	idle := enginequeue.IdleTimeout(len(h.links))
	for l, c := range h.links {
		bound := idle
		if c.open > 0 {
			bound = enginequeue.ActiveTimeout
		}
		if now-l.Heard() > bound {
			l.Close()
		}
	}
}

func (h *Host) act(l *dispatch.Link, e *engine, a batch.Action) {
	h.scope.Tagged(map[string]string{"granted": map[bool]string{true: "yes", false: "no"}[a.Granted]}).Counter("turns").Inc(1)
	h.decided(a.ID)
	if !a.Granted {
		h.forget(a.ID)
		delete(e.parts, a.ID)
	}
	switch {
	case l == nil:
		h.log.WithFields(logrus.Fields{"event": "turnForNobody", "request": a.ID, "entry": a.Entry}).Warn()
	case a.Granted:
		l.Notify(dispatch.MethodOffer, enginequeue.Ref{ID: a.ID})
	default:
		l.Notify(dispatch.MethodRefuse, enginequeue.Refusal{ID: a.ID, RetryAfterMs: a.RetryAfterMs})
	}
}

// changed returns the loads that a gateway does not know.
func (h *Host) changed(now clock.Millis, c *client) []enginequeue.Load {
	var out []enginequeue.Load
	for id, e := range h.engines {
		t := c.told[id]
		load := e.batch.Load(now)
		if t.start != e.Start {
			t = told{start: e.Start}
		} else if load.Near(t.load.After(now-t.atMs)) && t.uses == e.uses {
			continue
		}
		m := enginequeue.Load{Engine: id, Load: load, Blocks: e.usedSince(t.uses)}
		if load.PrefillRate == t.load.PrefillRate && load.MeanPrefillRate == t.load.MeanPrefillRate {
			m.PrefillRate, m.MeanPrefillRate = 0, 0
		}
		out = append(out, m)
		c.told[id] = told{load, now, e.Start, e.uses}
	}
	return out
}
