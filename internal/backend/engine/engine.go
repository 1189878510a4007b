// Package engine speaks to a model engine: OpenAI's chat completions as a
// stream of server-sent events, with cancel and a load report.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/backend/attempt"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/http1"
)

// Headers between a sidecar and its engine.
const (
	headerFencing = "X-Fencing-Number"
)

const maxErrorBytes = 64 << 10

// ErrTruncated reports a stream that ended without its end mark.
var ErrTruncated = errors.New("engine stream ended without its end mark")

// StatusError is an answer of the engine that is no success.
type StatusError struct {
	Status int
	Type   string
	Body   []byte
}

// Error returns the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("engine answered %d", e.Status)
}

// Attempt is one attempt at a chat completion.
type Attempt struct {
	ID           string
	Body         []byte
	Tier         int
	ResumeTokens int
	// Term is the sidecar's fencing number; 0 sends none.
	Term int64
}

// Client is a client of one engine. It is safe for concurrent use.
type Client struct {
	base     string
	attempts *attempt.Client
	// http makes calls that are no attempts, each on a connection of its own.
	http *http.Client
}

// New returns a Client of the engine at base, which keeps up to idle connections.
// dialTimeout bounds the time to open one.
func New(base string, dialTimeout time.Duration, idle int) *Client {
	d := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		base: base, attempts: attempt.New(d.DialContext, idle),
		http: &http.Client{Transport: http1.Transport(&http.Transport{DialContext: d.DialContext, DisableKeepAlives: true, DisableCompression: true})},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.attempts.Close() }

// Start hands a to the engine and returns its stream of events. An answer
// that is no success is returned as a *StatusError.
func (c *Client) Start(ctx context.Context, a Attempt) (*Stream, error) {
	body, err := attemptBody(a)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	if a.Term > 0 {
		req.Header.Set(headerFencing, strconv.FormatInt(a.Term, 10))
	}
	res, err := c.attempts.Do(req, a.ID)
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		defer res.Body.Close()
		data, _ := io.ReadAll(io.LimitReader(res.Body, maxErrorBytes))
		return nil, &StatusError{Status: res.StatusCode, Type: res.Header.Get("Content-Type"), Body: data}
	}
	return &Stream{events: NewReader(res.Body), body: res.Body}, nil
}

// attemptBody sets the fields that belong to the attempt in the caller's body.
func attemptBody(a Attempt) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(a.Body, &fields); err != nil {
		return nil, err
	}
	id, err := json.Marshal(a.ID)
	if err != nil {
		return nil, err
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	fields["priority"] = json.RawMessage(strconv.Itoa(a.Tier))
	fields["request_id"] = id
	delete(fields, "resume_tokens")
	if a.ResumeTokens > 0 {
		fields["resume_tokens"] = json.RawMessage(strconv.Itoa(a.ResumeTokens))
	}
	return json.Marshal(fields)
}

// Cancel stops an attempt in the engine and returns the number of tokens that
// it generated, as far as the engine knows. Cancelling twice does no harm.
func (c *Client) Cancel(ctx context.Context, id string) (int, error) {
	body, err := json.Marshal(map[string]string{"request_id": id})
	if err != nil {
		return 0, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/cancel", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	res, err := c.http.Do(req)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxErrorBytes))
	if err != nil {
		return 0, err
	}
	if res.StatusCode != http.StatusOK {
		return 0, &StatusError{Status: res.StatusCode, Body: data}
	}
	var out struct {
		Generated int `json:"generated"`
	}
	err = json.Unmarshal(data, &out)
	return out.Generated, err
}

// Load is an engine's report; it lags behind the engine.
type Load struct {
	AtMs    clock.Millis `json:"atMs"`
	Running int          `json:"running"`
	Waiting int          `json:"waiting"`
	Slots   int          `json:"slots"`
	TokenMs float64      `json:"tokenMs"`
}

// Load reads the engine's load report.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var out Load
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/load", nil)
	if err != nil {
		return out, err
	}
	res, err := c.http.Do(req)
	if err != nil {
		return out, err
	}
	defer res.Body.Close()
	err = json.NewDecoder(io.LimitReader(res.Body, maxErrorBytes)).Decode(&out)
	return out, err
}

// Stream is the answer to one attempt.
type Stream struct {
	events *Reader
	body   io.Closer
}

// Next returns the next event; see Reader.Next.
func (s *Stream) Next() (Event, error) {
	return s.events.Next()
}

// Ready reports whether a further event can be had without waiting.
func (s *Stream) Ready() bool { return s.events.Ready() }

// Close releases the connection.
func (s *Stream) Close() error {
	return s.body.Close()
}
