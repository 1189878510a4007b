// Package direct sends requests over HTTP/1.1 to backend servers that have no
// sidecar. Unlike net/http it never retries: a request is written to at most one
// connection, so that the code using this package knows of every send.
package direct

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/damaskport/damaskport/internal/policy/socketbuffer"
	"github.com/damaskport/damaskport/internal/runtime/bounded"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/tcp"
)

const (
	dialTimeout = 700 * time.Millisecond
	// unackedTimeout (TCP_USER_TIMEOUT) closes a connection whose peer does not
	// acknowledge data. It is shorter than the shortest timeout of a stream without
	// data, which is 2 s.
	unackedTimeout = 1500 * time.Millisecond
	// windowBytes is the number of bytes that fit into the receive window of a peer that does not read.
	// TCP_USER_TIMEOUT also expires while a full window is probed and the probes are acknowledged, so
	// unackedTimeout is not set for requests with longer bodies: a server may read them late.
	windowBytes = 32 << 10
	// unreadQuiet is longer than a system waits before it probes a window that has too little room.
	unreadQuiet = clock.Second
	// TCP keep-alive closes an idle connection whose peer leaves keepAliveProbes probes,
	// sent every keepAliveInterval, unanswered.
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	readBufferBytes   = 8 << 10
	// idleMargin is subtracted from the idle timeout that a server announces, so that
	// no request is sent just as the server closes the connection.
	idleMargin = 700 * clock.Millisecond
	// defaultIdleTimeout is the longest idle time of a connection whose server announced
	// no timeout in a Keep-Alive header.
	defaultIdleTimeout = 4 * clock.Second
)

// NotSentError reports a request of which no byte was sent to the server.
type NotSentError struct{ Err error }

// Error returns the message of the cause, prefixed by "not sent".
func (e *NotSentError) Error() string { return "not sent: " + e.Err.Error() }

// Unwrap returns the cause, for errors.Is and errors.As.
func (e *NotSentError) Unwrap() error { return e.Err }

// localErrors are the errors of opening a connection that the gateway's own limits cause.
var localErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL}

// Local reports whether the gateway lacked descriptors, memory or ports to open a connection. Such an
// error says nothing about the server.
func (e *NotSentError) Local() bool {
	return slices.ContainsFunc(localErrors, func(err error) bool { return errors.Is(e.Err, err) })
}

// AtLimit reports whether the server reset the new connection, as it does at its limit of connections.
func (e *NotSentError) AtLimit() bool { return errors.Is(e.Err, syscall.ECONNRESET) }

// conn is a connection to a backend server, used by one request at a time.
type conn struct {
	net.Conn
	// headerLimit bounds the bytes that br reads for one response header. Bodies are not
	// bounded by it.
	headerLimit *bounded.Reader
	br          *bufio.Reader
	bw          *bufio.Writer
	// openedMs is the time at which the connection was open.
	openedMs clock.Millis
	// answeredMs is when the last request was sent that the server answered; 0 for none.
	answeredMs clock.Millis
	// idleSinceMs is the time at which the connection became idle.
	idleSinceMs clock.Millis
	// idleTimeoutMs is the idle time after which the connection is no longer reused.
	idleTimeoutMs clock.Millis
	// noReuse is set once a response to another request arrived, or one that does not
	// carry a request ID. The connection is then not reused, since a later response
	// on it may be taken for the response to the next request.
	noReuse bool
	// served is set once a request was sent on the connection and its response was read.
	served bool
	// lateReader is set while unackedTimeout is off; see windowBytes.
	lateReader bool
}

func (p *Pool) connect(ctx context.Context) (*conn, error) {
	d := tcp.NewDialer(dialTimeout, tcp.UnackedTimeout(unackedTimeout))
	d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes}
	open := d.DialContext
	if p.Buffers != nil {
		open = func(ctx context.Context, network, addr string) (net.Conn, error) {
			return p.Buffers.Dial(ctx, d, socketbuffer.Server, network, addr)
		}
	}
	c, err := open(ctx, "tcp", p.addr)
	if err != nil {
		return nil, &NotSentError{err}
	}
	limit := bounded.NewReader(c)
	return &conn{Conn: c, headerLimit: limit, br: bufio.NewReaderSize(limit, readBufferBytes), bw: bufio.NewWriter(c), idleTimeoutMs: defaultIdleTimeout}, nil
}

// reset closes the connection, and has the system send nothing more of what was written.
func (c *conn) reset() {
	if sc, ok := c.Conn.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			_ = tcp.Set(raw, tcp.ResetOnClose(true))
		}
	}
	_ = c.Close()
}

// expectBody turns unackedTimeout on or off for a request with a body of n bytes; see windowBytes.
func (c *conn) expectBody(n int) error {
	late := n > windowBytes
	sc, ok := c.Conn.(syscall.Conn)
	if late == c.lateReader || !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	d := unackedTimeout
	if late {
		d = 0
	}
	c.lateReader = late
	return tcp.Set(raw, tcp.UnackedTimeout(d))
}

// alive reports whether an idle connection is open and has no data to read. Data that
// arrives while no request is in flight belongs to no request, so that the connection
// can't be reused.
func (c *conn) alive() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, rerr := unix.Read(int(fd), b[:])
		noData = errors.Is(rerr, unix.EAGAIN)
		return true
	})
	return err == nil && noData
}

// errUnasked reports data on a connection without a request.
var errUnasked = errors.New("the server sent data without a request")

// waitEnd waits for d and returns nil if c stays open and silent. Otherwise the error tells how it ended:
// io.EOF, a reset, or errUnasked.
func (c *conn) waitEnd(d time.Duration) error {
	const late = 10 * time.Millisecond
	err := c.peek(d)
	if err == nil && !c.open() {
		// A read past its deadline fails with a time-out even if c was closed before.
		err = c.peek(late)
	}
	return err
}

func (c *conn) peek(d time.Duration) error {
	_ = c.SetReadDeadline(time.Now().Add(d))
	defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	_, err := c.br.Peek(1)
	var timeout net.Error
	switch {
	case err == nil:
		return errUnasked
	case errors.As(err, &timeout) && timeout.Timeout():
		return nil
	default:
		return err
	}
}

// maxUnread returns the number of bytes from which on unread data may hold back the server's close.
func (c *conn) maxUnread() int {
	if limited, ok := c.Conn.(interface{ ReceiveBytes() int }); ok {
		return min(windowBytes, limited.ReceiveBytes()/4) // a part of the buffer is the kernel's
	}
	return windowBytes
}

// connState is what the gateway's system knows of a connection.
type connState int

// The states of a connection. One with much unread data is connUnread while data arrives: a close follows
// only behind what the server's system still has to send.
const (
	connClosed connState = iota
	connUnread
	connOpen
)

// open reports whether neither end has closed c; it may be called while a request uses c.
func (c *conn) open() bool { return c.state() == connOpen }

// state returns the state of c; it may be called while a request uses c. A full receive window holds the
// server's close back, and c then counts as closed.
func (c *conn) state() connState {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return connClosed
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return connClosed
	}
	state := connClosed
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, perr := unix.Poll(fds, 0)
		for errors.Is(perr, unix.EINTR) {
			n, perr = unix.Poll(fds, 0)
		}
		unread, ierr := unix.IoctlGetInt(int(fd), unix.SIOCINQ)
		switch {
		case perr != nil || n != 0 || ierr != nil:
		case unread < c.maxUnread():
			state = connOpen
		default:
			state = unreadState(int(fd))
		}
	})
	if err != nil {
		return connClosed
	}
	return state
}

// unreadState returns the state of an open connection with much unread data. With room in the window for
// unreadQuiet, the server's system has nothing left to send, also no close: it would have filled the
// window by its first probe. Systems that do not tell the window's size (before Linux 6.2) give 0.
func unreadState(fd int) connState {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	switch {
	case err != nil || info.Rcv_wnd == 0:
		return connClosed
	case clock.Millis(info.Last_data_recv) < unreadQuiet:
		return connUnread
	default:
		return connOpen
	}
}

// setIdleTimeout applies the idle timeout that the server announces in the Keep-Alive
// header h, less idleMargin. Without an announcement the timeout stays as it is.
func (c *conn) setIdleTimeout(h http.Header) {
	for _, f := range strings.Split(h.Get("Keep-Alive"), ",") {
		v, ok := strings.CutPrefix(strings.TrimSpace(f), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(v); err == nil && s >= 0 {
			c.idleTimeoutMs = clock.Millis(s)*clock.Second - idleMargin
		}
	}
}
