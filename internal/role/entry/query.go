package entry

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/caller/exchange"
	"github.com/damaskport/damaskport/internal/caller/openai"
	"github.com/damaskport/damaskport/internal/policy/budget"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/directory"
)

// callerRequest is an authenticated request of a caller. Cancelling ctx ends it.
type callerRequest struct {
	dir     *directory.Directory // the configuration when the request arrived
	key     directory.Key
	account directory.Account
	arrived clock.Millis
	ctx     context.Context
	cancel  context.CancelCauseFunc
	held    budget.Request // memory of the request and its body
}

// activeRequests is the set of requests being served. It serves to end those whose
// API key is withdrawn.
type activeRequests struct {
	mu  sync.Mutex
	all map[*callerRequest]struct{}
}

func (a *activeRequests) add(q *callerRequest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.all[q] = struct{}{}
}

func (a *activeRequests) remove(q *callerRequest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.all, q)
}

// withdrawGrace is how long a request may go on after its API key was withdrawn. The
// sidecar receives the change within one message delay and ends the attempt itself;
// only the sidecar knows whether the answer was complete, and so whether to bill it.
const withdrawGrace = 300 * time.Millisecond

// withdraw ends, after withdrawGrace, the requests whose API key d lists as
// withdrawn.
func (a *activeRequests) withdraw(d *directory.Directory) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for q := range a.all {
		if d.KeyWithdrawn(q.key.ID) {
			time.AfterFunc(withdrawGrace, func() { q.cancel(errWithdrawn) })
		}
	}
}

// open authenticates a request and registers it as active. The caller must call done
// when the request has been served.
func (e *Entry) open(_ http.ResponseWriter, r *http.Request) (q *callerRequest, done func(), failure *exchange.Failure) {
	d := e.store.Current()
	if !e.store.Ready() {
		return nil, nil, unavailable("the entry has no configuration yet")
	}
	key, account, failure := authenticate(d, r)
	if failure != nil {
		return nil, nil, failure
	}
	held := e.held.Request()
	if !held.For(budget.Serve).Take(budget.RequestBytes) {
		return nil, nil, exchange.MemoryFull()
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	q = &callerRequest{dir: d, key: key, account: account, arrived: e.clock.Now(), ctx: ctx, cancel: cancel, held: held}
	e.active.add(q)
	// The key may have been withdrawn after authenticate and before add.
	if e.store.Current().KeyWithdrawn(key.ID) {
		cancel(errWithdrawn)
	}
	return q, func() {
		q.held.Release()
		e.active.remove(q)
		cancel(nil)
	}, nil
}

// readBody reads the request body within the configured size and time limits.
func (e *Entry) readBody(q *callerRequest, w http.ResponseWriter, r *http.Request) ([]byte, *exchange.Failure) {
	return exchange.ReadBody(w, r, exchange.BodyLimits{
		Bytes: e.cfg.MaxBodyBytes, Time: e.cfg.BodyTimeoutMs.Duration(), Memory: q.held.For(budget.Body),
	})
}

// class returns the class with the given name, or the first class of the account if
// name is empty.
func (q *callerRequest) class(name string) (directory.Class, *exchange.Failure) {
	if name == "" {
		name = q.account.Classes[0]
	}
	if !slices.Contains(q.account.Classes, name) {
		return directory.Class{}, forbidden("classNotAllowed", headerClass, "the client account may not use class "+quote(name))
	}
	c, _ := q.dir.Class(name)
	return c, nil
}

// classForPool returns the class with the given name, or the first class of the
// account that may use the pool if name is empty.
func (q *callerRequest) classForPool(name string, pool directory.Pool) (directory.Class, *exchange.Failure) {
	if name != "" {
		c, failure := q.class(name)
		if failure == nil && !slices.Contains(c.Pools, pool.Name) {
			failure = forbidden("classNotAllowed", headerClass, "class "+quote(name)+" may not use this route")
		}
		return c, failure
	}
	for _, n := range q.account.Classes {
		if c, ok := q.dir.Class(n); ok && slices.Contains(c.Pools, pool.Name) {
			return c, nil
		}
	}
	return directory.Class{}, forbidden("classNotAllowed", "", "no class of the client account may use this route")
}

// fail responds to a request that was rejected before it was started; q is nil if it
// was not authenticated.
func (e *Entry) fail(w http.ResponseWriter, r *http.Request, q *callerRequest, failure *exchange.Failure) {
	account := ""
	if q != nil {
		account = q.account.Name
	}
	e.metrics.refused(failure.Code)
	e.log.WithFields(logrus.Fields{"event": "refused", "method": r.Method, "account": account, "status": failure.Status, "code": failure.Code}).Info(failure.Message)
	openai.Codec{}.Refuse(w, failure)
}

// notAllowed returns a handler that responds with 405. It serves the methods of a
// path other than the allowed ones, which have their own handlers.
func (e *Entry) notAllowed(allowed ...string) http.HandlerFunc {
	list := strings.Join(allowed, ", ")
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Allow", list)
		e.fail(w, r, nil, &exchange.Failure{
			Status: http.StatusMethodNotAllowed, Code: "methodNotAllowed", NotRun: true,
			Message: r.Method + " is not allowed for " + quote(r.URL.Path) + "; allowed: " + list,
		})
	}
}

// finished logs and counts a started request when it ends; failure is nil if it was
// answered.
func (e *Entry) finished(q *callerRequest, j *job, failure *exchange.Failure) {
	took := e.clock.Now() - q.arrived
	code := "ok"
	if failure != nil {
		code = failure.Code
		if failure.Status == http.StatusTooManyRequests {
			e.metrics.overloaded(j.class.Name)
		}
	}
	e.metrics.finished(j.class.Name, code, took)
	e.log.WithFields(logrus.Fields{
		"event": "request", "request": j.id, "account": q.account.Name, "class": j.class.Name, "code": code,
		"tokens": j.delivered, "attempts": j.attempts, "ms": int64(took),
	}).Info("request finished")
}

// asFailure returns err as a *exchange.Failure; other errors count as a bad request.
func asFailure(err error) *exchange.Failure {
	var e *exchange.Failure
	if errors.As(err, &e) {
		return e
	}
	return exchange.BadRequest("badRequest", "", err.Error())
}

// quote quotes the first 80 bytes of s for an error message.
func quote(s string) string {
	const longest = 80
	return strconv.Quote(s[:min(len(s), longest)])
}
