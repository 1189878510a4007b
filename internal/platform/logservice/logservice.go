// Package logservice speaks to the platform's append-only log.
//
//	POST {base}/v1/streams/{stream}/records          body: one record  -> {"offset": 7}
//	GET  {base}/v1/streams/{stream}/records?from=7&limit=100&waitMs=1000
//	     -> {"records":[{"offset":7,"atMs":0,"data":{...}}],"firstOffset":1,"nextOffset":8}
//
// Offsets start at 1 in each stream and have no gaps. Records below
// firstOffset are past retention.
package logservice

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"github.com/damaskport/damaskport/internal/runtime/bounded"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// Streams of the system.
const (
	StreamConfig = "config"
	StreamLeases = "leases"
	StreamUsage  = "usage"
	// StreamClaims is followed by the shard's number, as in "claims-3".
	StreamClaims = "claims-"
)

const maxReadBytes = 64 << 20

// Record is one record of a stream.
type Record struct {
	Offset int64           `json:"offset"`
	AtMs   clock.Millis    `json:"atMs"`
	Data   json.RawMessage `json:"data"`
}

// Page is the answer to one read.
type Page struct {
	Records     []Record `json:"records"`
	FirstOffset int64    `json:"firstOffset"`
	NextOffset  int64    `json:"nextOffset"`
}

// StatusError reports an answer of the log that is no success. NotAppended
// is true when the log said that it did not take the record.
type StatusError struct {
	Status      int
	Message     string
	NotAppended bool
}

// Error returns the status and the message.
func (e *StatusError) Error() string {
	return fmt.Sprintf("log service answered %d: %s", e.Status, e.Message)
}

// Client is a client of the log. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a Client of the log at base, such as "http://127.0.0.1:7000".
func New(base string, h *http.Client) *Client {
	return &Client{base: base, http: h}
}

// Append adds one record, which must be JSON, and returns its offset. After
// an error other than a StatusError with NotAppended the record may or may
// not have been added, now or later.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(stream), bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	var out struct {
		Offset int64 `json:"offset"`
	}
	if err := c.do(req, &out); err != nil {
		return 0, err
	}
	return out.Offset, nil
}

// Read returns records from offset from on, at most limit. When there are
// none it waits for the next one for up to wait.
func (c *Client) Read(ctx context.Context, stream string, from int64, limit int, wait clock.Millis) (Page, error) {
	q := url.Values{}
	q.Set("from", strconv.FormatInt(from, 10))
	q.Set("limit", strconv.Itoa(limit))
	q.Set("waitMs", strconv.FormatInt(int64(wait), 10))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(stream)+"?"+q.Encode(), nil)
	if err != nil {
		return Page{}, err
	}
	var page Page
	err = c.do(req, &page)
	return page, err
}

func (c *Client) url(stream string) string {
	return c.base + "/v1/streams/" + url.PathEscape(stream) + "/records"
}

func (c *Client) do(req *http.Request, out any) error {
	res, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	data, err := bounded.ReadAll(res.Body, "a page of records", maxReadBytes)
	if err != nil {
		return err
	}
	if res.StatusCode/100 != 2 {
		refused := res.StatusCode == http.StatusTooManyRequests || res.StatusCode == http.StatusRequestEntityTooLarge
		return &StatusError{Status: res.StatusCode, Message: string(bytes.TrimSpace(data)), NotAppended: refused}
	}
	return json.Unmarshal(data, out)
}
