package gateway

import (
	"math"
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/routing"
	"github.com/damaskport/damaskport/internal/state/servers"
	"github.com/damaskport/damaskport/internal/state/versions"
)

// warmUpPermitLifetime is permitLifetime for servers that warm up, which bear less above their
// rate.
const warmUpPermitLifetime = 250 * clock.Millisecond

// permitNeed is the need of permits for requests to a server.
type permitNeed struct {
	// perSecond is the requests a second that the server accepts from all gateways together.
	perSecond float64
	// warmUp is set if it accepts so few because it warms up, or may do so.
	warmUp bool
}

// allows reports whether a permit is valid for a server with a need.
func (p permit) allows(now clock.Millis, need permitNeed) bool {
	lifetime := permitLifetime
	if need.warmUp {
		lifetime = warmUpPermitLifetime
	}
	return p.number > 0 && (p.warmUp || !need.warmUp) && now-p.askedMs <= lifetime
}

// permitNeed returns the need of permits for requests to a server of p; ok is false if none
// are needed. While the server warms up, the smaller of its two limits holds.
func (v *fleetView) permitNeed(now clock.Millis, p *pool, k servers.Key) (need permitNeed, ok bool) {
	rate := p.warmUpPerSecond()
	v.noticeMu.Lock()
	defer v.noticeMu.Unlock()
	need.perSecond, ok = v.limits.Limit(k)
	if rate <= 0 || !v.warmUps.Cold(now, v.startsAsOf(), k) {
		return need, ok
	}
	if !ok || rate < need.perSecond {
		need.perSecond = rate
	}
	return permitNeed{perSecond: need.perSecond, warmUp: true}, true
}

// setWarmUp applies the configuration of the pool; nil if it lacks the pool.
func (p *pool) setWarmUp(cfg *routing.Pool) {
	rate := 0.0
	if cfg != nil {
		rate = cfg.WarmUpPerSecond
	}
	p.warmUpRate.Store(math.Float64bits(rate))
}

// warmUpPerSecond returns the requests a second that a server of the pool accepts while it
// warms up; 0 for no limit.
func (p *pool) warmUpPerSecond() float64 { return math.Float64frombits(p.warmUpRate.Load()) }

// paceWarmUps records in the table which servers need permits; p.mu is held. Warm-ups end
// without a message.
func (p *pool) paceWarmUps(v *fleetView) {
	if p.warmUpPerSecond() <= 0 {
		return
	}
	now := v.clock.Now()
	for id, e := range p.engines {
		_, paced := v.permitNeed(now, p, e.Key())
		p.table.SetPaced(id, paced)
	}
}

// limitsWarmUps reports whether a pool limits the requests to servers that warm up.
func (v *fleetView) limitsWarmUps() bool {
	cfg := v.config()
	return cfg != nil && slices.ContainsFunc(cfg.Pools, func(p routing.Pool) bool { return p.WarmUpPerSecond > 0 })
}

// warmingCount returns the number of servers that need permits because they warm up.
func (v *fleetView) warmingCount() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	n, now := 0, v.clock.Now()
	for _, p := range v.pools {
		if p.warmUpPerSecond() <= 0 {
			continue
		}
		for _, k := range p.keys() {
			if need, ok := v.permitNeed(now, p, k); ok && need.warmUp {
				n++
			}
		}
	}
	return n
}

// noteWarmUp records the warm-up time in an entry, and reports whether the server's warm-up
// begins or ends otherwise than was known, which the other gateways have to know.
func (v *fleetView) noteWarmUp(now clock.Millis, s servers.Server) (changed bool) {
	v.noticeMu.Lock()
	changed = v.warmUps.Entry(now, s)
	v.noticeMu.Unlock()
	cfg := v.config()
	if !changed || cfg == nil {
		return false
	}
	p := cfg.Pool(s.Pool)
	if p == nil || p.WarmUpPerSecond <= 0 {
		return false
	}
	v.log.WithFields(logrus.Fields{
		"event": "serverWarmsUp", "server": s.ID, "start": s.Start, "leftMs": int64(s.WarmUpMs), "perSecond": p.WarmUpPerSecond, "by": "entry",
	}).Info()
	return true
}

// mayWarmUp records that a server of p may have become cold: a connection to it has failed, so
// that it may have restarted.
func (v *fleetView) mayWarmUp(p *pool, k servers.Key) {
	rate := p.warmUpPerSecond()
	if rate <= 0 {
		return
	}
	now := v.clock.Now()
	v.noticeMu.Lock()
	begins := v.warmUps.Suspect(now, v.startsAsOf(), k)
	v.noticeMu.Unlock()
	if !begins {
		return
	}
	v.setPaced(k, true)
	v.log.WithFields(logrus.Fields{"event": "serverWarmsUp", "server": k.ID, "start": k.Start, "perSecond": rate, "by": "break"}).Info()
}

// zoneReturned records that an evacuated zone was given back.
func (v *fleetView) zoneReturned(now clock.Millis, zone string) {
	v.noticeMu.Lock()
	defer v.noticeMu.Unlock()
	v.warmUps.ZoneReturned(now, zone)
}

// answered records an answer of a server on a connection that was opened at a time.
func (v *fleetView) answered(p *pool, k servers.Key, openedMs clock.Millis) {
	if p.warmUpPerSecond() <= 0 {
		return
	}
	v.noticeMu.Lock()
	defer v.noticeMu.Unlock()
	v.warmUps.Answered(k, openedMs, versions.ListNeeded(openedMs))
}
