package sidecar

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/backend/service"
	"github.com/damaskport/damaskport/internal/peer/dispatch"
)

// copyBufferBytes is the size of the buffer through which an answer is copied.
const copyBufferBytes = 16 << 10

// serveService sends a request to the plain service and streams its answer. A
// protected request needs a claim first.
func (a *attempt) serveService() {
	body, err := io.ReadAll(io.LimitReader(a.body, maxBodyBytes))
	if err != nil {
		a.refuse(dispatch.Refusal{Code: dispatch.CodeBadRequest, Message: "the request body is incomplete", NotRun: true})
		return
	}
	if a.req.Protected {
		a.serveProtected(body)
		return
	}
	ctx, cancel := context.WithTimeout(a.run.ctx, a.s.cfg.AnswerTimeoutMs.Duration())
	defer cancel()
	res, err := a.sendRequest(ctx, body)
	if err != nil {
		a.refuseServiceError(err)
		return
	}
	a.copyAnswer(res)
}

// serveProtected sends a protected request to the service only after its claim on
// the idempotency key was accepted, so that the request runs at most once. It
// records the outcome of the claim.
func (a *attempt) serveProtected(body []byte) {
	refusal, ok := a.s.claims.Claim(a.run.ctx, a.resv.Account, a.req.Route, a.req.IdempotencyKey, a.run.id)
	if !ok {
		a.refuse(refusal)
		return
	}
	if a.run.ctx.Err() != nil {
		a.s.claims.NotRun(a.run.id)
		a.refuse(dispatch.Refusal{Code: dispatch.CodeUnavailable, Message: "the caller disconnected", NotRun: true})
		return
	}
	// From here on the caller's disconnecting does not cancel the request, so that
	// its outcome becomes known.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(a.run.ctx), a.s.cfg.AnswerTimeoutMs.Duration())
	defer cancel()
	res, err := a.sendRequest(ctx, body)
	if err == nil {
		a.copyAnswer(res)
		a.s.claims.Finish(a.run.id, res.StatusCode)
		return
	}
	if service.NotSent(err) {
		a.s.claims.NotRun(a.run.id)
		a.refuse(dispatch.Refusal{Code: dispatch.CodeUnavailable, Message: "the plain service could not be reached", NotRun: true})
		return
	}
	a.s.claims.Unknown(a.run.id)
	a.s.log.WithFields(logrus.Fields{"event": "outcomeUnknown", "attempt": a.run.id}).Warn(err)
	a.refuse(dispatch.Refusal{Code: dispatch.CodeUnknown, Message: "the plain service did not answer; the request may have run", Unknown: true})
}

// sendRequest sends the request to the plain service.
func (a *attempt) sendRequest(ctx context.Context, body []byte) (*http.Response, error) {
	return a.s.service.Do(ctx, service.Call{
		Attempt: a.run.id, Account: a.resv.Account, Term: a.s.fencingNumber(),
		Method: a.req.Method, Path: a.req.Path, Header: a.req.Header,
		Body: strings.NewReader(string(body)), IdempotencyKey: a.req.IdempotencyKey, Protected: a.req.Protected,
	})
}

// refuseServiceError refuses an unprotected request for which the service returned no
// answer, and tells whether it may have run.
func (a *attempt) refuseServiceError(err error) {
	a.s.log.WithFields(logrus.Fields{"event": "serviceError", "attempt": a.run.id}).Warn(err)
	notRun := service.NotSent(err)
	a.refuse(dispatch.Refusal{
		Code: dispatch.CodeUnavailable, Message: "the plain service did not answer", NotRun: notRun, Unknown: !notRun,
	})
}

// copyAnswer streams the service's answer to the entry and states how it ended.
// The attempt fails if the body makes no progress for ProgressTimeoutMs.
func (a *attempt) copyAnswer(res *http.Response) {
	defer res.Body.Close()
	a.writeHeader(res.StatusCode, forwardedHeader(res.Header))
	watchdog := time.AfterFunc(a.s.cfg.ProgressTimeoutMs.Duration(), func() { a.run.stop(&stopError{dispatch.EndFailed}) })
	defer watchdog.Stop()
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := res.Body.Read(buf)
		watchdog.Reset(a.s.cfg.ProgressTimeoutMs.Duration())
		if n > 0 {
			if _, werr := a.w.Write(buf[:n]); werr != nil {
				a.setEnd(a.stopReason(dispatch.EndCancelled))
				return
			}
			_ = a.rc.Flush()
		}
		if err == io.EOF {
			a.setEnd(dispatch.EndComplete)
			return
		}
		if err != nil {
			a.setEnd(a.stopReason(dispatch.EndFailed))
			return
		}
	}
}

// hopByHopHeaders are the hop-by-hop headers, which are not forwarded.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// forwardedHeader returns the headers of a service's answer that are forwarded: all
// but hop-by-hop headers and those reserved for entry and sidecar.
func forwardedHeader(h http.Header) http.Header {
	out := http.Header{}
	for k, v := range h {
		if !slices.Contains(hopByHopHeaders, k) && !strings.HasPrefix(k, "Damaskport-") {
			out[k] = v
		}
	}
	return out
}
