package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/damaskport/damaskport/internal/standin/backend"
)

const (
	// flushEvery is the number of tokens per flush when there is no delay.
	flushEvery = 32
	endAbort   = "abort"
	endGone    = "gone"
)

// job is a chat completion in progress.
type job struct {
	req       chatRequest
	plan      plan
	record    JobRecord
	cancelled chan struct{}
	ended     chan struct{}
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(backend.HeaderAttempt, r.Header.Get(backend.HeaderAttempt))
	if e.cfg.CheckFencing && !e.fence.Admit(w, r) {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		backend.WriteError(w, http.StatusBadRequest, "badBody", err.Error())
		return
	}
	req, err := decodeRequest(body)
	if err != nil {
		backend.WriteError(w, http.StatusBadRequest, "badRequest", err.Error())
		return
	}
	j := e.begin(req, r)
	defer e.end(j)
	if e.acquire(r.Context(), req.Priority, j.cancelled) {
		defer e.release()
		e.prefill(j, r)
	}
	out := newAnswer(w, j, "chatcmpl-"+strconv.FormatInt(e.ids.Add(1), 10))
	e.generate(j, r, out)
	out.finish()
}

func (e *Engine) begin(req chatRequest, r *http.Request) *job {
	j := &job{req: req, plan: e.plan(req), cancelled: make(chan struct{}), ended: make(chan struct{})}
	j.record = JobRecord{
		StartedMs:    e.clock.Wall(),
		RequestID:    req.RequestID,
		Attempt:      r.Header.Get(backend.HeaderAttempt),
		Account:      r.Header.Get(backend.HeaderAccount),
		Nonce:        j.plan.nonce,
		Priority:     req.Priority,
		PromptTokens: j.plan.promptTokens,
		Resumed:      req.ResumeTokens,
		End:          endGone,
	}
	if req.RequestID != "" {
		e.mu.Lock()
		e.running[req.RequestID] = j
		e.mu.Unlock()
	}
	return j
}

func (e *Engine) end(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running[j.req.RequestID] == j {
		delete(e.running, j.req.RequestID)
	}
	if len(e.jobs) < maxJobs {
		e.jobs = append(e.jobs, j.record)
	}
	if j.record.End == endGone {
		e.rememberGone(j)
	}
	close(j.ended)
}

// rememberGone keeps the count of a job whose caller left, for a later
// cancel. The caller holds e.mu.
func (e *Engine) rememberGone(j *job) {
	if len(e.gone) >= maxGone {
		clear(e.gone)
	}
	e.gone[j.req.RequestID] = j.record.Generated
}

// prefill takes the time for the part of the prompt that is not cached.
func (e *Engine) prefill(j *job, r *http.Request) {
	e.mu.Lock()
	cached := e.cache.use(j.plan.prefix)
	e.mu.Unlock()
	if cached {
		j.record.CachedTokens = min(j.plan.promptTokens, prefixChars/charsPerToken)
	}
	tokens := float64(j.plan.promptTokens - j.record.CachedTokens)
	pause(j, r, time.Duration(tokens*e.cfg.PrefillMsPerKToken*float64(time.Microsecond)))
}

// generate passes the tokens to out until the answer is whole, the job is
// cancelled, or its caller has gone.
func (e *Engine) generate(j *job, r *http.Request, out answer) {
	for i := j.req.ResumeTokens; i < j.plan.tokens; i++ {
		e.mu.Lock()
		step := e.stepMicros(e.batch.running)
		e.mu.Unlock()
		if !pause(j, r, time.Duration(step)*time.Microsecond) {
			break
		}
		j.record.Generated++
		out.token(i, step > 0 || j.record.Generated%flushEvery == 1)
	}
	switch {
	case r.Context().Err() != nil:
		panic(http.ErrAbortHandler)
	case isClosed(j.cancelled):
		j.record.End = endAbort
	default:
		j.record.End = j.plan.finish
	}
}

// stepMicros returns the time per token in a batch of running requests.
func (e *Engine) stepMicros(running int) int64 {
	return e.tokenMicros.Load() * int64(100+slowdownPercent*max(running-1, 0)) / 100
}

// pause waits for d and reports whether the job goes on.
func pause(j *job, r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return !isClosed(j.cancelled) && r.Context().Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-j.cancelled:
	case <-r.Context().Done():
	}
	return false
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var req struct {
		RequestID string `json:"request_id"`
	}
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		backend.WriteError(w, http.StatusBadRequest, "badRequest", err.Error())
		return
	}
	e.mu.Lock()
	j, ok := e.running[req.RequestID]
	if ok && !isClosed(j.cancelled) {
		close(j.cancelled)
	}
	generated, gone := e.gone[req.RequestID]
	e.mu.Unlock()
	if ok {
		select {
		case <-j.ended:
			generated = j.record.Generated
		case <-r.Context().Done():
			return
		}
	}
	backend.WriteJSON(w, http.StatusOK, struct {
		Generated int  `json:"generated"`
		Found     bool `json:"found"`
	}{generated, ok || gone})
}
