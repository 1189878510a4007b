// Package fenced sends requests to the platform that only the holder of a lease may
// send.
//
// Each request has its own connection. The remaining time of the lease is checked
// directly before each write, and the write, the answer and the kernel's TCP
// retransmissions are limited to that time. Two gaps remain: the process may be
// suspended between the check and the write, and the platform may execute a request
// long after it has received it. The term in the request closes both gaps if the
// platform checks it.
package fenced

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/damaskport/damaskport/internal/runtime/bounded"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/http1"
	"github.com/damaskport/damaskport/internal/runtime/tcp"
)

// maxAnswerBytes bounds the body of an answer.
const maxAnswerBytes = 1 << 20

// Guard returns the remaining time in milliseconds in which the sender may still
// send. At 0 or less it must not send.
type Guard interface {
	Remaining() clock.Millis
}

// LapsedError reports a request that was not sent, or was abandoned before its
// answer, because the lease ended.
type LapsedError struct {
	// Sent is true when the platform may have received the request.
	Sent bool
}

// Error returns a message that includes Sent.
func (e *LapsedError) Error() string {
	return fmt.Sprintf("lease ended before the platform answered; request sent: %v", e.Sent)
}

// StatusError reports an answer with a status other than 2xx.
type StatusError struct {
	Status  int
	Message string
}

// Error returns the status and the message.
func (e *StatusError) Error() string {
	return fmt.Sprintf("platform answered with status %d: %s", e.Status, e.Message)
}

// Refused reports whether the platform rejected the request, so that it had no
// effect: the status is 4xx.
func (e *StatusError) Refused() bool { return e.Status/100 == 4 }

// Post sends a POST request with a JSON body and returns the body of the answer. The
// error is a *LapsedError if the lease ended, and a *StatusError for a status other
// than 2xx. After any other error the request may have taken effect.
func Post(ctx context.Context, url string, body []byte, g Guard) ([]byte, error) {
	remaining := g.Remaining()
	if remaining <= 0 {
		return nil, &LapsedError{}
	}
	leaseCtx, cancel := context.WithTimeout(ctx, remaining.Duration())
	defer cancel()
	var sent atomic.Bool
	tr := http1.Transport(&http.Transport{DisableKeepAlives: true, DialContext: dialer(g, &sent)})
	defer tr.CloseIdleConnections()
	req, err := http.NewRequestWithContext(leaseCtx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	answer, err := roundTrip(tr, req)
	var status *StatusError
	if err == nil || errors.As(err, &status) {
		return answer, err
	}
	if g.Remaining() <= 0 || leaseCtx.Err() != nil && ctx.Err() == nil {
		return nil, &LapsedError{Sent: sent.Load()}
	}
	return nil, err
}

// roundTrip sends req and returns the body of the answer.
func roundTrip(tr *http.Transport, req *http.Request) ([]byte, error) {
	res, err := tr.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	answer, err := bounded.ReadAll(res.Body, "the platform's answer", maxAnswerBytes)
	if res.StatusCode/100 != 2 {
		return nil, &StatusError{Status: res.StatusCode, Message: string(bytes.TrimSpace(answer))}
	}
	return answer, err
}

// dialer returns a dial function whose connections check g before each write and set
// sent at the first one.
func dialer(g Guard, sent *atomic.Bool) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := tcp.NewDialer(0).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		if tc, ok := c.(*net.TCPConn); ok {
			// With a linger time of 0, closing discards data that the kernel has not
			// sent yet.
			if err := tc.SetLinger(0); err != nil {
				c.Close()
				return nil, err
			}
		}
		return &conn{Conn: c, guard: g, sent: sent}, nil
	}
}

// conn is a connection that checks the guard before each write.
type conn struct {
	net.Conn
	guard Guard
	sent  *atomic.Bool
}

// Write writes b if the lease has time remaining.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.limitRetransmissions(c.guard.Remaining()); err != nil {
		return 0, err
	}
	if c.guard.Remaining() <= 0 {
		return 0, &LapsedError{Sent: c.sent.Load()}
	}
	c.sent.Store(true)
	return c.Conn.Write(b)
}

// limitRetransmissions makes the kernel close the connection if sent data is not
// acknowledged within the remaining time of the lease.
func (c *conn) limitRetransmissions(remaining clock.Millis) error {
	if remaining <= 0 {
		return &LapsedError{Sent: c.sent.Load()}
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var sockoptErr error
	err = raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(remaining))
	})
	if err != nil {
		return err
	}
	return sockoptErr
}
