package claims

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/peer/dispatch"
	"github.com/damaskport/damaskport/internal/platform/logservice"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/ring"
	"github.com/damaskport/damaskport/internal/state/claim"
)

const (
	// inputQueueSize is the number of inputs that may wait for the owner task.
	inputQueueSize = 8192
	// readLimit is the maximum number of records per read.
	readLimit = 1000
	// readWait is how long a read waits for new records.
	readWait = 10 * clock.Second
	// readBackoff is the pause after a failed read.
	readBackoff = 200 * clock.Millisecond
	// maintenanceInterval is the time between two checks whether a time mark or a
	// digest is due.
	maintenanceInterval = 5 * clock.Second
	// maxTickInterval bounds the time between two ticks of the author.
	maxTickInterval = clock.Second
	// stopTimeouts bounds how long a planned stop waits for outcomes to be recorded,
	// as a multiple of Config.TimeoutMs.
	stopTimeouts = 2
)

// input is one input of a shard's owner task.
type input interface {
	apply(s *shard, now clock.Millis) []claim.Action
}

// shard decides the claims of one stream.
type shard struct {
	cfg               Config
	stream            string
	log               Log
	clock             clock.Clock
	logger            logrus.FieldLogger
	inputs            *ring.Ring[input]
	author            *claim.Author
	pending           map[string]chan<- claimResult // waiting calls of Claim, by attempt
	done              chan struct{}                 // closed when the owner has stopped
	doneOnce          sync.Once
	appends           sync.WaitGroup
	nextMaintenanceMs clock.Millis // earliest time of the next maintenance
}

// newShard returns the shard of a claims stream. A claim without an outcome counts as
// unknown after 10 minutes.
func newShard(cfg Config, stream string, log Log, clk clock.Clock, l logrus.FieldLogger) *shard {
	return &shard{
		cfg: cfg, stream: stream, log: log, clock: clk, logger: l.WithField("stream", stream),
		inputs: ring.New[input](inputQueueSize), pending: map[string]chan<- claimResult{}, done: make(chan struct{}),
		author: claim.NewAuthor(claim.Config{
			Incarnation: cfg.Incarnation, AppendsPerSecond: cfg.AppendsPerSecond / float64(cfg.Shards),
			MaxRunMs: 10 * clock.Minute, RetentionMs: cfg.RetentionMs,
		}, claim.New()),
	}
}

// enqueue passes an input to the owner task. It drops the input if the owner has
// stopped.
func (s *shard) enqueue(in input) {
	select {
	case s.inputs.In() <- in:
	case <-s.done:
	}
}

// runOwner applies inputs until ctx ends, and then until the outcomes of all attempts
// handed over are recorded or the stop timeout passes.
func (s *shard) runOwner(ctx context.Context) error {
	defer s.doneOnce.Do(func() { close(s.done) })
	s.processInputs(ctx, func() bool { return false })
	s.author.Stop()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeouts*s.cfg.TimeoutMs.Duration())
	defer cancel()
	s.processInputs(ctx, s.author.Idle)
	if !s.author.Idle() {
		s.logger.WithField("event", "claimOutcomesLost").Warn("claim outcomes were not recorded in the log within the stop timeout")
	}
	return nil
}

// processInputs applies inputs and ticks until ctx ends or done returns true.
func (s *shard) processInputs(ctx context.Context, done func() bool) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for !done() {
		timer.Reset(s.timeToNextTick().Duration())
		var actions []claim.Action
		select {
		case <-ctx.Done():
			return
		case in := <-s.inputs.C():
			actions = in.apply(s, s.clock.Now())
		case <-timer.C:
			actions = s.tick(s.clock.Now())
		}
		for _, a := range actions {
			s.perform(a)
		}
	}
}

// tick returns the actions that are due at time now.
func (s *shard) tick(now clock.Millis) []claim.Action {
	actions := s.author.Tick(now)
	if now >= s.nextMaintenanceMs {
		s.nextMaintenanceMs = now + maintenanceInterval
		actions = append(actions, s.author.Maintain(now, s.clock.Wall())...)
	}
	return actions
}

// timeToNextTick returns the time until the author needs a tick.
func (s *shard) timeToNextTick() clock.Millis {
	at, ok := s.author.NextTick()
	if !ok {
		return maxTickInterval
	}
	return min(max(at-s.clock.Now(), clock.Millisecond), maxTickInterval)
}

// perform starts an append or sends the decision on an attempt.
func (s *shard) perform(a claim.Action) {
	switch a := a.(type) {
	case claim.Append:
		s.appends.Add(1)
		go s.append(a)
	case claim.HandOver:
		s.reply(a.Request.Attempt, claimResult{ok: true})
	case claim.Refuse:
		s.reply(a.Request.Attempt, claimResult{refusal: refusalFor(a.Reason)})
	case claim.Answer:
		s.reply(a.Request.Attempt, claimResult{refusal: keyTakenRefusal(a)})
	}
}

// reply sends the decision on an attempt to the waiting call of Claim.
func (s *shard) reply(attempt string, result claimResult) {
	if ch, ok := s.pending[attempt]; ok {
		delete(s.pending, attempt)
		ch <- result
	}
}

// append appends one batch to the stream and passes the result to the owner.
func (s *shard) append(a claim.Append) {
	defer s.appends.Done()
	ctx, cancel := context.WithTimeout(context.Background(), s.cfg.TimeoutMs.Duration())
	defer cancel()
	_, err := s.log.Append(ctx, s.stream, a.Data)
	if err != nil {
		s.logger.WithField("event", "claimAppendFailed").Warn(err)
	}
	s.enqueue(appendedInput{batch: a.Batch, err: err})
}

// runReader passes the records of the stream to the owner until ctx ends.
func (s *shard) runReader(ctx context.Context) error {
	next := int64(1)
	for ctx.Err() == nil {
		page, err := s.log.Read(ctx, s.stream, next, readLimit, readWait)
		if err != nil {
			if ctx.Err() == nil {
				s.logger.WithField("event", "claimReadFailed").Warn(err)
			}
			_ = s.clock.Sleep(ctx, readBackoff)
			continue
		}
		if len(page.Records) > 0 || page.FirstOffset > next {
			s.enqueue(pageInput{page})
		}
		next = max(next, page.FirstOffset)
		if n := len(page.Records); n > 0 {
			next = page.Records[n-1].Offset + 1
		}
	}
	return nil
}

// sidecarsInput sets the number of sidecars that share the append rate.
type sidecarsInput struct{ n int }

func (in sidecarsInput) apply(s *shard, _ clock.Millis) []claim.Action {
	s.author.SetAuthors(in.n)
	return nil
}

// submitInput submits an attempt; its decision is sent to reply.
type submitInput struct {
	req   claim.Request
	reply chan<- claimResult
}

func (in submitInput) apply(s *shard, now clock.Millis) []claim.Action {
	if _, ok := s.pending[in.req.Attempt]; ok {
		in.reply <- claimResult{refusal: dispatch.Refusal{Code: dispatch.CodeDuplicate, Message: "the attempt was already submitted to this sidecar", Unknown: true}}
		return nil
	}
	s.pending[in.req.Attempt] = in.reply
	return s.author.Submit(now, in.req)
}

// finishInput reports the result of an attempt that was handed over.
type finishInput struct {
	attempt string
	result  claim.Result
	status  int
}

func (in finishInput) apply(s *shard, now clock.Millis) []claim.Action {
	return s.author.Finished(now, in.attempt, in.result, in.status)
}

// appendedInput reports the result of an append.
type appendedInput struct {
	batch int64
	err   error
}

func (in appendedInput) apply(s *shard, now clock.Millis) []claim.Action {
	if in.err == nil {
		return s.author.Appended(now, in.batch)
	}
	var status *logservice.StatusError
	if errors.As(in.err, &status) && status.NotAppended {
		return s.author.AppendFailed(now, in.batch)
	}
	return s.author.AppendUnknown(now, in.batch)
}

// pageInput applies a page of records that was read from the stream.
type pageInput struct{ page logservice.Page }

func (in pageInput) apply(s *shard, now clock.Millis) []claim.Action {
	s.author.SetOldest(in.page.FirstOffset)
	var out []claim.Action
	for _, r := range in.page.Records {
		out = append(out, s.author.ApplyRecord(now, r.Offset, r.AtMs, r.Data)...)
	}
	return out
}

// refusalFor returns the code and message that report why the author did not claim an
// attempt.
func refusalFor(reason claim.RefuseReason) dispatch.Refusal {
	r := dispatch.Refusal{Code: dispatch.CodeLogDown, NotRun: true, RetryAfterMs: clock.Second}
	switch reason {
	case claim.ReasonStopping:
		r.Code, r.Message = dispatch.CodeLeaving, "the sidecar is stopping"
	case claim.ReasonExpired:
		r.Code, r.Message, r.RetryAfterMs = dispatch.CodeBadRequest, "the idempotency key has expired", 0
	case claim.ReasonAbandoned:
		r.Code, r.Message = dispatch.CodeDuplicate, "the attempt was already submitted and refused"
	default:
		r.Message = fmt.Sprintf("no claim for the request could be recorded in the platform's log: %s", reason)
	}
	return r
}

// keyTakenRefusal returns the refusal of a request whose idempotency key was claimed
// by another attempt.
func keyTakenRefusal(a claim.Answer) dispatch.Refusal {
	switch a.Result {
	case claim.Done:
		return dispatch.Refusal{
			Code: dispatch.CodeAlreadyDone, DoneStatus: a.Status,
			Message: fmt.Sprintf("a request with this idempotency key has already run and was answered with status %d", a.Status),
		}
	case claim.Unknown:
		return dispatch.Refusal{Code: dispatch.CodeUnknown, Message: "a request with this idempotency key may already have run", Unknown: true}
	}
	return dispatch.Refusal{Code: dispatch.CodeDuplicate, Message: "a request with this idempotency key is still running", Unknown: true}
}
