package entry

import (
	"context"
	"net/http"
	"slices"

	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/caller/exchange"
	"github.com/damaskport/damaskport/internal/caller/openai"
	"github.com/damaskport/damaskport/internal/peer/dispatch"
	"github.com/damaskport/damaskport/internal/state/directory"
)

// servePlain serves a request to a plain service, which is selected by the path.
func (e *Entry) servePlain(w http.ResponseWriter, r *http.Request) {
	q, done, failure := e.open(w, r)
	if failure != nil {
		e.fail(w, r, q, failure)
		return
	}
	defer done()
	j, failure := e.plainJob(q, w, r)
	if failure != nil {
		e.fail(w, r, q, failure)
		return
	}
	e.metrics.started(j.class.Name)
	exchange.Run(q.ctx, &plain{e: e, q: q, caller: exchange.NewCaller(w, openai.Codec{}, e.clock, j.arrived), j: j})
}

// plain serves one request to a plain service. It implements exchange.Steps.
type plain struct {
	e      *Entry
	q      *callerRequest
	caller *exchange.Caller
	j      *job
}

// Send dispatches the job.
func (x *plain) Send(ctx context.Context) (*answer, *exchange.Failure) {
	return x.e.dispatcher.run(ctx, x.j)
}

// Pass forwards the service's answer to the caller as it arrives.
func (x *plain) Pass(_ context.Context, ans *answer) error {
	defer ans.close()
	x.e.metrics.answered(x.j.class.Name, x.j.meetsTarget(x.e.clock.Now()))
	guard := x.e.startWatchdog(ans)
	defer guard.stop()
	h := exchange.EndToEnd(ans.res.Header)
	h.Del(dispatch.HeaderResult)
	h.Del(dispatch.HeaderAttempt)
	x.caller.Head(ans.res.StatusCode, h)
	if err := x.caller.Copy(ans.res.Body, guard.reset); err != nil {
		return err
	}
	if end := ans.end(); end != dispatch.EndComplete {
		return &attemptEndedError{end}
	}
	x.e.retries.success(x.j.pool.Name)
	x.e.finished(x.q, x.j, nil)
	return nil
}

// Again always returns a failure: a request whose answer has begun is not repeated.
func (x *plain) Again(_ context.Context, _ *answer, err error) *exchange.Failure {
	if errors.Is(err, exchange.ErrCallerLeft) {
		return answerLost(x.j, "the caller disconnected")
	}
	return answerLost(x.j, "the answer was interrupted")
}

// Fail reports a failure to the caller. If the answer has begun, the connection is
// aborted, so that the caller cannot take the answer for complete.
func (x *plain) Fail(f *exchange.Failure) {
	x.e.finished(x.q, x.j, f)
	if x.caller.Progress().Begun {
		x.caller.Cut()
	}
	x.caller.Fail(f)
}

// plainJob checks a request to a plain service and returns its job.
func (e *Entry) plainJob(q *callerRequest, w http.ResponseWriter, r *http.Request) (*job, *exchange.Failure) {
	route, ok := q.dir.Route(r.URL.Path)
	if !ok {
		return nil, &exchange.Failure{Status: http.StatusNotFound, Code: "noRoute", NotRun: true, Message: "no route is configured for " + quote(r.URL.Path)}
	}
	if len(route.Accounts) > 0 && !slices.Contains(route.Accounts, q.account.Name) {
		return nil, forbidden("routeNotAllowed", "", "the client account may not use this route")
	}
	pool, _ := q.dir.Pool(route.Pool)
	class, failure := q.classForPool(r.Header.Get(headerClass), pool)
	if failure != nil {
		return nil, failure
	}
	body, failure := e.readBody(q, w, r)
	if failure != nil {
		return nil, failure
	}
	header, path := forwardHeader(r.Header), forwardPath(r.URL)
	key := r.Header.Get(headerIdempotency)
	if forwardsKey(q.dir, header, path, body) || containsKey(q.dir, []byte(key)) || containsKey(q.dir, []byte(r.Method)) {
		return nil, exchange.BadRequest("keyInRequest", "", "the request contains an API key in a place that is forwarded to the backend server")
	}
	j := &job{
		id: e.newID(), account: q.account, class: class, keyID: q.key.ID, pool: pool, body: body,
		arrived: q.arrived, tried: map[*peer]bool{},
		request: dispatch.Request{
			Method: r.Method, Path: path, Header: header, Route: route.PathPrefix,
			Protected: protected(route, r.Method), IdempotencyKey: key,
		},
	}
	if j.request.Protected && key == "" {
		j.request.IdempotencyKey = e.issuedKey(j.id)
	}
	return j, nil
}

// issuedKey returns an idempotency key, which contains the current wall-clock time,
// for a protected request that came without one.
func (e *Entry) issuedKey(id string) string {
	return e.issueKey(e.clock.Wall(), id)
}

// protected reports whether requests with the method must run at most once on the
// route.
func protected(route directory.Route, method string) bool {
	return slices.Contains(route.ProtectedMethods, method)
}
