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
	// unknownWait is the Retry-After of a request that the gateway cannot judge
	// yet: a read of the configuration takes less.
	unknownWait = 500 * clock.Millisecond
	// busyWait is the Retry-After when no server could take a request.
	busyWait = 700 * clock.Millisecond
	// elsewhereWait is the Retry-After of an entry that is about to end or cannot
	// keep up: the caller reaches another one at once.
	elsewhereWait = 50 * clock.Millisecond
	// staleConfig is the age of the configuration from which a route or a key
	// that it lacks may exist all the same: changes are in force within 2 s.
	staleConfig = 2 * clock.Second
	// defaultDeadline is how long a request may take when neither the caller
	// nor the route says.
	defaultDeadline = 60 * clock.Second
	// leastLeft is the time left below which no server is asked any more.
	leastLeft = 10 * clock.Millisecond
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
	ask      place.Request
	body     []byte
	header   http.Header // as it is passed on
	log      logrus.FieldLogger

	arrivedMs  clock.Millis
	deadlineMs clock.Millis // the caller's
	timeoutMs  clock.Millis // the route's; never after the caller's deadline

	sends   int      // that reached a server
	exclude []string // servers not to ask again
	// begins is called when the answer begins, which then goes on to the process's
	// end.
	begins func() bool
	// ran tells that a server may have run the request.
	ran     bool
	counted bool
}

// ServeHTTP answers one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.draining.Load() || g.crowded() || g.overloaded() {
		w.Header().Set("Connection", "close")
	}
	j, no := g.admit(w, r)
	j.caller = exchange.NewCaller(w, callerCodec{g.codec, j.ID}, g.clock, j.arrivedMs)
	if no != nil {
		g.fail(j, no)
		return
	}
	g.metrics.started(j)
	ctx, cancel := context.WithDeadlineCause(context.WithoutCancel(r.Context()), g.at(j.timeoutMs), errTimeout)
	defer cancel()
	// A request without an answer is given up while its caller can still be told.
	j.begins = context.AfterFunc(g.ending, cancel)
	defer j.begins()
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
	cfg := g.belief.config()
	if cfg == nil || !g.settled.Load() {
		return j, notRun(http.StatusServiceUnavailable, "noConfig", unknownWait)
	}
	j.cfg = cfg
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if j.route = cfg.Match(r.Host, path); j.route == nil {
		return j, g.unknown(http.StatusNotFound, "noRoute")
	}
	j.priority = cfg.Urgency(nil, j.route)
	if cfg.KeysNeeded() && !j.route.Public {
		a := cfg.AccountByKey(j.Key)
		if a == nil {
			return j, g.unknown(http.StatusUnauthorized, "unknownKey")
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
	if g.leaves(j, now) {
		return j, notRun(http.StatusServiceUnavailable, "ending", elsewhereWait)
	}
	if !g.gate.takes(j.priority, cfg.LeastUrgent()) {
		return j, notRun(http.StatusServiceUnavailable, "entryOverloaded", elsewhereWait)
	}
	body, no := exchange.ReadBody(w, r, exchange.BodyLimits{Bytes: cfg.MaxBodyBytes})
	if no != nil {
		return j, no
	}
	j.body, j.header = body, exchange.EndToEnd(r.Header)
	j.pool = g.belief.pool(j.route.Choose(j.ID))
	j.ask = place.Request{Engine: j.route.Engine, Prompt: j.PromptTokens, Blocks: j.Parts}
	j.pool.mu.Lock()
	j.ask.LatencySensitive = j.pool.tightMs > 0 && j.route.ITLTargetMs <= j.pool.tightMs
	j.pool.lowest = max(j.pool.lowest, j.priority)
	j.ask.Urgent = j.priority < j.pool.lowest
	j.pool.retries.Request(now)
	j.pool.mu.Unlock()
	return j, nil
}

// unknown refuses a route or key that the configuration lacks. A configuration
// that has not been confirmed lately may be an old one.
func (g *Gateway) unknown(status int, reason string) *exchange.Failure {
	if g.belief.configAge() > staleConfig {
		return notRun(http.StatusServiceUnavailable, reason+"StaleConfig", unknownWait)
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

// giveUp returns the final answer of a request without a server's answer: a
// request that has not run says so and when to come back.
func (g *Gateway) giveUp(j *job, reason string) *exchange.Failure {
	switch {
	case !j.ran:
		return notRun(http.StatusServiceUnavailable, reason, g.comeBack(j))
	case g.clock.Now() >= j.timeoutMs-leastLeft:
		return &exchange.Failure{Status: http.StatusGatewayTimeout, Code: reason}
	}
	return &exchange.Failure{Status: http.StatusBadGateway, Code: reason}
}
