package sidecar

import (
	"context"
	"net/http"

	"github.com/damaskport/damaskport/internal/runtime/crowd"
	"github.com/damaskport/damaskport/internal/runtime/supervise"
)

// serveAdmin serves /healthz, /readyz and /metrics on the admin address until
// ctx ends. /readyz answers 503 until the sidecar has a configuration.
func (s *Sidecar) serveAdmin(ctx context.Context) error {
	if s.adminLn == nil {
		<-ctx.Done()
		return nil
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if s.store.Current().Version() == 0 {
			http.Error(w, "not ready: no configuration yet", http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	mux.Handle("GET /metrics", s.metrics.Handler)
	srv, ln := crowd.Operators(s.adminLn, mux, s.maxFiles, s.refusals.Add)
	return supervise.Serve(ctx, srv, ln)
}

// AdminURL returns the base URL of the admin address, or "" if none is configured.
func (s *Sidecar) AdminURL() string {
	if s.adminLn == nil {
		return ""
	}
	return "http://" + s.adminLn.Addr().String()
}
