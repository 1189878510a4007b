package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/caller/exchange"
	"github.com/damaskport/damaskport/internal/policy/place"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/routing"
)

const (
	// noConfigRetryAfter is the Retry-After of a request that the gateway cannot judge
	// yet: a read of the configuration takes less.
	noConfigRetryAfter = 500 * clock.Millisecond
	// noServerRetryAfter is the Retry-After when no server could take a request.
	noServerRetryAfter = 700 * clock.Millisecond
	// otherGatewayRetryAfter is the Retry-After of an entry that is about to end or cannot
	// keep up: the caller reaches another one at once.
	otherGatewayRetryAfter = 50 * clock.Millisecond
	// staleConfigAge is the age of the configuration from which a route or a key
	// that it lacks may exist all the same: changes are in force within 2 s.
	staleConfigAge = 2 * clock.Second
	// defaultDeadline is how long a request may take when neither the caller
	// nor the route says.
	defaultDeadline = 60 * clock.Second
	// minTimeLeft is the time left below which no server is asked any more.
	minTimeLeft = 10 * clock.Millisecond
)

// job is one request of a caller on its way.
type job struct {
	Call
	r       *http.Request
	caller  *exchange.Caller
	cfg     *routing.Config
	route   *routing.Route
	account string
	// priority is the rank of account and route; 0 is the most urgent.
	priority int
	pool     *pool
	placeReq place.Request
	body     []byte
	header   http.Header // as it is passed on
	log      logrus.FieldLogger

	arrivedMs  clock.Millis
	deadlineMs clock.Millis // the caller's
	timeoutMs  clock.Millis // the route's; never after the caller's deadline

	sends   int      // that reached a server
	exclude []string // servers not to ask again
	// answerBegins is called when the answer begins, which then goes on to the process's
	// end.
	answerBegins func() bool
	// mayHaveRun tells that a server may have run the request.
	mayHaveRun   bool
	usageCounted bool
}

// ServeHTTP answers one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.draining.Load() || g.tooManyConns() || g.overloaded() {
		w.Header().Set("Connection", "close")
	}
	j, no := g.admit(w, r)
	j.caller = exchange.NewCaller(w, callerCodec{g.codec, j.ID}, g.clock, j.arrivedMs)
	if no != nil {
		g.fail(j, no)
		return
	}
	g.metrics.started(j)
	ctx, cancel := context.WithDeadlineCause(context.WithoutCancel(r.Context()), g.wallTime(j.timeoutMs), errTimeout)
	defer cancel()
	// A request without an answer is given up while its caller can still be told.
	j.answerBegins = context.AfterFunc(g.ending, cancel)
	defer j.answerBegins()
	if j.route.Kind != routing.KindProtected {
		// A protected request runs to its end, so that its outcome is certain.
		stop := context.AfterFunc(r.Context(), cancel)
		defer stop()
	}
	if j.route.Kind == routing.KindStream {
		exchange.Run(ctx, &relay{g: g, j: j})
		return
	}
	exchange.Run(ctx, &plain{g: g, j: j})
}

// admit authenticates and classifies a request, and reads its body.
func (g *Gateway) admit(w http.ResponseWriter, r *http.Request) (*job, *exchange.Failure) {
	now := g.clock.Now()
	j := &job{Call: g.codec.Call(r.Header), r: r, arrivedMs: now}
	j.log = g.log.WithField("request", j.ID)
	cfg := g.fleet.config()
	if cfg == nil || !g.settled.Load() {
		return j, notRun(http.StatusServiceUnavailable, "noConfig", noConfigRetryAfter)
	}
	j.cfg = cfg
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if j.route = cfg.Match(r.Host, path); j.route == nil {
		return j, g.notInConfig(http.StatusNotFound, "noRoute")
	}
	j.priority = cfg.Urgency(nil, j.route)
	if cfg.KeysNeeded() && !j.route.Public {
		a := cfg.AccountByKey(j.Key)
		if a == nil {
			return j, g.notInConfig(http.StatusUnauthorized, "unknownKey")
		}
		j.account = a.Name
		j.priority = cfg.Urgency(a, j.route)
	}
	j.deadlineMs = now + defaultDeadline
	if j.DeadlineMs > 0 {
		j.deadlineMs = now + j.DeadlineMs
	}
	j.timeoutMs = j.deadlineMs
	if t := j.route.TimeoutMs; t > 0 {
		j.timeoutMs = min(j.timeoutMs, now+t)
	}
	if g.endsBefore(j, now) {
		return j, notRun(http.StatusServiceUnavailable, "ending", otherGatewayRetryAfter)
	}
	if !g.gate.admits(j.priority, cfg.LeastUrgent()) {
		return j, notRun(http.StatusServiceUnavailable, "entryOverloaded", otherGatewayRetryAfter)
	}
	body, no := exchange.ReadBody(w, r, exchange.BodyLimits{Bytes: cfg.MaxBodyBytes})
	if no != nil {
		return j, no
	}
	j.body, j.header = body, exchange.EndToEnd(r.Header)
	j.pool = g.fleet.pool(j.route.Choose(j.ID))
	j.placeReq = place.Request{Engine: j.route.Engine, Prompt: j.PromptTokens, Blocks: j.Parts}
	j.pool.mu.Lock()
	j.placeReq.LatencySensitive = j.pool.sensitiveITLMs > 0 && j.route.ITLTargetMs <= j.pool.sensitiveITLMs
	j.pool.leastUrgent = max(j.pool.leastUrgent, j.priority)
	j.placeReq.Urgent = j.priority < j.pool.leastUrgent
	j.pool.retries.Request(now)
	j.pool.mu.Unlock()
	return j, nil
}

// notInConfig refuses a route or key that the configuration lacks. A configuration
// that has not been confirmed lately may be an old one.
func (g *Gateway) notInConfig(status int, reason string) *exchange.Failure {
	if g.fleet.configAge() > staleConfigAge {
		return notRun(http.StatusServiceUnavailable, reason+"StaleConfig", noConfigRetryAfter)
	}
	return notRun(status, reason, 0)
}

// notRun returns the failure of a request that no server has run.
func notRun(status int, code string, retryAfter clock.Millis) *exchange.Failure {
	return &exchange.Failure{Status: status, Code: code, NotRun: true, RetryAfterMs: retryAfter}
}

// callerCodec answers one caller with failures. It implements exchange.Codec.
type callerCodec struct {
	codec Codec
	id    string // of the caller's request
}

// Refuse answers with f.
func (c callerCodec) Refuse(w http.ResponseWriter, f *exchange.Failure) {
	h := w.Header()
	c.codec.Refuse(h, c.id, f.RetryAfterMs)
	h.Set("Content-Type", "application/json")
	w.WriteHeader(f.Status)
	_, _ = io.WriteString(w, `{"error":"`+f.Code+`"}`)
}

// Break writes nothing: a stream of events has none for failures.
func (callerCodec) Break(io.Writer, *exchange.Failure) {}

// fail logs, counts and gives the final answer of a request without a
// server's. Behind a part of an answer it does not return.
func (g *Gateway) fail(j *job, f *exchange.Failure) {
	if j.caller.Progress().Begun {
		g.interrupted(j, f.Code)
		j.caller.Fail(f)
	}
	fields := logrus.Fields{
		"event": "refused", "status": f.Status, "reason": f.Code, "retryAfterMs": int64(f.RetryAfterMs), "sends": j.sends,
		"tookMs": int64(g.clock.Now() - j.arrivedMs),
	}
	if j.route != nil {
		fields["route"] = j.route.Name
	}
	if j.cfg != nil {
		fields["config"] = j.cfg.Version
	}
	level := logrus.InfoLevel
	if f.Status >= http.StatusInternalServerError {
		level = logrus.WarnLevel
	}
	j.log.WithFields(fields).Log(level)
	g.metrics.refused(j, f)
	j.caller.Fail(f)
}

// abandon returns the final answer of a request without a server's answer: a
// request that has not run says so and when to come back.
func (g *Gateway) abandon(j *job, reason string) *exchange.Failure {
	switch {
	case !j.mayHaveRun:
		return notRun(http.StatusServiceUnavailable, reason, g.retryAfter(j))
	case g.clock.Now() >= j.timeoutMs-minTimeLeft:
		return &exchange.Failure{Status: http.StatusGatewayTimeout, Code: reason}
	}
	return &exchange.Failure{Status: http.StatusBadGateway, Code: reason}
}
