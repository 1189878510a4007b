package gateway

import (
	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/servers"
)

// applyLimit applies what an answer of the server k says of its limit.
func (g *Gateway) applyLimit(now clock.Millis, k servers.Key, r Reply) {
	if r.WrongServer || !r.HasLimit {
		return
	}
	if g.fleet.nameLimit(now, k, r.Limit) {
		g.metrics.countNotice("limit")
		g.log.WithFields(logrus.Fields{"event": "serverLimit", "server": k.ID, "start": k.Start, "perSecond": r.Limit}).Info()
	}
}

// nameLimit records the limit of a server, and reports whether it is news.
func (v *fleetView) nameLimit(now clock.Millis, k servers.Key, perSecond float64) bool {
	v.noticeMu.Lock()
	defer v.noticeMu.Unlock()
	return v.limits.Name(now, k, perSecond)
}

// limit returns the limit of a server; ok is false if it has named none.
func (v *fleetView) limit(k servers.Key) (perSecond float64, ok bool) {
	v.noticeMu.Lock()
	defer v.noticeMu.Unlock()
	return v.limits.Limit(k)
}

// limitCount returns the number of servers with a limit.
func (v *fleetView) limitCount() int {
	v.noticeMu.Lock()
	defer v.noticeMu.Unlock()
	return v.limits.Len()
}
