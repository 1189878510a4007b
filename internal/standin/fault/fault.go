// Package fault makes an HTTP handler fail on demand.
//
//	POST   /admin/faults {"path":"/v1","kind":"fail","status":503,"delayMs":0,"count":1,"afterTokens":0}
//	GET    /admin/faults lists the faults in force
//	DELETE /admin/faults clears them
//
// Requests under /admin/ never meet a fault.
package fault

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// Kind is what happens to a request.
type Kind string

// Kinds of faults.
const (
	// KindFail answers with Status and does nothing else.
	KindFail Kind = "fail"
	// KindDelay handles the request after DelayMs.
	KindDelay Kind = "delay"
	// KindLoseAnswer handles the request and closes the connection without an answer.
	KindLoseAnswer Kind = "loseAnswer"
	// KindFreeze holds the request until the faults are cleared or DelayMs
	// has passed, and then handles it even if its sender has gone.
	KindFreeze Kind = "freeze"
	// KindSilent handles the request and never answers.
	KindSilent Kind = "silent"
	// KindLateAnswer handles the request and holds its answer until the faults
	// are cleared or DelayMs has passed.
	KindLateAnswer Kind = "lateAnswer"
	// KindCross exchanges the answers of two requests.
	KindCross Kind = "cross"
	// KindCutMidway closes the connection within the write after AfterTokens writes.
	KindCutMidway Kind = "cutMidway"
	// KindEndless answers with lines of an event that never ends, until the connection is closed.
	KindEndless Kind = "endless"
)

const (
	adminPrefix  = "/admin/"
	faultsPath   = "/admin/faults"
	maxBodyBytes = 16 << 20
)

// Fault applies to the requests whose path starts with Path.
type Fault struct {
	Path   string `json:"path"`
	Kind   Kind   `json:"kind"`
	Method string `json:"method,omitempty"`
	// Query is what the request's query must contain.
	Query string `json:"query,omitempty"`
	// Status is the answer of KindFail, 503 by default.
	Status  int          `json:"status,omitempty"`
	DelayMs clock.Millis `json:"delayMs,omitempty"`
	// Count is the number of requests to meet the fault; 0 is all until cleared.
	Count       int `json:"count,omitempty"`
	AfterTokens int `json:"afterTokens,omitempty"`
}

// UnmarshalJSON decodes and checks a fault.
func (f *Fault) UnmarshalJSON(data []byte) error {
	type plain Fault
	var p plain
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&p); err != nil {
		return err
	}
	kinds := []Kind{KindFail, KindDelay, KindLoseAnswer, KindFreeze, KindSilent, KindLateAnswer, KindCross, KindCutMidway, KindEndless}
	if !slices.Contains(kinds, p.Kind) {
		return fmt.Errorf("kind: %q: must be one of %v", p.Kind, kinds)
	}
	*f = Fault(p)
	return nil
}

// Set holds the faults in force. It is safe for concurrent use.
type Set struct {
	mu     sync.Mutex
	faults []Fault
	// cleared is closed and replaced when the faults are cleared.
	cleared  chan struct{}
	crossing *crossing
}

// NewSet returns a Set without faults.
func NewSet() *Set {
	return &Set{cleared: make(chan struct{})}
}

// Add puts f in force.
func (s *Set) Add(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, f)
}

// Clear ends all faults and releases the requests that they hold.
func (s *Set) Clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = nil
	close(s.cleared)
	s.cleared = make(chan struct{})
}

// Wrap returns a handler that serves the faults' own path and passes other
// requests to next, subject to the faults.
func (s *Set) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == faultsPath {
			s.serveAdmin(w, r)
			return
		}
		f, cleared, ok := s.match(r)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if f.Kind == KindCross {
			s.cross(r.Context(), answerOf(next, r), cleared).send(w)
			return
		}
		serve(w, r, next, f, cleared)
	})
}

func (s *Set) match(r *http.Request) (Fault, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.faults) == 0 || strings.HasPrefix(r.URL.Path, adminPrefix) {
		return Fault{}, nil, false
	}
	for i, f := range s.faults {
		if !strings.HasPrefix(r.URL.Path, f.Path) || f.Method != "" && f.Method != r.Method || !strings.Contains(r.URL.RawQuery, f.Query) {
			continue
		}
		switch f.Count {
		case 0:
		case 1:
			s.faults = slices.Delete(s.faults, i, i+1)
		default:
			s.faults[i].Count--
		}
		return f, s.cleared, true
	}
	return Fault{}, nil, false
}

func serve(w http.ResponseWriter, r *http.Request, next http.Handler, f Fault, cleared <-chan struct{}) {
	switch f.Kind {
	case KindFail:
		w.Header().Set("Retry-After", "1")
		http.Error(w, "fault", cmp.Or(f.Status, http.StatusServiceUnavailable))
	case KindDelay:
		if (clock.System{}).Sleep(r.Context(), f.DelayMs) == nil {
			next.ServeHTTP(w, r)
		}
	case KindLoseAnswer:
		next.ServeHTTP(discard{http.Header{}}, detached(r))
		panic(http.ErrAbortHandler)
	case KindFreeze:
		d := detached(r)
		hold(context.Background(), f.DelayMs, cleared)
		next.ServeHTTP(w, d)
	case KindSilent:
		next.ServeHTTP(discard{http.Header{}}, detached(r))
		hold(r.Context(), f.DelayMs, cleared)
		panic(http.ErrAbortHandler)
	case KindLateAnswer:
		held := answerOf(next, r)
		hold(r.Context(), f.DelayMs, cleared)
		held.send(w)
	case KindCutMidway:
		next.ServeHTTP(&cutWriter{w, f.AfterTokens}, r)
	case KindEndless:
		w.Header().Set("Content-Type", "text/event-stream")
		lines := bytes.Repeat([]byte("data: x\n"), 4<<10)
		for err := error(nil); err == nil; {
			_, err = w.Write(lines)
		}
	}
}

// hold waits until cleared is closed, ctx ends, or d has passed if it is above 0.
func hold(ctx context.Context, d clock.Millis, cleared <-chan struct{}) {
	if d > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d.Duration())
		defer cancel()
	}
	select {
	case <-cleared:
	case <-ctx.Done():
	}
}

// detached returns r with its body read and without its sender's cancellation.
func detached(r *http.Request) *http.Request {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	d := r.WithContext(context.WithoutCancel(r.Context()))
	d.Body = io.NopCloser(bytes.NewReader(body))
	return d
}

func (s *Set) serveAdmin(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodPost:
		var f Fault
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.Add(f)
	case http.MethodDelete:
		s.Clear()
	case http.MethodGet:
		s.mu.Lock()
		faults := slices.Clone(s.faults)
		s.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(faults)
		return
	default:
		http.Error(w, "use GET, POST or DELETE", http.StatusMethodNotAllowed)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// discard drops an answer.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(p []byte) (int, error) { return len(p), nil }
func (d discard) WriteHeader(int)             {}
func (d discard) Flush()                      {}

// answerOf returns the answer of next to r.
func answerOf(next http.Handler, r *http.Request) *heldAnswer {
	held := &heldAnswer{discard{http.Header{}}, http.StatusOK, bytes.Buffer{}}
	next.ServeHTTP(held, detached(r))
	return held
}

// crossing is an answer that waits for another one to be exchanged with.
type crossing struct {
	own   *heldAnswer
	other chan *heldAnswer
}

// cross returns the answer of another request in exchange for own. Without
// another one it returns own once ctx ends or cleared is closed.
func (s *Set) cross(ctx context.Context, own *heldAnswer, cleared <-chan struct{}) *heldAnswer {
	s.mu.Lock()
	if c := s.crossing; c != nil {
		s.crossing = nil
		s.mu.Unlock()
		c.other <- own
		return c.own
	}
	c := &crossing{own, make(chan *heldAnswer, 1)}
	s.crossing = c
	s.mu.Unlock()
	select {
	case other := <-c.other:
		return other
	case <-ctx.Done():
	case <-cleared:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crossing == c {
		s.crossing = nil
	}
	return own
}

// heldAnswer keeps an answer for later.
type heldAnswer struct {
	discard
	status int
	body   bytes.Buffer
}

func (h *heldAnswer) Write(p []byte) (int, error) { return h.body.Write(p) }
func (h *heldAnswer) WriteHeader(status int)      { h.status = status }

func (h *heldAnswer) send(w http.ResponseWriter) {
	maps.Copy(w.Header(), h.header)
	w.WriteHeader(h.status)
	_, _ = w.Write(h.body.Bytes())
}

// cutWriter lets left writes through and aborts within the next one.
type cutWriter struct {
	http.ResponseWriter
	left int
}

func (c *cutWriter) Write(p []byte) (int, error) {
	if c.left > 0 {
		c.left--
		return c.ResponseWriter.Write(p)
	}
	_, _ = c.ResponseWriter.Write(p[:len(p)/2])
	_ = http.NewResponseController(c.ResponseWriter).Flush()
	panic(http.ErrAbortHandler)
}

// Unwrap returns the writer beneath, for http.ResponseController.
func (c *cutWriter) Unwrap() http.ResponseWriter { return c.ResponseWriter }
