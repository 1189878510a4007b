// Package enginequeue runs the queues in which the requests of all gateways wait
// until a model engine can start them.
//
// Each engine's queue is run by one gateway, its queue owner. All gateways, the owner
// included, connect to it, reserve a start for each request there, and report when
// the request begins and ends.
//
// The state belongs to a single goroutine, Host.Run, whose inputs are the messages of
// the connections and a timer. The state is not persisted: when the queue of an
// engine moves to another gateway, the gateways announce their running requests to
// that one.
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
	// inputQueueSize is the number of messages, from all connections together, that may
	// wait for Run. A connection whose message finds the queue full waits.
	inputQueueSize = 4096
	// minLoadInterval is the minimum time between two load messages on a connection.
	// Every connection of the queue owner adds loadIntervalPerLink to it, so that the
	// number of messages per second does not grow with the square of the number of
	// gateways.
	minLoadInterval     = 80 * clock.Millisecond
	loadIntervalPerLink = 8 * clock.Millisecond
	// crossZoneIntervalPerLink replaces loadIntervalPerLink for gateways in other
	// availability zones: they seldom choose an engine in this zone, and traffic
	// between zones costs money.
	crossZoneIntervalPerLink = 24 * clock.Millisecond
	// loadCheckInterval is the minimum time between two checks for changed loads to
	// send. It is an eighth of minLoadInterval, so that it adds little delay.
	loadCheckInterval = 10 * clock.Millisecond
	// queuedLoadInterval is how often a gateway with queued requests gets a load
	// message even if no load has changed, so that it can tell a long queue from a
	// failed queue owner.
	queuedLoadInterval = 120 * clock.Millisecond
	// maxBlocks bounds the shared prompt blocks that are recorded per engine, to be
	// reported to gateways that connect later.
	maxBlocks = 4096
	// engineIdleTimeout is how long the state of an engine without requests is kept.
	engineIdleTimeout = 30 * clock.Second
	// sweepInterval is the time between two removals of idle engines.
	sweepInterval = 5 * clock.Second
)

// Host runs the queues of the engines for which gateways reserve starts at this
// process: it grants or refuses each reservation.
type Host struct {
	log    logrus.FieldLogger
	clock  clock.Clock
	scope  tally.Scope
	inputs *ring.Ring[input]
	// On holds the handlers of messages that do not concern engine queues, by method.
	// A handler gets the name of the sending gateway and the message's parameters; an
	// error from it closes the connection. On must be set before Run.
	On map[string]func(entry string, params json.RawMessage) error
	// Zone is the availability zone of this process. It must be set before Run.
	Zone string
	// Overloaded reports whether this process is overloaded, so that the gateways
	// should move engine queues to another one. It must be set before Run.
	Overloaded func() bool
	// OnHello is called for each new connection and returns the contents of the
	// welcome message. OnFetch returns the configuration that answers a fetch
	// message. OnBeat receives each gateway's heartbeats. All three must be set
	// before Run.
	OnHello func(entry string) any
	OnFetch func() any
	OnBeat  func(entry string, b enginequeue.Heartbeat)

	// The fields below are accessed only by the goroutine of Run.
	engines     map[string]*engine
	clients     map[*dispatch.Link]*client
	linkByEntry map[string]*dispatch.Link
	requests    map[string]openRequest // by request ID
	lastSweepMs clock.Millis
	// lastLoadCheckMs is when the last check for changed loads took place.
	// loadCheckPending is set while the next check is postponed to keep
	// loadCheckInterval.
	lastLoadCheckMs  clock.Millis
	loadCheckPending bool
}

// engine is the queue and the cache contents of one start of a model engine.
type engine struct {
	enginequeue.Engine
	batch         *batch.Scheduler
	pendingBlocks map[string]string // by ID of a request without a first event
	// cachedBlocks holds the shared prompt blocks that the engine has in its cache,
	// each with the value of blockUses at its last use.
	cachedBlocks map[string]int
	blockUses    int          // number of uses of any block
	lastUsedMs   clock.Millis // time of the last message about a request
}

// client is a connected gateway.
type client struct {
	entry     string
	otherZone bool // in another availability zone
	sentMs    clock.Millis
	sentLoads map[string]sentLoad // last load sent, by engine ID
	// openRequests is the number of queued and running requests of the gateway at all
	// engines.
	openRequests int
	// queuedRequests is the number of those that are neither granted nor refused.
	queuedRequests int
	// heartbeatPending is set from the arrival of a heartbeat to its answer.
	// sentOverloaded is the value of Overloaded that was last sent.
	heartbeatPending, sentOverloaded bool
}

// openRequest is the engine and the gateway of a queued or running request.
type openRequest struct {
	engine *engine
	client *client
	queued bool
}

// sentLoad is what a gateway was last sent about an engine.
type sentLoad struct {
	load      batch.Load
	sentMs    clock.Millis
	start     int64
	blockUses int
}

// input is one message from a connection. An empty method means that the connection
// has ended.
type input struct {
	link   *dispatch.Link
	method string
	params json.RawMessage
}

// NewHost returns a Host without engines. It adds an engine when the first request
// for it arrives.
func NewHost(log logrus.FieldLogger, c clock.Clock, scope tally.Scope) *Host {
	return &Host{
		log: log, clock: c, scope: scope, inputs: ring.New[input](inputQueueSize),
		engines: map[string]*engine{}, clients: map[*dispatch.Link]*client{}, linkByEntry: map[string]*dispatch.Link{}, requests: map[string]openRequest{},
	}
}

// Accept serves the connections that ln accepts until ctx ends.
func (h *Host) Accept(ctx context.Context, ln net.Listener) error {
	return supervise.Accept(ctx, ln, func(conn net.Conn) { h.Serve(ctx, conn) })
}

// Serve starts to pass the messages of conn to Run and returns at once. It closes
// conn when ctx ends.
func (h *Host) Serve(ctx context.Context, conn net.Conn) {
	l := dispatch.AcceptLink(conn, h.clock, func(l *dispatch.Link, method string, params json.RawMessage) (any, error) {
		return nil, h.inputs.Put(ctx, input{l, method, params})
	})
	go func() {
		select {
		case <-l.Done():
		case <-ctx.Done():
			l.Close()
		}
		if err := h.inputs.Put(ctx, input{link: l}); err != nil {
			h.log.WithField("event", "hostEnded").Debug(err)
		}
	}()
}

// Run processes the messages of all connections in order of arrival until ctx ends. A
// message that cannot be decoded closes its connection.
func (h *Host) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(h.timeToNextTick(h.clock.Now()).Duration())
		select {
		case <-ctx.Done():
			return nil
		case in := <-h.inputs.C():
			if err := h.apply(h.clock.Now(), in); err != nil {
				h.log.WithFields(logrus.Fields{"event": "messageUnreadable", "method": in.method}).Warn(err)
				in.link.Close()
			}
		case <-timer.C:
			now := h.clock.Now()
			for _, e := range h.engines {
				e.batch.Tick(now)
			}
			h.removeIdleEngines(now)
		}
		h.sendUpdates(h.clock.Now())
	}
}

// Notify sends a message to a connected gateway. Only handlers in On may call it.
func (h *Host) Notify(entry, method string, params any) {
	if l := h.linkByEntry[entry]; l != nil {
		l.Notify(method, params)
	}
}

// Connected returns the number of connected gateways, this one included. Only handlers in On
// may call it.
func (h *Host) Connected() int { return len(h.clients) }

// timeToNextTick returns the time until the next grant, time-out or load message may
// be due.
func (h *Host) timeToNextTick(now clock.Millis) clock.Millis {
	wait := minLoadInterval
	if h.loadCheckPending {
		wait = h.lastLoadCheckMs + loadCheckInterval - now
	}
	for _, e := range h.engines {
		if at, ok := e.batch.NextTick(now); ok {
			wait = min(wait, at-now)
		}
	}
	return max(wait, clock.Millisecond)
}

// apply processes one message. An error closes the connection that sent it.
func (h *Host) apply(now clock.Millis, in input) error {
	c := h.clients[in.link]
	if in.method == "" {
		if c != nil {
			h.removeGateway(now, in.link, c)
		}
		return nil
	}
	if in.method == dispatch.MethodHello {
		return h.handleHello(now, in, c)
	}
	if c == nil {
		return errors.New("message received before the hello of the connection")
	}
	if handler, ok := h.On[in.method]; ok {
		return handler(c.entry, in.params)
	}
	switch in.method {
	case dispatch.MethodReserve, enginequeue.MethodAnnounce:
		var r enginequeue.Reservation
		if err := json.Unmarshal(in.params, &r); err != nil {
			return err
		}
		h.addRequest(now, c, in.method, r)
	case enginequeue.MethodFetch:
		in.link.Notify(enginequeue.MethodConfig, h.OnFetch())
	case dispatch.MethodHeartbeat:
		var b enginequeue.Heartbeat
		if err := json.Unmarshal(in.params, &b); err != nil {
			return err
		}
		c.heartbeatPending = true
		h.OnBeat(c.entry, b)
	default:
		var ref enginequeue.Ref
		if err := json.Unmarshal(in.params, &ref); err != nil {
			return err
		}
		h.handleProgress(now, c, in.method, ref)
	}
	return nil
}

// handleHello registers a gateway's connection, replacing an older one of the same
// gateway. c is nil unless the connection has already sent a hello.
func (h *Host) handleHello(now clock.Millis, in input, c *client) error {
	if c != nil {
		return errors.New("second hello on the same connection")
	}
	var m enginequeue.Hello
	if err := json.Unmarshal(in.params, &m); err != nil {
		return err
	}
	if oldLink := h.linkByEntry[m.Entry]; oldLink != nil {
		h.removeGateway(now, oldLink, h.clients[oldLink])
		oldLink.Close()
	}
	h.clients[in.link], h.linkByEntry[m.Entry] = &client{entry: m.Entry, otherZone: m.Zone != h.Zone, sentLoads: map[string]sentLoad{}}, in.link
	h.log.WithFields(logrus.Fields{"event": "entry", "entry": m.Entry}).Info()
	in.link.Notify(enginequeue.MethodWelcome, h.OnHello(m.Entry))
	return nil
}

// handleProgress records that a request has begun, ended or been cancelled, and what
// the message says about its engine: that it is unreachable, or that it asked for a
// back-off.
func (h *Host) handleProgress(now clock.Millis, c *client, method string, ref enginequeue.Ref) {
	req, ok := h.requests[ref.ID]
	if !ok {
		return
	}
	e := req.engine
	if ref.Events > 0 {
		e.batch.Progress(now, ref.ID, ref.Events, ref.Recent, ref.RecentMs)
	}
	if ref.Slowness > 0 {
		e.batch.Says(now, ref.Slowness)
	}
	h.applyProgress(now, e, method, ref.ID)
	if ref.Unreachable {
		h.log.WithFields(logrus.Fields{"event": "engineUnreached", "server": e.ID, "entry": c.entry}).Warn()
		e.batch.ReportUnreachable(now, c.entry)
	}
	if ref.BackOffMs > 0 {
		e.batch.BackOff(now, ref.BackOffMs)
	}
}

// addRequest queues a request (reserve), or adds one that the engine has already been
// sent (announce). A later start of the engine replaces the state of the earlier one:
// a restarted engine has neither the requests nor the cache of its predecessor.
func (h *Host) addRequest(now clock.Millis, c *client, method string, r enginequeue.Reservation) {
	e := h.engines[r.Engine.ID]
	if e == nil || e.Start < r.Engine.Start {
		e = &engine{
			Engine: r.Engine, batch: batch.New(batch.Config{Slots: r.Engine.Slots, MemoryTokens: r.Engine.MemoryTokens}),
			pendingBlocks: map[string]string{}, cachedBlocks: map[string]int{},
		}
		h.engines[r.Engine.ID] = e
	}
	e.lastUsedMs = now
	h.removeRequest(r.ID)
	queued := method == dispatch.MethodReserve
	h.requests[r.ID] = openRequest{e, c, queued}
	c.openRequests++
	if queued {
		c.queuedRequests++
	}
	e.pendingBlocks[r.ID] = r.Block
	e.batch.InheritRate(r.PrefillRate)
	if r.Speed != nil {
		e.batch.Inherit(now, *r.Speed)
	}
	if queued {
		e.batch.Submit(now, r.Request(now, c.entry))
		return
	}
	e.batch.Adopt(now, r.Request(now, c.entry), r.Begun)
	if r.Begun {
		e.recordCached(r.Block)
	}
}

// applyProgress updates the engine's queue and cache for a cancel, begun or done
// message.
func (h *Host) applyProgress(now clock.Millis, e *engine, method, id string) {
	e.lastUsedMs = now
	switch method {
	case dispatch.MethodCancel:
		e.batch.Cancel(now, id)
	case enginequeue.MethodBegun:
		e.recordCached(e.pendingBlocks[id])
		e.batch.FirstEvent(now, id)
	case enginequeue.MethodDone:
		e.batch.Done(now, id)
	}
	if method != enginequeue.MethodBegun {
		h.removeRequest(id)
	}
	delete(e.pendingBlocks, id)
}

// removeRequest removes a request from the requests of its gateway.
func (h *Host) removeRequest(id string) {
	if req, ok := h.requests[id]; ok {
		h.markDequeued(id)
		req.client.openRequests--
		delete(h.requests, id)
	}
}

// markDequeued records that a request is no longer queued.
func (h *Host) markDequeued(id string) {
	if req, ok := h.requests[id]; ok && req.queued {
		req.queued = false
		req.client.queuedRequests--
		h.requests[id] = req
	}
}

// removeGateway removes a gateway whose connection has ended, and its requests.
func (h *Host) removeGateway(now clock.Millis, l *dispatch.Link, c *client) {
	delete(h.clients, l)
	delete(h.linkByEntry, c.entry)
	h.log.WithFields(logrus.Fields{"event": "entryGone", "entry": c.entry}).Info()
	for _, e := range h.engines {
		for _, id := range e.batch.DropEntry(now, c.entry) {
			h.removeRequest(id)
			delete(e.pendingBlocks, id)
		}
	}
}

// recordCached records that the engine has used a shared prompt block, and so has it
// cached. Once maxBlocks blocks are recorded, it records no more uses.
func (e *engine) recordCached(block string) {
	if block == "" || len(e.cachedBlocks) >= maxBlocks {
		return
	}
	e.blockUses++
	e.cachedBlocks[block] = e.blockUses
}

// blocksUsedSince returns the blocks that were used after blockUses had the given
// value, the most recently used last.
func (e *engine) blocksUsedSince(since int) []string {
	if since == e.blockUses {
		return nil
	}
	var out []string
	for block, lastUse := range e.cachedBlocks {
		if lastUse > since {
			out = append(out, block)
		}
	}
	slices.SortFunc(out, func(a, b string) int { return e.cachedBlocks[a] - e.cachedBlocks[b] })
	return out
}

// removeIdleEngines removes the engines that had no requests for engineIdleTimeout.
func (h *Host) removeIdleEngines(now clock.Millis) {
	if now-h.lastSweepMs < sweepInterval {
		return
	}
	h.lastSweepMs = now
	for id, e := range h.engines {
		if e.batch.Idle() && now-e.lastUsedMs > engineIdleTimeout {
			delete(h.engines, id)
		}
	}
}

// sendUpdates sends each gateway the decisions on its reservations at once, and
// changed loads at the intervals that sendLoads keeps.
func (h *Host) sendUpdates(now clock.Millis) {
	for _, e := range h.engines {
		for _, a := range e.batch.Actions() {
			h.sendDecision(h.linkByEntry[a.Entry], e, a)
		}
	}
	h.loadCheckPending = now-h.lastLoadCheckMs < loadCheckInterval
	if h.loadCheckPending {
		return
	}
	h.lastLoadCheckMs = now
	for _, e := range h.engines {
		h.logSpeed(now, e)
	}
	h.sendLoads(now)
	h.closeTimedOut(now)
}

// sendLoads sends each gateway the loads that changed. A gateway with queued requests
// gets a message every queuedLoadInterval even if nothing changed, however many
// connections there are: it abandons a queue owner from which it receives nothing for
// too long.
func (h *Host) sendLoads(now clock.Millis) {
	overloaded := h.Overloaded()
	sameZoneInterval := minLoadInterval + loadIntervalPerLink*clock.Millis(len(h.clients))
	otherZoneInterval := minLoadInterval + crossZoneIntervalPerLink*clock.Millis(len(h.clients))
	for l, c := range h.clients {
		due := now-c.sentMs >= sameZoneInterval && (!c.otherZone || c.heartbeatPending || now-c.sentMs >= otherZoneInterval)
		heartbeatDue := c.queuedRequests > 0 && now-c.sentMs >= queuedLoadInterval
		if !due && !heartbeatDue {
			continue
		}
		m := enginequeue.Loads{Loads: h.changedLoads(now, c), Overloaded: overloaded}
		if len(m.Loads) > 0 || c.heartbeatPending || heartbeatDue || c.sentOverloaded != overloaded {
			l.Notify(enginequeue.MethodLoad, m)
			c.sentMs, c.heartbeatPending, c.sentOverloaded = now, false, overloaded
		}
	}
}

// closeTimedOut closes the connections from which nothing was received within the
// heartbeat timeout. The timeout is shorter for a gateway with open requests.
func (h *Host) closeTimedOut(now clock.Millis) {
	idleTimeout := enginequeue.IdleTimeout(len(h.clients))
	for l, c := range h.clients {
		timeout := idleTimeout
		if c.openRequests > 0 {
			timeout = enginequeue.ActiveTimeout
		}
		if now-l.Heard() > timeout {
			l.Close()
		}
	}
}

// sendDecision counts a decision on a reservation and sends it over l to the gateway that
// made the reservation. l is nil if that gateway is no longer connected; the decision
// is then logged instead.
func (h *Host) sendDecision(l *dispatch.Link, e *engine, a batch.Action) {
	h.scope.Tagged(map[string]string{"granted": map[bool]string{true: "yes", false: "no"}[a.Granted]}).Counter("turns").Inc(1)
	h.markDequeued(a.ID)
	if !a.Granted {
		h.removeRequest(a.ID)
		delete(e.pendingBlocks, a.ID)
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

// changedLoads returns the loads to send to a gateway, and records them as sent. An
// engine is left out if it has not restarted, no block was used since its last load was
// sent to the gateway, and its load is near the one that the gateway derives from that
// last load by the time passed.
func (h *Host) changedLoads(now clock.Millis, c *client) []enginequeue.Load {
	var out []enginequeue.Load
	for id, e := range h.engines {
		last := c.sentLoads[id]
		load := e.batch.Load(now)
		if last.start != e.Start {
			last = sentLoad{start: e.Start}
		} else if load.Near(last.load.After(now-last.sentMs)) && last.blockUses == e.blockUses {
			continue
		}
		m := enginequeue.Load{Engine: id, Load: load, Blocks: e.blocksUsedSince(last.blockUses)}
		if load.PrefillRate == last.load.PrefillRate && load.MeanPrefillRate == last.load.MeanPrefillRate {
			m.PrefillRate, m.MeanPrefillRate = 0, 0
		}
		out = append(out, m)
		c.sentLoads[id] = sentLoad{load, now, e.Start, e.blockUses}
	}
	return out
}
