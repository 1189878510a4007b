package entry

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/damaskport/damaskport/internal/caller/exchange"
	"github.com/damaskport/damaskport/internal/caller/openai"
	"github.com/damaskport/damaskport/internal/peer/dispatch"
)

const (
	// maxTrailingBytes bounds what is read after a stream's [DONE] to reach the
	// trailer.
	maxTrailingBytes  = 4 << 10
	maxErrorBodyBytes = 64 << 10
)

// readEnd reads the rest of the body after a stream's [DONE] and returns how the
// attempt ended according to the trailer, or EndFailed if there is none.
func (a *answer) readEnd() dispatch.End {
	if _, err := io.Copy(io.Discard, io.LimitReader(a.res.Body, maxTrailingBytes)); err != nil {
		return dispatch.EndFailed
	}
	if e := a.end(); e != "" {
		return e
	}
	return dispatch.EndFailed
}

// interruptedEnd returns how an attempt ended whose stream broke off before [DONE]:
// EndCancelled if ctx has ended, else what the trailer states, or EndFailed.
func (a *answer) interruptedEnd(ctx context.Context) dispatch.End {
	if ctx.Err() != nil {
		return dispatch.EndCancelled
	}
	if e := a.end(); e != "" && e != dispatch.EndComplete {
		return e
	}
	return dispatch.EndFailed
}

// forwardError forwards an engine's error response to the caller. It fails if part of
// the answer has been sent already, which happens when an attempt was resumed.
func (x *chat) forwardError(ans *answer) (dispatch.End, *exchange.Failure) {
	data, err := io.ReadAll(io.LimitReader(ans.res.Body, maxErrorBodyBytes))
	if err != nil || ans.end() != dispatch.EndComplete {
		return dispatch.EndFailed, nil
	}
	if x.caller.Progress().Begun {
		return dispatch.EndFailed, answerLost(x.j, "the model engine refused to continue the answer")
	}
	x.caller.Head(ans.res.StatusCode, http.Header{"Content-Type": {ans.res.Header.Get("Content-Type")}})
	_ = x.caller.Write(data, true)
	return dispatch.EndComplete, nil
}

// watchdog closes the body of an answer if reset is not called for the time after.
type watchdog struct {
	timer *time.Timer
	after time.Duration
}

// startWatchdog starts a watchdog on ans with the silence timeout of its sidecar.
func (e *Entry) startWatchdog(ans *answer) *watchdog {
	after := ans.peer.silenceTimeout().Duration()
	return &watchdog{after: after, timer: time.AfterFunc(after, func() { _ = ans.res.Body.Close() })}
}

func (g *watchdog) reset() { g.timer.Reset(g.after) }

func (g *watchdog) stop() { g.timer.Stop() }

// serveModels answers GET /v1/models with the models that the account may use.
func (e *Entry) serveModels(w http.ResponseWriter, r *http.Request) {
	q, done, failure := e.open(w, r)
	if failure != nil {
		e.fail(w, r, q, failure)
		return
	}
	defer done()
	seen := map[string]bool{}
	list := openai.NewModelList()
	for _, name := range q.account.Classes {
		c, _ := q.dir.Class(name)
		for _, pn := range c.Pools {
			p, ok := q.dir.Pool(pn)
			if ok && p.Model != "" && !seen[p.Model] {
				seen[p.Model] = true
				list = list.WithModel(p.Model)
			}
		}
	}
	openai.WriteJSON(w, list)
}
