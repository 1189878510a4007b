package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/backend/direct"
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
	// drainWait is the Retry-After of an entry that is about to end: the caller
	// reaches another one at once.
	drainWait = 50 * clock.Millisecond
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
	// ran tells that a server may have run the request.
	ran     bool
	counted bool
}

// refusal is the gateway's own final answer.
type refusal struct {
	status     int
	reason     string
	retryAfter clock.Millis
}

// ServeHTTP answers one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	j, no := g.admit(w, r)
	if no != nil {
		g.refuse(w, j, no)
		return
	}
	g.metrics.started(j)
	ctx, cancel := context.WithDeadlineCause(context.WithoutCancel(r.Context()), g.at(j.timeoutMs), errTimeout)
	defer cancel()
	if j.route.Kind != routing.KindProtected {
		// A protected request runs to its end, so that its outcome is certain.
		stop := context.AfterFunc(r.Context(), cancel)
		defer stop()
	}
	if j.route.Kind == routing.KindStream {
		g.stream(ctx, w, j)
		return
	}
	g.plain(ctx, w, j)
}

// admit authenticates and classifies a request, and reads its body.
func (g *Gateway) admit(w http.ResponseWriter, r *http.Request) (*job, *refusal) {
	now := g.clock.Now()
	j := &job{Call: g.codec.Call(r.Header), r: r, arrivedMs: now}
	j.log = g.log.WithField("request", j.ID)
	cfg := g.belief.config()
	if cfg == nil {
		return j, &refusal{http.StatusServiceUnavailable, "noConfig", unknownWait}
	}
	j.cfg = cfg
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if j.route = cfg.Match(r.Host, path); j.route == nil {
		return j, g.unknown(http.StatusNotFound, "noRoute")
	}
	j.priority = cfg.Urgency(nil, j.route)
	if cfg.KeysNeeded() && !j.route.Public {
		a := cfg.ByKey(j.Key)
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
		return j, &refusal{http.StatusServiceUnavailable, "ending", drainWait}
	}
	if no := j.readBody(w); no != nil {
		return j, no
	}
	j.header = direct.EndToEnd(r.Header)
	j.pool = g.belief.pool(j.route.Choose(j.ID))
	j.ask = place.Request{Engine: j.route.Engine, Prompt: j.PromptTokens, Parts: j.Parts}
	j.pool.mu.Lock()
	j.ask.Tight = j.pool.tightMs > 0 && j.route.PauseMs <= j.pool.tightMs
	j.pool.retries.Request(now)
	j.pool.mu.Unlock()
	return j, nil
}

// unknown refuses a route or key that the configuration lacks. A configuration
// that has not been confirmed lately may be an old one.
func (g *Gateway) unknown(status int, reason string) *refusal {
	if g.belief.configAge() > staleConfig {
		return &refusal{http.StatusServiceUnavailable, reason + "StaleConfig", unknownWait}
	}
	return &refusal{status, reason, 0}
}

func (j *job) readBody(w http.ResponseWriter) *refusal {
	body := j.r.Body
	if j.cfg.MaxBodyBytes > 0 {
		body = http.MaxBytesReader(w, body, j.cfg.MaxBodyBytes)
	}
	if n := j.r.ContentLength; n > 0 && (j.cfg.MaxBodyBytes <= 0 || n <= j.cfg.MaxBodyBytes) {
		j.body = make([]byte, n)
		if _, err := io.ReadFull(body, j.body); err != nil {
			return &refusal{http.StatusBadRequest, "bodyCut", 0}
		}
		// The reader finds the end now, so that the server watches for the
		// caller's leaving.
		_, _ = body.Read(make([]byte, 1))
		return nil
	}
	data, err := io.ReadAll(body)
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		return &refusal{http.StatusRequestEntityTooLarge, "bodyTooLarge", 0}
	}
	if err != nil {
		return &refusal{http.StatusBadRequest, "bodyCut", 0}
	}
	j.body = data
	return nil
}

// refuse gives the gateway's own answer.
func (g *Gateway) refuse(w http.ResponseWriter, j *job, no *refusal) {
	f := logrus.Fields{"event": "refused", "status": no.status, "reason": no.reason, "retryAfterMs": int64(no.retryAfter), "sends": j.sends, "tookMs": int64(g.clock.Now() - j.arrivedMs)}
	if j.route != nil {
		f["route"] = j.route.Name
	}
	if j.cfg != nil {
		f["config"] = j.cfg.Version
	}
	level := logrus.InfoLevel
	if no.status >= http.StatusInternalServerError {
		level = logrus.WarnLevel
	}
	j.log.WithFields(f).Log(level)
	g.metrics.refused(j, no)
	g.codec.Refuse(w.Header(), j.ID, no.retryAfter)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	w.WriteHeader(no.status)
	_, _ = io.WriteString(w, `{"error":"`+no.reason+`"}`)
}

// giveUp returns the final answer of a request without a server's answer: a
// request that has not run says so and when to come back.
func (g *Gateway) giveUp(j *job, reason string) *refusal {
	switch {
	case !j.ran:
		return &refusal{http.StatusServiceUnavailable, reason, busyWait}
	case g.clock.Now() >= j.timeoutMs-leastLeft:
		return &refusal{http.StatusGatewayTimeout, reason, 0}
	}
	return &refusal{http.StatusBadGateway, reason, 0}
}
