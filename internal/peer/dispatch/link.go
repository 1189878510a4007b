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
	outSize      = 4096
	writeTimeout = 2 * time.Second
	// maxMessageBytes bounds a message: a snapshot of the configuration has up to
	// 4 MiB.
	maxMessageBytes = 8 << 20
)

// ErrClosed is returned by calls on a link that has been closed.
var ErrClosed = errors.New("link closed")

// Handler receives the messages of a link. It is called by one goroutine per
// link and must not block. The result is sent for calls only.
type Handler func(l *Link, method string, params json.RawMessage) (any, error)

// Link is one control connection. Notify never blocks: messages pass through
// a bounded ring to a writer, and an overflow closes the link.
type Link struct {
	conn     *jsonrpc2.Conn
	out      *ring.Ring[*outgoing]
	ctx      context.Context
	cancel   context.CancelFunc
	clock    clock.Clock
	heard    atomic.Int64
	closeOne sync.Once
}

type outgoing struct {
	method string
	params any
}

// NewLink starts a link on c.
func NewLink(c net.Conn, clk clock.Clock, h Handler) *Link {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Link{out: ring.New[*outgoing](outSize), ctx: ctx, cancel: cancel, clock: clk}
	l.heard.Store(int64(clk.Now()))
	stream := newObjects(deadlineConn{c})
	ready := make(chan struct{})
	l.conn = jsonrpc2.NewConn(ctx, stream, adapter{l, h, ready},
		jsonrpc2.SetLogger(log.New(io.Discard, "", 0)))
	close(ready)
	go l.write()
	return l
}

// deadlineConn bounds each write, so that a frozen reader is noticed.
type deadlineConn struct{ net.Conn }

func (c deadlineConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// objects is a stream of JSON objects of a bounded size. It implements
// jsonrpc2.ObjectStream.
type objects struct {
	conn net.Conn
	in   *bounded.Reader
	dec  *json.Decoder

	mu  sync.Mutex
	enc *json.Encoder
}

func newObjects(c net.Conn) *objects {
	in := bounded.NewReader(c)
	return &objects{conn: c, in: in, dec: json.NewDecoder(in), enc: json.NewEncoder(c)}
}

// WriteObject writes a message.
func (o *objects) WriteObject(v any) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.enc.Encode(v)
}

// ReadObject reads the next message. The error is a *bounded.TooLargeError for one
// without end.
func (o *objects) ReadObject(v any) error {
	o.in.Bound("a message", maxMessageBytes)
	return o.dec.Decode(v)
}

// Close closes the connection.
func (o *objects) Close() error { return o.conn.Close() }

type adapter struct {
	l     *Link
	h     Handler
	ready chan struct{}
}

// Handle passes one message to the handler and answers calls.
func (a adapter) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	<-a.ready
	a.l.heard.Store(int64(a.l.clock.Now()))
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

func (l *Link) write() {
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-l.conn.DisconnectNotify():
			l.Close()
			return
		case m := <-l.out.C():
			if err := l.conn.Notify(l.ctx, m.method, m.params); err != nil {
				l.Close()
				return
			}
		}
	}
}

// Notify queues a message; it closes the link when the ring is full.
func (l *Link) Notify(method string, params any) {
	if !l.out.TryPut(&outgoing{method, params}) {
		l.Close()
	}
}

// Call sends a message and waits for the answer.
func (l *Link) Call(ctx context.Context, method string, params, result any) error {
	err := l.conn.Call(ctx, method, params, result)
	if err == nil {
		l.heard.Store(int64(l.clock.Now()))
	}
	return err
}

// Keep sends beats until the link or ctx ends, or nothing was heard for too
// long. period returns the time between two beats and the silence to bear.
func (l *Link) Keep(ctx context.Context, period func() (every, silence clock.Millis), beat func()) error {
	for {
		every, silence := period()
		wait, cancel := context.WithTimeout(ctx, every.Duration())
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
		if l.clock.Now()-l.Heard() > silence {
			return errors.New("connection is silent")
		}
		beat()
	}
}

// Heard returns when the last message arrived.
func (l *Link) Heard() clock.Millis {
	return clock.Millis(l.heard.Load())
}

// Done is closed when the link has ended.
func (l *Link) Done() <-chan struct{} {
	return l.ctx.Done()
}

// Closed reports whether the link has ended.
func (l *Link) Closed() bool {
	return l.ctx.Err() != nil
}

// Close ends the link. It may be called more than once.
func (l *Link) Close() {
	l.closeOne.Do(func() {
		l.cancel()
		go func() { _ = l.conn.Close() }()
	})
}
