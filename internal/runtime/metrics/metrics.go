// Package metrics creates a process's root metrics scope and serves its metrics over HTTP
// in the Prometheus text format.
package metrics

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const (
	metricPrefix   = "damaskport"
	reportInterval = time.Second
)

// Root is the root scope of a process's metrics. Close stops its periodic reporting.
type Root struct {
	tally.Scope
	io.Closer
	// Handler answers scrapes of /metrics.
	Handler  http.Handler
	registry *prom.Registry
}

// New returns a Root with its own Prometheus registry, so that several roots in one
// process (as in tests) do not share metrics.
func New() *Root {
	registry := prom.NewRegistry()
	r := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: metricPrefix, CachedReporter: r, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	return &Root{Scope: scope, Closer: closer, Handler: r.HTTPHandler(), registry: registry}
}
