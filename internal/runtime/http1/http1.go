// Package http1 bounds what servers may send over HTTP/1.1 besides bodies: one in
// trouble may send bytes that are no answer, without end.
package http1

import "net/http"

const (
	// MaxHeadBytes bounds the head of an answer: as much as callers may send.
	MaxHeadBytes = 64 << 10
	// MaxInformational bounds the informational answers before an answer, as
	// net/http does.
	MaxInformational = 5
)

// Transport returns t with its answers' heads bounded.
func Transport(t *http.Transport) *http.Transport {
	t.MaxResponseHeaderBytes = MaxHeadBytes
	return t
}
