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

// gateway is a gateway's end of a connection to the queue owner. It counts load
// messages and passes on the IDs of granted requests.
type gateway struct {
	link    *dispatch.Link
	loads   atomic.Int64
	granted chan string
}

// startHost runs a Host that ignores heartbeats, until the test ends.
func startHost(t testing.TB) (*control.Host, context.Context) {
	t.Helper()
	return startHostWithHeartbeats(t, func(string, enginequeue.Heartbeat) {})
}

// startHostWithHeartbeats runs a Host that passes heartbeats to onHeartbeat.
func startHostWithHeartbeats(t testing.TB, onHeartbeat func(entry string, b enginequeue.Heartbeat)) (*control.Host, context.Context) {
	t.Helper()
	h := control.NewHost(logging.Discard(), clock.System{}, tally.NoopScope)
	h.OnHello, h.OnFetch, h.OnBeat = func(string) any { return nil }, func() any { return nil }, onHeartbeat
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

// connect connects the gateway with the given name to h.
func connect(ctx context.Context, t testing.TB, h *control.Host, name string) *gateway {
	t.Helper()
	gatewayConn, ownerConn := net.Pipe()
	h.Serve(ctx, ownerConn)
	g := &gateway{granted: make(chan string, 1)}
	g.link = dispatch.NewLink(gatewayConn, clock.System{}, func(_ *dispatch.Link, method string, params json.RawMessage) (any, error) {
		switch method {
		case enginequeue.MethodLoad:
			g.loads.Add(1)
		case dispatch.MethodOffer:
			var r enginequeue.Ref
			if err := json.Unmarshal(params, &r); err != nil {
				return nil, err
			}
			g.granted <- r.ID
		}
		return nil, nil
	})
	t.Cleanup(g.link.Close)
	g.link.Notify(dispatch.MethodHello, enginequeue.Hello{Entry: name})
	return g
}

// request returns a reservation that needs the given number of tokens of the memory of
// engine m1, which has one slot and memory for 100,000 tokens.
func request(id string, tokens int) enginequeue.Reservation {
	return enginequeue.Reservation{
		ID: id, Engine: enginequeue.Engine{ID: "m1", Start: 1, Slots: 1, MemoryTokens: 100_000},
		UncachedTokens: tokens, Tokens: tokens, TargetMs: clock.Minute, DeadlineMs: clock.Minute,
	}
}

// TestNoQueueUpdatesToIdleGateways checks that gateways without requests at an engine
// do not receive a message for every update of its queue; only a gateway with queued
// requests gets regular messages.
func TestNoQueueUpdatesToIdleGateways(t *testing.T) {
	const idleGateways, duration = 12, 2 * time.Second
	h, ctx := startHost(t)
	var idle []*gateway
	for i := range idleGateways {
		idle = append(idle, connect(ctx, t, h, fmt.Sprint("idle", i)))
	}
	busy := connect(ctx, t, h, "busy")
	first := request("r0", 100)
	first.Tokens = 90_000
	busy.link.Notify(dispatch.MethodReserve, first)
	busy.link.Notify(enginequeue.MethodBegun, enginequeue.Ref{ID: <-busy.granted})
	for i := range 2 {
		// These requests do not fit in the engine's memory, so its load stays
		// constant.
		busy.link.Notify(dispatch.MethodReserve, request(fmt.Sprint("r", i+1), 50_000))
	}
	time.Sleep(clock.Second.Duration()) // the load change from the first request is sent to all gateways
	before := busy.loads.Load()
	var idleMessages int64
	for _, g := range idle {
		idleMessages -= g.loads.Load()
	}
	time.Sleep(duration)
	for _, g := range idle {
		idleMessages += g.loads.Load()
	}
	if n := busy.loads.Load() - before; n < 5 {
		t.Errorf("got %d messages in %v to the gateway with queued requests, want at least 5", n, duration)
	}
	if idleMessages > 4*idleGateways { // idle gateways get the queue length only when it changes by a quarter
		t.Errorf("got %d messages in %v to %d gateways without requests, want at most 4 each", idleMessages, duration, idleGateways)
	}
}

// TestHeartbeatsAreAnswered checks that a gateway without requests gets an answer to
// its heartbeat, by which it sees that the queue owner is alive.
func TestHeartbeatsAreAnswered(t *testing.T) {
	h, ctx := startHost(t)
	g := connect(ctx, t, h, "a")
	g.link.Notify(dispatch.MethodHeartbeat, enginequeue.Heartbeat{})
	deadline := time.Now().Add(5 * time.Second)
	for g.loads.Load() == 0 {
		if time.Now().After(deadline) {
			t.Fatal("no answer to a heartbeat within 5 s")
		}
		time.Sleep(time.Millisecond)
	}
}

// TestTimedOutGatewayIsRemoved guards against requests of a failed gateway that
// occupy an engine forever: a gateway that was granted a request sends nothing more
// but keeps its connection open. The next request must be granted after the heartbeat
// timeout, not before.
func TestTimedOutGatewayIsRemoved(t *testing.T) {
	h, ctx := startHost(t)
	failed, next := connect(ctx, t, h, "failed"), connect(ctx, t, h, "next")
	failed.link.Notify(dispatch.MethodReserve, request("r1", 50_000))
	if id := <-failed.granted; id != "r1" {
		t.Fatal(id)
	}
	next.link.Notify(dispatch.MethodReserve, request("r2", 60_000))
	start := time.Now()
	ctx2, cancel := context.WithTimeout(t.Context(), 3*enginequeue.ActiveTimeout.Duration())
	defer cancel()
	for {
		select {
		case <-next.granted:
			if took := time.Since(start); took < enginequeue.ActiveTimeout.Duration()/2 {
				t.Errorf("second request granted after %v, before the first gateway timed out", took)
			}
			return
		case <-ctx2.Done():
			t.Fatalf("second request not granted after %v", time.Since(start))
		case <-time.After(enginequeue.ActiveHeartbeat.Duration()):
			next.link.Notify(dispatch.MethodHeartbeat, enginequeue.Heartbeat{})
		}
	}
}

// TestHeartbeatTrafficWithinBudget checks that the heartbeats of a gateway without
// requests take at most 1100 bytes/s, whatever the number of its links, and that the
// timeout leaves room for a lost heartbeat.
func TestHeartbeatTrafficWithinBudget(t *testing.T) {
	const heartbeatBytes = 240
	for _, n := range []int{1, 4, 28, 100, 360} {
		perSecond := float64(n*heartbeatBytes) / (float64(enginequeue.IdleHeartbeat(n)) / float64(clock.Second))
		if perSecond > 1100 {
			t.Errorf("%d links: heartbeats take %.0f bytes/s, want at most 1100", n, perSecond)
		}
		if enginequeue.IdleHeartbeat(n) < enginequeue.ActiveHeartbeat || enginequeue.IdleTimeout(n) <= 2*enginequeue.IdleHeartbeat(n) {
			t.Errorf("%d links: heartbeat interval %d ms, timeout %d ms", n, enginequeue.IdleHeartbeat(n), enginequeue.IdleTimeout(n))
		}
	}
}

// TestQueuedGatewayGetsUpdatesFromLargeFleet guards against a gateway that abandons a
// live queue owner: the more connections there are, the longer the interval of load
// messages. A gateway with a queued request must still receive one within 450 ms, the
// silence after which it abandons the queue owner.
func TestQueuedGatewayGetsUpdatesFromLargeFleet(t *testing.T) {
	const others, duration, maxSilence = 110, 3 * time.Second, 450 * time.Millisecond
	h, ctx := startHost(t)
	for i := range others {
		connect(ctx, t, h, fmt.Sprint("other", i))
	}
	queued := connect(ctx, t, h, "queued")
	queued.link.Notify(dispatch.MethodReserve, request("first", 1000))
	<-queued.granted
	queued.link.Notify(dispatch.MethodReserve, request("second", 1000))
	longest, last := time.Duration(0), time.Now()
	for at, n := time.Now(), queued.loads.Load(); time.Since(at) < duration; time.Sleep(5 * time.Millisecond) {
		if count := queued.loads.Load(); count != n {
			n, last = count, time.Now()
		}
		longest = max(longest, time.Since(last))
	}
	t.Logf("longest time between two messages: %v", longest)
	if longest > maxSilence {
		t.Errorf("no message for %v while a request was queued, want at most %v", longest, maxSilence)
	}
}
