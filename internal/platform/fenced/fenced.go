// Package fenced sends requests to the platform that only the holder of a lease may
// send.
//
// Each request has its own connection. The remaining time of the lease is checked
// directly before each write, and the write, the answer and the kernel's TCP
// retransmissions are limited to that time. A connection whose request was given up is
// reset, also by the end of the process, so that nothing of it is sent again. Two gaps
// remain: the process may be suspended between the check and the write, and the
// platform may execute a request long after it has received it. The term in the
// request closes both gaps if the platform checks it.
package fenced

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"

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

// Request is a POST request with a JSON body.
type Request struct {
	URL string
	// Header has further fields of the header.
	Header http.Header
	Body   []byte
	// Dial opens the connection; nil opens one of the package tcp.
	Dial tcp.DialFunc
}

// Post sends a request with a body and no further header, as Send does.
func Post(ctx context.Context, url string, body []byte, g Guard) ([]byte, error) {
	return Send(ctx, Request{URL: url, Body: body}, g)
}

// Send sends a request and returns the body of the answer. The error is a *LapsedError if
// the lease ended, and a *StatusError for a status other than 2xx. After any other error
// the request may have taken effect.
func Send(ctx context.Context, r Request, g Guard) ([]byte, error) {
	remaining := g.Remaining()
	if remaining <= 0 {
		return nil, &LapsedError{}
	}
	leaseCtx, cancel := context.WithTimeout(ctx, remaining.Duration())
	defer cancel()
	var sent atomic.Bool
	tr := http1.Transport(&http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: r.dialer(g, &sent)})
	defer tr.CloseIdleConnections()
	req, err := http.NewRequestWithContext(leaseCtx, http.MethodPost, r.URL, bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	maps.Copy(req.Header, r.Header)
	req.Header.Set("Content-Type", "application/json")
	// A body that cannot be rewound keeps the transport from sending the request again by itself.
	req.GetBody = nil
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
func (r Request) dialer(g Guard, sent *atomic.Bool) tcp.DialFunc {
	dial := r.Dial
	if dial == nil {
		dial = tcp.NewDialer(0).DialContext
	}
	dial = tcp.DialUnanswered(dial)
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{Unanswered: c.(*tcp.Unanswered), guard: g, sent: sent}, nil
	}
}

// conn is a connection that checks the guard before each write.
type conn struct {
	*tcp.Unanswered
	guard Guard
	sent  *atomic.Bool
}

// Write writes b if the lease has time remaining. The kernel closes the connection if b is
// not acknowledged within that time.
func (c *conn) Write(b []byte) (int, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	if remaining := c.guard.Remaining(); remaining > 0 {
		if err := tcp.Set(raw, tcp.UnackedTimeout(remaining.Duration())); err != nil {
			return 0, err
		}
	}
	if c.guard.Remaining() <= 0 {
		return 0, &LapsedError{Sent: c.sent.Load()}
	}
	c.sent.Store(true)
	return c.Unanswered.Write(b)
}
