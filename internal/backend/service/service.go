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

	"github.com/damaskport/damaskport/internal/backend/attempt"
)

// Headers that the sidecar sets for the service.
const (
	headerAccount     = "X-Damaskport-Account"
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

// idleConns is the number of connections kept for further calls.
const idleConns = 64

// Client is a client of one service. It is safe for concurrent use.
type Client struct {
	base     string
	attempts *attempt.Client
}

// New returns a Client of the service at base. dialTimeout bounds the time to
// open a connection.
func New(base string, dialTimeout time.Duration) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{base: strings.TrimSuffix(base, "/"), attempts: attempt.New(dialer.DialContext, idleConns)}
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
	if call.Term > 0 {
		req.Header.Set(headerFencing, strconv.FormatInt(call.Term, 10))
	}
	if call.IdempotencyKey != "" {
		req.Header.Set(headerIdempotency, call.IdempotencyKey)
	}
	if call.Protected {
		return c.attempts.Alone(req, call.Attempt)
	}
	return c.attempts.Do(req, call.Attempt)
}

// Close closes idle connections.
func (c *Client) Close() { c.attempts.Close() }
