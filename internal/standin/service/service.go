// Package service is a stand-in for a plain service. It counts what it executes.
//
// Any path executes, with any method. The request's body may hold
// "nonce:TEXT", which the answer repeats, and "workMs:N", which sets the time
// that the execution takes. GET /admin/executions lists the executions, GET
// /admin/seen the requests, and /admin/faults sets faults.
package service

import (
	"context"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"sync"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/standin/backend"
	"github.com/damaskport/damaskport/internal/standin/fault"
)

// Config holds the settings of a Service.
type Config struct {
	Name string
	// WorkMs is the time that an execution takes.
	WorkMs clock.Millis
	// CheckFencing refuses requests with an old fencing number.
	CheckFencing bool
}

// Execution is one execution of a request.
type Execution struct {
	AtMs           clock.Millis `json:"atMs"`
	Server         string       `json:"server"`
	Account        string       `json:"account"`
	IdempotencyKey string       `json:"idempotencyKey"`
	Attempt        string       `json:"attempt"`
	Nonce          string       `json:"nonce"`
	Method         string       `json:"method"`
	Path           string       `json:"path"`
	Done           bool         `json:"done"`
}

// Report is the answer of GET /admin/executions, in order of their start.
type Report struct {
	Executions []Execution `json:"executions"`
}

// Answer is the body of the answer to an execution.
type Answer struct {
	Service string `json:"service"`
	Nonce   string `json:"nonce"`
	Account string `json:"account"`
	Path    string `json:"path"`
	// Execution is the number of the execution in the service, from 1.
	Execution int `json:"execution"`
}

// Service is the stand-in. It is safe for concurrent use.
type Service struct {
	cfg     Config
	faults  *fault.Set
	seen    backend.Seen
	fence   backend.Fence
	handler http.Handler

	mu         sync.Mutex
	executions []Execution
}

// New returns a Service.
func New(cfg Config) *Service {
	s := &Service{cfg: cfg, faults: fault.NewSet()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/executions", s.report)
	mux.Handle("GET /admin/seen", &s.seen)
	mux.Handle("/", s.seen.Wrap(http.HandlerFunc(s.execute)))
	s.handler = s.faults.Wrap(mux)
	return s
}

// Handler returns the HTTP interface.
func (s *Service) Handler() http.Handler { return s.handler }

// Faults returns the faults in force.
func (s *Service) Faults() *fault.Set { return s.faults }

// Executions returns the executions in order of their start.
func (s *Service) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution{}, s.executions...)
}

var (
	noncePattern = regexp.MustCompile(`nonce:([A-Za-z0-9_.]+)`)
	workPattern  = regexp.MustCompile(`workMs:(\d+)`)
)

func (s *Service) execute(w http.ResponseWriter, r *http.Request) {
	if s.cfg.CheckFencing && !s.fence.Admit(w, r) {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		backend.WriteError(w, http.StatusBadRequest, "badBody", err.Error())
		return
	}
	e := Execution{
		AtMs:           clock.System{}.Wall(),
		Server:         s.cfg.Name,
		Account:        r.Header.Get(backend.HeaderAccount),
		IdempotencyKey: r.Header.Get(backend.HeaderIdempotency),
		Attempt:        r.Header.Get(backend.HeaderAttempt),
		Nonce:          submatch(noncePattern, body),
		Method:         r.Method,
		Path:           r.URL.Path,
	}
	n := s.begin(e)
	s.work(r, body)
	s.finish(n)
	w.Header().Set(backend.HeaderAttempt, e.Attempt)
	backend.WriteJSON(w, http.StatusOK, Answer{s.cfg.Name, e.Nonce, e.Account, e.Path, n})
}

// work takes the execution's time, also when the caller has gone.
func (s *Service) work(r *http.Request, body []byte) {
	d := s.cfg.WorkMs
	if n, err := strconv.ParseInt(submatch(workPattern, body), 10, 64); err == nil {
		d = clock.Millis(n)
	}
	if d > 0 {
		c := clock.System{}
		_ = c.Sleep(context.WithoutCancel(r.Context()), d)
	}
}

func (s *Service) begin(e Execution) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions = append(s.executions, e)
	return len(s.executions)
}

func (s *Service) finish(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions[n-1].Done = true
}

func (s *Service) report(w http.ResponseWriter, _ *http.Request) {
	backend.WriteJSON(w, http.StatusOK, Report{s.Executions()})
}

func submatch(p *regexp.Regexp, data []byte) string {
	m := p.FindSubmatch(data)
	if m == nil {
		return ""
	}
	return string(m[1])
}
