package gateway

import (
	"net"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/caller/callerconn"
	"github.com/damaskport/damaskport/internal/operator/settings"
	"github.com/damaskport/damaskport/internal/policy/socketbuffer"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/tcp"
)

// NewBuffers returns the buffers of the connections of a gateway with these settings.
func NewBuffers(cfg settings.Gateway, log logrus.FieldLogger) *tcp.Buffers {
	return tcp.NewBuffers(socketbuffer.NewBudget(int(cfg.MemoryMb*(1<<20)), int(cfg.MaxFiles)), log)
}

// limitBuffers takes the listeners for other gateways, metrics, readiness and callers, in this order,
// and limits the buffers of the connections they accept.
func (g *Gateway) limitBuffers(lns []net.Listener, c clock.Clock) {
	g.controlLn = g.buffers.Listener(lns[0], socketbuffer.Gateway)
	if lns[1] != nil {
		g.metricsAddr = lns[1].Addr().String()
		g.metricsLn = g.buffers.Listener(lns[1], socketbuffer.Operator)
	}
	g.readyLn = g.buffers.Listener(lns[2], socketbuffer.Operator)
	g.callerLn = callerconn.NewListener(g.buffers.Listener(lns[3], socketbuffer.Caller), c, g.connLimits)
	g.metrics.root.Observe(g.observeMemory)
}
