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

// leaseLength is short, so that leases end quickly in the tests.
const leaseLength = 400 * clock.Millisecond

// partitionedLog is a log client that fails all calls while it is disconnected.
type partitionedLog struct {
	*logservice.Client
	disconnected atomic.Bool
}

var errDisconnected = errors.New("disconnected from the log")

func (l *partitionedLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	if l.disconnected.Load() {
		return 0, errDisconnected
	}
	return l.Client.Append(ctx, stream, data)
}

func (l *partitionedLog) Read(ctx context.Context, stream string, from int64, limit int, wait clock.Millis) (logservice.Page, error) {
	if l.disconnected.Load() {
		return logservice.Page{}, errDisconnected
	}
	page, err := l.Client.Read(ctx, stream, from, limit, wait)
	if l.disconnected.Load() {
		return logservice.Page{}, errDisconnected
	}
	return page, err
}

// process is a process that wants one lease. It sends each Tenure to started when its
// task starts, and to ended when the task ends.
type process struct {
	log     *partitionedLog
	stop    context.CancelFunc
	started chan *lease.Tenure
	ended   chan *lease.Tenure
	done    chan struct{}
}

// start runs a process that wants the lease capacity/assistant.
func start(t *testing.T, url, name string) *process {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	p := &process{
		log:     &partitionedLog{Client: logservice.New(url, http.DefaultClient)},
		stop:    stop,
		started: make(chan *lease.Tenure, 16),
		ended:   make(chan *lease.Tenure, 16),
		done:    make(chan struct{}),
	}
	leases := lease.New(lease.Config{Holder: name, LengthMs: leaseLength}, p.log, clock.System{}, logging.Discard())
	keepReturned := make(chan struct{})
	go func() {
		defer close(keepReturned)
		_ = leases.Keep(ctx, "capacity/assistant", func(ctx context.Context, tenure *lease.Tenure) error {
			p.started <- tenure
			<-ctx.Done()
			p.ended <- tenure
			return ctx.Err()
		})
	}()
	go func() {
		defer close(p.done)
		_ = leases.Run(ctx)
		<-keepReturned
	}()
	return p
}

// startPlatform runs a platform stand-in until the test ends and returns its URL.
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

// TestPlannedStopReleasesLease stops the holder as planned: its task must end before
// the lease is released, and the next holder must not have to wait for the lease to
// run out.
func TestPlannedStopReleasesLease(t *testing.T) {
	url := startPlatform(t)
	a := start(t, url, "a")
	first := <-a.started
	b := start(t, url, "b")
	a.stop()
	<-a.done
	if tenure := <-a.ended; tenure != first || tenure.Remaining() > 0 {
		t.Errorf("tenure with term %d ended with %d ms remaining, want at most 0", tenure.Term(), tenure.Remaining())
	}
	second := <-b.started
	if second.Term() <= first.Term() {
		t.Errorf("second holder has term %d, want more than %d", second.Term(), first.Term())
	}
	b.stop()
	<-b.done
}

// TestDisconnectedHolderLosesLease guards against two processes that act under the
// same lease: the holder loses its connection to the log. Its Tenure and its task
// must end before the next Tenure begins, and the old Tenure must stay ended after
// the log is reachable again.
func TestDisconnectedHolderLosesLease(t *testing.T) {
	url := startPlatform(t)
	a := start(t, url, "a")
	first := <-a.started
	b := start(t, url, "b")
	a.log.disconnected.Store(true)
	second := <-b.started
	if remaining := first.Remaining(); remaining > 0 {
		t.Errorf("old holder has %d ms of its lease remaining when the new one begins", remaining)
	}
	<-a.ended
	a.log.disconnected.Store(false)
	b.stop()
	<-b.done
	third := <-a.started
	if first.Remaining() > 0 || second.Remaining() > 0 || third.Term() <= second.Term() || second.Term() <= first.Term() {
		t.Errorf("terms %d, %d, %d, want them ascending; first two tenures have %d and %d ms remaining, want at most 0", first.Term(), second.Term(), third.Term(), first.Remaining(), second.Remaining())
	}
	a.stop()
	<-a.done
}

// TestFailedTaskReleasesLease checks that Keep returns the error of a task that fails
// while it holds the lease, and that another process then acquires the lease.
func TestFailedTaskReleasesLease(t *testing.T) {
	url := startPlatform(t)
	ctx, stop := context.WithCancel(t.Context())
	log := logservice.New(url, http.DefaultClient)
	leases := lease.New(lease.Config{Holder: "a", LengthMs: leaseLength}, log, clock.System{}, logging.Discard())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = leases.Run(ctx)
	}()
	errTask := errors.New("task failed")
	err := leases.Keep(ctx, "capacity/assistant", func(context.Context, *lease.Tenure) error { return errTask })
	if !errors.Is(err, errTask) {
		t.Errorf("Keep = %v, want the error of the task", err)
	}
	b := start(t, url, "b")
	<-b.started
	b.stop()
	<-b.done
	stop()
	<-done
}
