package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/damaskport/damaskport/internal/policy/drain"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// endMargin is the time that the process needs to end: its last counts are
// published in the first part of it.
const endMargin = 900 * clock.Millisecond

// answerMargin is how long before the process ends requests without an answer
// are given up: their callers are told meanwhile.
const answerMargin = 150 * clock.Millisecond

// closeAfter is when the listener closes: by then the platform sends no new
// connections.
const closeAfter = 5 * clock.Second

// Ready reports why the gateway cannot serve; empty means that it can.
func (g *Gateway) Ready() string {
	switch {
	case g.draining.Load():
		return "draining"
	case g.overloaded():
		return "overloaded"
	case g.fleet.config() == nil:
		return "no configuration yet"
	case !g.settled.Load():
		return "others may know a newer configuration"
	case !g.fleet.listed.Load():
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

// drainPeriod is the time from the signal to the process's end.
func (g *Gateway) drainPeriod() clock.Millis {
	return clock.Millis(g.Settings().Bounds.GraceS*float64(clock.Second)) - endMargin
}

// drain finishes the requests in flight: first the platform learns that the
// gateway is not ready, connections end with their answers, and requests that
// cannot end in time are refused.
func (g *Gateway) drain(srv *http.Server) {
	end := g.drainPeriod()
	ctx, cancel := context.WithTimeout(context.Background(), end.Duration())
	defer cancel()
	defer time.AfterFunc((end - answerMargin).Duration(), g.cancelUnanswered).Stop()
	g.drainMs.Store(int64(g.clock.Now()))
	g.draining.Store(true)
	g.log.WithField("event", "drain").Info("the gateway is no longer ready")
	_ = g.clock.Sleep(ctx, min(closeAfter, end*2/3))
	if err := srv.Shutdown(ctx); err != nil {
		g.log.WithField("event", "drainTimeout").Warn(err)
	}
	g.handOver()
}

// endsBefore reports whether the gateway may end before j does.
func (g *Gateway) endsBefore(j *job, now clock.Millis) bool {
	return g.draining.Load() && !drain.Accepts(now-clock.Millis(g.drainMs.Load()), g.drainPeriod(), j.timeoutMs-now)
}
