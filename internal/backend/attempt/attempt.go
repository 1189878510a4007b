// Package attempt sends attempts, the single tries of a request, to backend servers
// through net/http and checks that each response belongs to its attempt.
//
// A faulty server may write a response twice, the second time when its keep-alive
// connection already carries the next request. The client would take that copy for the
// response to the next request unless responses echo the ID of their attempt. So
// connections are reused only with a server that echoes attempt IDs.
package attempt

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/runtime/http1"
	"github.com/damaskport/damaskport/internal/runtime/tcp"
)

// attemptIDHeader carries the attempt ID in requests, and in the responses of servers
// that echo it.
const attemptIDHeader = "X-Damaskport-Attempt"

// ErrCrossed reports a response that carries the ID of another attempt. The server may
// have executed the attempt that was sent.
var ErrCrossed = errors.New("the response belongs to another attempt")

// Client sends attempts to one server. It is safe for concurrent use.
type Client struct {
	// keptConns reuses connections; newConns opens one for each request.
	keptConns, newConns *http.Client
	// echoesIDs is true if the most recent response carried the ID of its attempt.
	echoesIDs atomic.Bool
}

// New returns a Client that opens connections with dial and keeps up to idle of them
// open for reuse. Nothing of an attempt that was given up is sent later.
func New(dial tcp.DialFunc, idle int) *Client {
	dial = tcp.DialUnanswered(dial)
	joined := func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return tcp.NewJoined(c), nil
	}
	return &Client{
		keptConns: newHTTPClient(&http.Transport{DialContext: joined, MaxIdleConnsPerHost: idle, DisableCompression: true}),
		newConns:  newHTTPClient(&http.Transport{DialContext: joined, DisableKeepAlives: true, DisableCompression: true}),
	}
}

func newHTTPClient(t *http.Transport) *http.Client {
	return &http.Client{
		Transport:     http1.Transport(t),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Do sends req as the attempt with the given ID: over a kept connection if the most
// recent response carried the ID of its attempt, else over a new one as Alone does. The
// error wraps ErrCrossed if the response carries another ID, or none on a kept connection.
func (c *Client) Do(req *http.Request, id string) (*http.Response, error) {
	if !c.echoesIDs.Load() {
		return c.Alone(req, id)
	}
	req.Header.Set(attemptIDHeader, id)
	res, err := do(c.keptConns, req)
	if err != nil {
		return nil, err
	}
	return c.check(res, id, res.Header.Get(attemptIDHeader) == id)
}

// Alone sends req as the attempt with the given ID over a new connection, which is closed
// after the response, so that net/http never retries req. The error wraps ErrCrossed if
// the response carries another ID.
func (c *Client) Alone(req *http.Request, id string) (*http.Response, error) {
	req.Header.Set(attemptIDHeader, id)
	res, err := do(c.newConns, req)
	if err != nil {
		return nil, err
	}
	got := res.Header.Get(attemptIDHeader)
	c.echoesIDs.Store(got == id)
	return c.check(res, id, got == id || got == "")
}

// do sends req. The body of an answer without framing ends with an error if the request had not arrived by the end
// of its connection. A response whose status is none is an *http1.InvalidStatusError.
func do(client *http.Client, req *http.Request) (*http.Response, error) {
	var conn atomic.Pointer[tcp.Joined]
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*tcp.Joined); ok {
				c.Begin()
				conn.Store(c)
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if c := conn.Load(); c != nil {
				c.Wrote(info.Err)
			}
		},
	}
	res, err := client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := http1.CheckStatus(res.StatusCode); err != nil {
		_ = res.Body.Close()
		return nil, err
	}
	return res, nil
}

// check returns res if matches is set, which means that res belongs to the attempt id.
// Otherwise it closes the body of res and returns an error that wraps ErrCrossed.
func (c *Client) check(res *http.Response, id string, matches bool) (*http.Response, error) {
	if matches {
		return res, nil
	}
	c.echoesIDs.Store(false)
	// Closing a body before its end also closes its connection.
	_ = res.Body.Close()
	return nil, errors.Wrapf(ErrCrossed, "attempt ID %q instead of %q", res.Header.Get(attemptIDHeader), id)
}

// Close closes the idle connections; those in use are not affected.
func (c *Client) Close() {
	c.keptConns.CloseIdleConnections()
	c.newConns.CloseIdleConnections()
}
