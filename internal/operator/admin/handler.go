package admin

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/peer/config"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const defaultTimeoutMs = 5 * clock.Second

// Appender adds records to a stream; see logservice.Client.Append.
type Appender interface {
	Append(ctx context.Context, stream string, data []byte) (int64, error)
}

// Deps is what the handler works with.
type Deps struct {
	// Store must be kept current by a reader of the log.
	Store    *config.Store
	Appender Appender
	// Spread sends the configuration up to version to the other processes
	// and returns the number of those that confirmed it; nil sends nothing.
	Spread func(ctx context.Context, version int64) int
	Status func() Status
	// Ready returns why the process is not ready, or nil.
	Ready   func() error
	Metrics http.Handler
	Logger  logrus.FieldLogger
	// TimeoutMs bounds one change; 0 takes a default.
	TimeoutMs clock.Millis
}

// New returns the handler of the operators' address.
func New(deps Deps) http.Handler {
	if deps.TimeoutMs <= 0 {
		deps.TimeoutMs = defaultTimeoutMs
	}
	c := &changer{deps: deps, unconfirmed: map[string]bool{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/config/changes", c.serve)
	mux.HandleFunc("GET /v1/config", func(w http.ResponseWriter, _ *http.Request) { serveConfig(w, deps.Store) })
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, deps.Status())
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "ok") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) { serveReady(w, deps.Ready) })
	if deps.Metrics != nil {
		mux.Handle("GET /metrics", deps.Metrics)
	}
	return mux
}

// serveConfig answers with the state, without the digests of keys.
func serveConfig(w http.ResponseWriter, store *config.Store) {
	snap := store.Current().ToSnapshot()
	for i := range snap.Keys {
		snap.Keys[i].Digest = ""
	}
	writeJSON(w, http.StatusOK, snap)
}

func serveReady(w http.ResponseWriter, ready func() error) {
	if err := ready(); err != nil {
		writeText(w, http.StatusServiceUnavailable, "not ready: "+err.Error())
		return
	}
	writeText(w, http.StatusOK, "ready")
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n"))
}
