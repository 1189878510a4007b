// Package engine is a client for model engines. It requests OpenAI chat completions,
// which arrive as streams of server-sent events, cancels them, and reads load reports.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/backend/attempt"
	"github.com/damaskport/damaskport/internal/policy/budget"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/http1"
	"github.com/damaskport/damaskport/internal/runtime/tcp"
)

// Request headers that the sidecar sets for its engine.
const (
	headerFencing = "X-Fencing-Number"
)

// maxReplyBytes bounds the bodies of error responses, load reports and replies to cancel
// requests.
const maxReplyBytes = 64 << 10

// ErrTruncated reports a stream that ended before its final "[DONE]" event.
var ErrTruncated = errors.New("engine stream ended before its [DONE] event")

// StatusError is a response of the engine with a status other than 200.
type StatusError struct {
	Status int
	Type   string // content type
	Body   []byte // first 64 KiB
}

// Error names the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("engine responded with status %d", e.Status)
}

// Attempt is one try at a chat completion; a request may need several.
type Attempt struct {
	ID   string
	Body []byte // the caller's request body
	Tier int    // tier of the request; sent to the engine as its priority
	// ResumeTokens is the number of output tokens that the caller already has from
	// earlier attempts; the engine continues after them.
	ResumeTokens int
	// Term is the sidecar's fencing number; no header is sent for 0.
	Term int64
}

// Client is a client of one engine. It is safe for concurrent use.
type Client struct {
	baseURL  string
	attempts *attempt.Client
	events   *budget.Events
	// control sends cancel requests and fetches load reports, each over a new connection.
	control *http.Client
}

// New returns a Client of the engine with the base URL base. It keeps up to idle
// connections open for reuse. dialTimeout bounds the time to open a connection, and events
// the memory for the events of all streams; nil for no bound.
func New(base string, dialTimeout time.Duration, idle int, events *budget.Events) *Client {
	d := tcp.NewDialer(dialTimeout)
	return &Client{
		baseURL: base, attempts: attempt.New(d.DialContext, idle), events: events,
		control: &http.Client{Transport: http1.Transport(&http.Transport{DialContext: d.DialContext, DisableKeepAlives: true, DisableCompression: true})},
	}
}

// Close closes the idle connections; those in use are not affected.
func (c *Client) Close() { c.attempts.Close() }

// Start sends a to the engine and returns the stream of its events. If the engine's
// status is not 200, the error is a *StatusError, unless its response broke off.
func (c *Client) Start(ctx context.Context, a Attempt) (*Stream, error) {
	body, err := requestBody(a)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	stream, err := c.start(ctx, stop, a, body)
	if err != nil {
		stop()
	}
	return stream, err
}

// start sends a with a body, and returns the stream of its events, which stop ends.
func (c *Client) start(ctx context.Context, stop context.CancelFunc, a Attempt, body []byte) (*Stream, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+"/v1/chat/completions", bytes.NewReader(body))
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
		data, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes))
		if err != nil {
			return nil, errors.Wrapf(err, "reading the response with status %d", res.StatusCode)
		}
		return nil, &StatusError{Status: res.StatusCode, Type: res.Header.Get("Content-Type"), Body: data}
	}
	memory := c.events.Stream(stop)
	return &Stream{events: NewReader(res.Body, memory), body: res.Body, memory: memory, stop: stop}, nil
}

// requestBody returns the caller's body with the fields that the sidecar controls:
// streaming with usage, priority, attempt ID and the tokens to resume after.
func requestBody(a Attempt) ([]byte, error) {
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

// Cancel stops the attempt with the given ID and returns the number of tokens that the
// engine reports to have generated for it. It is idempotent.
func (c *Client) Cancel(ctx context.Context, id string) (int, error) {
	body, err := json.Marshal(map[string]string{"request_id": id})
	if err != nil {
		return 0, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+"/v1/cancel", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	res, err := c.control.Do(req)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes))
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

// Load is an engine's report of its own load. It is a snapshot from AtMs and may be out
// of date.
type Load struct {
	AtMs    clock.Millis `json:"atMs"`
	Running int          `json:"running"` // requests
	Waiting int          `json:"waiting"` // requests
	Slots   int          `json:"slots"`   // requests that can run at once
	TokenMs float64      `json:"tokenMs"` // time per output token
}

// Load fetches the engine's load report.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var out Load
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+"/load", nil)
	if err != nil {
		return out, err
	}
	res, err := c.control.Do(req)
	if err != nil {
		return out, err
	}
	defer res.Body.Close()
	err = json.NewDecoder(io.LimitReader(res.Body, maxReplyBytes)).Decode(&out)
	return out, err
}

// Stream is the event stream of one attempt. It must be closed.
type Stream struct {
	events *Reader
	body   io.Closer
	memory *budget.Event
	stop   context.CancelFunc
}

// Next returns the next event, with the errors of Reader.Next.
func (s *Stream) Next() (Event, error) {
	return s.events.Next()
}

// Ready reports whether the next event has been received, so that Next won't block.
func (s *Stream) Ready() bool { return s.events.Ready() }

// Close closes the response body, and with it the connection unless the body was read
// to its end.
func (s *Stream) Close() error {
	defer s.stop()
	defer s.memory.Release()
	return s.body.Close()
}
