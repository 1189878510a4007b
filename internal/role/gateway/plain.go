package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/backend/direct"
	"github.com/damaskport/damaskport/internal/caller/exchange"
	"github.com/damaskport/damaskport/internal/policy/budget"
	"github.com/damaskport/damaskport/internal/policy/place"
	"github.com/damaskport/damaskport/internal/policy/retry"
	"github.com/damaskport/damaskport/internal/runtime/bounded"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/routing"
)

const (
	// bufferedAnswerBytes is the size up to which an answer is buffered before
	// any of it is forwarded, so that a truncated answer can be retried.
	bufferedAnswerBytes = 64 << 10
	// firstAnswerBytes is the size of the first buffer of an answer whose length is not known.
	firstAnswerBytes = 4 << 10
	// serverTimeoutTargets is how long a safe request waits for one server before
	// another one is tried beside it, as a multiple of the route's latency target.
	serverTimeoutTargets = 2
)

// errTruncated reports an answer that ended prematurely.
var errTruncated = errors.New("answer truncated")

// errNoAnswer reports an attempt without an answer to forward, errNotForwardable one with
// an answer that must not be forwarded.
var (
	errNoAnswer       = errors.New("no answer to forward")
	errNotForwardable = errors.New("answer must not be forwarded")
)

// plain serves one request whose answer is not a stream. It implements
// exchange.Steps.
type plain struct {
	g *Gateway
	j *job
	// waitOnly is set once no other server may be tried: only the servers that have the request
	// are waited for.
	waitOnly bool
}

// Send makes one attempt to send the request.
func (x *plain) Send(ctx context.Context) (*send, *exchange.Failure) {
	if x.waitOnly {
		return x.g.firstAnswer(ctx, x.j, nil, 0), nil
	}
	s, failure := x.g.sendOnce(ctx, x.j, "", x.g.serverTimeout(x.j))
	if failure != nil && len(x.j.beside.kept) > 0 {
		// No other server takes the request, but those that have it may still answer.
		x.waitOnly = true
		return x.g.firstAnswer(ctx, x.j, nil, 0), nil
	}
	return s, failure
}

// Pass forwards the server's answer to the caller.
func (x *plain) Pass(ctx context.Context, s *send) error {
	if s.ans == nil || s.reply.NotRun {
		return errNoAnswer
	}
	x.g.countUsage(x.j)
	if !x.g.forwardAnswer(ctx, x.j, s) {
		return errNotForwardable
	}
	return nil
}

// Again returns nil if the request is to be retried, or the failure that ends it.
func (x *plain) Again(ctx context.Context, s *send, _ error) *exchange.Failure {
	if !s.slow || s.err != nil {
		x.g.examineBreak(ctx, x.j, s)
	}
	if !x.waitOnly && x.g.retryAllowed(ctx, x.j, s, 0) {
		return nil
	}
	if len(x.j.beside.kept) > 0 && ctx.Err() == nil {
		x.waitOnly = true
		return nil
	}
	return x.g.lastFailure(x.j, s)
}

// Fail sends f to the caller as the final response.
func (x *plain) Fail(f *exchange.Failure) { x.g.fail(x.j, f) }

// serverTimeout returns how long the next attempt of a safe request waits for its
// server before another one is tried; 0 if only the request's own timeout applies.
func (g *Gateway) serverTimeout(j *job) clock.Millis {
	if j.route.Kind != routing.KindSafe || j.sends+1 >= j.route.Attempts || j.route.TargetMs <= 0 {
		return 0
	}
	return min(serverTimeoutTargets*j.route.TargetMs, j.allowedMs/2)
}

// lastFailure returns the final failure of a request whose last attempt, s, had
// no answer to forward.
func (g *Gateway) lastFailure(j *job, s *send) *exchange.Failure {
	reason := "serverFull"
	switch {
	case j.caller.Progress().Begun:
		reason = "interrupted"
	case s.notSent:
		reason = "notSent"
	case !s.reply.NotRun:
		reason = "noAnswer"
	}
	if j.mayHaveRun && !j.route.MayRunAgain() || s.outcome != retry.OutcomeNotRun {
		j.mayHaveRun = true
		g.countUsage(j)
	}
	return g.abandon(j, reason)
}

// forwardAnswer forwards the server's answer to the caller. It returns false if the
// answer must not be forwarded, and nothing of it was. The attempt s has ended in both
// cases.
func (g *Gateway) forwardAnswer(ctx context.Context, j *job, s *send) bool {
	ok := s.ans.Status/100 == 2
	if ok && (!s.reply.FromServer || s.reply.Encoded) {
		s.err = errors.New("successful answer lacks the mark of a backend server, or has a Content-Encoding header")
		s.outcome = retry.OutcomeUnknown
		g.endSend(j, s, place.OutcomeFailed, "unfit")
		return false
	}
	data, whole, err := readStart(s.ans, j.held.For(budget.Answer).Take)
	if err == nil && whole && g.cutUnframed(ctx, j, s) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		s.err = errors.Wrap(errTruncated, err.Error())
		s.outcome = retry.OutcomeUnknown
		s.broke = true
		g.endSend(j, s, place.OutcomeFailed, "cut")
		return false
	}
	if s.ans.Status >= http.StatusInternalServerError && j.route.MayRunAgain() && (j.sends < j.route.Attempts || len(j.beside.kept) > 0) {
		s.outcome = retry.OutcomeFailed
		g.endSend(j, s, place.OutcomeFailed, "serverError")
		return false
	}
	// A whole answer needs no more time of the process.
	if !j.ending.Begin() && !whole {
		s.outcome = retry.OutcomeUnknown
		g.endSend(j, s, place.OutcomeAbandoned, "ending")
		return false
	}
	j.beside.cancel()
	h := exchange.EndToEnd(s.ans.Header)
	if s.ans.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(s.ans.Length, 10))
	}
	g.gate.addMessage(len(data))
	j.caller.Head(s.ans.Status, h)
	err = j.caller.Write(data, true)
	if err == nil && !whole {
		err = g.forwardRest(ctx, j, s)
	}
	o := place.OutcomeOK
	if s.ans.Status >= http.StatusInternalServerError {
		o = place.OutcomeFailed
	} else if s.reply.FromServer && (err == nil || whole) {
		if ok {
			g.clearParts(j, s)
		}
		g.clearRequest(j, s)
	}
	g.endSend(j, s, o, "answered")
	g.answered(j, s, err == nil)
	if err != nil {
		j.caller.Cut()
	}
	return true
}

// readStart reads the first bufferedAnswerBytes of an answer, or fewer if take, which is called before n
// more bytes are used, returns false. whole is set if that is all of it.
func readStart(ans *direct.Answer, take func(n int64) bool) (data []byte, whole bool, err error) {
	first := int64(firstAnswerBytes)
	if ans.Length >= 0 {
		first = min(ans.Length, bufferedAnswerBytes) + 1 // the end shows with the first buffer
	}
	data, whole, err = bounded.ReadGrowing(ans.Body, first, bufferedAnswerBytes, take)
	if errors.Is(err, bounded.ErrNoMemory) {
		err = nil // what follows is forwarded as it arrives
	}
	return data, whole, err
}

// forwardRest forwards what follows the first bytes of an answer.
func (g *Gateway) forwardRest(ctx context.Context, j *job, s *send) error {
	if err := j.caller.Copy(s.ans.Body, func() {}); err != nil {
		return err
	}
	if g.cutUnframed(ctx, j, s) {
		return errTruncated
	}
	return nil
}

// answered logs and counts a request that a server has answered. whole is set if
// the caller received the whole answer.
func (g *Gateway) answered(j *job, s *send, whole bool) {
	took := g.clock.Now() - j.arrivedMs
	j.log.WithFields(logrus.Fields{
		"event": "answered", "route": j.route.Name, "account": j.account, "server": s.choice.ID, "status": s.ans.Status,
		"bytes": j.caller.Progress().Bytes, "whole": whole, "sends": j.sends, "tookMs": int64(took),
	}).Info()
	g.metrics.answered(j, s.ans.Status, whole, took)
}
