package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/caller/exchange"
	"github.com/damaskport/damaskport/internal/policy/budget"
	"github.com/damaskport/damaskport/internal/policy/place"
	"github.com/damaskport/damaskport/internal/policy/retry"
	"github.com/damaskport/damaskport/internal/stream/sse"
)

// relay serves one streamed request over one or more attempts. It implements
// exchange.Steps.
type relay struct {
	g *Gateway
	j *job
	// lastID is the id of the last event that was sent to the caller; empty
	// without one.
	lastID string
	// contentType is the media type of the answer that the caller has part of.
	contentType string
}

// errNotFollowing reports an answer that does not go on after the events that the caller has.
var errNotFollowing = errors.New("answer does not continue the stream")

// Send makes one attempt to send the request. The server resumes after the events
// that the caller has received.
func (x *relay) Send(ctx context.Context) (*send, *exchange.Failure) {
	if failure := x.g.bindVersion(ctx, x.j); failure != nil {
		return nil, failure
	}
	return x.g.sendOnce(ctx, x.j, x.lastID, 0)
}

// Again returns nil if the request is to be retried or resumed at another server,
// or the failure that ends it.
func (x *relay) Again(ctx context.Context, s *send, _ error) *exchange.Failure {
	x.g.examineBreak(ctx, x.j, s)
	if x.g.retryAllowed(ctx, x.j, s, x.j.caller.Progress().Writes) {
		return nil
	}
	return x.g.lastFailure(x.j, s)
}

// Fail sends f to the caller as the final response. If events have been sent, it
// cuts the connection instead.
func (x *relay) Fail(f *exchange.Failure) { x.g.fail(x.j, f) }

// Pass forwards the answer of one attempt. s has ended when it returns.
func (x *relay) Pass(ctx context.Context, s *send) error {
	g, j := x.g, x.j
	if s.ans == nil || s.reply.NotRun {
		return errNoAnswer
	}
	if s.ans.Status != http.StatusOK || !s.reply.FromServer || s.reply.Encoded || j.caller.Progress().Begun && mediaType(s.ans.Header) != x.contentType {
		return x.forwardOther(ctx, s)
	}
	err := x.copy(ctx, s)
	switch {
	case err == nil:
		x.begin(s)
		j.stream.whole = true
		g.clearParts(j, s)
		g.clearRequest(j, s)
		progress := j.caller.Progress()
		j.addLength(progress.Writes)
		g.endSend(j, s, place.OutcomeOK, "answered")
		g.mu.Lock()
		g.streamDurations.Add(j.route.Name, g.clock.Now()-s.beganMs)
		g.mu.Unlock()
		j.log = j.log.WithFields(logrus.Fields{"events": progress.Writes, "firstMs": int64(progress.FirstMs), "pauseMs": int64(progress.PauseMs)})
		g.answered(j, s, true)
	case errors.Is(err, exchange.ErrCallerLeft) || ctx.Err() != nil:
		s.err = err
		s.outcome = retry.OutcomeUnknown
		o := place.OutcomeAbandoned
		if errors.Is(context.Cause(ctx), errTimeout) && !s.begun {
			o = place.OutcomeFailed
		}
		g.endSend(j, s, o, "ended")
	case errors.As(err, new(*budget.EventMemoryError)):
		s.err = err
		s.outcome = retry.OutcomeUnknown
		g.endSend(j, s, place.OutcomeFailed, "eventMemory")
	case errors.Is(err, errNotFollowing):
		s.err = err
		s.outcome = retry.OutcomeFailed
		g.endSend(j, s, place.OutcomeFailed, "notFollowing")
	default:
		s.err = err
		s.outcome = retry.OutcomeUnknown
		s.broke = true
		g.endSend(j, s, place.OutcomeFailed, "cut")
	}
	return err
}

// mediaType returns the media type in a header without its parameters; empty if there is none.
func mediaType(h http.Header) string {
	t, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(t))
}

// forwardOther forwards an answer that is not a successful stream of events.
func (x *relay) forwardOther(ctx context.Context, s *send) error {
	g, j := x.g, x.j
	if j.caller.Progress().Begun {
		s.outcome = retry.OutcomeFailed
		g.endSend(j, s, place.OutcomeFailed, "resumeRefused")
		return errNotForwardable
	}
	if s.ans.Status/100 != 2 {
		g.countUsage(j)
	}
	if !g.forwardAnswer(ctx, j, s) {
		return errNotForwardable
	}
	return nil
}

// copy forwards complete events as they arrive. It returns nil at the end of a
// complete stream.
func (x *relay) copy(ctx context.Context, s *send) error {
	memory := x.g.held.Events().Stream(s.cancel)
	defer memory.Release()
	events := sse.NewScanner(s.ans.Body, memory)
	for {
		event, err := events.Next()
		switch {
		case err == io.EOF && !x.g.cutUnframed(ctx, x.j, s):
			return nil
		case errors.As(err, new(*budget.EventMemoryError)):
			return err
		case err != nil:
			return errors.Wrap(errTruncated, err.Error())
		}
		if err := x.write(s, event, events.Ready()); err != nil {
			return err
		}
	}
}

// write sends one event to the caller. more is set if the next event is already
// available.
func (x *relay) write(s *send, event []byte, more bool) error {
	g := x.g
	id := sse.ID(event)
	if !s.joined && x.lastID != "" && !sse.Follows(x.lastID, event) {
		return errNotFollowing
	}
	s.joined = s.joined || id != ""
	if !s.begun {
		if !x.j.ending.Begin() {
			return errEnding
		}
		s.begun = true
		g.countUsage(x.j)
		now := g.clock.Now()
		s.beganMs = now
		g.streams.begin(x.j, s)
		s.reservation.begun(s.reply.Slowness)
		s.pace.windowMs = now
		x.j.pool.withTable(func(t *place.ServerTable) { t.FirstEvent(now, s.choice, x.j.placeReq) })
		g.metrics.firstEvent(x.j, now-x.j.arrivedMs)
	}
	x.begin(s)
	g.gate.addMessage(len(event))
	if err := x.j.caller.Write(event, more); err != nil {
		return err
	}
	if id != "" {
		x.lastID = id
	}
	if s.events++; s.events > 1 {
		if report, ok := s.pace.next(g.clock.Now(), x.j.pool, s.choice.ID); ok {
			s.reservation.progress(report)
		}
	}
	x.clear(s)
	return nil
}

// clear records how far the request was answered.
func (x *relay) clear(s *send) {
	if s.events < answeredEvents {
		return
	}
	switch took := x.g.clock.Now() - s.beganMs; {
	case took >= requestAnsweredAfter:
		x.g.clearParts(x.j, s)
		x.g.clearRequest(x.j, s)
	case took >= answeredAfter:
		x.g.clearParts(x.j, s)
	}
}

// begin sends the header of the answer of s to the caller, unless an earlier
// attempt's has been sent.
func (x *relay) begin(s *send) {
	if !x.j.caller.Progress().Begun {
		x.contentType = mediaType(s.ans.Header)
		x.j.caller.Head(s.ans.Status, exchange.EndToEnd(s.ans.Header))
	}
}
