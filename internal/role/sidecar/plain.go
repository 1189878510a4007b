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

const copyBytes = 16 << 10

// serveService runs a request on the plain service. A protected request is
// claimed first.
func (a *attempt) serveService() {
	body, err := io.ReadAll(io.LimitReader(a.body, maxBodyBytes))
	if err != nil {
		a.refuse(dispatch.Refusal{Code: dispatch.CodeBadRequest, Message: "the body was cut short", NotRun: true})
		return
	}
	if a.req.Protected {
		a.serveProtected(body)
		return
	}
	ctx, cancel := context.WithTimeout(a.run.ctx, a.s.cfg.AnswerTimeoutMs.Duration())
	defer cancel()
	res, err := a.call(ctx, body)
	if err != nil {
		a.serviceFailed(err)
		return
	}
	a.copyAnswer(res)
}

// serveProtected hands the request over only once its claim has won.
func (a *attempt) serveProtected(body []byte) {
	refusal, ok := a.s.claims.Claim(a.run.ctx, a.resv.Account, a.req.Route, a.req.IdempotencyKey, a.run.id)
	if !ok {
		a.refuse(refusal)
		return
	}
	if a.run.ctx.Err() != nil {
		a.s.claims.NotRun(a.run.id)
		a.refuse(dispatch.Refusal{Code: dispatch.CodeUnavailable, Message: "the caller has left", NotRun: true})
		return
	}
	// From here on the request runs to its end, also when the caller leaves.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(a.run.ctx), a.s.cfg.AnswerTimeoutMs.Duration())
	defer cancel()
	res, err := a.call(ctx, body)
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
	a.refuse(dispatch.Refusal{Code: dispatch.CodeUnknown, Message: "the plain service gave no answer; the request may have run", Unknown: true})
}

func (a *attempt) call(ctx context.Context, body []byte) (*http.Response, error) {
	return a.s.service.Do(ctx, service.Call{
		Attempt: a.run.id, Account: a.resv.Account, Term: a.s.fencing(),
		Method: a.req.Method, Path: a.req.Path, Header: a.req.Header,
		Body: strings.NewReader(string(body)), IdempotencyKey: a.req.IdempotencyKey, Protected: a.req.Protected,
	})
}

func (a *attempt) serviceFailed(err error) {
	a.s.log.WithFields(logrus.Fields{"event": "serviceError", "attempt": a.run.id}).Warn(err)
	notRun := service.NotSent(err)
	a.refuse(dispatch.Refusal{
		Code: dispatch.CodeUnavailable, Message: "the plain service gave no answer", NotRun: notRun, Unknown: !notRun,
	})
}

// copyAnswer streams the service's answer and states its end.
func (a *attempt) copyAnswer(res *http.Response) {
	defer res.Body.Close()
	a.begin(res.StatusCode, answerHeader(res.Header))
	watchdog := time.AfterFunc(a.s.cfg.ProgressTimeoutMs.Duration(), func() { a.run.stop(&endError{dispatch.EndFailed}) })
	defer watchdog.Stop()
	buf := make([]byte, copyBytes)
	for {
		n, err := res.Body.Read(buf)
		watchdog.Reset(a.s.cfg.ProgressTimeoutMs.Duration())
		if n > 0 {
			if _, werr := a.w.Write(buf[:n]); werr != nil {
				a.end(a.stopped(dispatch.EndCancelled))
				return
			}
			_ = a.rc.Flush()
		}
		if err == io.EOF {
			a.end(dispatch.EndComplete)
			return
		}
		if err != nil {
			a.end(a.stopped(dispatch.EndFailed))
			return
		}
	}
}

// hopHeaders are meaningful for one connection only.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

func answerHeader(h http.Header) http.Header {
	out := http.Header{}
	for k, v := range h {
		if !slices.Contains(hopHeaders, k) && !strings.HasPrefix(k, "Damaskport-") {
			out[k] = v
		}
	}
	return out
}
