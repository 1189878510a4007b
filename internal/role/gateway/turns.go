package gateway

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/peer/dispatch"
	"github.com/damaskport/damaskport/internal/peer/turns"
	"github.com/damaskport/damaskport/internal/policy/place"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/servers"
)

const (
	schedulerDial = 500 * clock.Millisecond
	// schedulerBeat shows that the gateway lives; schedulerSilent is the silence
	// after which the scheduler counts as gone: it tells its load more often.
	schedulerBeat   = 900 * clock.Millisecond
	schedulerSilent = 1600 * clock.Millisecond
	// queueSilent is the same for a scheduler with a queue.
	queueSilent = 350 * clock.Millisecond
	// reviewEvery is the time between two looks for a better server.
	reviewEvery = 120 * clock.Millisecond
	firstRedial = 200 * clock.Millisecond
	lastRedial  = 3 * clock.Second
)

// verdict is a scheduler's answer to a reservation.
type verdict struct {
	granted    bool
	retryAfter clock.Millis
	// lost tells that the scheduler is out of reach, moved that another server
	// can start the request at once.
	lost, moved bool
}

// turn is a request's place at a scheduler.
type turn struct {
	c       *schedulerConn
	r       turns.Reservation
	verdict chan verdict
	granted bool
	askedMs clock.Millis
}

// schedulerConn keeps a connection to the scheduler beside one engine.
type schedulerConn struct {
	g      *Gateway
	pool   *pool
	engine turns.Engine
	addr   string

	mu    sync.Mutex
	link  *dispatch.Link
	turns map[string]*turn
}

// schedulers keeps a connection to each engine's scheduler.
type schedulers struct {
	g    *Gateway
	mu   sync.Mutex
	byID map[servers.Key]*schedulerHandle
}

type schedulerHandle struct {
	c    *schedulerConn
	stop context.CancelFunc
}

// set brings the connections in line with the engines of a pool.
func (s *schedulers) set(ctx context.Context, p *pool, list []servers.Server, cacheTokens int) {
	port := int(s.g.Settings().SchedulerPort)
	if port == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	live := map[servers.Key]bool{}
	for _, srv := range list {
		live[srv.Key()] = true
		if s.byID[srv.Key()] != nil {
			continue
		}
		at, err := netip.ParseAddrPort(srv.Addr)
		if err != nil {
			s.g.log.WithFields(logrus.Fields{"event": "serverAddr", "server": srv.ID}).Warn(err)
			continue
		}
		cctx, stop := context.WithCancel(ctx)
		c := &schedulerConn{
			g: s.g, pool: p, addr: netip.AddrPortFrom(at.Addr(), uint16(port)).String(), turns: map[string]*turn{},
			engine: turns.Engine{ID: srv.ID, Start: srv.Start, Slots: srv.Slots, MemoryTokens: cacheTokens},
		}
		s.byID[srv.Key()] = &schedulerHandle{c, stop}
		go c.run(cctx)
	}
	for k, h := range s.byID {
		if h.c.pool == p && !live[k] {
			h.stop()
			delete(s.byID, k)
		}
	}
}

// of returns the connection for a server, or nil.
func (s *schedulers) of(k servers.Key) *schedulerConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.byID[k]; h != nil {
		return h.c
	}
	return nil
}

// run keeps the connection until ctx ends.
func (c *schedulerConn) run(ctx context.Context) {
	backoff, failed := firstRedial, false
	for ctx.Err() == nil {
		start := c.g.clock.Now()
		err := c.session(ctx)
		c.down()
		if ctx.Err() != nil {
			return
		}
		if c.g.clock.Now()-start > lastRedial {
			backoff, failed = firstRedial, false
		}
		if !failed {
			c.g.log.WithFields(logrus.Fields{"event": "schedulerLost", "server": c.engine.ID, "addr": c.addr}).Info(err)
		}
		failed = true
		_ = c.g.clock.Sleep(ctx, backoff)
		backoff = min(2*backoff, lastRedial)
	}
}

func (c *schedulerConn) session(ctx context.Context) error {
	d := net.Dialer{Timeout: schedulerDial.Duration()}
	conn, err := d.DialContext(ctx, "tcp", c.addr)
	if err != nil {
		return err
	}
	l := dispatch.NewLink(conn, c.g.clock, c.handle)
	defer l.Close()
	c.mu.Lock()
	c.link = l
	h := turns.Hello{Entry: c.g.name, Engine: c.engine}
	for _, t := range c.turns {
		if t.granted {
			h.Running = append(h.Running, t.r)
		}
	}
	c.mu.Unlock()
	l.Notify(dispatch.MethodHello, h)
	c.g.log.WithFields(logrus.Fields{"event": "schedulerFound", "server": c.engine.ID, "addr": c.addr, "running": len(h.Running)}).Info()
	for {
		wait, cancel := context.WithTimeout(ctx, schedulerBeat.Duration())
		select {
		case <-ctx.Done():
			cancel()
			return ctx.Err()
		case <-l.Done():
			cancel()
			return errors.New("connection closed")
		case <-wait.Done():
			cancel()
		}
		if c.g.clock.Now()-l.Heard() > schedulerSilent {
			return errors.New("connection is silent")
		}
		l.Notify(dispatch.MethodHeartbeat, turns.Ref{})
	}
}

// down tells those that wait that the scheduler is out of reach.
func (c *schedulerConn) down() {
	c.mu.Lock()
	c.link = nil
	for id, t := range c.turns {
		if !t.granted {
			t.verdict <- verdict{lost: true}
			delete(c.turns, id)
		}
	}
	c.mu.Unlock()
	c.pool.with(func(b *place.Book) { b.Untold(c.engine.ID) })
}

func (c *schedulerConn) handle(_ *dispatch.Link, method string, params json.RawMessage) (any, error) {
	switch method {
	case turns.MethodLoad:
		var l turns.Load
		if err := json.Unmarshal(params, &l); err != nil {
			return nil, err
		}
		now := c.g.clock.Now()
		c.pool.with(func(b *place.Book) { b.Told(now, c.engine.ID, l.Load, l.Parts) })
	case dispatch.MethodOffer:
		var r turns.Ref
		if err := json.Unmarshal(params, &r); err != nil {
			return nil, err
		}
		c.settle(r.ID, verdict{granted: true})
	case dispatch.MethodRefuse:
		var r turns.Refusal
		if err := json.Unmarshal(params, &r); err != nil {
			return nil, err
		}
		c.settle(r.ID, verdict{retryAfter: r.RetryAfterMs})
	}
	return nil, nil
}

func (c *schedulerConn) settle(id string, v verdict) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.turns[id]
	if t == nil || t.granted {
		return
	}
	t.granted = v.granted
	if !v.granted {
		delete(c.turns, id)
	}
	t.verdict <- v
}

// reserve asks for a start; nil when the scheduler is out of reach.
func (c *schedulerConn) reserve(r turns.Reservation) *turn {
	return c.open(dispatch.MethodReserve, r, false)
}

// announce tells of a request that is sent at once; nil when the scheduler is
// out of reach.
func (c *schedulerConn) announce(r turns.Reservation) *turn {
	return c.open(turns.MethodAnnounce, r, true)
}

func (c *schedulerConn) open(method string, r turns.Reservation, granted bool) *turn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.link == nil || c.link.Closed() {
		return nil
	}
	t := &turn{c: c, r: r, verdict: make(chan verdict, 1), askedMs: c.g.clock.Now(), granted: granted}
	c.turns[r.ID] = t
	c.link.Notify(method, r)
	return t
}

// begun tells that the first event has arrived.
func (t *turn) begun() { t.note(turns.MethodBegun, false) }

// done tells that the request has ended.
func (t *turn) done() { t.note(turns.MethodDone, true) }

// cancel takes a reservation back.
func (t *turn) cancel() { t.note(dispatch.MethodCancel, true) }

func (t *turn) note(method string, last bool) {
	if t == nil {
		return
	}
	t.c.mu.Lock()
	defer t.c.mu.Unlock()
	t.r.Begun = true
	if last {
		delete(t.c.turns, t.r.ID)
	}
	if t.c.link != nil {
		t.c.link.Notify(method, turns.Ref{ID: t.r.ID})
	}
}

// await waits for the verdict. A scheduler with a queue tells its load all the
// time; one that does not is taken to be out of reach. better is asked from
// time to time whether another server is to be preferred.
func (t *turn) await(ctx context.Context, better func() bool) (verdict, error) {
	tick := time.NewTicker(reviewEvery.Duration())
	defer tick.Stop()
	for {
		select {
		case v := <-t.verdict:
			return v, nil
		case <-ctx.Done():
			t.cancel()
			return verdict{}, context.Cause(ctx)
		case <-tick.C:
			switch {
			case t.c.quiet(t.askedMs):
				t.cancel()
				return verdict{lost: true}, nil
			case better():
				t.cancel()
				return verdict{moved: true}, nil
			}
		}
	}
}

// quiet reports whether nothing was heard of the scheduler for too long since.
func (c *schedulerConn) quiet(since clock.Millis) bool {
	c.mu.Lock()
	l := c.link
	c.mu.Unlock()
	now := c.g.clock.Now()
	return l == nil || now-since > queueSilent && now-l.Heard() > queueSilent
}
