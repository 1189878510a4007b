package dispatch

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/damaskport/damaskport/internal/runtime/bounded"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/ring"
)

const (
	// queueSize is the number of outgoing notifications that a link queues.
	queueSize = 4096
	// writeTimeout bounds one write to the connection.
	writeTimeout = 2 * time.Second
	// maxMessageBytes bounds an incoming message. The largest messages carry a
	// snapshot of the configuration, which has up to 4 MiB.
	maxMessageBytes = 8 << 20
	// maxHelloBytes bounds a message of a peer that has not said who it is. Its first message is the hello, a
	// name and versions.
	maxHelloBytes = 64 << 10
	// helloTime is how long a peer has for its hello.
	helloTime = 10 * time.Second
)

// ErrClosed is returned by a Handler that cannot answer a call because the link has
// been closed meanwhile.
var ErrClosed = errors.New("link closed")

// Handler handles the messages that arrive on a link. It is called by one goroutine
// per link and must not block. Result and error are sent back for calls, and
// ignored for notifications.
type Handler func(l *Link, method string, params json.RawMessage) (any, error)

// Link is one end of a control connection, on which both ends send JSON-RPC 2.0
// notifications and calls. Notify never blocks: a goroutine writes the queued
// notifications, and the link closes when the queue is full.
type Link struct {
	conn         *jsonrpc2.Conn
	queue        *ring.Ring[*notification]
	ctx          context.Context
	cancel       context.CancelFunc
	clock        clock.Clock
	lastReceived atomic.Int64
	closeOnce    sync.Once
	// known is set once the peer has said who it is; accepted is the connection until then if the peer opened it.
	known    atomic.Bool
	accepted net.Conn
}

// notification is a queued notification.
type notification struct {
	method string
	params any
}

// NewLink starts a link on c, which it owns from then on. This process has opened c.
func NewLink(c net.Conn, clk clock.Clock, h Handler) *Link {
	l := newLink(clk)
	l.known.Store(true)
	return l.start(c, h)
}

// AcceptLink is NewLink for a connection that the peer has opened. The peer has helloTime for its hello, and until
// then sends little. If c has a method Busy, it is called with the hello.
func AcceptLink(c net.Conn, clk clock.Clock, h Handler) *Link {
	l := newLink(clk)
	l.accepted = c
	_ = c.SetReadDeadline(time.Now().Add(helloTime))
	return l.start(c, h)
}

func newLink(clk clock.Clock) *Link {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Link{queue: ring.New[*notification](queueSize), ctx: ctx, cancel: cancel, clock: clk}
	l.lastReceived.Store(int64(clk.Now()))
	return l
}

// start starts l on c.
func (l *Link) start(c net.Conn, h Handler) *Link {
	stream := newObjectStream(deadlineConn{c}, l.maxBytes)
	ready := make(chan struct{})
	l.conn = jsonrpc2.NewConn(l.ctx, stream, handlerAdapter{l, h, ready},
		jsonrpc2.SetLogger(log.New(io.Discard, "", 0)))
	close(ready)
	go l.writeQueue()
	return l
}

// maxBytes returns the most bytes of the next message.
func (l *Link) maxBytes() int64 {
	if l.known.Load() {
		return maxMessageBytes
	}
	return maxHelloBytes
}

// greeted records the hello of the peer. It is called by the goroutine that reads.
func (l *Link) greeted() {
	if l.known.Swap(true) {
		return
	}
	_ = l.accepted.SetReadDeadline(time.Time{})
	if b, ok := l.accepted.(interface{ Busy() }); ok {
		b.Busy()
	}
}

// deadlineConn bounds each write by writeTimeout, so that writing to a peer that has
// stopped reading fails.
type deadlineConn struct{ net.Conn }

func (c deadlineConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// objectStream is a stream of JSON objects, of which incoming ones are limited to
// maxBytes. It implements jsonrpc2.ObjectStream.
type objectStream struct {
	conn     net.Conn
	in       *bounded.Reader
	dec      *json.Decoder
	maxBytes func() int64 // called before each message

	mu  sync.Mutex
	enc *json.Encoder
}

func newObjectStream(c net.Conn, maxBytes func() int64) *objectStream {
	in := bounded.NewReader(c)
	return &objectStream{conn: c, in: in, dec: json.NewDecoder(in), maxBytes: maxBytes, enc: json.NewEncoder(c)}
}

// WriteObject writes a message.
func (o *objectStream) WriteObject(v any) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.enc.Encode(v)
}

// ReadObject reads the next message. The error is a *bounded.TooLargeError if it is
// longer than maxBytes.
func (o *objectStream) ReadObject(v any) error {
	o.in.Bound("JSON-RPC message", o.maxBytes())
	return o.dec.Decode(v)
}

// Close closes the connection.
func (o *objectStream) Close() error { return o.conn.Close() }

// handlerAdapter is the jsonrpc2.Handler of a link.
type handlerAdapter struct {
	l     *Link
	h     Handler
	ready chan struct{}
}

// Handle passes an incoming message to the link's Handler and replies if it is a
// call. It first waits until NewLink has set up the link.
func (a handlerAdapter) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	<-a.ready
	a.l.lastReceived.Store(int64(a.l.clock.Now()))
	if req.Method == MethodHello {
		a.l.greeted()
	}
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	result, err := a.h(a.l, req.Method, params)
	if req.Notif {
		return
	}
	if err != nil {
		_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()})
		return
	}
	_ = conn.Reply(ctx, req.ID, result)
}

// writeQueue sends the queued notifications until the link closes.
func (l *Link) writeQueue() {
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-l.conn.DisconnectNotify():
			l.Close()
			return
		case m := <-l.queue.C():
			if err := l.conn.Notify(l.ctx, m.method, m.params); err != nil {
				l.Close()
				return
			}
		}
	}
}

// Notify queues a notification. It closes the link if the queue is full.
func (l *Link) Notify(method string, params any) {
	if !l.queue.TryPut(&notification{method, params}) {
		l.Close()
	}
}

// Call sends a call and waits for its result, which it decodes into result.
func (l *Link) Call(ctx context.Context, method string, params, result any) error {
	err := l.conn.Call(ctx, method, params, result)
	if err == nil {
		l.lastReceived.Store(int64(l.clock.Now()))
	}
	return err
}

// Keep calls sendHeartbeat at regular intervals. It returns an error once ctx ends,
// the link closes, or no message has arrived for longer than the heartbeat timeout.
// period is called before each interval and returns its length and the timeout.
func (l *Link) Keep(ctx context.Context, period func() (interval, timeout clock.Millis), sendHeartbeat func()) error {
	for {
		interval, timeout := period()
		wait, cancel := context.WithTimeout(ctx, interval.Duration())
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
		if l.clock.Now()-l.Heard() > timeout {
			return errors.New("no message received within the heartbeat timeout")
		}
		sendHeartbeat()
	}
}

// Heard returns the time at which the last message arrived, on the link's clock; that
// of NewLink before the first one.
func (l *Link) Heard() clock.Millis {
	return clock.Millis(l.lastReceived.Load())
}

// Done returns a channel that is closed when the link closes.
func (l *Link) Done() <-chan struct{} {
	return l.ctx.Done()
}

// Closed reports whether the link is closed.
func (l *Link) Closed() bool {
	return l.ctx.Err() != nil
}

// Close closes the link and its connection, without waiting for either. Queued
// notifications are dropped. It may be called more than once.
func (l *Link) Close() {
	l.closeOnce.Do(func() {
		l.cancel()
		go func() { _ = l.conn.Close() }()
	})
}
