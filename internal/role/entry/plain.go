package entry

import (
	"io"
	"net/http"
	"slices"

	"github.com/damaskport/damaskport/internal/caller/openai"
	"github.com/damaskport/damaskport/internal/peer/dispatch"
	"github.com/damaskport/damaskport/internal/state/directory"
)

const copyBytes = 16 << 10

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
	ans, failure := e.dispatcher.run(q.ctx, j)
	if failure != nil {
		e.finished(q, j, failure)
		openai.WriteError(w, failure)
		return
	}
	defer ans.close()
	e.metrics.answered(j.class.Name, j.onTime(e.clock.Now()))
	e.copyPlain(w, q, j, ans)
}

// plainJob builds the job of a request to a plain service.
func (e *Entry) plainJob(q *query, w http.ResponseWriter, r *http.Request) (*job, *openai.Error) {
	route, ok := q.dir.Route(r.URL.Path)
	if !ok {
		return nil, &openai.Error{Status: http.StatusNotFound, Type: openai.TypeInvalidRequest, Code: "noRoute", NotRun: true, Message: "no route is configured for " + quote(r.URL.Path)}
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
		return nil, openai.BadRequest("keyInRequest", "", "the request holds a key in a place that the backend server would see")
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

// copyPlain streams the service's answer. An answer that breaks off is cut, so
// that it never looks whole.
func (e *Entry) copyPlain(w http.ResponseWriter, q *query, j *job, ans *answer) {
	guard := e.progressGuard(ans)
	defer guard.stop()
	h := w.Header()
	for k, v := range ans.res.Header {
		if !isInternal(k) {
			h[k] = v
		}
	}
	w.WriteHeader(ans.res.StatusCode)
	rc := http.NewResponseController(w)
	buf := make([]byte, copyBytes)
	for {
		n, err := ans.res.Body.Read(buf)
		guard.alive()
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				e.finished(q, j, lost(j, "the caller has left"))
				return
			}
			_ = rc.Flush()
		}
		if err == io.EOF && ans.end() == dispatch.EndComplete {
			e.retries.success(j.pool.Name)
			e.finished(q, j, nil)
			return
		}
		if err != nil {
			e.finished(q, j, lost(j, "the answer was interrupted"))
			panic(http.ErrAbortHandler)
		}
	}
}

// isInternal reports whether a header belongs to the data connection only.
func isInternal(name string) bool {
	switch name {
	case dispatch.HeaderResult, dispatch.HeaderAttempt, "Trailer", "Connection", "Transfer-Encoding":
		return true
	}
	return false
}
