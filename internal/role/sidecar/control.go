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

// heartbeatTimeout is the time without any message from an entry after which its
// control connection is closed.
const heartbeatTimeout = 20 * clock.Second

// control is the server side of the control connections, over which entries
// reserve slots and exchange heartbeats and configuration with the sidecar.
type control struct {
	s     *Sidecar
	mu    sync.Mutex
	links map[*dispatch.Link]string // open link to the name of its entry
}

// serve accepts control connections on ln until ctx ends, then closes all of them.
func (c *control) serve(ctx context.Context, ln net.Listener) error {
	err := supervise.Accept(ctx, ln, func(conn net.Conn) { go c.monitor(ctx, dispatch.AcceptLink(conn, c.s.clock, c.handle)) })
	if ctx.Err() != nil {
		c.closeAll()
	}
	return err
}

// monitor checks a connection once a second and closes it when ctx ends or when
// the entry has sent nothing for longer than heartbeatTimeout.
func (c *control) monitor(ctx context.Context, l *dispatch.Link) {
	defer c.removeLink(l)
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
		if ctx.Err() != nil || c.s.clock.Now()-l.Heard() > heartbeatTimeout {
			return
		}
	}
}

// removeLink removes a closed link; the core then drops its waiting reservations.
func (c *control) removeLink(l *dispatch.Link) {
	c.mu.Lock()
	entry, known := c.links[l]
	delete(c.links, l)
	c.mu.Unlock()
	if known {
		c.s.sendEvent(linkClosedEvent{link: l, entry: entry})
	}
}

func (c *control) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for l := range c.links {
		l.Close()
	}
}

// broadcast sends every connected entry a heartbeat with what has changed in the
// sidecar's state and load.
func (c *control) broadcast() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for l := range c.links {
		c.s.sendEvent(heartbeatEvent{l})
	}
}

// handle processes one message of an entry. It must not block, and
// leaves all decisions about slots to the core.
func (c *control) handle(l *dispatch.Link, method string, params json.RawMessage) (any, error) {
	switch method {
	case dispatch.MethodHello:
		return c.hello(l, params)
	case dispatch.MethodReserve:
		var r dispatch.Reservation
		if err := json.Unmarshal(params, &r); err != nil {
			return nil, err
		}
		c.s.sendEvent(reserveEvent{l, r})
	case dispatch.MethodCancel:
		var id dispatch.ID
		if err := json.Unmarshal(params, &id); err != nil {
			return nil, err
		}
		c.s.sendEvent(cancelEvent{id.ID})
	case dispatch.MethodHeartbeat:
		var h dispatch.Heartbeat
		if err := json.Unmarshal(params, &h); err != nil {
			return nil, err
		}
		if h.State != nil {
			c.s.applyEntryState(l, *h.State)
		}
		c.s.sendEvent(heartbeatEvent{l})
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

// hello registers the link under the entry's name and returns the sidecar's
// description with its current load.
func (c *control) hello(l *dispatch.Link, params json.RawMessage) (any, error) {
	var h dispatch.Hello
	if err := json.Unmarshal(params, &h); err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.links[l] = h.Entry
	c.mu.Unlock()
	c.s.raiseTerm(h.Term)
	c.s.applyEntryState(l, h.State)
	reply := make(chan dispatch.Load, 1)
	c.s.sendEvent(loadEvent{reply})
	select {
	case load := <-reply:
		return c.s.helloReply(load), nil
	case <-l.Done():
		return nil, dispatch.ErrClosed
	}
}
