package entry

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/peer/config"
	"github.com/damaskport/damaskport/internal/peer/dispatch"
	"github.com/damaskport/damaskport/internal/platform/membership"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/tcp"
)

const (
	dialTimeout  = 500 * time.Millisecond
	helloTimeout = time.Second
	// minRedialDelay and maxRedialDelay are the shortest and the longest delay
	// before a lost connection is dialled again.
	minRedialDelay = 50 * clock.Millisecond
	maxRedialDelay = 2 * clock.Second
	// maxMissedHeartbeats is the number of heartbeat intervals without any message
	// from the sidecar after which its connection is closed.
	maxMissedHeartbeats = 3
)

// peer is the entry's connection to one sidecar and its view of that sidecar.
type peer struct {
	e         *Entry
	instance  membership.Instance
	mu        sync.Mutex          // guards the fields up to stateReceived
	link      *dispatch.Link      // nil while not connected
	sentState dispatch.State      // last state sent on link
	hello     dispatch.HelloReply // of the last connection
	// reported is the load that the sidecar last reported; load is the same,
	// corrected for the attempts that this entry has since started and ended there.
	reported dispatch.Load
	load     dispatch.Load
	leaving  bool           // the sidecar reports that it is draining
	config   config.Version // last reported by the sidecar
	// stateReceived is set once a heartbeat on this connection has carried a state,
	// which is newer than the state in the answer to hello.
	stateReceived bool
	// listedLeaving is whether the platform lists the server as leaving.
	listedLeaving atomic.Bool
	// drained is set once Drain was called for the server.
	drained atomic.Bool
}

// run keeps a connection to the sidecar open until ctx ends, reconnecting with
// increasing delays.
func (p *peer) run(ctx context.Context) error {
	dispatch.Redial(ctx, p.e.clock, minRedialDelay, maxRedialDelay, p.session, func(err error, pause clock.Millis) {
		p.disconnected()
		if ctx.Err() == nil {
			p.e.log.WithFields(logrus.Fields{"event": "peerDown", "peer": p.instance.Name, "redialMs": int64(pause)}).Info(err)
		}
	})
	return nil
}

// session dials the sidecar, says hello and exchanges heartbeats until the connection
// ends, and returns why it ended.
func (p *peer) session(ctx context.Context) error {
	d := tcp.NewDialer(dialTimeout)
	conn, err := d.DialContext(ctx, "tcp", p.instance.Address)
	if err != nil {
		return err
	}
	l := dispatch.NewLink(conn, p.e.clock, p.handle)
	defer l.Close()
	if err := p.handshake(ctx, l); err != nil {
		return err
	}
	return l.Keep(ctx, func() (every, silence clock.Millis) {
		every = p.e.peers.heartbeatInterval()
		return every, maxMissedHeartbeats * every
	}, func() { p.sendHeartbeat(l) })
}

// handshake sends hello on a new connection and takes it into use.
func (p *peer) handshake(ctx context.Context, l *dispatch.Link) error {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	var reply dispatch.HelloReply
	p.mu.Lock()
	p.stateReceived = false
	p.mu.Unlock()
	hello := dispatch.Hello{Entry: p.e.name, Incarnation: p.e.incarnation, State: p.state(), Term: int64(p.instance.StartedMs)}
	if err := l.Call(ctx, dispatch.MethodHello, hello, &reply); err != nil {
		return errors.Wrap(err, "hello")
	}
	p.mu.Lock()
	p.link = l
	p.sentState = hello.State
	p.hello = reply
	p.reported = reply.Load
	p.load = reply.Load
	if !p.stateReceived {
		p.leaving = reply.State.Leaving
		p.config = reply.State.Config
	}
	p.mu.Unlock()
	p.updateRouter()
	p.e.exchange.Observe(l, reply.State)
	// The state may have changed since the hello was sent.
	p.sendHeartbeat(l)
	p.e.log.WithFields(logrus.Fields{"event": "peerUp", "peer": reply.Name, "pool": reply.Pool}).Info("connected")
	p.e.peers.rebuildPools()
	return nil
}

// state returns the entry's state as it is sent to this sidecar.
func (p *peer) state() dispatch.State {
	st := p.e.state()
	st.Leaving = p.listedLeaving.Load() || p.drained.Load()
	st.Services = int(p.e.peers.services.Load())
	st.Servers = int(p.e.peers.servers.Load())
	return st
}

// sendHeartbeat sends a heartbeat on l, with the state only if it differs from the
// one last sent.
func (p *peer) sendHeartbeat(l *dispatch.Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := dispatch.Heartbeat{}
	if st := p.state(); st != p.sentState {
		p.sentState = st
		h.State = &st
	}
	l.Notify(dispatch.MethodHeartbeat, h)
}

// sendHeartbeatNow sends a heartbeat without waiting for the next interval, to
// report a change of state.
func (p *peer) sendHeartbeatNow() {
	if l := p.openLink(); l != nil {
		p.sendHeartbeat(l)
	}
}

// disconnected marks the sidecar as not connected and withdraws it from routing.
func (p *peer) disconnected() {
	p.mu.Lock()
	p.link = nil
	p.mu.Unlock()
	p.e.router.remove(p)
	p.e.dispatcher.peerDisconnected(p)
	p.e.peers.rebuildPools()
}

// openLink returns the open connection, or nil.
func (p *peer) openLink() *dispatch.Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link
}

// notify sends a message if the sidecar is connected, and reports whether it is.
func (p *peer) notify(method string, params any) bool {
	l := p.openLink()
	if l == nil {
		return false
	}
	l.Notify(method, params)
	return true
}

// reconnect closes the connection after an error on the path to the sidecar, so
// that it is dialled again at once.
func (p *peer) reconnect() {
	if l := p.openLink(); l != nil {
		l.Close()
	}
}

// handle processes one message of the sidecar. An offer that no waiting request can
// take is cancelled.
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

// heartbeat applies the state and the load reported by the sidecar.
func (p *peer) heartbeat(l *dispatch.Link, h dispatch.Heartbeat) {
	p.mu.Lock()
	was := p.usable()
	if h.State != nil {
		p.stateReceived = true
		p.leaving = h.State.Leaving
		p.config = h.State.Config
	}
	if h.Load != nil {
		p.reported = *h.Load
	}
	p.load = p.reported
	changed := was != p.usable()
	p.mu.Unlock()
	p.updateRouter()
	if h.State != nil {
		p.e.configReported.signal()
		p.e.exchange.Observe(l, *h.State)
	}
	if changed {
		p.e.peers.rebuildPools()
	}
}
