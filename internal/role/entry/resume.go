package entry

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/caller/exchange"
	"github.com/damaskport/damaskport/internal/peer/dispatch"
	"github.com/damaskport/damaskport/internal/policy/retry"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	// resumeTimeout is the longest time for which an interrupted stream waits for a
	// server to resume it.
	resumeTimeout = 10 * clock.Second
	resumePause   = 100 * clock.Millisecond // between two tries to resume
)

// waitToResume waits for resumePause before another try to resume a stream for
// which no server was available. Waiting pays off because the caller already has
// part of the answer and servers that are being replaced come back. It returns
// false if the stream cannot be resumed or resumeTimeout has passed.
func (x *chat) waitToResume(ctx context.Context, failure *exchange.Failure) bool {
	if x.j.delivered == 0 || !x.j.preemptible || !failure.NotRun || failure.RetryAfterMs == 0 {
		return false
	}
	now := x.e.clock.Now()
	if x.interruptedAt == 0 {
		x.interruptedAt = now
	}
	if now-x.interruptedAt > resumeTimeout {
		return false
	}
	return x.e.clock.Sleep(ctx, resumePause) == nil
}

// retryAfterEnd returns nil if another attempt may follow one that ended early with
// end, or else the failure to report to the caller.
func (x *chat) retryAfterEnd(ctx context.Context, ans *answer, end dispatch.End) *exchange.Failure {
	if ctx.Err() != nil {
		return requestEnded(ctx, x.j)
	}
	x.e.log.WithFields(logrus.Fields{
		"event": "attemptInterrupted", "request": x.j.id, "peer": ans.peer.instance.Name, "end": end, "delivered": x.j.delivered,
	}).Info("the answer was interrupted")
	x.j.resumed = true
	switch end {
	case dispatch.EndWithdrawn:
		e := unauthorized("invalidKey", "the API key has been withdrawn")
		e.NotRun = false
		return e
	case dispatch.EndPreempted:
		if !x.e.retries.allow(x.j, retry.OutcomePreempted) {
			return answerLost(x.j, "the answer was interrupted")
		}
	default:
		x.j.failures++
		if ans.end() == "" {
			// Without a trailer from the sidecar, the connection to it is broken.
			ans.peer.reconnect()
		}
		if !x.e.retries.allow(x.j, retry.OutcomeFailed) {
			return answerLost(x.j, "the answer was interrupted")
		}
	}
	if x.j.delivered == 0 {
		x.assembler = nil
	}
	return nil
}
