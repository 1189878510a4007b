package sidecar

import (
	"context"
	"encoding/json"
	"net"
	"sync"

	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/peer/dispatch"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/supervise"
)

// silentAfter is the silence after which a control connection is closed.
const silentAfter = 20 * clock.Second

// control serves the control connections of the entries.
type control struct {
	s     *Sidecar
	mu    sync.Mutex
	links map[*dispatch.Link]string // link -> entry
}

// serve accepts connections until ctx ends.
func (c *control) serve(ctx context.Context, ln net.Listener) error {
	err := supervise.Accept(ctx, ln, func(conn net.Conn) { go c.keep(ctx, dispatch.NewLink(conn, c.s.clock, c.handle)) })
	if ctx.Err() != nil {
		c.closeAll()
	}
	return err
}

// keep watches one connection until it ends or goes silent.
func (c *control) keep(ctx context.Context, l *dispatch.Link) {
	defer c.forget(l)
	defer l.Close()
	for {
		tick, cancel := context.WithTimeout(ctx, clock.Second.Duration())
		select {
		case <-l.Done():
			cancel()
			return
		case <-tick.Done():
			cancel()
		}
		if ctx.Err() != nil || c.s.clock.Now()-l.Heard() > silentAfter {
			return
		}
	}
}

func (c *control) forget(l *dispatch.Link) {
	c.mu.Lock()
	entry, known := c.links[l]
	delete(c.links, l)
	c.mu.Unlock()
	if known {
		c.s.put(goneEvent{link: l, entry: entry})
	}
}

func (c *control) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for l := range c.links {
		l.Close()
	}
}

// broadcast tells every entry the sidecar's state.
func (c *control) broadcast() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for l := range c.links {
		c.s.put(heartbeatEvent{l})
	}
}

func (c *control) handle(l *dispatch.Link, method string, params json.RawMessage) (any, error) {
	switch method {
	case dispatch.MethodHello:
		return c.hello(l, params)
	case dispatch.MethodReserve:
		var r dispatch.Reservation
		if err := json.Unmarshal(params, &r); err != nil {
			return nil, err
		}
		c.s.put(reserveEvent{l, r})
	case dispatch.MethodCancel:
		var id dispatch.ID
		if err := json.Unmarshal(params, &id); err != nil {
			return nil, err
		}
		c.s.put(cancelEvent{id.ID})
	case dispatch.MethodHeartbeat:
		var h dispatch.Heartbeat
		if err := json.Unmarshal(params, &h); err != nil {
			return nil, err
		}
		if h.State != nil {
			c.s.observe(l, *h.State)
		}
		c.s.put(heartbeatEvent{l})
	case dispatch.MethodFetchConfig:
		var f dispatch.FetchConfig
		if err := json.Unmarshal(params, &f); err != nil {
			return nil, err
		}
		return c.s.exchange.Reply(f)
	default:
		return nil, errors.Errorf("unknown method %q", method)
	}
	return nil, nil
}

func (c *control) hello(l *dispatch.Link, params json.RawMessage) (any, error) {
	var h dispatch.Hello
	if err := json.Unmarshal(params, &h); err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.links[l] = h.Entry
	c.mu.Unlock()
	c.s.raiseTerm(h.Term)
	c.s.observe(l, h.State)
	reply := make(chan dispatch.Load, 1)
	c.s.put(loadEvent{reply})
	select {
	case load := <-reply:
		return c.s.greeting(load), nil
	case <-l.Done():
		return nil, dispatch.ErrClosed
	}
}
