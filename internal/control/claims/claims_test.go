package claims_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/damaskport/damaskport/internal/control/claims"
	"github.com/damaskport/damaskport/internal/peer/dispatch"
	"github.com/damaskport/damaskport/internal/platform/logservice"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/logging"
	"github.com/damaskport/damaskport/internal/runtime/supervise"
	"github.com/damaskport/damaskport/internal/standin/platform"
)

// startSidecar starts Claims on the log at base. The returned function stops them as
// in a planned stop and waits until their tasks have ended.
func startSidecar(t *testing.T, base, incarnation string) (*claims.Claims, func()) {
	t.Helper()
	cfg := claims.Config{Incarnation: incarnation, Shards: 1, WindowMs: clock.Hour, TimeoutMs: 5 * clock.Second}
	c := claims.New(cfg, logservice.New(base, http.DefaultClient), clock.System{}, logging.Discard())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- supervise.New("claims", logging.Discard(), clock.System{}).Run(ctx, c.Tasks()...) }()
	return c, func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

// TestPlannedStopRecordsOutcomes guards against a lost outcome, after which a retry
// could not be answered with the first status: a sidecar is stopped directly after an
// attempt has ended, and its successor must find the recorded outcome.
func TestPlannedStopRecordsOutcomes(t *testing.T) {
	srv := httptest.NewServer(platform.New(platform.Config{}).Handler())
	defer srv.Close()
	first, stop := startSidecar(t, srv.URL, "first")
	if r, ok := first.Claim(t.Context(), "harbour", "/booking", "k", "attempt-1"); !ok {
		t.Fatalf("refused: %+v", r)
	}
	first.Finish("attempt-1", http.StatusCreated)
	stop()
	second, stop := startSidecar(t, srv.URL, "second")
	defer stop()
	r, ok := second.Claim(t.Context(), "harbour", "/booking", "k", "attempt-2")
	want := dispatch.Refusal{Code: dispatch.CodeAlreadyDone, DoneStatus: http.StatusCreated, Message: r.Message}
	if diff := cmp.Diff(want, r); ok || diff != "" {
		t.Fatalf("second claim: ok %t, refusal (-want +got):\n%s", ok, diff)
	}
}
