// Package backend holds what the stand-ins of backend servers share.
package backend

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"
)

const (
	maxSeenBytes = 32 << 20
	maxBodyBytes = 16 << 20
	// requestOverheadBytes is the size accounted to a request besides its body.
	requestOverheadBytes = 2048
)

// SeenRequest is one request as it arrived.
type SeenRequest struct {
	Method string      `json:"method"`
	URI    string      `json:"uri"`
	Host   string      `json:"host"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

// SeenReport is the answer of GET /admin/seen.
type SeenReport struct {
	// Dropped counts the oldest requests that no longer fit.
	Dropped  int           `json:"dropped"`
	Requests []SeenRequest `json:"requests"`
}

// Seen keeps the latest requests that a backend server received.
type Seen struct {
	mu       sync.Mutex
	requests []SeenRequest
	bytes    int
	dropped  int
}

// Wrap records each request before next handles it.
func (s *Seen) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		s.add(SeenRequest{Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: r.Header, Body: body})
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

func (s *Seen) add(r SeenRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, r)
	s.bytes += len(r.Body) + requestOverheadBytes
	for s.bytes > maxSeenBytes && len(s.requests) > 1 {
		s.bytes -= len(s.requests[0].Body) + requestOverheadBytes
		s.requests[0] = SeenRequest{}
		s.requests = s.requests[1:]
		s.dropped++
	}
}

// ServeHTTP answers GET /admin/seen.
func (s *Seen) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	report := SeenReport{Dropped: s.dropped, Requests: append([]SeenRequest{}, s.requests...)}
	s.mu.Unlock()
	WriteJSON(w, http.StatusOK, report)
}

// WriteJSON answers with v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
