package tcp

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"github.com/damaskport/damaskport/internal/policy/socketbuffer"
)

// Buffers gives the connections of a process the sizes of their buffers, from one budget. It is safe for
// concurrent use.
type Buffers struct {
	log logrus.FieldLogger

	mu      sync.Mutex
	budget  socketbuffer.Budget
	conns   map[*conn]struct{}
	failed  bool // logged that a size could not be set
	atFloor bool // connections get the floor, or did not get much more since
}

// NewBuffers returns Buffers that give out budget.
func NewBuffers(budget socketbuffer.Budget, log logrus.FieldLogger) *Buffers {
	return &Buffers{log: log, budget: budget, conns: map[*conn]struct{}{}}
}

// conn is a connection with limited buffers.
type conn struct {
	net.Conn
	raw     syscall.RawConn
	buffers *Buffers
	kind    socketbuffer.Kind
	sizes   socketbuffer.Sizes
	// writing is held by Write, of which each may be several calls of the system.
	writing sync.Mutex
}

// BufferSizes sets the sizes of a socket's buffers.
func BufferSizes(s socketbuffer.Sizes) Option {
	return func(fd int) error {
		// The kernel doubles these values.
		if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, s.Receive/2); err != nil {
			return errors.Wrap(err, "set SO_RCVBUF")
		}
		return sendBuffer(s.Send)(fd)
	}
}

// sendBuffer sets the size of a socket's send buffer.
func sendBuffer(bytes int) Option {
	return func(fd int) error {
		return errors.Wrap(unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, bytes/2), "set SO_SNDBUF")
	}
}

// raiseWindow sets the limit of the receive window, which an accepted socket has from its listener.
func raiseWindow(s socketbuffer.Sizes) Option {
	return func(fd int) error {
		return errors.Wrap(unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, s.Receive), "set TCP_WINDOW_CLAMP")
	}
}

// take gives out the sizes of a connection.
func (b *Buffers) take(k socketbuffer.Kind) socketbuffer.Sizes {
	b.mu.Lock()
	defer b.mu.Unlock()
	var s socketbuffer.Sizes
	b.budget, s = b.budget.With(k)
	floor := socketbuffer.Floor()
	fields := logrus.Fields{"connections": b.budget.Open(), "givenBytes": b.budget.Given(), "budgetBytes": b.budget.Bytes()}
	switch {
	case !b.atFloor && s == floor:
		b.atFloor = true
		b.log.WithFields(fields).WithField("event", "socketBuffersAtFloor").Warn()
	case b.atFloor && s.Bytes() >= 2*floor.Bytes():
		b.atFloor = false
		b.log.WithFields(fields).WithField("event", "socketBuffersGrow").Info()
	}
	return s
}

// release takes sizes back that take gave out.
func (b *Buffers) release(s socketbuffer.Sizes) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget = b.budget.Without(s)
}

// note logs the first error of an option. The connection is used without it.
func (b *Buffers) note(err error) {
	if err == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.failed {
		b.failed = true
		b.log.WithField("event", "socketBufferNotSet").Warn(err)
	}
}

// add returns nc as a connection that has the sizes s until it is closed.
func (b *Buffers) add(nc net.Conn, k socketbuffer.Kind, s socketbuffer.Sizes) *conn {
	c := &conn{Conn: nc, buffers: b, kind: k, sizes: s}
	if sc, ok := nc.(syscall.Conn); ok {
		raw, err := sc.SyscallConn()
		b.note(err)
		c.raw = raw
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.conns[c] = struct{}{}
	return c
}

// Dial opens a connection as d does.
func (b *Buffers) Dial(ctx context.Context, d *net.Dialer, k socketbuffer.Kind, network, addr string) (net.Conn, error) {
	s := b.take(k)
	sized := *d
	sized.Control = func(network, addr string, c syscall.RawConn) error {
		if d.Control != nil {
			if err := d.Control(network, addr, c); err != nil {
				return err
			}
		}
		b.note(Set(c, BufferSizes(s)))
		return nil
	}
	nc, err := sized.DialContext(ctx, network, addr)
	if err != nil {
		b.release(s)
		return nil, err
	}
	return b.add(nc, k, s), nil
}

// listener accepts connections with limited buffers.
type listener struct {
	net.Listener
	buffers *Buffers
	kind    socketbuffer.Kind
}

// Listener returns ln with limited buffers for the connections it accepts.
func (b *Buffers) Listener(ln net.Listener, k socketbuffer.Kind) net.Listener {
	return listener{ln, b, k}
}

// Accept returns the next connection.
func (l listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := l.buffers.add(nc, l.kind, l.buffers.take(l.kind))
	if c.raw != nil && c.sizes != socketbuffer.Floor() { // the floor is the listener's
		l.buffers.note(Set(c.raw, BufferSizes(c.sizes), raiseWindow(c.sizes)))
	}
	return c, nil
}

// GiveRest divides what is left of the budget among the open connections to peers of kind k, for what is
// still sent to them: the kernel takes it, also if the process ends before its peer has read it. No
// connections may be opened after it.
func (b *Buffers) GiveRest(k socketbuffer.Kind) {
	b.mu.Lock()
	var open []*conn
	for c := range b.conns {
		if c.kind == k && c.raw != nil {
			open = append(open, c)
		}
	}
	rest := b.budget.Rest(len(open))
	b.mu.Unlock()
	for _, c := range open {
		err := Set(c.raw, sendBuffer(c.sizes.Send+rest))
		if !errors.Is(err, net.ErrClosed) {
			b.note(err)
		}
	}
}

// Usage returns the bytes that the kernel holds for the open connections, by kind of peer. The error is
// that of a kernel that does not tell.
func (b *Buffers) Usage() (map[socketbuffer.Kind]int, error) {
	b.mu.Lock()
	open := make([]*conn, 0, len(b.conns))
	for c := range b.conns {
		open = append(open, c)
	}
	b.mu.Unlock()
	held := map[socketbuffer.Kind]int{}
	for _, c := range open {
		if c.raw == nil {
			continue
		}
		n, err := Memory(c.raw)
		if err != nil && !errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		held[c.kind] += n
	}
	return held, nil
}

// Budget returns the budget and what of it is given out.
func (b *Buffers) Budget() socketbuffer.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget
}

// Close closes the connection and gives its sizes back.
func (c *conn) Close() error {
	err := c.Conn.Close()
	b := c.buffers
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, open := b.conns[c]; open {
		delete(b.conns, c)
		b.budget = b.budget.Without(c.sizes)
	}
	return err
}

// ReceiveBytes returns the size of the receive buffer.
func (c *conn) ReceiveBytes() int { return c.sizes.Receive }

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	if c.raw == nil {
		return nil, errors.New("the connection has no socket")
	}
	return c.raw, nil
}

// CloseWrite tells the peer that no more is sent.
func (c *conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.New("the connection cannot be closed in one direction")
	}
	return half.CloseWrite()
}

// Write writes p, in pieces if the connection's sizes ask for it.
func (c *conn) Write(p []byte) (int, error) {
	if c.sizes.Piece == 0 || c.raw == nil {
		return c.Conn.Write(p)
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	for n := 0; ; {
		k, err := c.writePiece(p[n:min(len(p), n+c.sizes.Piece)])
		n += k
		if err != nil || n == len(p) {
			return n, err
		}
	}
}

// writePiece writes at least a part of p as a packet of its own.
func (c *conn) writePiece(p []byte) (int, error) {
	n := 0
	var sendErr error
	err := c.raw.Write(func(fd uintptr) bool {
		n, sendErr = unix.SendmsgN(int(fd), p, nil, nil, unix.MSG_EOR|unix.MSG_NOSIGNAL)
		for errors.Is(sendErr, unix.EINTR) {
			n, sendErr = unix.SendmsgN(int(fd), p, nil, nil, unix.MSG_EOR|unix.MSG_NOSIGNAL)
		}
		return !errors.Is(sendErr, unix.EAGAIN)
	})
	if err == nil && sendErr != nil {
		err = &net.OpError{Op: "write", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("sendmsg", sendErr)}
	}
	return max(n, 0), err
}
