package gateway

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/caller/exchange"
	"github.com/damaskport/damaskport/internal/policy/budget"
	"github.com/damaskport/damaskport/internal/policy/place"
	"github.com/damaskport/damaskport/internal/policy/quarantine"
	"github.com/damaskport/damaskport/internal/policy/retry"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/routing"
)

const (
	// noConfigRetryAfter is the Retry-After of a request that cannot be judged
	// yet because the configuration is missing or stale. Reading the
	// configuration takes less time.
	noConfigRetryAfter = 500 * clock.Millisecond
	// noServerRetryAfter is the Retry-After when no server could accept a
	// request, unless all servers have asked for a back-off.
	noServerRetryAfter = 700 * clock.Millisecond
	// otherGatewayRetryAfter is the Retry-After of a gateway that is about to
	// exit or is overloaded: the caller can retry at another gateway at once.
	otherGatewayRetryAfter = 50 * clock.Millisecond
	// staleConfigAge is the age, since the store last confirmed the
	// configuration, above which a route or key that it lacks may exist in a
	// newer one: changes take effect within 2 s.
	staleConfigAge = 2 * clock.Second
	// defaultDeadline is the time limit of a request whose caller sets no
	// deadline. The route's timeout can only shorten it.
	defaultDeadline = 60 * clock.Second
	// minTimeLeft is the minimum time until the timeout that a request needs to
	// be sent to a server.
	minTimeLeft = 10 * clock.Millisecond
	// writeGrace is the time after its timeout in which the caller of a request has to read
	// what was answered by then.
	writeGrace = clock.Second
)

// job is one request of a caller that is being served.
type job struct {
	Call
	r       *http.Request
	caller  *exchange.Caller
	cfg     *routing.Config
	route   *routing.Route
	account string
	// priority is the combined rank of the account's and the route's priorities;
	// 0 is the most urgent.
	priority int
	pool     *pool
	placeReq place.Request
	body     []byte
	held     budget.Request // memory of the request, its body and the buffered answer
	header   http.Header    // the headers to forward
	log      logrus.FieldLogger

	arrivedMs clock.Millis
	allowedMs clock.Millis // the shorter one of the caller's deadline and the route's timeout
	timeoutMs clock.Millis // monotonic time at which allowedMs has passed since the arrival

	sends   int      // attempts that reached a server
	exclude []string // ids of servers not to try again
	// limitedSends is the number of attempts that were withheld, for lack of a valid permit or
	// because the request is suspected. limitedMs is when the request was first denied one; 0 if it was not.
	limitedSends int
	limitedMs    clock.Millis
	// inquiry is the request's part in the end of servers.
	inquiry inquiry
	// stream is the software version to which the stream is bound.
	stream streamVersion
	// departure drops the request when its caller leaves.
	departure *exchange.Departure
	// ending decides between the beginning of the answer and the end of the process: a
	// request whose answer has begun may continue until the exit.
	ending exchange.Latch
	// beside are the attempts of a safe request that run beside each other.
	beside sendsBeside
	// mayHaveRun is set if a server may have run the request.
	mayHaveRun bool
	// usageCounted is set once the request is counted in the usage of its
	// account.
	usageCounted bool
}

// resumes reports whether the caller has part of the answer, or may have.
func (j *job) resumes() bool { return j.mayHaveRun || j.ResumesAt != "" }

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.tooManyConns() || g.overloaded() {
		w.Header().Set("Connection", "close")
	}
	j, failure := g.admit(w, r)
	defer j.held.Release()
	j.caller = exchange.NewCaller(w, callerCodec{g.codec, j.ID}, g.clock, j.arrivedMs)
	j.caller.LimitWrites(g.wallTime(cmp.Or(j.timeoutMs, j.arrivedMs+defaultDeadline) + writeGrace))
	if failure != nil {
		g.fail(j, failure)
		return
	}
	g.metrics.started(j)
	g.serving.Store(j, nil)
	defer g.serving.Delete(j)
	defer g.suspects.release(j)
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(r.Context()))
	defer cancel(nil)
	ctx, stopTimeout := context.WithDeadlineCause(ctx, g.wallTime(j.timeoutMs), errTimeout)
	defer stopTimeout()
	// A protected request that a server may have is completed when its caller disconnects,
	// so that its outcome is known.
	log := j.log
	j.departure = exchange.NewDeparture(j.route.Kind == routing.KindProtected, func() {
		if !g.cut.Load() {
			log.WithField("event", "callerLeft").Info()
		}
		cancel(exchange.ErrCallerLeft)
	})
	stopDeparture := context.AfterFunc(r.Context(), j.departure.Left)
	defer stopDeparture()
	// A request whose answer has not begun is abandoned shortly before the
	// process exits, while there is time to send the caller a response.
	stopEnding := context.AfterFunc(g.ending, func() { j.ending.GiveUp(func() { cancel(errEnding) }) })
	defer stopEnding()
	if j.route.Kind == routing.KindStream {
		defer g.streams.end(j)
		exchange.Run(ctx, &relay{g: g, j: j})
		return
	}
	defer g.endKept(ctx, j)
	exchange.Run(ctx, &plain{g: g, j: j})
}

// admit authenticates and classifies a request and reads its body. The failure is
// the response if the request cannot be served; nil otherwise.
func (g *Gateway) admit(w http.ResponseWriter, r *http.Request) (*job, *exchange.Failure) {
	now := g.clock.Now()
	j := &job{Call: g.codec.Call(r.Header), r: r, arrivedMs: now, held: g.held.Request()}
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
	var accountHomes []string
	if cfg.KeysNeeded() && !j.route.Public {
		a := cfg.AccountByKey(j.Key)
		if a == nil {
			return j, g.notInConfig(http.StatusUnauthorized, "unknownKey")
		}
		j.account = a.Name
		j.priority = cfg.Urgency(a, j.route)
		accountHomes = a.Homes
	}
	j.allowedMs = cmp.Or(max(j.DeadlineMs, 0), defaultDeadline)
	if t := j.route.TimeoutMs; t > 0 {
		j.allowedMs = min(j.allowedMs, t)
	}
	j.timeoutMs = now.AddFull(j.allowedMs)
	if g.mayExitBefore(j, now) {
		return j, notRun(http.StatusServiceUnavailable, "ending", otherGatewayRetryAfter)
	}
	if !g.gate.admits(j.priority, cfg.LeastUrgent()) {
		return j, notRun(http.StatusServiceUnavailable, "entryOverloaded", otherGatewayRetryAfter)
	}
	if !j.held.For(budget.Serve).Take(budget.RequestBytes) {
		return j, exchange.MemoryFull()
	}
	body, failure := exchange.ReadBody(w, r, exchange.BodyLimits{
		Bytes: g.maxBody(cfg), Time: max(j.timeoutMs-g.clock.Now(), 1).Duration(), Memory: j.held.For(budget.Body),
	})
	if failure != nil {
		return j, failure
	}
	j.body, j.header = body, exchange.EndToEnd(r.Header)
	id := quarantine.Request{Account: j.account, Method: r.Method, Host: r.Host, Target: r.RequestURI, Body: body}.ID()
	j.inquiry.subjects = append(promptParts(j.Blocks), id)
	j.pool = g.fleet.pool(j.route.Choose(j.streamOrigin()))
	j.placeReq = place.Request{
		Engine: j.route.Engine, Zones: g.homeZones(j.route.Homes, accountHomes), Prompt: j.PromptTokens, Blocks: j.Blocks, DeadlineMs: j.timeoutMs,
	}
	j.pool.mu.Lock()
	if j.route.Engine {
		j.placeReq.AnswerEvents = j.pool.lengths.Events(j.route.Name, j.ExpectedTokens)
	}
	j.placeReq.LatencySensitive = j.pool.sensitiveITLMs > 0 && j.route.ITLTargetMs <= j.pool.sensitiveITLMs
	j.pool.leastUrgent = max(j.pool.leastUrgent, j.priority)
	j.placeReq.Urgent = j.priority < j.pool.leastUrgent
	j.pool.retries.Request(now)
	j.pool.mu.Unlock()
	return j, nil
}

// maxBody returns the most bytes that a body may have: one for which there never is memory is refused for
// good. 0 means no limit.
func (g *Gateway) maxBody(cfg *routing.Config) int64 {
	most := g.held.Limit(budget.Body)
	if most == 0 || cfg.MaxBodyBytes > 0 {
		return min(cmp.Or(cfg.MaxBodyBytes, most), cmp.Or(most, cfg.MaxBodyBytes))
	}
	return most
}

// notInConfig returns the refusal of a request whose route or key is not in the
// configuration. If the store has not confirmed the configuration within
// staleConfigAge, a newer one may contain it, and the caller is told to retry.
func (g *Gateway) notInConfig(status int, reason string) *exchange.Failure {
	if g.fleet.configAge() > staleConfigAge {
		return notRun(http.StatusServiceUnavailable, reason+"StaleConfig", noConfigRetryAfter)
	}
	return notRun(status, reason, 0)
}

// notRun returns the failure of a request that no server has run; retryAfter is 0
// for none.
func notRun(status int, code string, retryAfter clock.Millis) *exchange.Failure {
	return &exchange.Failure{Status: status, Code: code, NotRun: true, RetryAfterMs: retryAfter}
}

// callerCodec writes the gateway's own error responses to one caller. It
// implements exchange.Codec.
type callerCodec struct {
	codec Codec
	id    string // request id of the caller's request
}

// Refuse writes f as the response, with its code in a JSON body.
func (c callerCodec) Refuse(w http.ResponseWriter, f *exchange.Failure) {
	h := w.Header()
	c.codec.Refuse(h, c.id, f.RetryAfterMs)
	h.Set("Content-Type", "application/json")
	w.WriteHeader(f.Status)
	_, _ = io.WriteString(w, `{"error":"`+f.Code+`"}`)
}

// Break writes nothing: no event of a stream is defined to report a failure.
func (callerCodec) Break(io.Writer, *exchange.Failure) {}

// fail logs and counts f and sends it as the response of a request that got no
// answer from a server. If part of an answer has been sent, fail cuts the
// caller's connection and does not return.
func (g *Gateway) fail(j *job, f *exchange.Failure) {
	if j.caller.Progress().Begun {
		g.interrupted(j, f.Code)
		j.caller.Fail(f)
	}
	now := g.clock.Now()
	if j.resumes() && j.timeoutMs > 0 {
		f = f.WithRetryAfter(retry.ReturnAfter(f.RetryAfterMs, j.timeoutMs-now))
	}
	fields := logrus.Fields{
		"event": "refused", "status": f.Status, "reason": f.Code, "retryAfterMs": int64(f.RetryAfterMs), "sends": j.sends,
		"tookMs": int64(now - j.arrivedMs),
	}
	if j.timeoutMs > 0 {
		fields["leftMs"] = int64(j.timeoutMs - now)
	}
	if j.ResumesAt != "" {
		fields["resumes"] = j.Origin
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

// abandon returns the final failure of a request that got no answer from a
// server. If no server can have run the request, the failure says so and has a
// Retry-After.
func (g *Gateway) abandon(j *job, reason string) *exchange.Failure {
	if j.departure.Dropped() {
		reason = "callerLeft"
	}
	switch {
	case !j.mayHaveRun:
		return notRun(http.StatusServiceUnavailable, reason, g.retryAfter(j))
	case g.clock.Now() >= j.timeoutMs:
		return &exchange.Failure{Status: http.StatusGatewayTimeout, Code: reason}
	}
	return &exchange.Failure{Status: http.StatusBadGateway, Code: reason}
}
