// Package service is a client for backend services that are not model engines. It passes
// on requests with any method, path and body.
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
	"github.com/damaskport/damaskport/internal/runtime/tcp"
)

// Request headers that the sidecar sets for the service.
const (
	headerAccount     = "X-Damaskport-Account"
	headerIdempotency = "Idempotency-Key"
	headerFencing     = "X-Fencing-Number"
)

// Call is one attempt at a request to the service.
type Call struct {
	Attempt        string // ID of the attempt
	Account        string // client account that sent the request
	Method         string
	Path           string // with the query
	Header         http.Header
	Body           io.Reader
	IdempotencyKey string // no header is sent for ""
	// Term is the sidecar's fencing number; no header is sent for 0.
	Term int64
	// Protected is set for calls that must run at most once. Each of them uses a new
	// connection, on which net/http never retries a request.
	Protected bool
}

// maxIdleConns is the maximum number of idle connections kept for reuse.
const maxIdleConns = 64

// Client is a client of one service. It is safe for concurrent use.
type Client struct {
	baseURL  string
	attempts *attempt.Client
}

// New returns a Client of the service with the base URL base. dialTimeout bounds the time
// to open a connection.
func New(base string, dialTimeout time.Duration) *Client {
	dialer := tcp.NewDialer(dialTimeout)
	return &Client{baseURL: strings.TrimSuffix(base, "/"), attempts: attempt.New(dialer.DialContext, maxIdleConns)}
}

// NotSent reports whether err proves that no byte of the call was sent: it failed to
// open a connection.
func NotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Do sends the call and returns the response. After an error the service may have
// executed the call, unless NotSent(err).
func (c *Client) Do(ctx context.Context, call Call) (*http.Response, error) {
	// The wrapper hides the body's concrete type, so that net/http cannot rewind the body
	// to retry the request.
	req, err := http.NewRequestWithContext(ctx, call.Method, c.baseURL+call.Path, struct{ io.Reader }{call.Body})
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

// Close closes the idle connections; those in use are not affected.
func (c *Client) Close() { c.attempts.Close() }
