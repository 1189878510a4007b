package process

import (
	"context"
	"net"
	"net/http"

	"github.com/damaskport/damaskport/internal/runtime/crowd"
	"github.com/damaskport/damaskport/internal/runtime/supervise"
)

// AdminServer is the HTTP server for the admin interface of an entry.
type AdminServer struct {
	ln  net.Listener
	mux *http.ServeMux
	// refused is called with the reason of each connection that is closed for a limit; nil if nobody asks.
	refused  func(reason string)
	maxFiles int // that the process may have open; 0 if that is not known
}

func newAdminServer(ln net.Listener) *AdminServer {
	return &AdminServer{ln: ln, mux: http.NewServeMux()}
}

// Addr returns the listening address as host:port.
func (a *AdminServer) Addr() string { return a.ln.Addr().String() }

// URL returns the base URL.
func (a *AdminServer) URL() string { return "http://" + a.Addr() }

// Run serves until ctx ends.
func (a *AdminServer) Run(ctx context.Context) error {
	srv, ln := crowd.Operators(a.ln, a.mux, a.maxFiles, a.refused)
	return supervise.Serve(ctx, srv, ln)
}
