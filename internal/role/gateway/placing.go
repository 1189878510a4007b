package gateway

import (
	"context"
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/caller/exchange"
	"github.com/damaskport/damaskport/internal/peer/enginequeue"
	"github.com/damaskport/damaskport/internal/policy/place"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/servers"
)

// maxQueueRefusals is the number of engine queues that may refuse a request; then
// the caller's request is refused.
const maxQueueRefusals = 3

// place chooses a server for j. If it is a model engine, place waits in its queue
// and returns the granted reservation; a latency-sensitive request is announced
// to the queue owner and does not wait. The reservation is nil for other servers,
// or if no queue owner is connected.
func (g *Gateway) place(ctx context.Context, j *job) (target, *reservation, *exchange.Failure) {
	var refused []string
	var retryAfter clock.Millis
	for {
		now := g.clock.Now()
		if j.timeoutMs-now < minTimeLeft {
			return target{}, nil, g.abandon(j, "noTimeLeft")
		}
		if !j.mayHaveRun && g.mayExitBefore(j, now) {
			return target{}, nil, notRun(http.StatusServiceUnavailable, "ending", otherGatewayRetryAfter)
		}
		to, ok := j.pool.choose(now, j.placeReq, append(refused, j.exclude...))
		if !ok && len(refused) > 0 {
			return target{}, nil, g.refuseOverload(j, retryAfter)
		}
		if !ok || to.conns == nil {
			return target{}, nil, g.abandon(j, "noServer")
		}
		g.logPlaced(j, to, now)
		if !j.route.Engine {
			return to, nil, nil
		}
		msg := g.reservationMessage(j, to, now)
		msg.NoAlternative = len(refused) > 0 || to.noAlternative
		if j.placeReq.LatencySensitive {
			return to, g.peers.announce(j.pool, msg), nil
		}
		r := g.peers.reserve(j.pool, msg)
		if r == nil {
			return to, nil, nil
		}
		v, err := r.await(ctx, func() bool {
			if !j.mayHaveRun && g.mayExitBefore(j, g.clock.Now()) {
				return true
			}
			better := false
			j.pool.withTable(func(t *place.ServerTable) { better = t.ShouldMove(g.clock.Now(), j.placeReq, to.Choice, j.exclude) })
			return better
		})
		if err == nil && v.granted && !j.pool.accepts(g.clock.Now(), to.engine) {
			// The server drained, restarted or asked for a back-off during the wait.
			r.cancel()
			j.pool.withTable(func(t *place.ServerTable) {
				t.Ended(g.clock.Now(), to.Choice, j.placeReq, place.OutcomeAbandoned, false, 0)
			})
			j.log.WithFields(logrus.Fields{"event": "serverLeft", "server": to.ID, "waitedMs": int64(g.clock.Now() - now)}).Info()
			continue
		}
		if err == nil && v.granted {
			g.metrics.queueWait(j, g.clock.Now()-now)
			j.log.WithFields(logrus.Fields{"event": "turn", "server": to.ID, "waitedMs": int64(g.clock.Now() - now)}).Info()
			return to, r, nil
		}
		j.pool.withTable(func(t *place.ServerTable) {
			t.Ended(g.clock.Now(), to.Choice, j.placeReq, place.OutcomeAbandoned, false, 0)
		})
		if err != nil {
			return target{}, nil, g.abandon(j, "endedWaiting")
		}
		if v.chooseAgain {
			continue
		}
		refused = append(refused, to.ID)
		if retryAfter == 0 || v.retryAfter < retryAfter {
			retryAfter = v.retryAfter
		}
		j.log.WithFields(logrus.Fields{"event": "notOffered", "server": to.ID, "retryAfterMs": int64(v.retryAfter), "asked": len(refused)}).Info()
		if len(refused) >= maxQueueRefusals {
			return target{}, nil, g.refuseOverload(j, retryAfter)
		}
	}
}

// logPlaced logs the chosen server and what the choice was based on.
func (g *Gateway) logPlaced(j *job, to target, now clock.Millis) {
	f := logrus.Fields{
		"event": "placed", "route": j.route.Name, "server": to.ID, "cost": int64(to.Cost), "unread": to.UncachedTokens,
		"fetchFrom": to.CopyFrom, "loadAgeMs": int64(to.LoadAgeMs), "config": j.cfg.Version, "configAgeMs": int64(g.fleet.configAge()),
		"priority": j.priority, "send": j.sends + 1, "leftMs": int64(j.timeoutMs - now),
	}
	if limit, ok := g.fleet.limit(servers.Key{ID: to.ID, Start: to.engine.Start}); ok {
		f["limit"] = limit
	}
	j.log.WithFields(f).Info()
}

// refuseOverload returns the refusal of a request that no server can complete in
// time. retryAfter is the shortest Retry-After of the engine queues that refused
// it.
func (g *Gateway) refuseOverload(j *job, retryAfter clock.Millis) *exchange.Failure {
	if j.mayHaveRun {
		return g.abandon(j, "overload")
	}
	return notRun(http.StatusServiceUnavailable, "overload", retryAfter)
}

// expectedTokens returns the expected length of the answer in tokens: the
// caller's estimate, or a third of the maximum that the caller accepts.
func (j *job) expectedTokens() int {
	const outputDivisor = 3
	if j.ExpectedTokens > 0 {
		return min(j.ExpectedTokens, j.OutputTokens)
	}
	return j.OutputTokens / outputDivisor
}

// reservationMessage returns the message that describes j to the queue owner of the
// chosen engine. Its times are relative to now.
func (g *Gateway) reservationMessage(j *job, to target, now clock.Millis) enginequeue.Reservation {
	g.mu.Lock()
	answerMs := g.streamDurations.ExpectedDuration(j.route.Name, j.timeoutMs-j.arrivedMs)
	g.mu.Unlock()
	msg := enginequeue.Reservation{
		ID: j.ID, Engine: to.engine, Account: j.account, Priority: j.priority, LatencySensitive: j.placeReq.LatencySensitive, ITLTargetMs: j.route.ITLTargetMs, UncachedTokens: to.UncachedTokens,
		Tokens: to.UncachedTokens + j.expectedTokens(), TargetMs: j.arrivedMs + j.route.TargetMs - now,
		DeadlineMs: j.timeoutMs - now, AnswerMs: answerMs,
	}
	if j.mayHaveRun {
		// Part of the answer may have been delivered: completing it is of use
		// even if it began late.
		msg.AnswerMs = 0
	}
	// The last block is the request's own; the one before it is the last shared
	// one.
	if n := len(j.Blocks); n >= 2 {
		msg.Block = j.Blocks[n-2].ID
	}
	return msg
}
