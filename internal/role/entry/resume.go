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
	// resumeTimeout bounds the time for which a stream that has begun waits
	// for a server to go on.
	resumeTimeout = 10 * clock.Second
	resumePause   = 100 * clock.Millisecond
)

// waitToResume waits before a stream that has begun is tried again although no
// server took it: the caller has part of the answer, and servers that are being
// replaced come back. It reports false once the stream is given up.
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

// again decides whether an attempt that ended early may be followed by another.
func (x *chat) again(ctx context.Context, ans *answer, end dispatch.End) *exchange.Failure {
	if ctx.Err() != nil {
		return stopped(ctx, x.j)
	}
	x.e.log.WithFields(logrus.Fields{
		"event": "attemptInterrupted", "request": x.j.id, "peer": ans.peer.instance.Name, "end": end, "delivered": x.j.delivered,
	}).Info("the answer was interrupted")
	x.j.resumed = true
	switch end {
	case dispatch.EndWithdrawn:
		e := unauthorized("invalidKey", "the key has been withdrawn")
		e.NotRun = false
		return e
	case dispatch.EndPreempted:
		if !x.e.retries.allow(x.j, retry.OutcomePreempted) {
			return lost(x.j, "the answer was interrupted")
		}
	default:
		x.j.failures++
		if ans.end() == "" {
			// The sidecar itself did not tell the end: the path to it is broken.
			ans.peer.suspect()
		}
		if !x.e.retries.allow(x.j, retry.OutcomeFailed) {
			return lost(x.j, "the answer was interrupted")
		}
	}
	if x.j.delivered == 0 {
		x.whole = nil
	}
	return nil
}
