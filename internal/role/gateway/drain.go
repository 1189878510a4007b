package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/policy/drain"
	"github.com/damaskport/damaskport/internal/policy/socketbuffer"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// endMargin is the part of the grace period after the drain, in which the last usage
// counts are published. Answers that have begun continue until exitMargin is left,
// in which the process exits.
const (
	endMargin  = 900 * clock.Millisecond
	exitMargin = 300 * clock.Millisecond
)

// answerMargin is how long before the end of the drain requests without an answer
// are abandoned, so that there is time to send their callers a response.
const answerMargin = 150 * clock.Millisecond

// closeAfter is the time from the shutdown signal after which the listener
// closes: by then the platform sends no new connections. In a short drain period
// the listener closes after two thirds of the period.
const closeAfter = 5 * clock.Second

// Ready returns why the gateway is not ready to serve; empty if it is ready.
func (g *Gateway) Ready() string {
	switch {
	case g.draining.Load():
		return "draining"
	case g.overloaded():
		return "overloaded"
	case g.fleet.config() == nil:
		return "configuration not read yet"
	case !g.settled.Load():
		return "other gateways may have a newer configuration"
	case !g.fleet.listed.Load():
		return "server list not read yet"
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

// drainPeriod returns the time from the shutdown signal to the end of the drain:
// the grace period less endMargin.
func (g *Gateway) drainPeriod() clock.Millis {
	return clock.Millis(g.Settings().Bounds.GraceS*float64(clock.Second)) - endMargin
}

// answerPeriod returns the time from the shutdown signal until which an answer has to begin.
func (g *Gateway) answerPeriod() clock.Millis { return g.drainPeriod() - answerMargin }

// drain completes the requests in flight. The readiness check fails at once, so
// that the platform stops sending new connections; connections close after their
// answers, and requests that might not complete in time are refused. At the end,
// the latest usage counts are copied to other gateways; see finishAnswers for the
// answers that are still being sent.
func (g *Gateway) drain() {
	end := g.drainPeriod()
	ctx, cancel := context.WithTimeout(context.Background(), end.Duration())
	defer cancel()
	defer time.AfterFunc(g.answerPeriod().Duration(), g.cancelUnanswered).Stop()
	g.drainMs.Store(int64(g.clock.Now()))
	g.draining.Store(true)
	g.callerLn.CloseAfterAnswers()
	g.log.WithField("event", "drain").Info("the gateway is no longer ready")
	_ = g.clock.Sleep(ctx, min(closeAfter, end*2/3))
	if err := g.callerLn.Shutdown(ctx); err != nil {
		g.log.WithField("event", "drainTimeout").Warn(err)
	}
	g.handOver()
}

// finishAnswers waits for the answers that have not ended with the drain, and for callers to
// read them, until exitMargin is left of the grace period. What servers have sent by then is the
// system's to deliver: no caller has to have read it.
func (g *Gateway) finishAnswers() {
	g.buffers.GiveRest(socketbuffer.Caller)
	end := clock.Millis(g.drainMs.Load()).AddFull(g.drainPeriod() + endMargin - exitMargin)
	left := max(end-g.clock.Now(), 0)
	ctx, cancel := context.WithTimeout(context.Background(), left.Duration())
	defer cancel()
	if err := g.callerLn.Shutdown(ctx); err != nil {
		g.log.WithField("event", "answersCut").Warn(err)
		g.logCut()
	}
	g.callerLn.Wait(ctx)
}

// logCut logs the requests that end with the process.
func (g *Gateway) logCut() {
	g.cut.Store(true)
	now := g.clock.Now()
	for k := range g.serving.Range {
		j := k.(*job)
		g.log.WithFields(logrus.Fields{
			"event": "cutAtExit", "request": j.ID, "route": j.route.Name, "tookMs": int64(now - j.arrivedMs), "leftMs": int64(j.timeoutMs - now),
		}).Warn()
	}
}

// mayExitBefore reports whether the gateway is draining and may give j up before it
// is complete.
func (g *Gateway) mayExitBefore(j *job, now clock.Millis) bool {
	return g.draining.Load() && !drain.Accepts(now-clock.Millis(g.drainMs.Load()), g.answerPeriod(), j.timeoutMs-now)
}
