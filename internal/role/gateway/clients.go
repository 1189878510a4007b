package gateway

import (
	"context"
	"net"
	"net/http"

	"github.com/damaskport/damaskport/internal/caller/callerconn"
	"github.com/damaskport/damaskport/internal/runtime/crowd"
	"github.com/damaskport/damaskport/internal/runtime/supervise"
)

// boundClients bounds what clients of the gateway's addresses use together.
func (g *Gateway) boundClients() {
	g.refusals = crowd.NewRefusals(g.log, g.clock, g.metrics.root)
	g.callerLn.Bound(callerconn.Bounds{
		Held: g.held, MaxConns: func() int { return crowd.Conns(int(g.Settings().MaxFiles)) }, Refused: g.refusals.Add,
	})
	g.controlLn = crowd.Listen(g.controlLn, crowd.Limits{Conns: crowd.Strangers(int(g.Settings().MaxFiles)), Closed: g.refusals.Add})
}

// serveOperators serves an address for operators until ctx ends.
func (g *Gateway) serveOperators(ctx context.Context, h http.Handler, ln net.Listener) error {
	srv, bounded := crowd.Operators(ln, h, int(g.Settings().MaxFiles), g.refusals.Add)
	return supervise.Serve(ctx, srv, bounded)
}
