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

// fetcher is a process that learns of versions from source over one link.
type fetcher struct {
	store *config.Store
	x     *dispatch.Exchange
	link  *dispatch.Link
}

// newFetcher connects a fetcher whose fetches serve answers.
func newFetcher(t *testing.T, serve func(f *fetcher, req dispatch.FetchConfig) (any, error)) *fetcher {
	t.Helper()
	f := &fetcher{store: config.New(0)}
	f.x = dispatch.NewExchange(f.store, logging.Discard())
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

// tell makes the fetcher observe the source's version.
func (f *fetcher) tell(source *config.Store) {
	f.x.Observe(f.link, dispatch.State{Config: source.Version()})
}

func (f *fetcher) mustReach(t *testing.T, number int64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if err := f.store.Wait(ctx, number); err != nil {
		t.Errorf("version %d, want %d: %v", f.store.Version().Number, number, err)
	}
}

func TestVersionToldDuringAFetchIsFetchedToo(t *testing.T) {
	source := config.New(0)
	offerRecord(t, source, 1)
	server := dispatch.NewExchange(source, logging.Discard())
	var calls atomic.Int64
	f := newFetcher(t, func(f *fetcher, req dispatch.FetchConfig) (any, error) {
		reply, err := server.Reply(req)
		if calls.Add(1) == 1 {
			offerRecord(t, source, 2)
			f.tell(source)
		}
		return reply, err
	})
	f.tell(source)
	f.mustReach(t, 2)
}

func TestFailedFetchIsRepeated(t *testing.T) {
	source := config.New(0)
	offerRecord(t, source, 1)
	server := dispatch.NewExchange(source, logging.Discard())
	var calls atomic.Int64
	f := newFetcher(t, func(_ *fetcher, req dispatch.FetchConfig) (any, error) {
		if calls.Add(1) == 1 {
			return nil, errors.New("not now")
		}
		return server.Reply(req)
	})
	f.tell(source)
	f.mustReach(t, 1)
}

func offerRecord(t *testing.T, s *config.Store, offset int64) {
	t.Helper()
	if err := s.Offer([]logservice.Record{shareRecord(t, offset)}); err != nil {
		t.Error(err)
	}
}
