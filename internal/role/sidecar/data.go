package sidecar

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/peer/dispatch"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// keepAliveEvery is the time between signs of life before an answer begins.
const keepAliveEvery = clock.Second

// serveRun carries out one attempt: POST /run/{reservation}.
func (s *Sidecar) serveRun(w http.ResponseWriter, r *http.Request) {
	var resv dispatch.Reservation
	if err := json.Unmarshal([]byte(r.Header.Get(dispatch.HeaderReservation)), &resv); err != nil {
		refuse(w, dispatch.Refusal{Code: dispatch.CodeBadRequest, Message: err.Error(), NotRun: true})
		return
	}
	var req dispatch.Request
	if err := json.Unmarshal([]byte(r.Header.Get(dispatch.HeaderRequest)), &req); err != nil {
		refuse(w, dispatch.Refusal{Code: dispatch.CodeBadRequest, Message: err.Error(), NotRun: true})
		return
	}
	run, refusal, ok := s.start(r.Context(), resv)
	if !ok {
		refuse(w, refusal)
		return
	}
	a := &attempt{s: s, w: w, rc: http.NewResponseController(w), run: run, resv: resv, req: req, body: r.Body}
	defer a.finish()
	if req.Path == "" {
		a.serveModel()
		return
	}
	defer a.keepAlive()()
	a.serveService()
}

// start asks the core for a slot.
func (s *Sidecar) start(ctx context.Context, resv dispatch.Reservation) (*run, dispatch.Refusal, bool) {
	reply := make(chan startReply, 1)
	s.put(startEvent{r: resv, ctx: ctx, reply: reply})
	select {
	case out := <-reply:
		return out.run, out.refusal, out.run != nil
	case <-s.coreDone:
		return nil, dispatch.Refusal{Code: dispatch.CodeLeaving, Message: "the sidecar has stopped", NotRun: true}, false
	}
}

// refuse answers that the attempt was not carried out here.
func refuse(w http.ResponseWriter, refusal dispatch.Refusal) {
	w.Header().Set(dispatch.HeaderResult, dispatch.ResultRefused)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusConflict)
	_ = json.NewEncoder(w).Encode(refusal)
}

// attempt is one attempt being carried out.
type attempt struct {
	s    *Sidecar
	w    http.ResponseWriter
	rc   *http.ResponseController
	run  *run
	resv dispatch.Reservation
	req  dispatch.Request
	body interface{ Read([]byte) (int, error) }
	// tokens counts what the server generated in this attempt.
	tokens       int
	promptTokens int
	complete     bool
	buf          []byte // of one event
	// mu orders the keep-alive answers before the head of the answer.
	mu    sync.Mutex
	begun bool
}

// keepAlive sends an informational answer every second until the head of the
// answer is out, so that the entry can tell a slow server from a silent
// connection. The returned function ends it.
func (a *attempt) keepAlive() (stop func()) {
	ctx, cancel := context.WithCancel(a.run.ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for a.s.clock.Sleep(ctx, keepAliveEvery) == nil {
			a.mu.Lock()
			if !a.begun {
				a.w.WriteHeader(http.StatusProcessing)
			}
			a.mu.Unlock()
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// refuse answers that the attempt was not carried out.
func (a *attempt) refuse(r dispatch.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.begun = true
	refuse(a.w, r)
}

func (a *attempt) finish() {
	a.s.put(finishEvent{id: a.run.id, tokens: a.tokens})
	if prompt, tokens := a.charged(); prompt+tokens > 0 {
		a.s.meter.Add(a.resv.Account, prompt, tokens)
	}
}

// charged returns the tokens that the account pays for this attempt: those of a
// stream as they come, those of an answer taken whole when it ends, with the
// tokens of the attempts that it goes on from.
func (a *attempt) charged() (prompt, tokens int) {
	switch {
	case !a.req.Whole:
		return a.promptTokens, a.tokens
	case a.complete:
		return a.promptTokens, a.req.ResumeTokens + a.tokens
	}
	return 0, 0
}

// begin writes the head of an answer that ends with a trailer.
func (a *attempt) begin(status int, header http.Header) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.begun = true
	h := a.w.Header()
	for k, v := range header {
		h[k] = v
	}
	h.Del("Content-Length")
	h.Set(dispatch.HeaderResult, dispatch.ResultAnswer)
	h.Set(dispatch.HeaderAttempt, a.run.id)
	h.Add("Trailer", dispatch.TrailerEnd)
	a.w.WriteHeader(status)
}

// end states how the attempt ended.
func (a *attempt) end(e dispatch.End) {
	a.w.Header().Set(dispatch.TrailerEnd, string(e))
	a.complete = e == dispatch.EndComplete
	if e != dispatch.EndComplete {
		a.s.log.WithFields(logrus.Fields{"event": "attemptEnd", "attempt": a.run.id, "end": e, "tokens": a.tokens}).Info("attempt ended early")
	}
}

// stopped returns the reason for which the run was stopped, or fallback.
func (a *attempt) stopped(fallback dispatch.End) dispatch.End {
	var e *endError
	if errors.As(context.Cause(a.run.ctx), &e) {
		return e.end
	}
	if a.run.ctx.Err() != nil {
		return dispatch.EndCancelled
	}
	return fallback
}
