package enginequeue_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	control "github.com/damaskport/damaskport/internal/control/enginequeue"
	"github.com/damaskport/damaskport/internal/peer/dispatch"
	"github.com/damaskport/damaskport/internal/peer/enginequeue"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/logging"
)

// gateway is one connection to a host.
type gateway struct {
	link    *dispatch.Link
	loads   atomic.Int64
	offered chan string
}

func startHost(t testing.TB) (*control.Host, context.Context) {
	t.Helper()
	return startHostWith(t, func(string, enginequeue.Heartbeat) {})
}

// startHostWith runs a host that hands beats to onBeat.
func startHostWith(t testing.TB, onBeat func(entry string, b enginequeue.Heartbeat)) (*control.Host, context.Context) {
	t.Helper()
	h := control.NewHost(logging.Discard(), clock.System{}, tally.NoopScope)
	h.OnHello, h.OnFetch, h.OnBeat = func(string) any { return nil }, func() any { return nil }, onBeat
	h.Overloaded = func() bool { return false }
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return h, ctx
}

func connect(ctx context.Context, t testing.TB, h *control.Host, name string) *gateway {
	t.Helper()
	near, far := net.Pipe()
	h.Serve(ctx, far)
	g := &gateway{offered: make(chan string, 1)}
	g.link = dispatch.NewLink(near, clock.System{}, func(_ *dispatch.Link, method string, params json.RawMessage) (any, error) {
		switch method {
		case enginequeue.MethodLoad:
			g.loads.Add(1)
		case dispatch.MethodOffer:
			var r enginequeue.Ref
			if err := json.Unmarshal(params, &r); err != nil {
				return nil, err
			}
			g.offered <- r.ID
		}
		return nil, nil
	})
	t.Cleanup(g.link.Close)
	g.link.Notify(dispatch.MethodHello, enginequeue.Hello{Entry: name})
	return g
}

func request(id string, tokens int) enginequeue.Reservation {
	return enginequeue.Reservation{
		ID: id, Engine: enginequeue.Engine{ID: "m1", Start: 1, Slots: 1, MemoryTokens: 100_000},
		UncachedTokens: tokens, Tokens: tokens, TargetMs: clock.Minute, DeadlineMs: clock.Minute,
	}
}

// TestIdleLinksAreQuiet has a queue at one engine beside gateways that have no
// request there: the queue is told to those that wait in it only.
func TestIdleLinksAreQuiet(t *testing.T) {
	const idle, watch = 12, 2 * time.Second
	h, ctx := startHost(t)
	var others []*gateway
	for i := range idle {
		others = append(others, connect(ctx, t, h, fmt.Sprint("idle", i)))
	}
	busy := connect(ctx, t, h, "busy")
	first := request("r0", 100)
	first.Tokens = 90_000
	busy.link.Notify(dispatch.MethodReserve, first)
	busy.link.Notify(enginequeue.MethodBegun, enginequeue.Ref{ID: <-busy.offered})
	for i := range 2 {
		// The engine's memory is taken, so that the load stays as it is.
		busy.link.Notify(dispatch.MethodReserve, request(fmt.Sprint("r", i+1), 50_000))
	}
	time.Sleep(clock.Second.Duration()) // the load of the start is told to all
	before := busy.loads.Load()
	var sum int64
	for _, g := range others {
		sum -= g.loads.Load()
	}
	time.Sleep(watch)
	for _, g := range others {
		sum += g.loads.Load()
	}
	if n := busy.loads.Load() - before; n < 5 {
		t.Errorf("%d messages in %v to the gateway that waits", n, watch)
	}
	if sum > 4*idle { // the queue's length is told when it differs by a quarter
		t.Errorf("%d messages in %v to %d gateways without requests", sum, watch, idle)
	}
}

// TestBeatsAreAnswered has a gateway without requests ask whether the host lives.
func TestBeatsAreAnswered(t *testing.T) {
	h, ctx := startHost(t)
	g := connect(ctx, t, h, "a")
	g.link.Notify(dispatch.MethodHeartbeat, enginequeue.Heartbeat{})
	deadline := time.Now().Add(5 * time.Second)
	for g.loads.Load() == 0 {
		if time.Now().After(deadline) {
			t.Fatal("no answer to a beat")
		}
		time.Sleep(time.Millisecond)
	}
}

// TestSilentGatewayFreesItsPlaces has a gateway that started a request say
// nothing more, without closing its connection: the next one starts.
func TestSilentGatewayFreesItsPlaces(t *testing.T) {
	h, ctx := startHost(t)
	silent, next := connect(ctx, t, h, "silent"), connect(ctx, t, h, "next")
	silent.link.Notify(dispatch.MethodReserve, request("r1", 50_000))
	if id := <-silent.offered; id != "r1" {
		t.Fatal(id)
	}
	next.link.Notify(dispatch.MethodReserve, request("r2", 60_000))
	at := time.Now()
	ctx2, cancel := context.WithTimeout(t.Context(), 3*enginequeue.ActiveTimeout.Duration())
	defer cancel()
	for {
		select {
		case <-next.offered:
			if took := time.Since(at); took < enginequeue.ActiveTimeout.Duration()/2 {
				t.Errorf("started after %v beside the first one", took)
			}
			return
		case <-ctx2.Done():
			t.Fatalf("not started after %v", time.Since(at))
		case <-time.After(enginequeue.ActiveHeartbeat.Duration()):
			next.link.Notify(dispatch.MethodHeartbeat, enginequeue.Heartbeat{})
		}
	}
}

func TestBeatsStayWithinABudget(t *testing.T) {
	const beatBytes = 240
	for _, n := range []int{1, 4, 28, 100, 360} {
		perSecond := float64(n*beatBytes) / (float64(enginequeue.IdleHeartbeat(n)) / float64(clock.Second))
		if perSecond > 1100 {
			t.Errorf("%d links: %.0f bytes a second", n, perSecond)
		}
		if enginequeue.IdleHeartbeat(n) < enginequeue.ActiveHeartbeat || enginequeue.IdleTimeout(n) <= 2*enginequeue.IdleHeartbeat(n) {
			t.Errorf("%d links: beats each %d ms, silence %d ms", n, enginequeue.IdleHeartbeat(n), enginequeue.IdleTimeout(n))
		}
	}
}

// TestHostOfManyShowsThatItLives has a request wait at a host with as many
// connections as a large fleet: its gateway hears the host more often than in the
// 450 ms of silence after which it leaves a host with a queue.
func TestHostOfManyShowsThatItLives(t *testing.T) {
	const others, watch, bear = 110, 3 * time.Second, 450 * time.Millisecond
	h, ctx := startHost(t)
	for i := range others {
		connect(ctx, t, h, fmt.Sprint("other", i))
	}
	waits := connect(ctx, t, h, "waits")
	waits.link.Notify(dispatch.MethodReserve, request("first", 1000))
	<-waits.offered
	waits.link.Notify(dispatch.MethodReserve, request("second", 1000))
	longest, last := time.Duration(0), time.Now()
	for at, n := time.Now(), waits.loads.Load(); time.Since(at) < watch; time.Sleep(5 * time.Millisecond) {
		if got := waits.loads.Load(); got != n {
			n, last = got, time.Now()
		}
		longest = max(longest, time.Since(last))
	}
	t.Logf("longest silence %v", longest)
	if longest > bear {
		t.Errorf("nothing was heard for %v while a request waits, want at most %v", longest, bear)
	}
}
