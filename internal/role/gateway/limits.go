package gateway

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/peer/dispatch"
	"github.com/damaskport/damaskport/internal/peer/enginequeue"
	"github.com/damaskport/damaskport/internal/policy/place"
	"github.com/damaskport/damaskport/internal/policy/ratelimit"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/servers"
)

const (
	// permitLifetime is how long a permit is valid, from when it was asked for: requests
	// that waited for longer would reach the server together with those of later permits.
	permitLifetime = 500 * clock.Millisecond
	// permitTimeout is how long a request waits for the answer of the issuer.
	permitTimeout = 250 * clock.Millisecond
	// limitWaitDivisor bounds how long a request waits if all servers are at their limits: at
	// most the route's latency target divided by it.
	limitWaitDivisor = 4
	// defaultLimitWait is that bound for routes without a latency target.
	defaultLimitWait = 100 * clock.Millisecond
)

// permit allows one request to a server that has a limit. The zero permit allows none.
type permit struct {
	number uint64
	// issuer is the connection to the gateway that issued the permit.
	issuer  *dispatch.Link
	askedMs clock.Millis
	// warmUp is set if the permit was issued for a server that warms up.
	warmUp bool
}

// permitIssuer is the ratelimit.Issuer of this gateway. It is safe for concurrent use.
type permitIssuer struct {
	mu     sync.Mutex
	issuer *ratelimit.Issuer
}

func newPermitIssuer() *permitIssuer { return &permitIssuer{issuer: ratelimit.NewIssuer()} }

// limits returns up to limit of the limits for which this gateway issues permits.
func (p *permitIssuer) limits(limit int) []ratelimit.Limit {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.issuer.Limits(limit)
}

// with runs f with the issuer locked.
func (p *permitIssuer) with(f func(i *ratelimit.Issuer)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.issuer)
}

// applyLimit applies what an answer of the server k says of its limit, and reports it to the
// issuer of the server's permits. An answer without a limit says that the need for it is
// over, if it answers a request with a permit: other answers may be older than the limit.
func (g *Gateway) applyLimit(now clock.Millis, k servers.Key, r Reply, used permit) {
	switch {
	case r.WrongServer:
	case r.HasLimit:
		changed := g.learnLimits([]ratelimit.Limit{{Server: k, PerSecond: r.Limit}}, "answer")
		if g.fleet.limitReportDue(now, k, changed) {
			g.peers.reportLimit(nil, enginequeue.LimitReport{Limit: ratelimit.Limit{Server: k, PerSecond: r.Limit}})
		}
	case used.number > 0 && !used.warmUp && r.FromServer && !r.NotRun:
		if _, ok := g.fleet.limit(k); ok {
			g.peers.reportLimit(used.issuer, enginequeue.LimitReport{
				Limit: ratelimit.Limit{Server: k, Ended: true}, Permit: used.number, Malformed: r.LimitMalformed,
			})
		}
	}
}

// learnLimits applies limits that begin, change or end, and reports whether one of them was
// not known yet. source is where they were learned: in an answer, or from another gateway.
func (g *Gateway) learnLimits(all []ratelimit.Limit, source string) (changed bool) {
	now := g.clock.Now()
	for _, l := range all {
		log := g.log.WithFields(logrus.Fields{"server": l.Server.ID, "start": l.Server.Start, "by": source})
		switch {
		case l.Ended && g.fleet.endLimit(l.Server):
			log.WithField("event", "serverLimitEnded").Info()
			changed = true
		case !l.Ended && g.fleet.nameLimit(now, l.Server, l.PerSecond):
			g.metrics.countNotice("limit")
			changed = true
			if !g.fleet.limitLogDue(now, l.Server) {
				break
			}
			log.WithFields(logrus.Fields{"event": "serverLimit", "perSecond": l.PerSecond}).Info()
		}
	}
	return changed
}

// receiveLimitReport handles what another gateway reports of a limit, as the issuer of the
// server's permits.
func (g *Gateway) receiveLimitReport(_ string, data json.RawMessage) error {
	var m enginequeue.LimitReport
	if err := json.Unmarshal(data, &m); err != nil {
		return err
	}
	now, changed := g.clock.Now(), false
	g.permits.with(func(i *ratelimit.Issuer) {
		if m.Limit.Ended {
			changed = i.End(now, m.Limit.Server, m.Permit, m.Malformed)
		} else {
			changed = i.Name(now, m.Limit.Server, m.Limit.PerSecond)
		}
	})
	if changed {
		g.announceLimits([]ratelimit.Limit{m.Limit})
	}
	return nil
}

// announceLimits tells all gateways, this one included, of limits that begin, change or
// end.
func (g *Gateway) announceLimits(all []ratelimit.Limit) {
	g.peers.broadcast(enginequeue.MethodLimits, func(*peer) any { return enginequeue.Limits{Limits: all} })
	g.learnLimits(all, "gateway")
}

// receiveLimits handles limits that another gateway announces.
func (g *Gateway) receiveLimits(_ string, data json.RawMessage) error {
	var m enginequeue.Limits
	if err := json.Unmarshal(data, &m); err != nil {
		return err
	}
	g.learnLimits(m.Limits, "gateway")
	g.permits.with(func(i *ratelimit.Issuer) {
		for _, l := range m.Limits {
			if l.Ended {
				i.Forget(l.Server)
			}
		}
	})
	return nil
}

// answerPermit answers a gateway's request for a permit.
func (g *Gateway) answerPermit(entry string, data json.RawMessage) error {
	var m enginequeue.PermitRequest
	if err := json.Unmarshal(data, &m); err != nil {
		return err
	}
	share := g.peers.reachableShare(g.queueHost.Connected())
	var a ratelimit.Answer
	g.permits.with(func(i *ratelimit.Issuer) {
		ask := i.Ask
		if m.WarmUp {
			ask = i.AskWarmUp
		}
		a = ask(g.clock.Now(), m.Limit.Server, m.Limit.PerSecond, m.Urgent, share)
	})
	g.queueHost.Notify(entry, enginequeue.MethodPermitted, enginequeue.PermitReply{ID: m.ID, Answer: a})
	return nil
}

// sweepPermits announces the limits that have changed, and drops those that are no longer
// used.
func (g *Gateway) sweepPermits() {
	var changed []ratelimit.Limit
	g.permits.with(func(i *ratelimit.Issuer) {
		changed = i.TakeChanged()
		i.Sweep(g.clock.Now())
	})
	if len(changed) > 0 {
		g.announceLimits(changed)
	}
}

// obtainPermit asks the issuer for a permit to send j to the server to, and reports whether j
// may be sent. It does not ask if the server needs none. If the permit is denied, the server
// is excluded from choices for the time that the issuer names.
func (g *Gateway) obtainPermit(ctx context.Context, j *job, to *target) bool {
	k := to.engine.Key()
	to.permit = permit{}
	asked := g.clock.Now()
	need, ok := g.fleet.permitNeed(asked, j.pool, k)
	if !ok {
		return true
	}
	a, issuer, ok := g.peers.askPermit(ctx, enginequeue.PermitRequest{
		Limit: ratelimit.Limit{Server: k, PerSecond: need.perSecond}, Urgent: j.placeReq.Urgent, WarmUp: need.warmUp,
	})
	now := g.clock.Now()
	outcome := "granted"
	switch {
	case !ok && ctx.Err() != nil:
		// The silence is the request's, not the issuer's.
		return false
	case !ok:
		outcome = "unanswered"
		a.WaitMs = permitTimeout
	case a.Unlimited && need.warmUp:
		// An issuer of an earlier version, which knows limits only.
		outcome = "denied"
		a = ratelimit.Answer{WaitMs: permitTimeout}
	case a.Unlimited:
		outcome = "unlimited"
		g.learnLimits([]ratelimit.Limit{{Server: k, Ended: true}}, "gateway")
	case a.Permit == 0:
		outcome = "denied"
	default:
		to.permit = permit{number: a.Permit, issuer: issuer, askedMs: asked, warmUp: need.warmUp}
	}
	g.metrics.permit(outcome, now-asked)
	j.log.WithFields(logrus.Fields{"event": "permit", "server": k.ID, "perSecond": need.perSecond, "warmUp": need.warmUp, "outcome": outcome, "tookMs": int64(now - asked), "waitMs": int64(a.WaitMs)}).Info()
	if a.Unlimited || a.Permit > 0 {
		return true
	}
	if j.limitedMs == 0 {
		j.limitedMs = asked
	}
	until := now + max(a.WaitMs, 1)
	j.pool.withTable(func(t *place.ServerTable) { t.SetLimited(k.ID, j.placeReq.Urgent, until) })
	return false
}

// mayBeSent reports whether the server to may be sent a request of j now: it needs no permit,
// or the request has one that is still valid.
func (g *Gateway) mayBeSent(now clock.Millis, j *job, to target) bool {
	need, ok := g.fleet.permitNeed(now, j.pool, to.engine.Key())
	return !ok || to.permit.allows(now, need)
}

// limitWaitEnd returns until when j may wait for servers at their limits.
func (j *job) limitWaitEnd() clock.Millis {
	if j.route.TargetMs <= 0 {
		return j.limitedMs + defaultLimitWait
	}
	return j.limitedMs + j.route.TargetMs/limitWaitDivisor
}

// awaitLimit waits until a server that is at its limit may take j, if all others are
// excluded and j may wait for so long. It reports whether j is to choose a server again.
func (g *Gateway) awaitLimit(ctx context.Context, j *job, exclude []string) bool {
	now := g.clock.Now()
	var at clock.Millis
	var limited, ok bool
	j.pool.withTable(func(t *place.ServerTable) { at, limited, ok = t.NextAvailable(now, j.placeReq, exclude) })
	if !ok || !limited {
		return false
	}
	if j.limitedMs == 0 {
		j.limitedMs = now
	}
	return at <= j.limitWaitEnd() && at < j.timeoutMs-minTimeLeft && g.clock.Sleep(ctx, at-now) == nil
}

// noServerReason returns the reason of the refusal of j if no server may take it.
func (j *job) noServerReason() string {
	if j.limitedMs > 0 {
		return "serversLimited"
	}
	return "noServer"
}

// permitInterval returns the mean time between two permits that this gateway can expect for
// the servers of a pool, if all of them have limits.
func (g *Gateway) permitInterval(p *pool) clock.Millis {
	perSecond := 0.0
	now := g.clock.Now()
	for _, k := range p.keys() {
		if need, ok := g.fleet.permitNeed(now, p, k); ok {
			perSecond += need.perSecond
		}
	}
	if perSecond <= 0 {
		return 0
	}
	return clock.Millis(float64(clock.Second) * float64(max(g.gatewayCount.Load(), 1)) / perSecond)
}

// keys returns the servers of the pool that may take requests.
func (p *pool) keys() []servers.Key {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]servers.Key, 0, len(p.engines))
	for _, e := range p.engines {
		out = append(out, e.Key())
	}
	return out
}

// nameLimit records the limit of a server, and reports whether it is new or has changed.
func (v *fleetView) nameLimit(now clock.Millis, k servers.Key, perSecond float64) bool {
	v.noticeMu.Lock()
	changed := v.limits.Name(now, k, perSecond)
	v.noticeMu.Unlock()
	if changed {
		v.setPaced(k, true)
	}
	return changed
}

// endLimit records that a server no longer has a limit, and reports whether it had one. The
// server may be chosen again at once.
func (v *fleetView) endLimit(k servers.Key) bool {
	v.noticeMu.Lock()
	ended := v.limits.End(k)
	v.noticeMu.Unlock()
	if ended {
		v.setPaced(k, false)
	}
	return ended
}

// setPaced records in the table of the server's pool whether the server has a limit.
func (v *fleetView) setPaced(k servers.Key, paced bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, p := range v.pools {
		p.mu.Lock()
		if p.engines[k.ID].Key() == k {
			p.table.SetPaced(k.ID, paced)
		}
		p.mu.Unlock()
	}
}

// limit returns the limit of a server; ok is false if it has named none.
func (v *fleetView) limit(k servers.Key) (perSecond float64, ok bool) {
	v.noticeMu.Lock()
	defer v.noticeMu.Unlock()
	return v.limits.Limit(k)
}

// limitReportDue reports whether the limit that a server has named is to be reported to the
// issuer of its permits.
func (v *fleetView) limitReportDue(now clock.Millis, k servers.Key, changed bool) bool {
	v.noticeMu.Lock()
	defer v.noticeMu.Unlock()
	return v.limits.ReportDue(now, k, changed)
}

// limitLogDue reports whether the limit of a server is to be logged.
func (v *fleetView) limitLogDue(now clock.Millis, k servers.Key) bool {
	v.noticeMu.Lock()
	defer v.noticeMu.Unlock()
	return v.limits.LogDue(now, k)
}

// limitCount returns the number of servers with a limit.
func (v *fleetView) limitCount() int {
	v.noticeMu.Lock()
	defer v.noticeMu.Unlock()
	return v.limits.Len()
}

// permitIssuerLocked returns the gateway that issues the permits for a server; nil if there
// is none. t.mu is held.
func (t *peerTable) permitIssuerLocked(server string) *peer {
	return t.electLocked(server, func(p *peer) bool { return p.issuesPermits })
}

// reportLimit reports a limit, or its end, to the issuer of the server's permits. If to is
// given, it does so only if that is still the connection to the issuer.
func (t *peerTable) reportLimit(to *dispatch.Link, m enginequeue.LimitReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.permitIssuerLocked(m.Limit.Server.ID); p != nil && (to == nil || to == p.link) {
		p.link.Notify(enginequeue.MethodLimit, m)
	}
}

// askPermit asks the issuer of a server's permits for one. It returns the answer and the
// connection to the issuer; ok is false if there was no answer within permitTimeout.
func (t *peerTable) askPermit(ctx context.Context, m enginequeue.PermitRequest) (a ratelimit.Answer, issuer *dispatch.Link, ok bool) {
	answer := make(chan ratelimit.Answer, 1)
	t.mu.Lock()
	p := t.permitIssuerLocked(m.Limit.Server.ID)
	if p == nil {
		t.mu.Unlock()
		return a, nil, false
	}
	t.lastAsk++
	m.ID, issuer = t.lastAsk, p.link
	t.permitAsks[m.ID] = answer
	issuer.Notify(enginequeue.MethodPermit, m)
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		delete(t.permitAsks, m.ID)
		t.mu.Unlock()
	}()
	timeout := time.NewTimer(permitTimeout.Duration())
	defer timeout.Stop()
	select {
	case a = <-answer:
		return a, issuer, true
	case <-ctx.Done():
	case <-timeout.C:
	}
	return a, nil, false
}

// receivePermit passes the answer of an issuer to the request that asked for a permit, if
// that still waits.
func (t *peerTable) receivePermit(r enginequeue.PermitReply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if answer := t.permitAsks[r.ID]; answer != nil {
		delete(t.permitAsks, r.ID)
		answer <- r.Answer
	}
}

// setDuties records whether a peer answers requests for permits and examines suspected
// requests.
func (t *peerTable) setDuties(p *peer, issuesPermits, examines bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p.issuesPermits, p.examines = issuesPermits, examines
}

// reachableShare returns the part of the known gateways, this one included, that are up and
// of which connected have a connection to this one. The others may have elected an issuer of
// their own for the same servers.
func (t *peerTable) reachableShare(connected int) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	up := 0
	for _, p := range t.peers {
		if p.up {
			up++
		}
	}
	return float64(max(min(up, connected), 1)) / float64(max(len(t.peers), up, 1))
}
