// Package metrics sets up a tally scope that is read over HTTP.
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
	prefix      = "damaskport"
	reportEvery = time.Second
)

// Root is the root scope of one process.
type Root struct {
	tally.Scope
	io.Closer
	// Handler serves /metrics.
	Handler http.Handler
}

// New returns a Root that shares nothing with other roots.
func New() *Root {
	registry := prom.NewRegistry()
	r := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: prefix, CachedReporter: r, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportEvery)
	return &Root{Scope: scope, Closer: closer, Handler: r.HTTPHandler()}
}
