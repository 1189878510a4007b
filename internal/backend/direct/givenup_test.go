package direct_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/damaskport/damaskport/internal/backend/attempt"
	"github.com/damaskport/damaskport/internal/backend/direct"
	"github.com/damaskport/damaskport/internal/proof/cluster"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/tcp"
)

// TestRequestThatWasGivenUpNeverArrives guards against requests that run at a server after a partition, when their
// caller has long been told that they failed. Long bodies have no limit of unacknowledged time.
func TestRequestThatWasGivenUpNeverArrives(t *testing.T) {
	body := strings.Repeat("b", 64<<10)
	for name, send := range map[string]func(ctx context.Context, addr string) error{
		"direct": func(ctx context.Context, addr string) error {
			_, err := direct.NewPool(addr, clock.System{}).Do(ctx, direct.Request{Method: http.MethodPost, Target: "/", Host: addr, Header: http.Header{}, Body: []byte(body)})
			return err
		},
		"through a sidecar": func(ctx context.Context, addr string) error {
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr, strings.NewReader(body))
			if err != nil {
				t.Fatal(err)
			}
			_, err = attempt.New(tcp.NewDialer(time.Second).DialContext, 1).Alone(r, "1")
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var received atomic.Int64
			srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
			defer srv.Close()
			relay := cluster.NewRelay(t, strings.TrimPrefix(srv.URL, "http://"))
			relay.Watch(func([]byte) { relay.Partition() })
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			if err := send(ctx, relay.Addr()); err == nil {
				t.Error("answered during a partition")
			}
			time.Sleep(100 * time.Millisecond)
			relay.Restore()
			time.Sleep(200 * time.Millisecond)
			if n := received.Load(); n != 0 {
				t.Errorf("%d requests arrived after they were given up", n)
			}
		})
	}
}
