package sidecar

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/backend/engine"
	"github.com/damaskport/damaskport/internal/peer/dispatch"
	"github.com/damaskport/damaskport/internal/stream/sse"
)

const (
	// progressTokens is the number of output tokens between two progress events.
	progressTokens = 16
	// cancelTimeout bounds a request to the engine to cancel an attempt.
	cancelTimeout = 2 * time.Second
	maxBodyBytes  = 64 << 20
)

// serveModel runs a chat completion on the engine and streams its events to the
// entry. The attempt fails if the engine sends no event for ProgressTimeoutMs.
func (a *attempt) serveModel() {
	body, err := io.ReadAll(io.LimitReader(a.body, maxBodyBytes))
	if err != nil {
		a.refuse(dispatch.Refusal{Code: dispatch.CodeBadRequest, Message: "the request body is incomplete", NotRun: true})
		return
	}
	watchdog := time.AfterFunc(a.s.cfg.ProgressTimeoutMs.Duration(), func() { a.run.stop(&stopError{dispatch.EndFailed}) })
	defer watchdog.Stop()
	stream, err := a.s.engine.Start(a.run.ctx, engine.Attempt{
		ID: a.run.id, Body: body, Tier: a.resv.Tier, ResumeTokens: a.req.ResumeTokens, Term: a.s.fencingNumber(),
	})
	if err != nil {
		a.refuseEngineError(err)
		return
	}
	defer stream.Close()
	a.writeHeader(http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}})
	err = a.copyEvents(stream, func() { watchdog.Reset(a.s.cfg.ProgressTimeoutMs.Duration()) })
	if err == nil {
		a.setEnd(dispatch.EndComplete)
		return
	}
	a.abandon(err)
}

// refuseEngineError responds to an attempt for which the engine started no stream.
// The engine's own 4xx errors are passed on, except 429 and 409; after any other
// error the attempt is cancelled in the engine and refused.
func (a *attempt) refuseEngineError(err error) {
	var status *engine.StatusError
	if errors.As(err, &status) && status.Status/100 == 4 && status.Status != http.StatusTooManyRequests && status.Status != http.StatusConflict {
		a.writeHeader(status.Status, http.Header{"Content-Type": {status.Type}})
		_, _ = a.w.Write(status.Body)
		a.setEnd(dispatch.EndComplete)
		return
	}
	a.cancelEngine()
	refusal := dispatch.Refusal{Code: dispatch.CodeUnavailable, Message: "the model engine did not start an answer", Unknown: true}
	switch a.stopReason(dispatch.EndFailed) {
	case dispatch.EndWithdrawn:
		refusal.Code = dispatch.CodeKeyWithdrawn
		refusal.Message = "the API key has been withdrawn"
	case dispatch.EndPreempted:
		a.refuse(dispatch.Refusal{Code: dispatch.CodePreempted, Message: "preempted by a request of a higher tier"})
		return
	}
	a.s.log.WithFields(logrus.Fields{"event": "engineError", "attempt": a.run.id}).Warn(err)
	a.refuse(refusal)
}

// copyEvents copies events from the engine to the entry up to and including the
// final [DONE], and calls onEvent for each. It flushes when no further event is
// buffered.
func (a *attempt) copyEvents(stream *engine.Stream, onEvent func()) error {
	for {
		e, err := stream.Next()
		if err != nil {
			return err
		}
		onEvent()
		a.countTokens(e)
		if err := a.writeEvent(e.Data); err != nil {
			return err
		}
		if e.Done {
			return nil
		}
		if !stream.Ready() {
			if err := a.rc.Flush(); err != nil {
				return err
			}
		}
	}
}

// countTokens adds the tokens of an event and reports progress after the first
// token and every progressTokens tokens. The engine's own count replaces a lower
// one; it includes the tokens of the attempts that this one resumes.
func (a *attempt) countTokens(e engine.Event) {
	a.tokens += e.Tokens
	if e.Usage != nil {
		a.promptTokens = e.Usage.PromptTokens
		a.tokens = max(a.tokens, e.Usage.CompletionTokens-a.req.ResumeTokens)
	}
	if e.Tokens > 0 && (a.tokens == 1 || a.tokens%progressTokens == 0) {
		a.s.sendEvent(progressEvent{id: a.run.id, tokens: a.tokens})
	}
}

// writeEvent sends data as one server-sent event.
func (a *attempt) writeEvent(data []byte) error {
	a.buf = sse.Append(a.buf[:0], data)
	_, err := a.w.Write(a.buf)
	return err
}

// abandon cancels the attempt in the engine and ends it, after its stream broke or
// the attempt was stopped.
func (a *attempt) abandon(err error) {
	e := a.stopReason(dispatch.EndFailed)
	if e == dispatch.EndFailed {
		a.s.log.WithFields(logrus.Fields{"event": "streamBroken", "attempt": a.run.id}).Warn(err)
	}
	a.cancelEngine()
	a.setEnd(e)
}

// cancelEngine cancels the attempt in the engine. The number of generated tokens
// that the engine returns replaces a lower count.
func (a *attempt) cancelEngine() {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	generated, err := a.s.engine.Cancel(ctx, a.run.id)
	if err != nil {
		a.s.log.WithFields(logrus.Fields{"event": "cancelFailed", "attempt": a.run.id}).Warn(err)
		return
	}
	a.tokens = max(a.tokens, generated)
}
