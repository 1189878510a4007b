package dispatch_test

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/peer/config"
	"github.com/damaskport/damaskport/internal/peer/dispatch"
	"github.com/damaskport/damaskport/internal/platform/logservice"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/logging"
)

// fetcher is a process whose Exchange fetches configuration records over one link.
type fetcher struct {
	store    *config.Store
	exchange *dispatch.Exchange
	link     *dispatch.Link
}

// newFetcher returns a connected fetcher. serve answers its FetchConfig calls.
func newFetcher(t *testing.T, serve func(f *fetcher, req dispatch.FetchConfig) (any, error)) *fetcher {
	t.Helper()
	f := &fetcher{store: config.New(0)}
	f.exchange = dispatch.NewExchange(f.store, logging.Discard())
	near, far := net.Pipe()
	source := dispatch.NewLink(far, clock.System{}, func(_ *dispatch.Link, _ string, params json.RawMessage) (any, error) {
		var req dispatch.FetchConfig
		if err := json.Unmarshal(params, &req); err != nil {
			return nil, err
		}
		return serve(f, req)
	})
	t.Cleanup(source.Close)
	f.link = dispatch.NewLink(near, clock.System{}, func(*dispatch.Link, string, json.RawMessage) (any, error) { return nil, nil })
	t.Cleanup(f.link.Close)
	return f
}

// reportVersion reports the version of source to the fetcher, as the state of its peer.
func (f *fetcher) reportVersion(source *config.Store) {
	f.exchange.Observe(f.link, dispatch.State{Config: source.Version()})
}

// mustReach fails the test if the fetcher is below version number after 10 s.
func (f *fetcher) mustReach(t *testing.T, number int64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if err := f.store.Wait(ctx, number); err != nil {
		t.Errorf("version %d, want %d: %v", f.store.Version().Number, number, err)
	}
}

// TestVersionReportedDuringFetchIsFetched checks that a version is not missed when
// the peer reports it while a fetch of the version before is under way.
func TestVersionReportedDuringFetchIsFetched(t *testing.T) {
	source := config.New(0)
	offerRecord(t, source, 1)
	server := dispatch.NewExchange(source, logging.Discard())
	var calls atomic.Int64
	f := newFetcher(t, func(f *fetcher, req dispatch.FetchConfig) (any, error) {
		reply, err := server.Reply(req)
		if calls.Add(1) == 1 {
			offerRecord(t, source, 2)
			f.reportVersion(source)
		}
		return reply, err
	})
	f.reportVersion(source)
	f.mustReach(t, 2)
}

// TestFailedFetchIsRetried checks that a fetch that failed is retried without a
// further report of the peer's version.
func TestFailedFetchIsRetried(t *testing.T) {
	source := config.New(0)
	offerRecord(t, source, 1)
	server := dispatch.NewExchange(source, logging.Discard())
	var calls atomic.Int64
	f := newFetcher(t, func(_ *fetcher, req dispatch.FetchConfig) (any, error) {
		if calls.Add(1) == 1 {
			return nil, errors.New("injected failure of the first fetch")
		}
		return server.Reply(req)
	})
	f.reportVersion(source)
	f.mustReach(t, 1)
}

// offerRecord adds the record at offset (see shareRecord) to s.
func offerRecord(t *testing.T, s *config.Store, offset int64) {
	t.Helper()
	if err := s.Offer([]logservice.Record{shareRecord(t, offset)}); err != nil {
		t.Error(err)
	}
}
