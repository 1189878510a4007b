// Package listing reads the lists that the platform provides as JSON over HTTP.
package listing

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// maxBytes bounds the size of a list.
const maxBytes = 16 << 20

// StatusError reports an answer with a status other than 200.
type StatusError struct {
	URL    string
	Status int
}

// Error returns the URL of the list and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("reading the list at %s: status %d", e.URL, e.Status)
}

// Get reads the list at url and decodes it into out. It decodes at most maxBytes of
// the answer.
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
