package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/caller/openai"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/directory"
)

// query is one authenticated request of a caller.
type query struct {
	dir     *directory.Directory
	key     directory.Key
	account directory.Account
	arrived clock.Millis
	ctx     context.Context
	cancel  context.CancelCauseFunc
}

// active is the set of requests being served, so that those of a withdrawn
// key can be ended.
type active struct {
	mu  sync.Mutex
	all map[*query]struct{}
}

func (a *active) add(q *query) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.all[q] = struct{}{}
}

func (a *active) remove(q *query) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.all, q)
}

// withdraw ends the requests whose key d lists as withdrawn.
func (a *active) withdraw(d *directory.Directory) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for q := range a.all {
		if d.KeyWithdrawn(q.key.ID) {
			q.cancel(errWithdrawn)
		}
	}
}

// open authenticates a request. done must be called when it has been served.
func (e *Entry) open(_ http.ResponseWriter, r *http.Request) (q *query, done func(), failure *openai.Error) {
	d := e.store.Current()
	if !e.store.Ready() {
		return nil, nil, unavailable("the entry has no configuration yet")
	}
	key, account, failure := authenticate(d, r)
	if failure != nil {
		return nil, nil, failure
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	q = &query{dir: d, key: key, account: account, arrived: e.clock.Now(), ctx: ctx, cancel: cancel}
	e.active.add(q)
	// The key may have been withdrawn between the look-up and add.
	if e.store.Current().KeyWithdrawn(key.ID) {
		cancel(errWithdrawn)
	}
	return q, func() {
		e.active.remove(q)
		cancel(nil)
	}, nil
}

// readBody reads the body within the configured size and time.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *openai.Error) {
	if r.ContentLength > e.cfg.MaxBodyBytes {
		return nil, tooLarge(e.cfg.MaxBodyBytes)
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(e.cfg.BodyTimeoutMs.Duration()))
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.cfg.MaxBodyBytes))
	if err != nil {
		return nil, bodyError(r, len(data), err)
	}
	_ = rc.SetReadDeadline(time.Time{})
	return data, nil
}

func tooLarge(limit int64) *openai.Error {
	return &openai.Error{
		Status: http.StatusRequestEntityTooLarge, Type: openai.TypeInvalidRequest, Code: "bodyTooLarge", NotRun: true,
		Message: fmt.Sprintf("the body exceeds %d bytes", limit),
	}
}

func bodyError(r *http.Request, n int, err error) *openai.Error {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return tooLarge(large.Limit)
	}
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return &openai.Error{
			Status: http.StatusRequestTimeout, Type: openai.TypeInvalidRequest, Code: "bodyTimeout", NotRun: true,
			Message: fmt.Sprintf("the body was not received in time: %d bytes arrived", n),
		}
	}
	return openai.BadRequest("bodyCutShort", "", fmt.Sprintf("the body was cut short: %d of %d bytes arrived", n, r.ContentLength))
}

// class returns the class that the caller names, or the account's default.
func (q *query) class(name string) (directory.Class, *openai.Error) {
	if name == "" {
		name = q.account.Classes[0]
	}
	if !slices.Contains(q.account.Classes, name) {
		return directory.Class{}, forbidden("classNotAllowed", headerClass, "the client account may not use class "+quote(name))
	}
	c, _ := q.dir.Class(name)
	return c, nil
}

// classForPool returns the class that the caller names, or the account's first
// class that may use the pool.
func (q *query) classForPool(name string, pool directory.Pool) (directory.Class, *openai.Error) {
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

// fail answers a request that was not accepted.
func (e *Entry) fail(w http.ResponseWriter, r *http.Request, q *query, failure *openai.Error) {
	account := ""
	if q != nil {
		account = q.account.Name
	}
	e.metrics.refused(failure.Code)
	e.log.WithFields(logrus.Fields{"event": "refused", "method": r.Method, "account": account, "status": failure.Status, "code": failure.Code}).Info(failure.Message)
	openai.WriteError(w, failure)
}

// finished logs and counts a request that was served or given up.
func (e *Entry) finished(q *query, j *job, failure *openai.Error) {
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

func asError(err error) *openai.Error {
	var e *openai.Error
	if errors.As(err, &e) {
		return e
	}
	return openai.BadRequest("badRequest", "", err.Error())
}

func quote(s string) string {
	const longest = 80
	return strconv.Quote(s[:min(len(s), longest)])
}
