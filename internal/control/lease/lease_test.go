package lease_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"go.uber.org/goleak"

	"github.com/damaskport/damaskport/internal/control/lease"
	"github.com/damaskport/damaskport/internal/platform/logservice"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/logging"
	"github.com/damaskport/damaskport/internal/standin/platform"
)

const length = 400 * clock.Millisecond

// cutLog is a log that fails once it is cut.
type cutLog struct {
	*logservice.Client
	cut atomic.Bool
}

var errCut = errors.New("cut off from the log")

func (l *cutLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	if l.cut.Load() {
		return 0, errCut
	}
	return l.Client.Append(ctx, stream, data)
}

func (l *cutLog) Read(ctx context.Context, stream string, from int64, limit int, wait clock.Millis) (logservice.Page, error) {
	if l.cut.Load() {
		return logservice.Page{}, errCut
	}
	page, err := l.Client.Read(ctx, stream, from, limit, wait)
	if l.cut.Load() {
		return logservice.Page{}, errCut
	}
	return page, err
}

// holder is a process that wants one lease.
type holder struct {
	log   *cutLog
	stop  context.CancelFunc
	began chan *lease.Tenure
	ended chan *lease.Tenure
	done  chan struct{}
}

func start(t *testing.T, url, name string) *holder {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	h := &holder{
		log:   &cutLog{Client: logservice.New(url, http.DefaultClient)},
		stop:  stop,
		began: make(chan *lease.Tenure, 16),
		ended: make(chan *lease.Tenure, 16),
		done:  make(chan struct{}),
	}
	leases := lease.New(lease.Config{Holder: name, LengthMs: length}, h.log, clock.System{}, logging.Discard())
	kept := make(chan struct{})
	go func() {
		defer close(kept)
		_ = leases.Keep(ctx, "capacity/assistant", func(ctx context.Context, ten *lease.Tenure) error {
			h.began <- ten
			<-ctx.Done()
			h.ended <- ten
			return ctx.Err()
		})
	}()
	go func() {
		defer close(h.done)
		_ = leases.Run(ctx)
		<-kept
	}()
	return h
}

func startPlatform(t *testing.T) string {
	t.Helper()
	p := platform.New(platform.Config{})
	srv := httptest.NewServer(p.Handler())
	t.Cleanup(func() {
		srv.Close()
		http.DefaultClient.CloseIdleConnections()
		goleak.VerifyNone(t)
	})
	return srv.URL
}

// TestReleaseOnStop has the holder stop as planned: its duty ends first, and
// the next holder need not wait for a whole lease.
func TestReleaseOnStop(t *testing.T) {
	url := startPlatform(t)
	a := start(t, url, "a")
	first := <-a.began
	b := start(t, url, "b")
	a.stop()
	<-a.done
	if ten := <-a.ended; ten != first || ten.Remaining() > 0 {
		t.Errorf("term %d ended with %d ms remaining", ten.Term(), ten.Remaining())
	}
	second := <-b.began
	if second.Term() <= first.Term() {
		t.Errorf("term %d after %d", second.Term(), first.Term())
	}
	b.stop()
	<-b.done
}

// TestCutHolder cuts the holder off from the log: its duty's context ends and
// its tenure is over before the next one begins, and stays so when it is back.
func TestCutHolder(t *testing.T) {
	url := startPlatform(t)
	a := start(t, url, "a")
	first := <-a.began
	b := start(t, url, "b")
	a.log.cut.Store(true)
	second := <-b.began
	if rest := first.Remaining(); rest > 0 {
		t.Errorf("old holder has %d ms remaining when the new one begins", rest)
	}
	<-a.ended
	a.log.cut.Store(false)
	b.stop()
	<-b.done
	third := <-a.began
	if first.Remaining() > 0 || second.Remaining() > 0 || third.Term() <= second.Term() || second.Term() <= first.Term() {
		t.Errorf("terms %d, %d, %d; remaining %d, %d", first.Term(), second.Term(), third.Term(), first.Remaining(), second.Remaining())
	}
	a.stop()
	<-a.done
}

// TestFailedDutyGivesTheLeaseAway has a duty fail while it holds the lease.
func TestFailedDutyGivesTheLeaseAway(t *testing.T) {
	url := startPlatform(t)
	ctx, stop := context.WithCancel(t.Context())
	log := logservice.New(url, http.DefaultClient)
	leases := lease.New(lease.Config{Holder: "a", LengthMs: length}, log, clock.System{}, logging.Discard())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = leases.Run(ctx)
	}()
	broken := errors.New("broken")
	err := leases.Keep(ctx, "capacity/assistant", func(context.Context, *lease.Tenure) error { return broken })
	if !errors.Is(err, broken) {
		t.Errorf("Keep = %v, want the error of the duty", err)
	}
	b := start(t, url, "b")
	<-b.began
	b.stop()
	<-b.done
	stop()
	<-done
}
