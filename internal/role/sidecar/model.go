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
	// progressEvery is the number of tokens between progress events.
	progressEvery = 16
	cancelTimeout = 2 * time.Second
	maxBodyBytes  = 64 << 20
)

// serveModel runs a chat completion on the engine and streams its events.
func (a *attempt) serveModel() {
	body, err := io.ReadAll(io.LimitReader(a.body, maxBodyBytes))
	if err != nil {
		a.refuse(dispatch.Refusal{Code: dispatch.CodeBadRequest, Message: "the body was cut short", NotRun: true})
		return
	}
	watchdog := time.AfterFunc(a.s.cfg.ProgressTimeoutMs.Duration(), func() { a.run.stop(&endError{dispatch.EndFailed}) })
	defer watchdog.Stop()
	stream, err := a.s.engine.Start(a.run.ctx, engine.Attempt{
		ID: a.run.id, Body: body, Tier: a.resv.Tier, ResumeTokens: a.req.ResumeTokens, Term: a.s.fencing(),
	})
	if err != nil {
		a.engineRefused(err)
		return
	}
	defer stream.Close()
	a.begin(http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}})
	err = a.copyEvents(stream, func() { watchdog.Reset(a.s.cfg.ProgressTimeoutMs.Duration()) })
	if err == nil {
		a.end(dispatch.EndComplete)
		return
	}
	a.abandon(err)
}

// engineRefused answers for an engine that gave no stream.
func (a *attempt) engineRefused(err error) {
	var status *engine.StatusError
	if errors.As(err, &status) && status.Status/100 == 4 && status.Status != http.StatusTooManyRequests && status.Status != http.StatusConflict {
		a.begin(status.Status, http.Header{"Content-Type": {status.Type}})
		_, _ = a.w.Write(status.Body)
		a.end(dispatch.EndComplete)
		return
	}
	a.cancelEngine()
	refusal := dispatch.Refusal{Code: dispatch.CodeUnavailable, Message: "the model engine gave no answer", Unknown: true}
	switch a.stopped(dispatch.EndFailed) {
	case dispatch.EndWithdrawn:
		refusal.Code = dispatch.CodeKeyWithdrawn
		refusal.Message = "the key is withdrawn"
	case dispatch.EndPreempted:
		a.refuse(dispatch.Refusal{Code: dispatch.CodePreempted, Message: "stopped for a higher tier"})
		return
	}
	a.s.log.WithFields(logrus.Fields{"event": "engineError", "attempt": a.run.id}).Warn(err)
	a.refuse(refusal)
}

// copyEvents passes events on until the end mark.
func (a *attempt) copyEvents(stream *engine.Stream, alive func()) error {
	for {
		e, err := stream.Next()
		if err != nil {
			return err
		}
		alive()
		a.count(e)
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

func (a *attempt) count(e engine.Event) {
	a.tokens += e.Tokens
	if e.Usage != nil {
		a.promptTokens = e.Usage.PromptTokens
		a.tokens = max(a.tokens, e.Usage.CompletionTokens-a.req.ResumeTokens)
	}
	if e.Tokens > 0 && (a.tokens == 1 || a.tokens%progressEvery == 0) {
		a.s.put(progressEvent{id: a.run.id, tokens: a.tokens})
	}
}

func (a *attempt) writeEvent(data []byte) error {
	a.buf = sse.Append(a.buf[:0], data)
	_, err := a.w.Write(a.buf)
	return err
}

// abandon ends an attempt whose stream broke or was stopped.
func (a *attempt) abandon(err error) {
	e := a.stopped(dispatch.EndFailed)
	if e == dispatch.EndFailed {
		a.s.log.WithFields(logrus.Fields{"event": "streamBroken", "attempt": a.run.id}).Warn(err)
	}
	a.cancelEngine()
	a.end(e)
}

// cancelEngine stops the attempt in the engine, and takes over its count of
// generated tokens where it gives one.
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
