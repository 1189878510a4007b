// Package fenced sends requests to the platform that only the holder of a
// lease may send.
//
// Each request has its own connection. Directly before each write the
// remaining time of the lease is checked, and the write, the answer and the
// kernel's retransmissions are given no longer than it. What remains open is a
// process that is stopped between the check and the write, and a request that
// the platform has received and carries out late; the term in the request
// closes these where the platform checks it.
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
)

// maxAnswerBytes bounds an answer.
const maxAnswerBytes = 1 << 20

// Guard tells for how long the sender may still send; 0 or less forbids it.
type Guard interface {
	Remaining() clock.Millis
}

// LapsedError reports a request that was stopped because the lease ended.
type LapsedError struct {
	// Sent is true when the platform may have received the request.
	Sent bool
}

// Error tells whether anything was sent.
func (e *LapsedError) Error() string {
	return fmt.Sprintf("lease ended before the answer; sent: %v", e.Sent)
}

// StatusError reports an answer that is no success.
type StatusError struct {
	Status  int
	Message string
}

// Error returns the status and the message.
func (e *StatusError) Error() string {
	return fmt.Sprintf("platform answered %d: %s", e.Status, e.Message)
}

// Refused reports whether the request had no effect, by its status.
func (e *StatusError) Refused() bool { return e.Status/100 == 4 }

// Post sends a JSON body and returns the answer's body. It returns a
// LapsedError when the lease ended, and a StatusError for an answer that is
// no success. After any other error the request may have taken effect.
func Post(ctx context.Context, url string, body []byte, g Guard) ([]byte, error) {
	rest := g.Remaining()
	if rest <= 0 {
		return nil, &LapsedError{}
	}
	limited, cancel := context.WithTimeout(ctx, rest.Duration())
	defer cancel()
	var sent atomic.Bool
	tr := http1.Transport(&http.Transport{DisableKeepAlives: true, DialContext: dialer(g, &sent)})
	defer tr.CloseIdleConnections()
	req, err := http.NewRequestWithContext(limited, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	answer, err := roundTrip(tr, req)
	var status *StatusError
	if err == nil || errors.As(err, &status) {
		return answer, err
	}
	if g.Remaining() <= 0 || limited.Err() != nil && ctx.Err() == nil {
		return nil, &LapsedError{Sent: sent.Load()}
	}
	return nil, err
}

func roundTrip(tr *http.Transport, req *http.Request) ([]byte, error) {
	res, err := tr.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	answer, err := bounded.ReadAll(res.Body, "the answer", maxAnswerBytes)
	if res.StatusCode/100 != 2 {
		return nil, &StatusError{Status: res.StatusCode, Message: string(bytes.TrimSpace(answer))}
	}
	return answer, err
}

func dialer(g Guard, sent *atomic.Bool) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		if tcp, ok := c.(*net.TCPConn); ok {
			// Closing discards what the kernel has not sent yet.
			if err := tcp.SetLinger(0); err != nil {
				c.Close()
				return nil, err
			}
		}
		return &conn{Conn: c, guard: g, sent: sent}, nil
	}
}

// conn checks the guard before each write.
type conn struct {
	net.Conn
	guard Guard
	sent  *atomic.Bool
}

// Write writes b within the remaining time of the lease.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.limit(c.guard.Remaining()); err != nil {
		return 0, err
	}
	if c.guard.Remaining() <= 0 {
		return 0, &LapsedError{Sent: c.sent.Load()}
	}
	c.sent.Store(true)
	return c.Conn.Write(b)
}

// limit bounds retransmissions by the remaining time.
func (c *conn) limit(rest clock.Millis) error {
	if rest <= 0 {
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
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(rest))
	})
	if err != nil {
		return err
	}
	return failed
}
