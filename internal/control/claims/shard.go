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
	ringSize      = 8192
	readLimit     = 1000
	readWait      = 10 * clock.Second
	readBackoff   = 200 * clock.Millisecond
	maintainEvery = 5 * clock.Second
	idleTick      = clock.Second
	// stopAppends is the number of append timeouts that a stop may take.
	stopAppends = 2
)

// input is one input of a shard's owner.
type input interface {
	apply(s *shard, now clock.Millis) []claim.Action
}

// shard keeps the claims of one stream.
type shard struct {
	cfg      Config
	stream   string
	log      Log
	clock    clock.Clock
	logger   logrus.FieldLogger
	inputs   *ring.Ring[input]
	author   *claim.Author
	waiting  map[string]chan<- verdict
	done     chan struct{}
	doneOnce sync.Once
	appends  sync.WaitGroup
	maintain clock.Millis
}

func newShard(cfg Config, stream string, log Log, clk clock.Clock, l logrus.FieldLogger) *shard {
	return &shard{
		cfg: cfg, stream: stream, log: log, clock: clk, logger: l.WithField("stream", stream),
		inputs: ring.New[input](ringSize), waiting: map[string]chan<- verdict{}, done: make(chan struct{}),
		author: claim.NewAuthor(claim.Config{
			Incarnation: cfg.Incarnation, AppendsPerSecond: cfg.AppendsPerSecond / float64(cfg.Shards),
			MaxRunMs: 10 * clock.Minute, RetentionMs: cfg.RetentionMs,
		}, claim.New()),
	}
}

// put passes an input to the owner; it is dropped when the owner has stopped.
func (s *shard) put(in input) {
	select {
	case s.inputs.In() <- in:
	case <-s.done:
	}
}

// own applies inputs until ctx ends, and then until the outcomes of what was
// handed over are recorded.
func (s *shard) own(ctx context.Context) error {
	defer s.doneOnce.Do(func() { close(s.done) })
	s.apply(ctx, func() bool { return false })
	s.author.Stop()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopAppends*s.cfg.TimeoutMs.Duration())
	defer cancel()
	s.apply(ctx, s.author.Idle)
	if !s.author.Idle() {
		s.logger.WithField("event", "claimOutcomesLost").Warn("the log did not take the outcomes in time")
	}
	return nil
}

// apply applies inputs until ctx ends or done reports true.
func (s *shard) apply(ctx context.Context, done func() bool) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for !done() {
		timer.Reset(s.nextTick().Duration())
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
			s.act(a)
		}
	}
}

func (s *shard) tick(now clock.Millis) []claim.Action {
	actions := s.author.Tick(now)
	if now >= s.maintain {
		s.maintain = now + maintainEvery
		actions = append(actions, s.author.Maintain(now, s.clock.Wall())...)
	}
	return actions
}

func (s *shard) nextTick() clock.Millis {
	at, ok := s.author.NextTick()
	if !ok {
		return idleTick
	}
	return min(max(at-s.clock.Now(), clock.Millisecond), idleTick)
}

func (s *shard) act(a claim.Action) {
	switch a := a.(type) {
	case claim.Append:
		s.appends.Add(1)
		go s.append(a)
	case claim.HandOver:
		s.reply(a.Request.Attempt, verdict{ok: true})
	case claim.Refuse:
		s.reply(a.Request.Attempt, verdict{refusal: refusal(a.Reason)})
	case claim.Answer:
		s.reply(a.Request.Attempt, verdict{refusal: holderRefusal(a)})
	}
}

func (s *shard) reply(attempt string, v verdict) {
	if ch, ok := s.waiting[attempt]; ok {
		delete(s.waiting, attempt)
		ch <- v
	}
}

// append adds one batch to the stream and tells the owner the result.
func (s *shard) append(a claim.Append) {
	defer s.appends.Done()
	ctx, cancel := context.WithTimeout(context.Background(), s.cfg.TimeoutMs.Duration())
	defer cancel()
	_, err := s.log.Append(ctx, s.stream, a.Data)
	if err != nil {
		s.logger.WithField("event", "claimAppendFailed").Warn(err)
	}
	s.put(appendedInput{batch: a.Batch, err: err})
}

// read follows the stream until ctx ends.
func (s *shard) read(ctx context.Context) error {
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
			s.put(pageInput{page})
		}
		next = max(next, page.FirstOffset)
		if n := len(page.Records); n > 0 {
			next = page.Records[n-1].Offset + 1
		}
	}
	return nil
}

type peersInput struct{ n int }

func (in peersInput) apply(s *shard, _ clock.Millis) []claim.Action {
	s.author.SetAuthors(in.n)
	return nil
}

type wantInput struct {
	req   claim.Request
	reply chan<- verdict
}

func (in wantInput) apply(s *shard, now clock.Millis) []claim.Action {
	if _, ok := s.waiting[in.req.Attempt]; ok {
		in.reply <- verdict{refusal: dispatch.Refusal{Code: dispatch.CodeDuplicate, Message: "the attempt is known already", Unknown: true}}
		return nil
	}
	s.waiting[in.req.Attempt] = in.reply
	return s.author.Submit(now, in.req)
}

type finishInput struct {
	attempt string
	result  claim.Result
	status  int
}

func (in finishInput) apply(s *shard, now clock.Millis) []claim.Action {
	return s.author.Finished(now, in.attempt, in.result, in.status)
}

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

type pageInput struct{ page logservice.Page }

func (in pageInput) apply(s *shard, now clock.Millis) []claim.Action {
	s.author.SetOldest(in.page.FirstOffset)
	var out []claim.Action
	for _, r := range in.page.Records {
		out = append(out, s.author.ApplyRecord(now, r.Offset, r.AtMs, r.Data)...)
	}
	return out
}

func refusal(reason claim.RefuseReason) dispatch.Refusal {
	r := dispatch.Refusal{Code: dispatch.CodeLogDown, NotRun: true, RetryAfterMs: clock.Second}
	switch reason {
	case claim.ReasonStopping:
		r.Code, r.Message = dispatch.CodeLeaving, "the sidecar is stopping"
	case claim.ReasonExpired:
		r.Code, r.Message, r.RetryAfterMs = dispatch.CodeBadRequest, "the idempotency key is past its window", 0
	case claim.ReasonAbandoned:
		r.Code, r.Message = dispatch.CodeDuplicate, "the attempt is known already"
	default:
		r.Message = fmt.Sprintf("the request could not be claimed in the platform's log: %s", reason)
	}
	return r
}

// holderRefusal answers a request whose key another attempt holds.
func holderRefusal(a claim.Answer) dispatch.Refusal {
	switch a.Result {
	case claim.Done:
		return dispatch.Refusal{
			Code: dispatch.CodeAlreadyDone, DoneStatus: a.Status,
			Message: fmt.Sprintf("a request with this idempotency key ran already and was answered with status %d", a.Status),
		}
	case claim.Unknown:
		return dispatch.Refusal{Code: dispatch.CodeUnknown, Message: "a request with this idempotency key may have run", Unknown: true}
	}
	return dispatch.Refusal{Code: dispatch.CodeDuplicate, Message: "a request with this idempotency key is running", Unknown: true}
}
