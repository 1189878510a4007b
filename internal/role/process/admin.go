package process

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/damaskport/damaskport/internal/runtime/supervise"
)

const adminHeaderTimeout = 5 * time.Second

// AdminServer is the HTTP server for the admin interface of an entry.
type AdminServer struct {
	ln  net.Listener
	mux *http.ServeMux
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
	return supervise.Serve(ctx, &http.Server{Handler: a.mux, ReadHeaderTimeout: adminHeaderTimeout}, a.ln)
}
