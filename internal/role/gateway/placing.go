package gateway

import (
	"context"
	"net/http"
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/caller/exchange"
	"github.com/damaskport/damaskport/internal/peer/enginequeue"
	"github.com/damaskport/damaskport/internal/policy/place"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// maxQueueRefusals is the number of engine queues that may refuse a request; then
// the caller's request is refused.
const maxQueueRefusals = 3

// placedInterval is the shortest time between two "placed" log lines of a request that waits in
// engine queues.
const placedInterval = clock.Second

// placement is the search for a server for one attempt of a request.
type placement struct {
	g *Gateway
	j *job
	// refused holds the engines whose queues have refused the request, and retryAfter the
	// shortest time after which one of them is to be asked again.
	refused    []string
	retryAfter clock.Millis
	// denied holds the servers for which no permit is asked for again, since the request may
	// not wait any longer.
	denied []string
	// moves is the number of choices made while the request waited. loggedMs is the time of the
	// last "placed" log line.
	moves    int
	loggedMs clock.Millis
}

// place chooses a server for j and obtains a permit if the server has a limit. If it is a
// model engine, place waits in its queue and returns the granted reservation; a
// latency-sensitive request is announced to the queue owner and does not wait. The
// reservation is nil for other servers, or if no queue owner is connected.
func (g *Gateway) place(ctx context.Context, j *job) (target, *reservation, *exchange.Failure) {
	p := &placement{g: g, j: j}
	for {
		now := g.clock.Now()
		if j.timeoutMs-now < minTimeLeft {
			return target{}, nil, g.abandon(j, "noTimeLeft")
		}
		if ctx.Err() != nil {
			return target{}, nil, g.abandon(j, "endedWaiting")
		}
		if !j.mayHaveRun && g.mayExitBefore(j, now) {
			return target{}, nil, notRun(http.StatusServiceUnavailable, "ending", otherGatewayRetryAfter)
		}
		exclude := slices.Concat(p.refused, p.denied, j.exclude, g.streams.exclusions(j))
		to, ok := j.pool.choose(now, j.placeReq, exclude)
		if !ok && g.awaitLimit(ctx, j, exclude) {
			continue
		}
		if !ok || to.conns == nil {
			return target{}, nil, p.noServer()
		}
		p.logPlaced(to, now)
		if !g.obtainPermit(ctx, j, &to) {
			p.withoutPermit(to)
			continue
		}
		if !j.route.Engine {
			return to, nil, nil
		}
		msg := g.reservationMessage(j, to, now)
		msg.NoAlternative = len(p.refused) > 0 || to.noAlternative
		if j.placeReq.LatencySensitive || j.inquiry.trial {
			return to, g.peers.announce(j.pool, msg), nil
		}
		r := g.peers.reserve(j.pool, msg)
		if r == nil {
			return to, nil, nil
		}
		granted, failure := p.awaitTurn(ctx, r, &to, now)
		if granted || failure != nil {
			return to, r, failure
		}
	}
}

// awaitTurn waits for the queue owner's verdict on the reservation r at the engine to,
// which was chosen at since, and reports whether the request may be sent. If not and there
// is no failure, it is to choose a server again.
func (p *placement) awaitTurn(ctx context.Context, r *reservation, to *target, since clock.Millis) (granted bool, failure *exchange.Failure) {
	g, j := p.g, p.j
	v, err := r.await(ctx, func() bool { return p.shouldMove(*to) })
	waited := g.clock.Now() - since
	if err == nil && v.granted {
		if !j.pool.accepts(g.clock.Now(), to.engine) {
			// The server drained, restarted or asked for a back-off during the wait.
			r.cancel()
			p.release(*to)
			j.log.WithFields(logrus.Fields{"event": "serverLeft", "server": to.ID, "waitedMs": int64(waited)}).Info()
			return false, nil
		}
		// The server may have named a limit during the wait, or the permit expired.
		if !g.mayBeSent(g.clock.Now(), j, *to) && !g.obtainPermit(ctx, j, to) {
			r.cancel()
			p.withoutPermit(*to)
			return false, nil
		}
		g.metrics.queueWait(j, waited)
		j.log.WithFields(logrus.Fields{"event": "turn", "server": to.ID, "waitedMs": int64(waited)}).Info()
		return true, nil
	}
	p.release(*to)
	if err != nil {
		return false, g.abandon(j, "endedWaiting")
	}
	if v.chooseAgain {
		p.moves++
		return false, nil
	}
	p.refused = append(p.refused, to.ID)
	if p.retryAfter == 0 || v.retryAfter < p.retryAfter {
		p.retryAfter = v.retryAfter
	}
	j.log.WithFields(logrus.Fields{"event": "notOffered", "server": to.ID, "retryAfterMs": int64(v.retryAfter), "asked": len(p.refused)}).Info()
	if len(p.refused) >= maxQueueRefusals {
		return false, g.refuseOverload(j, p.retryAfter)
	}
	return false, nil
}

// shouldMove reports whether the request, which is queued at to, is to choose a server
// again: another one could start it at once, or the process might exit before.
func (p *placement) shouldMove(to target) bool {
	now := p.g.clock.Now()
	if !p.j.mayHaveRun && p.g.mayExitBefore(p.j, now) {
		return true
	}
	better := false
	exclude := slices.Concat(p.j.exclude, p.g.streams.exclusions(p.j))
	p.j.pool.withTable(func(t *place.ServerTable) { better = t.ShouldMove(now, p.j.placeReq, to.Choice, exclude) })
	return better
}

// release records that the request is not sent to the chosen server.
func (p *placement) release(to target) {
	p.j.pool.withTable(func(t *place.ServerTable) {
		t.Ended(p.g.clock.Now(), to.Choice, p.j.placeReq, place.OutcomeAbandoned, false, 0)
	})
}

// withoutPermit releases the chosen server, for which the request was denied a permit.
func (p *placement) withoutPermit(to target) {
	p.release(to)
	if p.g.clock.Now() >= p.j.limitWaitEnd() {
		p.denied = append(p.denied, to.ID)
	}
}

// noServer returns the failure of a request that no server may take.
func (p *placement) noServer() *exchange.Failure {
	if len(p.refused) > 0 {
		return p.g.refuseOverload(p.j, p.retryAfter)
	}
	if !p.j.mayHaveRun && p.g.fleet.emptied(p.j.pool.name) {
		return notRun(http.StatusServiceUnavailable, "evacuated", evacuatedRetryAfter)
	}
	reason := p.j.noServerReason()
	if p.j.placeReq.Zones != nil && reason == "noServer" {
		reason = "noServerAtHome"
	}
	return p.g.abandon(p.j, reason)
}

// logPlaced logs the chosen server and the inputs of the choice. For a request that waits it logs at
// most once per placedInterval.
func (p *placement) logPlaced(to target, now clock.Millis) {
	if p.moves > 0 && now-p.loggedMs < placedInterval {
		return
	}
	g, j := p.g, p.j
	p.loggedMs = now
	f := logrus.Fields{
		"event": "placed", "route": j.route.Name, "server": to.ID, "cost": int64(to.Cost), "unread": to.UncachedTokens,
		"fetchFrom": to.CopyFrom, "loadAgeMs": int64(to.LoadAgeMs), "config": j.cfg.Version, "configAgeMs": int64(g.fleet.configAge()),
		"priority": j.priority, "send": j.sends + 1, "leftMs": int64(j.timeoutMs - now),
	}
	if p.moves > 0 {
		f["moves"] = p.moves
	}
	if need, ok := g.fleet.permitNeed(now, j.pool, to.engine.Key()); ok {
		f["limit"], f["warmUp"] = need.perSecond, need.warmUp
	}
	if to.version != "" {
		f["version"] = to.version
	}
	if j.ResumesAt != "" {
		f["resumes"] = j.Origin
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
	answerMs := g.streamDurations.ExpectedDuration(j.route.Name, j.allowedMs)
	g.mu.Unlock()
	msg := enginequeue.Reservation{
		ID: j.ID, Engine: to.engine, Account: j.account, Priority: j.priority, LatencySensitive: j.placeReq.LatencySensitive, ITLTargetMs: j.route.ITLTargetMs, UncachedTokens: to.UncachedTokens,
		Tokens: to.UncachedTokens + j.expectedTokens(), TargetMs: j.arrivedMs + j.route.TargetMs - now,
		DeadlineMs: j.timeoutMs - now, AnswerMs: answerMs, AnswerEvents: j.eventsLeft(), Speed: j.pool.told(to.ID), PrefillRate: j.pool.prefillRate(to.ID), Resumed: j.resumes(),
	}
	if msg.Resumed {
		// Queue owners of earlier builds do not know Resumed.
		msg.AnswerMs = 0
	}
	// The last block is the request's own; the one before it is the last shared
	// one.
	if n := len(j.Blocks); n >= 2 {
		msg.Block = j.Blocks[n-2].ID
	}
	return msg
}
