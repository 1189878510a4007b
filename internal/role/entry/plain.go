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

// servePlain answers a request to a plain service under its path prefix.
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

// plain is the answering of one request to a plain service. It implements
// exchange.Steps.
type plain struct {
	e      *Entry
	q      *query
	caller *exchange.Caller
	j      *job
}

// Send brings the job to a sidecar.
func (x *plain) Send(ctx context.Context) (*answer, *exchange.Failure) {
	return x.e.dispatcher.run(ctx, x.j)
}

// Pass hands the service's answer over as it arrives.
func (x *plain) Pass(_ context.Context, ans *answer) error {
	defer ans.close()
	x.e.metrics.answered(x.j.class.Name, x.j.onTime(x.e.clock.Now()))
	guard := x.e.progressGuard(ans)
	defer guard.stop()
	h := exchange.EndToEnd(ans.res.Header)
	h.Del(dispatch.HeaderResult)
	h.Del(dispatch.HeaderAttempt)
	x.caller.Head(ans.res.StatusCode, h)
	if err := x.caller.Copy(ans.res.Body, guard.alive); err != nil {
		return err
	}
	if end := ans.end(); end != dispatch.EndComplete {
		return &endedError{end}
	}
	x.e.retries.success(x.j.pool.Name)
	x.e.finished(x.q, x.j, nil)
	return nil
}

// Again never sends a request again whose answer has begun.
func (x *plain) Again(_ context.Context, _ *answer, err error) *exchange.Failure {
	if errors.Is(err, exchange.ErrCallerLeft) {
		return lost(x.j, "the caller has left")
	}
	return lost(x.j, "the answer was interrupted")
}

// Fail ends the exchange. An answer that has begun is cut, so that it never
// looks whole.
func (x *plain) Fail(f *exchange.Failure) {
	x.e.finished(x.q, x.j, f)
	if x.caller.Progress().Begun {
		x.caller.Cut()
	}
	x.caller.Fail(f)
}

// plainJob builds the job of a request to a plain service.
func (e *Entry) plainJob(q *query, w http.ResponseWriter, r *http.Request) (*job, *exchange.Failure) {
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
	body, failure := e.readBody(w, r)
	if failure != nil {
		return nil, failure
	}
	header, path := forwardHeader(r.Header), forwardPath(r.URL)
	key := r.Header.Get(headerIdempotency)
	if carriesKey(q.dir, header, path, body) || holdsKey(q.dir, []byte(key)) || holdsKey(q.dir, []byte(r.Method)) {
		return nil, exchange.BadRequest("keyInRequest", "", "the request holds a key in a place that the backend server would see")
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

// issuedKey returns the idempotency key for a protected request that came
// without one; it carries its time.
func (e *Entry) issuedKey(id string) string {
	return e.issueKey(e.clock.Wall(), id)
}

func protected(route directory.Route, method string) bool {
	return slices.Contains(route.ProtectedMethods, method)
}
