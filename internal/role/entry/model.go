package entry

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/backend/engine"
	"github.com/damaskport/damaskport/internal/caller/exchange"
	"github.com/damaskport/damaskport/internal/caller/openai"
	"github.com/damaskport/damaskport/internal/peer/dispatch"
	"github.com/damaskport/damaskport/internal/policy/budget"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/stream/sse"
)

// maxAttempts is the maximum number of failed attempts of one request.
const maxAttempts = 12

// serveChat answers POST /v1/chat/completions.
func (e *Entry) serveChat(w http.ResponseWriter, r *http.Request) {
	q, done, failure := e.open(w, r)
	if failure != nil {
		e.fail(w, r, q, failure)
		return
	}
	defer done()
	body, failure := e.readBody(q, w, r)
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

// chatJob decodes and checks a chat completion request and returns its job.
func (e *Entry) chatJob(q *callerRequest, r *http.Request, body []byte) (*job, openai.Request, *exchange.Failure) {
	req, err := openai.Decode(body)
	if err != nil {
		return nil, req, asFailure(err)
	}
	if forwardsKey(q.dir, nil, "", body) {
		return nil, req, exchange.BadRequest("keyInRequest", "", "the request body contains an API key, which must not reach a backend server")
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
		prefixes: req.Prefixes, promptTokens: req.PromptTokens, maxTokens: req.MaxTokens,
		arrived: q.arrived, preemptible: class.Resume, tried: map[*peer]bool{}, request: dispatch.Request{Whole: !req.Stream},
	}, req, nil
}

// chat serves one chat completion over one or more attempts and joins their streams
// into one answer. It implements exchange.Steps.
type chat struct {
	e         *Entry
	q         *callerRequest
	caller    *exchange.Caller
	j         *job
	req       openai.Request
	assembler *openai.Assembler   // assembles a non-streamed answer; nil before its first event
	rewrite   openai.Continuation // makes a resumed stream continue the earlier one
	buf       []byte              // reused to encode each streamed event
	// firstAt is when the first token arrived; 0 is not yet.
	firstAt clock.Millis
	// attemptAt is when the first tokens of the current attempt arrived, and
	// attemptTokens how many have arrived since; they give its time per token.
	attemptAt     clock.Millis
	attemptTokens int
	// interruptedAt is when the stream was found interrupted with no server to resume
	// it; 0 while it is running.
	interruptedAt clock.Millis
}

// attemptEndedError reports that an attempt ended before its answer was complete.
type attemptEndedError struct{ end dispatch.End }

// Error returns how the attempt ended.
func (e *attemptEndedError) Error() string {
	return "the attempt ended before its answer was complete: " + string(e.end)
}

// Send dispatches the job's next attempt. For a stream that has begun it keeps trying
// for a while when no server is available.
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
	return nil, answerLost(x.j, "the answer was interrupted too many times")
}

// Pass forwards the answer of one attempt to the caller. It returns an
// *attemptEndedError if the attempt ended early and a *exchange.Failure if no
// further attempt is possible.
func (x *chat) Pass(ctx context.Context, ans *answer) error {
	end, failure := x.relayEvents(ctx, ans)
	ans.close()
	x.recordTokenTime(ans.peer)
	if failure != nil {
		return failure
	}
	if end != dispatch.EndComplete {
		return &attemptEndedError{end}
	}
	x.e.retries.success(x.j.pool.Name)
	x.e.finished(x.q, x.j, nil)
	return nil
}

// Again returns nil if another attempt may follow one that ended early, or else the
// failure to report to the caller.
func (x *chat) Again(ctx context.Context, ans *answer, err error) *exchange.Failure {
	var ended *attemptEndedError
	if !errors.As(err, &ended) {
		return asFailure(err)
	}
	return x.retryAfterEnd(ctx, ans, ended.end)
}

// Fail reports a failure to the caller, as an event if the stream has begun.
func (x *chat) Fail(f *exchange.Failure) {
	x.e.finished(x.q, x.j, f)
	x.caller.Fail(f)
}

// relayEvents forwards the events of one attempt to the caller and returns how the
// attempt ended.
func (x *chat) relayEvents(ctx context.Context, ans *answer) (dispatch.End, *exchange.Failure) {
	if ans.res.StatusCode != http.StatusOK {
		return x.forwardError(ans)
	}
	guard := x.e.startWatchdog(ans)
	defer guard.stop()
	memory := x.e.held.Events().Stream(func() { go ans.res.Body.Close() })
	defer memory.Release()
	events := engine.NewReader(ans.res.Body, memory)
	x.rewrite.Start(x.j.delivered)
	for {
		ev, err := events.Next()
		if err != nil {
			x.noteMemory(err)
			return ans.interruptedEnd(ctx), nil
		}
		guard.reset()
		if ev.Done {
			if end := ans.readEnd(); end != dispatch.EndComplete {
				return end, nil
			}
			return dispatch.EndComplete, x.finish()
		}
		if failure := x.forwardEvent(ev, events.Ready()); failure != nil {
			return dispatch.EndCancelled, failure
		}
	}
}

// noteMemory logs that a stream ended because there was no memory for its event.
func (x *chat) noteMemory(err error) {
	var full *budget.EventMemoryError
	if errors.As(err, &full) {
		x.e.log.WithFields(logrus.Fields{"event": "streamBroken", "request": x.j.id}).Warn(err)
	}
}

// forwardEvent forwards one event to the caller, or adds it to the answer being
// assembled if the caller did not ask for a stream. more tells that further events
// are buffered.
func (x *chat) forwardEvent(ev engine.Event, more bool) *exchange.Failure {
	data, keep := x.rewrite.Rewrite(ev.Data, ev.Tokens)
	if !keep {
		return nil
	}
	if ev.Tokens > 0 {
		x.recordTokens(ev.Tokens)
	}
	if !x.req.Stream {
		if x.assembler == nil {
			x.assembler = openai.NewAssembler()
		}
		if !x.q.held.For(budget.Answer).Take(int64(len(data))) {
			return answerLost(x.j, "there is no memory for the answer")
		}
		if err := x.assembler.Add(data); err != nil {
			return answerLost(x.j, err.Error())
		}
		return nil
	}
	if ev.Usage != nil && ev.Tokens == 0 && !ev.Finished && !x.req.IncludeUsage {
		return nil
	}
	x.sendStreamHeader()
	if err := x.write(data, more); err != nil {
		return answerLost(x.j, "the caller disconnected")
	}
	return nil
}

// write sends data to the caller as one server-sent event.
func (x *chat) write(data []byte, more bool) error {
	x.buf = sse.Append(x.buf[:0], data)
	return x.caller.Write(x.buf, more)
}

// recordTokens counts n output tokens and, with the first ones of the answer, records
// the time to the first token.
func (x *chat) recordTokens(n int) {
	now := x.e.clock.Now()
	if x.firstAt == 0 {
		x.firstAt = now
		x.e.metrics.firstToken(x.j.class.Name, now-x.j.arrived)
		x.e.metrics.answered(x.j.class.Name, x.j.meetsTarget(now))
	}
	if x.attemptTokens == 0 {
		x.attemptAt = now
	}
	x.attemptTokens += n
	x.j.delivered += n
}

// recordTokenTime reports the mean time per token of an ended attempt at p to the
// router.
func (x *chat) recordTokenTime(p *peer) {
	const minTokens = 8 // the mean over fewer tokens is too inaccurate
	if x.attemptTokens >= minTokens {
		took := x.e.clock.Now() - x.attemptAt
		x.e.router.recordTokenMs(p, float64(took)/float64(x.attemptTokens-1))
	}
	x.attemptTokens = 0
}

// streamHead is the response header of a streamed answer.
var streamHead = http.Header{"Content-Type": {"text/event-stream"}, "Cache-Control": {"no-cache"}}

// sendStreamHeader sends the response header of a streamed answer, unless it has
// been sent.
func (x *chat) sendStreamHeader() { x.caller.Head(http.StatusOK, streamHead) }

// finish sends the end of a stream, or the whole assembled answer. Write errors are
// ignored: the answer is complete even if the caller has disconnected.
func (x *chat) finish() *exchange.Failure {
	if x.req.Stream {
		x.sendStreamHeader()
		_ = x.write([]byte("[DONE]"), true)
		return nil
	}
	if x.assembler == nil {
		return answerLost(x.j, "the answer was empty")
	}
	data, err := x.assembler.Answer()
	if err != nil {
		return internalError(err)
	}
	x.caller.Head(http.StatusOK, http.Header{"Content-Type": {"application/json"}})
	_ = x.caller.Write(data, true)
	return nil
}
