package entry_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/damaskport/damaskport/internal/operator/settings"
	"github.com/damaskport/damaskport/internal/peer/config"
	"github.com/damaskport/damaskport/internal/peer/dispatch"
	"github.com/damaskport/damaskport/internal/platform/logservice"
	"github.com/damaskport/damaskport/internal/platform/membership"
	"github.com/damaskport/damaskport/internal/role/entry"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/logging"
	"github.com/damaskport/damaskport/internal/state/directory"
)

const (
	callerKey = directory.KeyPrefix + "0a0b0c0d_secret"
	// shortSleep replaces every sleep of the entry, so that it reads the list at a
	// high rate.
	shortSleep = 50 * time.Microsecond
	// answerTimeout is the time within which each request must be answered.
	answerTimeout  = 10 * time.Second
	callers        = 8
	callsPerCaller = 150
)

// shortSleepClock is the system clock with every sleep shortened to shortSleep.
type shortSleepClock struct{ clock.System }

// Sleep waits for shortSleep or until ctx ends.
func (shortSleepClock) Sleep(ctx context.Context, _ clock.Millis) error {
	select {
	case <-ctx.Done():
	case <-time.After(shortSleep):
	}
	return ctx.Err()
}

// alternatingLister is an InstanceLister with one backend server, which is leaving
// in every second list.
type alternatingLister struct {
	address string
	lists   atomic.Int64
}

// List returns the next list.
func (f *alternatingLister) List(context.Context) (membership.List, error) {
	st := membership.StateLive
	if f.lists.Add(1)%2 == 0 {
		st = membership.StateLeaving
	}
	return membership.List{Instances: []membership.Instance{
		{Name: "s1", Role: membership.RoleBackend, Pool: "booking", Zone: "a", Address: f.address, State: st},
	}}, nil
}

// fakeSidecar starts a sidecar that answers every request and always reports free
// slots. It returns the address for control connections.
func fakeSidecar(t *testing.T) (address string) {
	t.Helper()
	data := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(dispatch.HeaderResult, dispatch.ResultAnswer)
		w.Header().Set(dispatch.HeaderAttempt, strings.TrimPrefix(r.URL.Path, "/run/"))
		w.Header().Set("Trailer", dispatch.TrailerEnd)
		_, _ = io.WriteString(w, "done")
		w.Header().Set(dispatch.TrailerEnd, string(dispatch.EndComplete))
	}))
	t.Cleanup(data.Close)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	reply := dispatch.HelloReply{
		Name: "s1", Pool: "booking", Zone: "a", DataURL: data.URL, Slots: 100, ProgressTimeoutMs: clock.Second,
		State: dispatch.State{Config: config.Version{Number: 1}}, Load: dispatch.Load{Free: 100},
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			dispatch.NewLink(conn, clock.System{}, func(l *dispatch.Link, method string, _ json.RawMessage) (any, error) {
				if method == dispatch.MethodHello {
					return reply, nil
				}
				l.Notify(dispatch.MethodHeartbeat, dispatch.Heartbeat{Load: &reply.Load})
				return nil, nil
			})
		}
	}()
	return ln.Addr().String()
}

// newConfiguredStore returns a configuration store with one plain service, one
// route with protected POST requests, and one account with callerKey.
func newConfiguredStore(t *testing.T) *config.Store {
	t.Helper()
	id, secret, _ := directory.SplitKey(callerKey)
	change := directory.Change{ID: "c1", Author: "test", Ops: []directory.Op{
		{SetPool: &directory.Pool{Name: "booking", Kind: directory.PoolService, Slots: 100}},
		{SetRoute: &directory.Route{PathPrefix: "/booking", Pool: "booking", ProtectedMethods: []string{http.MethodPost}}},
		{SetClass: &directory.Class{Name: "interactive", Tier: 1, AnswerMs: clock.Second, Pools: []string{"booking"}}},
		{SetAccount: &directory.Account{Name: "harbour", Share: 1, Classes: []string{"interactive"}}},
		{IssueKey: &directory.Key{ID: id, Account: "harbour", Digest: directory.DigestSecret(secret)}},
	}}
	data, err := json.Marshal(change)
	if err != nil {
		t.Fatal(err)
	}
	store := config.New(0)
	if err := store.Offer([]logservice.Record{{Offset: 1, Data: data}}); err != nil {
		t.Fatal(err)
	}
	if store.Current().Version() != 1 {
		t.Fatal("the configuration was not accepted")
	}
	store.MarkReady()
	return store
}

// TestListChangesDoNotHoldUpProtectedRequests guards against a deadlock by inverted
// lock order: routing a protected request locks peers.mu under the router's lock,
// while a change of the list updates both. It runs concurrent requests during many
// changes.
func TestListChangesDoNotHoldUpProtectedRequests(t *testing.T) {
	f := settings.Defaults(settings.RoleEntry)
	f.Name, f.Zone = "e1", "a"
	f.Entry.CallerAddr, f.Entry.AdminAddr = "127.0.0.1:0", "127.0.0.1:0"
	list := &alternatingLister{address: fakeSidecar(t)}
	e, err := entry.New(f, entry.Deps{
		Log: logging.Discard(), Clock: shortSleepClock{}, Store: newConfiguredStore(t), Instances: list, Incarnation: "x",
		IssueKey: func(_ clock.Millis, id string) string { return id },
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx) }()

	var answered, served atomic.Int64
	var wg sync.WaitGroup
	client := &http.Client{Timeout: answerTimeout}
	for range callers {
		wg.Go(func() {
			for range callsPerCaller {
				req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, e.URL()+"/booking/slots", strings.NewReader("x"))
				if err != nil {
					t.Error(err)
					return
				}
				req.Header.Set("Authorization", "Bearer "+callerKey)
				res, err := client.Do(req)
				if err != nil {
					t.Errorf("no answer after %d answers and %d lists: %v", answered.Load(), list.lists.Load(), err)
					return
				}
				_, _ = io.Copy(io.Discard, res.Body)
				_ = res.Body.Close()
				answered.Add(1)
				if res.StatusCode == http.StatusOK {
					served.Add(1)
				}
			}
		})
	}
	wg.Wait()
	if t.Failed() {
		cancel()
		return // a deadlocked entry does not stop, so it is not waited for
	}
	if served.Load() == 0 {
		t.Errorf("none of %d requests was served", answered.Load())
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
	t.Logf("%d answers, %d served, %d lists", answered.Load(), served.Load(), list.lists.Load())
}
