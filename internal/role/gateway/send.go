package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/backend/direct"
	"github.com/damaskport/damaskport/internal/caller/exchange"
	"github.com/damaskport/damaskport/internal/peer/enginequeue"
	"github.com/damaskport/damaskport/internal/policy/place"
	"github.com/damaskport/damaskport/internal/policy/retry"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/routing"
)

var (
	errTimeout = errors.New("request timed out")
	// errEnding reports an answer that began when the process was about to exit.
	errEnding = errors.New("the process is about to exit")
)

// maxNotSent limits how many servers one request may fail to reach: it is tried
// at another server while at most this many are excluded.
const maxNotSent = 4

// send is one attempt to send a request to a server.
type send struct {
	choice      place.Choice
	engine      enginequeue.Engine
	conns       *direct.Pool
	version     string       // software version of the server
	reservation *reservation // nil if no queue owner knows of the attempt
	ans         *direct.Answer
	reply       Reply
	sentMs      clock.Millis
	openedMs    clock.Millis // when the connection was open
	// begun is set once the first event has arrived, at beganMs.
	begun   bool
	beganMs clock.Millis
	events  int // events received
	pace    pace
	// joined is set once an event with an id has shown that the answer goes on after those that
	// the caller has.
	joined bool
	cancel context.CancelFunc
	// written decides between the first byte of the request and the time limit of the attempt.
	written exchange.Latch
	// slow is set once the attempt has exceeded its time limit. It may still be answered.
	slow    bool
	outcome retry.Outcome // set if there is no answer to forward
	err     error
	// notSent is set if no byte of the request reached the server.
	notSent bool
	// limited is set if the request was not sent because the server has a limit and the
	// request no valid permit.
	limited bool
	// suspected is set if the request was not sent because it, or a part of its prompt, is
	// suspected or refused.
	suspected bool
	// broke is set if the connection to the server broke off.
	broke bool
	// partsCleared and cleared are set once the request was answered far enough to clear the
	// parts of its prompt, and the request.
	partsCleared, cleared bool
}

// wallTime converts a time of the gateway's clock to a time.Time that is not earlier. The clock is read
// first: a pause of the process between the two readings would otherwise make it earlier.
func (g *Gateway) wallTime(ms clock.Millis) time.Time {
	left := ms - g.clock.Now()
	return time.Now().Add(left.Duration())
}

// sendOnce makes one attempt: it chooses the best server, waits for the request's
// turn in the engine queue, sends j and waits for the header of the answer. If
// serverTimeout is positive, it waits for at most that long, and the attempt that it
// returns may be another one that was answered meanwhile; see firstAnswer. resumesAt is
// the id of the last event that the caller has received; empty for none.
func (g *Gateway) sendOnce(ctx context.Context, j *job, resumesAt string, serverTimeout clock.Millis) (*send, *exchange.Failure) {
	now := g.clock.Now()
	if j.timeoutMs-now < minTimeLeft {
		return nil, g.abandon(j, "noTimeLeft")
	}
	if failure := g.suspects.admit(ctx, j); failure != nil {
		return nil, failure
	}
	to, reservation, failure := g.place(ctx, j)
	if failure != nil {
		return nil, failure
	}
	if !j.mayHaveRun && g.mayExitBefore(j, g.clock.Now()) {
		// The request was queued for so long that it might not complete before
		// the process exits.
		reservation.cancel()
		j.pool.withTable(func(t *place.ServerTable) { t.Ended(now, to.Choice, j.placeReq, place.OutcomeAbandoned, false, 0) })
		return nil, notRun(http.StatusServiceUnavailable, "ending", otherGatewayRetryAfter)
	}
	now = g.clock.Now()
	s := &send{choice: to.Choice, engine: to.engine, conns: to.conns, version: to.version, reservation: reservation, sentMs: now}
	h := j.header.Clone()
	g.codec.Forward(h, Send{
		Server: to.ID, DeadlineMs: min(j.timeoutMs-now, j.allowedMs), Account: j.account, Engine: j.route.Engine,
		Priority: min(max(j.priority, 0), maxPriority), ResumesAt: resumesAt, CopyFrom: j.pool.copySource(to),
	})
	sctx, cancel := context.WithCancel(ctx)
	s.cancel = cancel
	r := direct.Request{
		Method: j.r.Method, Target: j.r.RequestURI, Host: j.r.Host, Header: h, Body: j.body, Fresh: j.ID == "",
		Mine: func(status int, h http.Header) (mine, said bool) {
			r := g.codec.Reply(status, h)
			used := permit{}
			if r.RequestID == j.ID {
				used = to.permit
			}
			g.applyNotices(j.pool, to.engine, r, used, s.openedMs)
			return r.RequestID == "" || r.RequestID == j.ID, r.RequestID != ""
		},
		Allowed: func(openedMs clock.Millis) bool { return g.mayWrite(sctx, j, s, to, openedMs) },
	}
	if serverTimeout > 0 || len(j.beside.kept) > 0 {
		j.beside.start(sctx, s, r)
		return g.firstAnswer(ctx, j, s, serverTimeout), nil
	}
	s.ans, s.err = to.conns.Do(sctx, r)
	g.settleSend(ctx, j, s)
	return s, nil
}

// settleSend applies the result of an attempt: its answer, or the error. It ends the attempt
// if there is no answer to forward.
func (g *Gateway) settleSend(ctx context.Context, j *job, s *send) {
	if s.err != nil {
		g.noAnswer(ctx, j, s, s.err)
		return
	}
	if !s.slow {
		j.sends++
	}
	g.gate.addMessage(len(j.body))
	s.reply = g.codec.Reply(s.ans.Status, s.ans.Header)
	if s.reply.HasLoad {
		j.pool.withTable(func(t *place.ServerTable) {
			t.ServerLoad(g.clock.Now(), s.choice.ID, s.reply.Running, s.reply.Waiting)
		})
	}
	if s.reply.NotRun {
		s.outcome = retry.OutcomeNotRun
		o := place.OutcomeFull
		if s.reply.WrongServer {
			o = place.OutcomeUnreachable
		}
		g.endSend(j, s, o, "notRun")
		j.departure.Unsent()
		return
	}
	j.mayHaveRun = true
}

// mayWrite reports whether j may still be written to its server, on a connection that was
// opened at a time. It records in s why not.
func (g *Gateway) mayWrite(ctx context.Context, j *job, s *send, to target, openedMs clock.Millis) bool {
	s.openedMs = openedMs
	if !g.streams.leadsToStart(ctx, j, openedMs) {
		return false
	}
	s.limited = !g.mayBeSent(g.clock.Now(), j, to)
	s.suspected = !g.suspects.maySend(j)
	now := g.clock.Now()
	return !s.limited && !s.suspected && now < j.timeoutMs && j.pool.accepts(now, to.engine) && j.departure.Send() && s.written.Begin()
}

// maxPriority is the least urgent priority class of a model engine; 0 is the most
// urgent.
const maxPriority = 9

// noAnswer ends an attempt without an answer and records whether the server may
// have run the request.
func (g *Gateway) noAnswer(ctx context.Context, j *job, s *send, err error) {
	var notSent *direct.NotSentError
	switch {
	case ctx.Err() != nil:
		s.notSent = errors.As(err, &notSent)
		if !s.notSent {
			j.countSend(s)
		}
		if s.outcome = retry.OutcomeUnknown; s.notSent {
			s.outcome = retry.OutcomeNotRun
		}
		o := place.OutcomeAbandoned
		if errors.Is(context.Cause(ctx), errTimeout) {
			o = place.OutcomeFailed
		}
		g.endSend(j, s, o, "ended")
	case errors.Is(err, direct.ErrWithheld):
		s.notSent = true
		s.outcome = retry.OutcomeNotRun
		g.endSend(j, s, place.OutcomeAbandoned, "withheld")
	case errors.As(err, &notSent):
		s.notSent = true
		s.outcome = retry.OutcomeNotRun
		g.endSend(j, s, unsentOutcome(notSent), "notSent")
	default:
		j.countSend(s)
		s.outcome = retry.OutcomeUnknown
		s.broke = true
		g.endSend(j, s, place.OutcomeUnreachable, "noAnswer")
	}
	if s.notSent {
		j.departure.Unsent()
	}
}

// unsentOutcome returns the outcome of an attempt that reached no server.
func unsentOutcome(e *direct.NotSentError) place.Outcome {
	switch {
	case e.Local():
		return place.OutcomeAbandoned
	case e.AtLimit():
		return place.OutcomeFull
	default:
		return place.OutcomeUnsent
	}
}

// countSend counts an attempt without an answer that reached its server.
func (j *job) countSend(s *send) {
	if !s.slow {
		j.sends++
	}
	j.mayHaveRun = true
}

// endSend ends an attempt and reports its outcome to the queue owner and the
// server table.
func (g *Gateway) endSend(j *job, s *send, o place.Outcome, reason string) {
	now := g.clock.Now()
	if s.ans != nil {
		_ = s.ans.Body.Close()
	}
	s.cancel()
	s.reservation.done(enginequeue.Ref{
		Unreachable: o.Unreachable() && s.notSent, BackOffMs: s.reply.BackOffMs, Events: s.pace.events,
	})
	if o.Unreachable() {
		g.fleet.mayWarmUp(j.pool, s.engine.Key())
	}
	if !s.slow {
		j.pool.withTable(func(t *place.ServerTable) { t.Ended(now, s.choice, j.placeReq, o, s.begun, now-s.sentMs) })
	}
	f := logrus.Fields{"event": "sendEnded", "server": s.choice.ID, "outcome": o.String(), "reason": reason, "tookMs": int64(now - s.sentMs)}
	if s.ans != nil {
		f["status"] = s.ans.Status
	}
	l := j.log.WithFields(f)
	if s.err != nil {
		l = l.WithError(s.err)
	}
	if o == place.OutcomeFailed || o.Unreachable() {
		l.Warn()
		return
	}
	l.Info()
}

// retryAllowed reports whether j may be sent again after the attempt s, and excludes the
// server of s, unless the attempt was withheld for another reason than the server. delivered
// is the number of events that the caller has received. A retry is taken from the pool's
// budget unless the request did not reach the server of s. ctx has ended if the request has.
func (g *Gateway) retryAllowed(ctx context.Context, j *job, s *send, delivered int) bool {
	if ctx.Err() != nil {
		return false
	}
	now := g.clock.Now()
	if (s.limited || s.suspected) && j.limitedSends < maxNotSent {
		j.limitedSends++
		return now < j.timeoutMs-minTimeLeft
	}
	j.exclude = append(j.exclude, s.choice.ID)
	if s.notSent {
		return len(j.exclude) <= maxNotSent && now < j.timeoutMs-minTimeLeft
	}
	reason := j.reasonNotToRetry(now, s.outcome, delivered)
	if reason == "" {
		j.pool.mu.Lock()
		if !j.pool.retries.Take(now, g.retrySharers()) {
			reason = retry.ReasonBudget
		}
		j.pool.mu.Unlock()
	}
	j.log.WithFields(logrus.Fields{"event": "retry", "allowed": reason == "", "against": reason, "sends": j.sends}).Info()
	return reason == ""
}

// reasonNotToRetry returns why j may not be sent again after an attempt with an outcome; empty if it may,
// as far as the budget of retries and the servers allow it.
func (j *job) reasonNotToRetry(now clock.Millis, outcome retry.Outcome, delivered int) retry.Reason {
	return retry.ReasonNotToRetry(now, retry.Attempt{
		Outcome: outcome, Protected: !j.route.MayRunAgain(),
		Delivered: delivered, Resumable: j.route.Resumable && j.route.Kind == routing.KindStream,
		Attempts: j.sends, MaxAttempts: j.route.Attempts, DeadlineMs: j.timeoutMs - minTimeLeft,
	}, 0)
}

// anotherMayAnswer reports whether j could be answered by another attempt if that of s has failed.
func (g *Gateway) anotherMayAnswer(j *job, s *send) bool {
	delivered := j.caller.Progress().Writes
	if len(j.beside.kept) > 0 && delivered == 0 {
		return true
	}
	now := g.clock.Now()
	if j.reasonNotToRetry(now, retry.OutcomeUnknown, delivered) != "" {
		return false
	}
	j.pool.mu.Lock()
	left := j.pool.retries.Left(now, g.retrySharers())
	j.pool.mu.Unlock()
	exclude := slices.Concat(j.exclude, g.streams.exclusions(j))
	if s.begun {
		exclude = append(exclude, j.pool.idsOf(func(v string) bool { return v != s.version })...)
	}
	return left > 0 && j.pool.hasOther(j.placeReq, s.engine.ID, exclude)
}

// countUsage counts j once in the usage of its account, in the current window.
func (g *Gateway) countUsage(j *job) {
	if j.usageCounted || j.account == "" {
		return
	}
	j.usageCounted = true
	g.usage.add(j.account, g.clock.Wall())
}
