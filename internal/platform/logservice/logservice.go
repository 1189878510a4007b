// Package logservice is a client of the platform's append-only log.
//
//	POST {base}/v1/streams/{stream}/records          body: one record  -> {"offset": 7}
//	GET  {base}/v1/streams/{stream}/records?from=7&limit=100&waitMs=1000
//	     -> {"records":[{"offset":7,"atMs":0,"data":{...}}],"firstOffset":1,"nextOffset":8}
//
// The offsets of a stream start at 1 and have no gaps. Records below firstOffset are
// no longer retained.
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

// Names of the log's streams. StreamOrders of package control/capacity is another
// one.
const (
	StreamConfig = "config"
	StreamLeases = "leases"
	StreamUsage  = "usage"
	// StreamClaims is the prefix of the claims streams; the number of the shard
	// follows, as in "claims-3".
	StreamClaims = "claims-"
)

// maxReadBytes bounds the body of an answer.
const maxReadBytes = 64 << 20

// Record is one record of a stream. AtMs is its log time: the time that the log gave
// it, in Unix milliseconds.
type Record struct {
	Offset int64           `json:"offset"`
	AtMs   clock.Millis    `json:"atMs"`
	Data   json.RawMessage `json:"data"`
}

// Page is the result of one read. FirstOffset is the offset of the oldest retained
// record, and NextOffset that of the next record to be appended.
type Page struct {
	Records     []Record `json:"records"`
	FirstOffset int64    `json:"firstOffset"`
	NextOffset  int64    `json:"nextOffset"`
}

// StatusError reports an answer with a status other than 2xx. NotAppended is true if
// the status shows that the log rejected the record: 429 or 413.
type StatusError struct {
	Status      int
	Message     string
	NotAppended bool
}

// Error returns the status and the message.
func (e *StatusError) Error() string {
	return fmt.Sprintf("log service answered with status %d: %s", e.Status, e.Message)
}

// Client reads from and appends to the log. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a Client of the log at the URL base, such as "http://127.0.0.1:7000".
func New(base string, h *http.Client) *Client {
	return &Client{base: base, http: h}
}

// Append appends one record, which must be JSON, to a stream and returns its offset.
// After an error other than a *StatusError with NotAppended, the record may have been
// appended, or may still be.
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

// Read returns at most limit records of a stream, from offset from on. If there are
// none, it waits up to wait milliseconds for the next one.
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

// url returns the URL of the records of a stream.
func (c *Client) url(stream string) string {
	return c.base + "/v1/streams/" + url.PathEscape(stream) + "/records"
}

// do sends req and decodes the JSON body of the answer into out.
func (c *Client) do(req *http.Request, out any) error {
	res, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	data, err := bounded.ReadAll(res.Body, "the log's answer", maxReadBytes)
	if err != nil {
		return err
	}
	if res.StatusCode/100 != 2 {
		notAppended := res.StatusCode == http.StatusTooManyRequests || res.StatusCode == http.StatusRequestEntityTooLarge
		return &StatusError{Status: res.StatusCode, Message: string(bytes.TrimSpace(data)), NotAppended: notAppended}
	}
	return json.Unmarshal(data, out)
}
