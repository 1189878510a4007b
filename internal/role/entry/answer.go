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
	maxDrainBytes     = 4 << 10
	maxErrorBodyBytes = 64 << 10
)

// drain reads what follows the end mark and returns the attempt's end.
func (a *answer) drain() dispatch.End {
	if _, err := io.Copy(io.Discard, io.LimitReader(a.res.Body, maxDrainBytes)); err != nil {
		return dispatch.EndFailed
	}
	if e := a.end(); e != "" {
		return e
	}
	return dispatch.EndFailed
}

// broken returns the end of an attempt whose stream stopped before its end mark.
func (a *answer) broken(ctx context.Context) dispatch.End {
	if ctx.Err() != nil {
		return dispatch.EndCancelled
	}
	if e := a.end(); e != "" && e != dispatch.EndComplete {
		return e
	}
	return dispatch.EndFailed
}

// passError hands an engine's error answer to the caller.
func (x *chat) passError(ans *answer) (dispatch.End, *exchange.Failure) {
	data, err := io.ReadAll(io.LimitReader(ans.res.Body, maxErrorBodyBytes))
	if err != nil || ans.end() != dispatch.EndComplete {
		return dispatch.EndFailed, nil
	}
	if x.caller.Progress().Begun {
		return dispatch.EndFailed, lost(x.j, "the model engine refused to continue the answer")
	}
	x.caller.Head(ans.res.StatusCode, http.Header{"Content-Type": {ans.res.Header.Get("Content-Type")}})
	_ = x.caller.Write(data, true)
	return dispatch.EndComplete, nil
}

// guard closes an answer that makes no progress.
type guard struct {
	timer *time.Timer
	after time.Duration
}

// progressGuard watches ans.
func (e *Entry) progressGuard(ans *answer) *guard {
	after := ans.peer.silenceTimeout().Duration()
	return &guard{after: after, timer: time.AfterFunc(after, func() { _ = ans.res.Body.Close() })}
}

func (g *guard) alive() { g.timer.Reset(g.after) }

func (g *guard) stop() { g.timer.Stop() }

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
