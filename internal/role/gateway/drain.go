package gateway

import (
	"context"
	"net/http"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	// rotationOut is how long the platform may still send new connections after
	// the gateway is no longer ready: two checks, a second apart, and a margin.
	rotationOut = 3 * clock.Second
	// lastTaken is how long after that requests are still taken on kept
	// connections, which callers learn to leave from the answers.
	lastTaken = 2 * clock.Second
	// endMargin is the time that the process needs to end.
	endMargin = 600 * clock.Millisecond
)

// Ready reports why the gateway cannot serve; empty means that it can.
func (g *Gateway) Ready() string {
	switch {
	case g.draining.Load():
		return "draining"
	case g.belief.config() == nil:
		return "no configuration yet"
	case !g.belief.listed.Load():
		return "no list of servers yet"
	}
	return ""
}

func (g *Gateway) readyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if why := g.Ready(); why != "" {
			http.Error(w, why, http.StatusServiceUnavailable)
		}
	})
}

// drain finishes the requests in flight: first the platform learns that the
// gateway is not ready, then connections end with their answers, and at last
// no request is taken.
func (g *Gateway) drain(srv *http.Server) {
	grace := clock.Millis(g.Settings().Bounds.GraceS*float64(clock.Second)) - endMargin
	ctx, cancel := context.WithTimeout(context.Background(), grace.Duration())
	defer cancel()
	g.draining.Store(true)
	g.closing.Store(true)
	g.log.WithField("event", "drain").Info("the gateway is no longer ready")
	if g.clock.Sleep(ctx, rotationOut) == nil {
		_ = g.clock.Sleep(ctx, lastTaken)
	}
	g.leaving.Store(true)
	if err := srv.Shutdown(ctx); err != nil {
		g.log.WithField("event", "drainTimeout").Warn(err)
	}
}
