// Package http1 limits the size of response headers and the number of informational (1xx) responses
// read over HTTP/1.1: a faulty server may send an
// endless stream of bytes that is not a valid response.
package http1

import (
	"fmt"
	"net/http"
)

// MaxHeadBytes is the largest status line and header accepted of a response, with all informational
// (1xx) responses before it; the limit that callers' request headers have too.
const MaxHeadBytes = 64 << 10

// MaxInformational is the largest number of informational (1xx) responses accepted before the final
// response.
const MaxInformational = 32

// Transport limits the response headers that t accepts to MaxHeadBytes, and returns t.
func Transport(t *http.Transport) *http.Transport {
	t.MaxResponseHeaderBytes = MaxHeadBytes
	return t
}

// InvalidStatusError reports a response whose status is none of HTTP, or announces a protocol that no request
// asks for.
type InvalidStatusError struct{ Status int }

// Error returns the status.
func (e *InvalidStatusError) Error() string { return fmt.Sprintf("invalid status %03d", e.Status) }

// CheckStatus returns an *InvalidStatusError for a status below 100 or above 599, and for 101.
func CheckStatus(status int) error {
	if status < http.StatusContinue || status > 599 || status == http.StatusSwitchingProtocols {
		return &InvalidStatusError{status}
	}
	return nil
}
