package fenced_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/damaskport/damaskport/internal/platform/fenced"
	"github.com/damaskport/damaskport/internal/proof/cluster"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// guardSequence is a Guard that returns one value of remaining per call, and then the
// last one again.
type guardSequence struct {
	remaining []clock.Millis
	calls     atomic.Int64
}

func (s *guardSequence) Remaining() clock.Millis {
	i := int(s.calls.Add(1)) - 1
	return s.remaining[min(i, len(s.remaining)-1)]
}

// TestNothingSentAfterLeaseEnds checks that the platform receives nothing if the
// lease ends at any of the checks during a request.
func TestNothingSentAfterLeaseEnds(t *testing.T) {
	var received atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
	defer srv.Close()
	for checks := range 3 {
		g := &guardSequence{remaining: []clock.Millis{0}}
		for range checks {
			g.remaining = append([]clock.Millis{10_000}, g.remaining...)
		}
		_, err := fenced.Post(t.Context(), srv.URL, []byte(`{}`), g)
		var lapsed *fenced.LapsedError
		if !errors.As(err, &lapsed) || lapsed.Sent {
			t.Errorf("lease ended at check %d: %v, want LapsedError with nothing sent", checks, err)
		}
	}
	if n := received.Load(); n != 0 {
		t.Errorf("%d requests received after the lease ended", n)
	}
	_, err := fenced.Post(t.Context(), srv.URL, []byte(`{}`), &guardSequence{remaining: []clock.Millis{10_000}})
	if diff := cmp.Diff([]any{nil, int64(1)}, []any{err, received.Load()}); diff != "" {
		t.Errorf("error and requests received while the lease is held (-want +got):\n%s", diff)
	}
}

// TestNoAnswerUntilLeaseEnds checks that a request without an answer ends with the
// lease.
func TestNoAnswerUntilLeaseEnds(t *testing.T) {
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
		t.Errorf("no answer from the platform: %v, want LapsedError with the request sent", err)
	}
}

// guardFunc is a Guard that calls a function.
type guardFunc func() clock.Millis

func (f guardFunc) Remaining() clock.Millis { return f() }

// TestAbandonedRequestNeverArrives guards against a request of the holder of a lease that arrives after the lease
// has ended, once a partition is over.
func TestAbandonedRequestNeverArrives(t *testing.T) {
	var received atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
	defer srv.Close()
	relay := cluster.NewRelay(t, strings.TrimPrefix(srv.URL, "http://"))
	relay.Watch(func([]byte) { relay.Partition() })
	clk := clock.System{}
	until := clk.Now() + 300
	_, err := fenced.Post(t.Context(), relay.URL(), []byte(`{}`), guardFunc(func() clock.Millis { return until - clk.Now() }))
	var lapsed *fenced.LapsedError
	if !errors.As(err, &lapsed) || !lapsed.Sent {
		t.Errorf("request during a partition: %v, want LapsedError with the request sent", err)
	}
	relay.Restore()
	time.Sleep(200 * time.Millisecond)
	if n := received.Load(); n != 0 {
		t.Errorf("%d requests arrived after the lease", n)
	}
}
