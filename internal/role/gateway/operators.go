package gateway

import (
	"context"
	"net"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/policy/socketbuffer"
	"github.com/damaskport/damaskport/internal/policy/startup"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/listen"
)

// metricsSetting is the setting of the address for operators. Requests don't need it, so the gateway
// serves them while something else has it.
const metricsSetting = "metricsAddr"

// serveMetrics serves the endpoints for operators until ctx ends.
func (g *Gateway) serveMetrics(ctx context.Context) error {
	ln := g.metricsLn
	if ln == nil {
		if ln = g.awaitMetricsAddress(ctx); ln == nil {
			return nil
		}
	}
	return g.serveOperators(ctx, g.operatorHandler(), ln)
}

// awaitMetricsAddress returns a listener on the address for operators once it can be had, or nil when
// ctx ends.
func (g *Gateway) awaitMetricsAddress(ctx context.Context) net.Listener {
	var state startup.State
	var told startup.Told
	for {
		lns, err := listen.All(listen.Address{Setting: metricsSetting, HostPort: g.metricsAddr, Buffers: socketbuffer.Floor()})
		if err == nil {
			g.log.WithFields(logrus.Fields{"event": "metricsServed", "addr": g.metricsAddr}).Info("the address for operators is served")
			return g.buffers.Listener(lns[0], socketbuffer.Operator)
		}
		var d startup.Decision
		now := g.clock.Now()
		state, d = state.WithFailure(now, startup.TakenAddress, clock.Millis(g.Settings().Bounds.GraceS*float64(clock.Second)))
		var due bool
		if told, due = told.WithFailure(now, err.Error()); due {
			g.log.WithFields(logrus.Fields{"event": "metricsWait", "waitedMs": d.WaitedMs}).WithFields(listen.HolderFields(err)).Warn(err)
		}
		if g.clock.Sleep(ctx, d.RetryMs) != nil {
			return nil
		}
	}
}
