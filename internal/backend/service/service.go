// Package service speaks to a plain service: any method, path and body.
package service

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/runtime/http1"
)

// Headers that the sidecar sets for the service.
const (
	headerAccount     = "X-Damaskport-Account"
	headerAttempt     = "X-Damaskport-Attempt"
	headerIdempotency = "Idempotency-Key"
	headerFencing     = "X-Fencing-Number"
)

// Call is one request to the service.
type Call struct {
	Attempt        string
	Account        string
	Method         string
	Path           string // with the query
	Header         http.Header
	Body           io.Reader
	IdempotencyKey string
	// Term is the sidecar's fencing number; 0 sends none.
	Term int64
	// Protected calls run at most once: each uses a connection of its own, on
	// which the HTTP client never sends a request a second time.
	Protected bool
}

// Client is a client of one service. It is safe for concurrent use.
type Client struct {
	base   string
	shared *http.Client
	single *http.Client
}

// New returns a Client of the service at base. dialTimeout bounds the time to
// open a connection.
func New(base string, dialTimeout time.Duration) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		base:   strings.TrimSuffix(base, "/"),
		shared: client(http1.Transport(&http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, DisableCompression: true})),
		single: client(http1.Transport(&http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true})),
	}
}

func client(t *http.Transport) *http.Client {
	return &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// NotSent reports whether err proves that the service saw nothing of the call.
func NotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Do carries out the call. After an error the call may have run, unless
// NotSent reports otherwise.
func (c *Client) Do(ctx context.Context, call Call) (*http.Response, error) {
	// The plain reader hides the body's type, so that the client cannot rewind it.
	req, err := http.NewRequestWithContext(ctx, call.Method, c.base+call.Path, struct{ io.Reader }{call.Body})
	if err != nil {
		return nil, err
	}
	for k, v := range call.Header {
		req.Header[k] = v
	}
	req.Header.Set(headerAccount, call.Account)
	req.Header.Set(headerAttempt, call.Attempt)
	if call.Term > 0 {
		req.Header.Set(headerFencing, strconv.FormatInt(call.Term, 10))
	}
	if call.IdempotencyKey != "" {
		req.Header.Set(headerIdempotency, call.IdempotencyKey)
	}
	if call.Protected {
		return c.single.Do(req)
	}
	return c.shared.Do(req)
}

// Close closes idle connections.
func (c *Client) Close() {
	c.shared.CloseIdleConnections()
	c.single.CloseIdleConnections()
}
