package entry

import (
	"context"
	"net/http"

	"github.com/damaskport/damaskport/internal/backend/engine"
	"github.com/damaskport/damaskport/internal/caller/openai"
	"github.com/damaskport/damaskport/internal/peer/dispatch"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// maxAttempts bounds the failed attempts of one chat completion.
const maxAttempts = 12

// serveChat answers POST /v1/chat/completions.
func (e *Entry) serveChat(w http.ResponseWriter, r *http.Request) {
	q, done, failure := e.open(w, r)
	if failure != nil {
		e.fail(w, r, q, failure)
		return
	}
	defer done()
	body, failure := e.readBody(w, r)
	if failure != nil {
		e.fail(w, r, q, failure)
		return
	}
	j, req, failure := e.chatJob(q, r, body)
	if failure != nil {
		e.fail(w, r, q, failure)
		return
	}
	e.metrics.started(j.class.Name)
	x := &exchange{e: e, w: w, rc: http.NewResponseController(w), j: j, req: req}
	failure = x.run(q.ctx)
	e.finished(q, j, failure)
	if failure != nil {
		x.fail(failure)
	}
}

// chatJob builds the job of a chat completion.
func (e *Entry) chatJob(q *query, r *http.Request, body []byte) (*job, openai.Request, *openai.Error) {
	req, err := openai.Decode(body)
	if err != nil {
		return nil, req, asError(err)
	}
	if carriesKey(q.dir, nil, "", body) {
		return nil, req, openai.BadRequest("keyInRequest", "", "the body holds a key, which no backend server may see")
	}
	class, failure := q.class(r.Header.Get(headerClass))
	if failure != nil {
		return nil, req, failure
	}
	pool, ok := q.dir.PoolByModel(req.Model, class.Pools)
	if !ok {
		return nil, req, &openai.Error{
			Status: http.StatusNotFound, Type: openai.TypeInvalidRequest, Code: "modelNotFound", Param: "model", NotRun: true,
			Message: "the model " + quote(req.Model) + " does not exist or class " + quote(class.Name) + " may not use it",
		}
	}
	return &job{
		id: e.newID(), account: q.account, class: class, keyID: q.key.ID, pool: pool, body: body,
		prefixes: req.Prefixes, prompt: req.PromptTokens, maxTokens: req.MaxTokens,
		arrived: q.arrived, preemptible: class.Resume, tried: map[*peer]bool{},
	}, req, nil
}

// exchange is the answering of one chat completion over one or more attempts.
type exchange struct {
	e   *Entry
	w   http.ResponseWriter
	rc  *http.ResponseController
	j   *job
	req openai.Request
	// streaming is true once the head of a streamed answer is out.
	streaming bool
	whole     *openai.Assembler
	rewrite   openai.Continuation
	// firstAt is when the first token arrived; 0 is not yet.
	firstAt clock.Millis
	// attemptAt and attemptTokens tell the pace of the present attempt.
	attemptAt     clock.Millis
	attemptTokens int
	// interruptedAt is when the present interruption began; 0 is none.
	interruptedAt clock.Millis
}

// run carries the job through its attempts until the answer is complete.
func (x *exchange) run(ctx context.Context) *openai.Error {
	for x.j.failures < maxAttempts {
		clear(x.j.tried)
		ans, failure := x.e.dispatcher.run(ctx, x.j)
		if failure != nil && x.waitToResume(ctx, failure) {
			continue
		}
		if failure != nil {
			return failure
		}
		x.interruptedAt = 0
		end, failure := x.relay(ctx, ans)
		ans.close()
		x.notePace(ans.peer)
		if failure != nil {
			return failure
		}
		if end == dispatch.EndComplete {
			x.e.retries.success(x.j.pool.Name)
			return nil
		}
		if failure := x.again(ctx, ans, end); failure != nil {
			return failure
		}
	}
	return lost(x.j, "the answer was interrupted too often")
}

// relay passes one attempt's answer to the caller and returns its end.
func (x *exchange) relay(ctx context.Context, ans *answer) (dispatch.End, *openai.Error) {
	if ans.res.StatusCode != http.StatusOK {
		return x.passError(ans)
	}
	guard := x.e.progressGuard(ans)
	defer guard.stop()
	events := engine.NewReader(ans.res.Body)
	x.rewrite.Start(x.j.delivered)
	for {
		ev, err := events.Next()
		if err != nil {
			return ans.broken(ctx), nil
		}
		guard.alive()
		if ev.Done {
			if end := ans.drain(); end != dispatch.EndComplete {
				return end, nil
			}
			return dispatch.EndComplete, x.finish()
		}
		if failure := x.pass(ev, events.Buffered() == 0); failure != nil {
			return dispatch.EndCancelled, failure
		}
	}
}

// pass hands one event to the caller, or to the whole answer being assembled.
func (x *exchange) pass(ev engine.Event, flush bool) *openai.Error {
	data, keep := x.rewrite.Rewrite(ev.Data, ev.Tokens)
	if !keep {
		return nil
	}
	if ev.Tokens > 0 {
		x.noteToken(ev.Tokens)
	}
	if !x.req.Stream {
		if x.whole == nil {
			x.whole = openai.NewAssembler()
		}
		if err := x.whole.Add(data); err != nil {
			return internalError(err)
		}
		return nil
	}
	if ev.Usage != nil && ev.Tokens == 0 && !ev.Finished && !x.req.IncludeUsage {
		return nil
	}
	x.begin()
	if err := openai.WriteEvent(x.w, data); err != nil {
		return lost(x.j, "the caller has left")
	}
	if flush {
		_ = x.rc.Flush()
	}
	return nil
}

// noteToken counts tokens that are about to be delivered.
func (x *exchange) noteToken(n int) {
	now := x.e.clock.Now()
	if x.firstAt == 0 {
		x.firstAt = now
		x.e.metrics.firstToken(x.j.class.Name, now-x.j.arrived)
		x.e.metrics.answered(x.j.class.Name, x.j.onTime(now))
	}
	if x.attemptTokens == 0 {
		x.attemptAt = now
	}
	x.attemptTokens += n
	x.j.delivered += n
}

// notePace tells the router the time per token of the attempt that has ended.
func (x *exchange) notePace(p *peer) {
	const fewest = 8 // tokens below which the pace says little
	if x.attemptTokens >= fewest {
		took := x.e.clock.Now() - x.attemptAt
		x.e.router.observe(p, float64(took)/float64(x.attemptTokens-1))
	}
	x.attemptTokens = 0
}

func (x *exchange) begin() {
	if x.streaming {
		return
	}
	x.streaming = true
	h := x.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	x.w.WriteHeader(http.StatusOK)
}

// finish ends a complete answer.
func (x *exchange) finish() *openai.Error {
	if x.req.Stream {
		x.begin()
		_ = openai.WriteEvent(x.w, []byte("[DONE]"))
		return nil
	}
	if x.whole == nil {
		return lost(x.j, "the answer was empty")
	}
	data, err := x.whole.Answer()
	if err != nil {
		return internalError(err)
	}
	x.w.Header().Set("Content-Type", "application/json")
	_, _ = x.w.Write(data)
	return nil
}

// fail ends the exchange with an error. Inside a stream the error is an event,
// and the connection is cut so that the end never looks like a clean one.
func (x *exchange) fail(failure *openai.Error) {
	if !x.streaming {
		openai.WriteError(x.w, failure)
		return
	}
	_ = openai.WriteEvent(x.w, openai.EncodeError(failure))
	_ = x.rc.Flush()
	panic(http.ErrAbortHandler)
}
