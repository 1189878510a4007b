package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/runtime/bounded"
	"github.com/damaskport/damaskport/internal/state/directory"
)

const maxAnswerBytes = 64 << 20

// Client speaks to the operators' address of one entry.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a Client of the address base, such as "http://127.0.0.1:8081".
func NewClient(base string, h *http.Client) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), http: h}
}

// Change sends a change and returns the outcome. The error is an *Error
// unless the change was accepted or no answer came; without an answer the
// change may or may not take effect.
func (c *Client) Change(ctx context.Context, change directory.Change) (Result, error) {
	data, err := json.Marshal(change)
	if err != nil {
		return Result{}, err
	}
	var result Result
	err = c.do(ctx, http.MethodPost, "/v1/config/changes", data, &result)
	return result, err
}

// Config returns the entry's configuration, without the digests of keys.
func (c *Client) Config(ctx context.Context) (directory.Snapshot, error) {
	var snap directory.Snapshot
	err := c.do(ctx, http.MethodGet, "/v1/config", nil, &snap)
	return snap, err
}

// Status returns the entry's view of the fleet.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	err := c.do(ctx, http.MethodGet, "/v1/status", nil, &status)
	return status, err
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	data, err := bounded.ReadAll(res.Body, "the answer", maxAnswerBytes)
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return answerError(res.StatusCode, data)
	}
	return errors.Wrapf(json.Unmarshal(data, out), "decode the answer to %s %s", method, path)
}

func answerError(status int, data []byte) error {
	e := &Error{Status: status}
	if json.Unmarshal(data, &e.Result) != nil || e.Result.Reason == "" {
		e.Result = Result{Reason: strings.TrimSpace(string(data))}
	}
	return e
}
