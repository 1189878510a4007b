package entry

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/peer/config"
	"github.com/damaskport/damaskport/internal/peer/dispatch"
	"github.com/damaskport/damaskport/internal/platform/membership"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	dialTimeout     = 500 * time.Millisecond
	helloTimeout    = time.Second
	firstRedial     = 50 * clock.Millisecond
	lastRedial      = 2 * clock.Second
	silentHeartbeat = 3 // heartbeats without an answer that end a connection
)

// peer is one sidecar as the entry sees it.
type peer struct {
	e        *Entry
	instance membership.Instance
	mu       sync.Mutex
	link     *dispatch.Link
	told     dispatch.State // last state told on link
	hello    dispatch.HelloReply
	// reported is the sidecar's last report; load is the report corrected by
	// what this entry has started and ended there since.
	reported dispatch.Load
	load     dispatch.Load
	leaving  bool
	config   config.Version // the version that the sidecar showed last
	// heardState tells that a heartbeat of this connection brought a state,
	// which is newer than that of the greeting.
	heardState bool
	// listedLeaving is what the platform's list says.
	listedLeaving atomic.Bool
	// drained is set when this entry has ordered the server to drain.
	drained atomic.Bool
}

// run keeps a connection to the sidecar until ctx ends.
func (p *peer) run(ctx context.Context) error {
	dispatch.Redial(ctx, p.e.clock, firstRedial, lastRedial, p.session, func(err error, pause clock.Millis) {
		p.down()
		if ctx.Err() == nil {
			p.e.log.WithFields(logrus.Fields{"event": "peerDown", "peer": p.instance.Name, "redialMs": int64(pause)}).Info(err)
		}
	})
	return nil
}

// session is the life of one connection.
func (p *peer) session(ctx context.Context) error {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", p.instance.Address)
	if err != nil {
		return err
	}
	l := dispatch.NewLink(conn, p.e.clock, p.handle)
	defer l.Close()
	if err := p.greet(ctx, l); err != nil {
		return err
	}
	return l.Keep(ctx, func() (every, silence clock.Millis) {
		every = p.e.peers.heartbeatEvery()
		return every, silentHeartbeat * every
	}, func() { p.beat(l) })
}

func (p *peer) greet(ctx context.Context, l *dispatch.Link) error {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	var reply dispatch.HelloReply
	p.mu.Lock()
	p.heardState = false
	p.mu.Unlock()
	hello := dispatch.Hello{Entry: p.e.name, Incarnation: p.e.incarnation, State: p.state(), Term: int64(p.instance.StartedMs)}
	if err := l.Call(ctx, dispatch.MethodHello, hello, &reply); err != nil {
		return errors.Wrap(err, "hello")
	}
	p.mu.Lock()
	p.link = l
	p.told = hello.State
	p.hello = reply
	p.reported = reply.Load
	p.load = reply.Load
	if !p.heardState {
		p.leaving = reply.State.Leaving
		p.config = reply.State.Config
	}
	p.mu.Unlock()
	p.report()
	p.e.exchange.Observe(l, reply.State)
	// The state may have changed since the greeting was written.
	p.beat(l)
	p.e.log.WithFields(logrus.Fields{"event": "peerUp", "peer": reply.Name, "pool": reply.Pool}).Info("connected")
	p.e.peers.changed()
	return nil
}

func (p *peer) state() dispatch.State {
	st := p.e.state()
	st.Leaving = p.listedLeaving.Load() || p.drained.Load()
	st.Services = int(p.e.peers.services.Load())
	st.Servers = int(p.e.peers.servers.Load())
	return st
}

// beat sends a heartbeat on l, with the state only if it has changed.
func (p *peer) beat(l *dispatch.Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := dispatch.Heartbeat{}
	if st := p.state(); st != p.told {
		p.told = st
		h.State = &st
	}
	l.Notify(dispatch.MethodHeartbeat, h)
}

// beatNow sends a heartbeat at once, as after a change of configuration.
func (p *peer) beatNow() {
	if l := p.current(); l != nil {
		p.beat(l)
	}
}

func (p *peer) down() {
	p.mu.Lock()
	p.link = nil
	p.mu.Unlock()
	p.e.router.remove(p)
	p.e.dispatcher.peerGone(p)
	p.e.peers.changed()
}

func (p *peer) current() *dispatch.Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link
}

// notify sends a message if the sidecar is connected.
func (p *peer) notify(method string, params any) bool {
	l := p.current()
	if l == nil {
		return false
	}
	l.Notify(method, params)
	return true
}

// suspect closes the connection so that it is dialled anew at once.
func (p *peer) suspect() {
	if l := p.current(); l != nil {
		l.Close()
	}
}

func (p *peer) handle(l *dispatch.Link, method string, params json.RawMessage) (any, error) {
	switch method {
	case dispatch.MethodVerdict, dispatch.MethodRefuse:
		var v dispatch.Verdict
		if err := json.Unmarshal(params, &v); err != nil {
			return nil, err
		}
		kind := signalVerdict
		if method == dispatch.MethodRefuse {
			kind = signalRefuse
		}
		p.e.waitQueue.deliver(v.ID, signal{kind: kind, peer: p, verdict: &v})
	case dispatch.MethodOffer:
		var id dispatch.ID
		if err := json.Unmarshal(params, &id); err != nil {
			return nil, err
		}
		if !p.e.waitQueue.deliver(id.ID, signal{kind: signalOffer, peer: p}) {
			l.Notify(dispatch.MethodCancel, id)
		}
	case dispatch.MethodHeartbeat:
		var h dispatch.Heartbeat
		if err := json.Unmarshal(params, &h); err != nil {
			return nil, err
		}
		p.heartbeat(l, h)
	case dispatch.MethodFetchConfig:
		var f dispatch.FetchConfig
		if err := json.Unmarshal(params, &f); err != nil {
			return nil, err
		}
		return p.e.exchange.Reply(f)
	default:
		return nil, errors.Errorf("unknown method %q", method)
	}
	return nil, nil
}

func (p *peer) heartbeat(l *dispatch.Link, h dispatch.Heartbeat) {
	p.mu.Lock()
	was := p.usable()
	if h.State != nil {
		p.heardState = true
		p.leaving = h.State.Leaving
		p.config = h.State.Config
	}
	if h.Load != nil {
		p.reported = *h.Load
	}
	p.load = p.reported
	changed := was != p.usable()
	p.mu.Unlock()
	p.report()
	if h.State != nil {
		p.e.confirmed.signal()
		p.e.exchange.Observe(l, *h.State)
	}
	if changed {
		p.e.peers.changed()
	}
}
