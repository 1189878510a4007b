package fenced_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/damaskport/damaskport/internal/platform/fenced"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// script gives its values one after the other, and then the last one.
type script struct {
	rest []clock.Millis
	i    atomic.Int64
}

func (s *script) Remaining() clock.Millis {
	i := int(s.i.Add(1)) - 1
	return s.rest[min(i, len(s.rest)-1)]
}

// TestNothingSentAfterTheLease has the lease end at each check of a request.
func TestNothingSentAfterTheLease(t *testing.T) {
	var received atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
	defer srv.Close()
	for checks := range 3 {
		g := &script{rest: []clock.Millis{0}}
		for range checks {
			g.rest = append([]clock.Millis{10_000}, g.rest...)
		}
		_, err := fenced.Post(t.Context(), srv.URL, []byte(`{}`), g)
		var lapsed *fenced.LapsedError
		if !errors.As(err, &lapsed) || lapsed.Sent {
			t.Errorf("lease ended at check %d: %v, want LapsedError with nothing sent", checks, err)
		}
	}
	if n := received.Load(); n != 0 {
		t.Errorf("%d requests received after the lease", n)
	}
	_, err := fenced.Post(t.Context(), srv.URL, []byte(`{}`), &script{rest: []clock.Millis{10_000}})
	if diff := cmp.Diff([]any{nil, int64(1)}, []any{err, received.Load()}); diff != "" {
		t.Errorf("within the lease (-want +got):\n%s", diff)
	}
}

// TestSilentPlatform gets no answer, and must end with the lease.
func TestSilentPlatform(t *testing.T) {
	stop := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-stop:
		case <-r.Context().Done():
		}
	}))
	defer srv.Close()
	defer close(stop)
	clk := clock.System{}
	until := clk.Now() + 200
	_, err := fenced.Post(context.Background(), srv.URL, []byte(`{}`), guardFunc(func() clock.Millis { return until - clk.Now() }))
	var lapsed *fenced.LapsedError
	if !errors.As(err, &lapsed) || !lapsed.Sent {
		t.Errorf("silent platform: %v, want LapsedError with the request sent", err)
	}
}

type guardFunc func() clock.Millis

func (f guardFunc) Remaining() clock.Millis { return f() }
