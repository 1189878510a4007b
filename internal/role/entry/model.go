package entry

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/backend/engine"
	"github.com/damaskport/damaskport/internal/caller/exchange"
	"github.com/damaskport/damaskport/internal/caller/openai"
	"github.com/damaskport/damaskport/internal/peer/dispatch"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/stream/sse"
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
	exchange.Run(q.ctx, &chat{e: e, q: q, caller: exchange.NewCaller(w, openai.Codec{}, e.clock, j.arrived), j: j, req: req})
}

// chatJob builds the job of a chat completion.
func (e *Entry) chatJob(q *query, r *http.Request, body []byte) (*job, openai.Request, *exchange.Failure) {
	req, err := openai.Decode(body)
	if err != nil {
		return nil, req, asFailure(err)
	}
	if carriesKey(q.dir, nil, "", body) {
		return nil, req, exchange.BadRequest("keyInRequest", "", "the body holds a key, which no backend server may see")
	}
	class, failure := q.class(r.Header.Get(headerClass))
	if failure != nil {
		return nil, req, failure
	}
	pool, ok := q.dir.PoolByModel(req.Model, class.Pools)
	if !ok {
		return nil, req, &exchange.Failure{
			Status: http.StatusNotFound, Code: "modelNotFound", Param: "model", NotRun: true,
			Message: "the model " + quote(req.Model) + " does not exist or class " + quote(class.Name) + " may not use it",
		}
	}
	return &job{
		id: e.newID(), account: q.account, class: class, keyID: q.key.ID, pool: pool, body: body,
		prefixes: req.Prefixes, prompt: req.PromptTokens, maxTokens: req.MaxTokens,
		arrived: q.arrived, preemptible: class.Resume, tried: map[*peer]bool{}, request: dispatch.Request{Whole: !req.Stream},
	}, req, nil
}

// chat is the answering of one chat completion over one or more attempts. It
// implements exchange.Steps.
type chat struct {
	e       *Entry
	q       *query
	caller  *exchange.Caller
	j       *job
	req     openai.Request
	whole   *openai.Assembler
	rewrite openai.Continuation
	buf     []byte // of one event
	// firstAt is when the first token arrived; 0 is not yet.
	firstAt clock.Millis
	// attemptAt and attemptTokens tell the pace of the present attempt.
	attemptAt     clock.Millis
	attemptTokens int
	// interruptedAt is when the present interruption began; 0 is none.
	interruptedAt clock.Millis
}

// endedError is the end of an attempt before that of its answer.
type endedError struct{ end dispatch.End }

// Error returns the end.
func (e *endedError) Error() string { return "the attempt ended: " + string(e.end) }

// Send brings the job to a sidecar.
func (x *chat) Send(ctx context.Context) (*answer, *exchange.Failure) {
	for x.j.failures < maxAttempts {
		clear(x.j.tried)
		ans, failure := x.e.dispatcher.run(ctx, x.j)
		if failure == nil {
			x.interruptedAt = 0
			return ans, nil
		}
		if !x.waitToResume(ctx, failure) {
			return nil, failure
		}
	}
	return nil, lost(x.j, "the answer was interrupted too often")
}

// Pass hands the answer of one attempt to the caller.
func (x *chat) Pass(ctx context.Context, ans *answer) error {
	end, failure := x.relay(ctx, ans)
	ans.close()
	x.notePace(ans.peer)
	if failure != nil {
		return failure
	}
	if end != dispatch.EndComplete {
		return &endedError{end}
	}
	x.e.retries.success(x.j.pool.Name)
	x.e.finished(x.q, x.j, nil)
	return nil
}

// Again decides whether an attempt that ended early may be followed by another.
func (x *chat) Again(ctx context.Context, ans *answer, err error) *exchange.Failure {
	var ended *endedError
	if !errors.As(err, &ended) {
		return asFailure(err)
	}
	return x.again(ctx, ans, ended.end)
}

// Fail ends the exchange with a failure; inside a stream it is an event.
func (x *chat) Fail(f *exchange.Failure) {
	x.e.finished(x.q, x.j, f)
	x.caller.Fail(f)
}

// relay passes one attempt's answer to the caller and returns its end.
func (x *chat) relay(ctx context.Context, ans *answer) (dispatch.End, *exchange.Failure) {
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
		if failure := x.pass(ev, events.Ready()); failure != nil {
			return dispatch.EndCancelled, failure
		}
	}
}

// pass hands one event to the caller, or to the whole answer being assembled.
func (x *chat) pass(ev engine.Event, more bool) *exchange.Failure {
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
			return lost(x.j, err.Error())
		}
		return nil
	}
	if ev.Usage != nil && ev.Tokens == 0 && !ev.Finished && !x.req.IncludeUsage {
		return nil
	}
	x.begin()
	if err := x.write(data, more); err != nil {
		return lost(x.j, "the caller has left")
	}
	return nil
}

// write hands over one event of a stream.
func (x *chat) write(data []byte, more bool) error {
	x.buf = sse.Append(x.buf[:0], data)
	return x.caller.Write(x.buf, more)
}

// noteToken counts tokens that are about to be delivered.
func (x *chat) noteToken(n int) {
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
func (x *chat) notePace(p *peer) {
	const fewest = 8 // tokens below which the pace says little
	if x.attemptTokens >= fewest {
		took := x.e.clock.Now() - x.attemptAt
		x.e.router.observe(p, float64(took)/float64(x.attemptTokens-1))
	}
	x.attemptTokens = 0
}

// streamHead is the head of a streamed answer.
var streamHead = http.Header{"Content-Type": {"text/event-stream"}, "Cache-Control": {"no-cache"}}

func (x *chat) begin() { x.caller.Head(http.StatusOK, streamHead) }

// finish ends a complete answer. A caller that has left meanwhile has no use
// for its end.
func (x *chat) finish() *exchange.Failure {
	if x.req.Stream {
		x.begin()
		_ = x.write([]byte("[DONE]"), true)
		return nil
	}
	if x.whole == nil {
		return lost(x.j, "the answer was empty")
	}
	data, err := x.whole.Answer()
	if err != nil {
		return internalError(err)
	}
	x.caller.Head(http.StatusOK, http.Header{"Content-Type": {"application/json"}})
	_ = x.caller.Write(data, true)
	return nil
}
