// Package attempt sends attempts to backend servers through net/http, and makes sure
// that an answer belongs to its attempt.
//
// A server in trouble may write an answer a second time, late, when its connection is
// in use again. An answer that repeats the attempt's id shows that; without one nothing
// does. So a connection is used again only with a server that repeats ids.
package attempt

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/runtime/http1"
)

// header carries an attempt's id, there and back.
const header = "X-Damaskport-Attempt"

// ErrCrossed reports an answer that belongs to another attempt. This one may have run.
var ErrCrossed = errors.New("the server answered for another attempt")

// Client sends attempts to one server. It is safe for concurrent use.
type Client struct {
	shared, single *http.Client
	// repeats tells that the server repeated the id in its last answer.
	repeats atomic.Bool
}

// New returns a Client that keeps up to idle connections.
func New(dial func(ctx context.Context, network, addr string) (net.Conn, error), idle int) *Client {
	return &Client{
		shared: client(&http.Transport{DialContext: dial, MaxIdleConnsPerHost: idle, DisableCompression: true}),
		single: client(&http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true}),
	}
}

func client(t *http.Transport) *http.Client {
	return &http.Client{
		Transport:     http1.Transport(t),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Do sends req as the attempt id. The error is ErrCrossed for the answer to another
// attempt.
func (c *Client) Do(req *http.Request, id string) (*http.Response, error) {
	if !c.repeats.Load() {
		return c.Alone(req, id)
	}
	req.Header.Set(header, id)
	res, err := c.shared.Do(req)
	if err != nil {
		return nil, err
	}
	return c.check(res, id, res.Header.Get(header) == id)
}

// Alone is Do on a connection of its own, on which nothing is sent a second time.
func (c *Client) Alone(req *http.Request, id string) (*http.Response, error) {
	req.Header.Set(header, id)
	res, err := c.single.Do(req)
	if err != nil {
		return nil, err
	}
	got := res.Header.Get(header)
	c.repeats.Store(got == id)
	return c.check(res, id, got == id || got == "")
}

// check refuses an answer that is not mine.
func (c *Client) check(res *http.Response, id string, mine bool) (*http.Response, error) {
	if mine {
		return res, nil
	}
	c.repeats.Store(false)
	// A body that was not read to its end closes its connection.
	_ = res.Body.Close()
	return nil, errors.Wrapf(ErrCrossed, "%q instead of %q", res.Header.Get(header), id)
}

// Close closes idle connections.
func (c *Client) Close() {
	c.shared.CloseIdleConnections()
	c.single.CloseIdleConnections()
}
