// Package listing reads the platform's lists, which are JSON over HTTP.
package listing

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

const maxBytes = 16 << 20

// StatusError is an answer that is no list.
type StatusError struct {
	URL    string
	Status int
}

// Error names the list and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s answered %d", e.URL, e.Status)
}

// Get reads the list at url into out.
func Get(ctx context.Context, h *http.Client, url string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	res, err := h.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return &StatusError{URL: url, Status: res.StatusCode}
	}
	return json.NewDecoder(io.LimitReader(res.Body, maxBytes)).Decode(out)
}
