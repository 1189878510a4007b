package dispatch_test

import (
	"encoding/json"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"testing"

	"github.com/damaskport/damaskport/internal/peer/config"
	"github.com/damaskport/damaskport/internal/peer/dispatch"
	"github.com/damaskport/damaskport/internal/platform/logservice"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/logging"
	"github.com/damaskport/damaskport/internal/state/directory"
)

// countedConn counts the bytes and the calls of Write on a connection.
type countedConn struct {
	net.Conn
	bytes  *atomic.Int64
	writes *atomic.Int64
}

func (c countedConn) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p)))
	c.writes.Add(1)
	return c.Conn.Write(p)
}

// linkPair holds both ends of a control connection over loopback.
type linkPair struct {
	dialed, accepted *dispatch.Link
}

// traffic counts the payload bytes and the writes of a set of connections, in both
// directions.
type traffic struct {
	bytes, writes atomic.Int64
}

func (t *traffic) wrap(c net.Conn) net.Conn { return countedConn{c, &t.bytes, &t.writes} }

// connect returns n pairs whose traffic t counts. The accepting ends answer every
// message with a notification that carries reply; the dialing ends send a value to
// received for each message that they receive.
func connect(b *testing.B, n int, t *traffic, reply any, received chan<- struct{}) []linkPair {
	b.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = ln.Close() })
	clk := clock.System{}
	out := make([]linkPair, n)
	for i := range out {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		s, err := ln.Accept()
		if err != nil {
			b.Fatal(err)
		}
		out[i].accepted = dispatch.NewLink(t.wrap(s), clk, func(l *dispatch.Link, method string, _ json.RawMessage) (any, error) {
			l.Notify(method, reply)
			return nil, nil
		})
		out[i].dialed = dispatch.NewLink(t.wrap(c), clk, func(*dispatch.Link, string, json.RawMessage) (any, error) {
			received <- struct{}{}
			return nil, nil
		})
		b.Cleanup(out[i].dialed.Close)
		b.Cleanup(out[i].accepted.Close)
	}
	return out
}

var (
	sampleReservation = dispatch.Reservation{
		ID: "3f9a0c71b2de-4fz2.1", Entry: "3f9a0c71b2de", Class: "interactive", Account: "account-0421", KeyID: "9c1f20ab",
		Tier: 1, Share: 3, FloorPercent: 5, RemainingMs: 580, PromptTokens: 412, MaxTokens: 512, AgeMs: 20, Preemptible: true,
	}
	sampleVerdict = dispatch.Verdict{ID: sampleReservation.ID, Place: 4, WaitMs: 210, Feasible: true, LowestTier: 2}
	sampleID      = dispatch.ID{ID: sampleReservation.ID}
	sampleState   = dispatch.State{Config: config.Version{Number: 110_000, Digest: 0xfedcba9876543210}, Services: 40}
	sampleLoad    = dispatch.Load{Free: 3, Running: 61, Waiting: []int{0, 3, 12}, Preemptible: []int{0, 20, 41}, TokenMs: 25.125}
)

// BenchmarkRoundTrip measures the round trip of a notification and the notification
// that answers it: duration, bytes and writes, by the number of connections in use.
func BenchmarkRoundTrip(b *testing.B) {
	messages := []struct {
		name, method string
		send, reply  any
	}{
		{"heartbeat", dispatch.MethodHeartbeat, dispatch.Heartbeat{}, dispatch.Heartbeat{}},
		{"heartbeatChanged", dispatch.MethodHeartbeat, dispatch.Heartbeat{State: &sampleState}, dispatch.Heartbeat{State: &sampleState, Load: &sampleLoad}},
		{"reserveVerdict", dispatch.MethodReserve, sampleReservation, sampleVerdict},
		{"cancelOffer", dispatch.MethodCancel, sampleID, sampleID},
	}
	for _, m := range messages {
		for _, n := range []int{16, 64, 256} {
			b.Run(fmt.Sprintf("%s/connections=%d", m.name, n), func(b *testing.B) {
				var t traffic
				received := make(chan struct{}, n)
				pairs := connect(b, n, &t, m.reply, received)
				for b.Loop() {
					for _, p := range pairs {
						p.dialed.Notify(m.method, m.send)
					}
					for range pairs {
						<-received
					}
				}
				per := float64(b.N * n)
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/per, "ns/exchange")
				b.ReportMetric(float64(t.bytes.Load())/per, "B/exchange")
				b.ReportMetric(float64(t.writes.Load())/per, "writes/exchange")
			})
		}
	}
}

// benchSidecar is a sidecar's copy of the configuration, and the entry's end of the
// control connection to it.
type benchSidecar struct {
	store *config.Store
	entry *dispatch.Link
}

// connectSidecars connects n sidecars to an entry whose configuration is source. t
// counts their traffic.
func connectSidecars(b *testing.B, n int, t *traffic, source *config.Store) []benchSidecar {
	b.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = ln.Close() })
	clk, out := clock.System{}, make([]benchSidecar, n)
	serve := dispatch.NewExchange(source, logging.Discard())
	for i := range out {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		s, err := ln.Accept()
		if err != nil {
			b.Fatal(err)
		}
		store := config.New(0)
		x := dispatch.NewExchange(store, logging.Discard())
		sidecar := dispatch.NewLink(t.wrap(s), clk, func(l *dispatch.Link, _ string, params json.RawMessage) (any, error) {
			var h dispatch.Heartbeat
			if err := json.Unmarshal(params, &h); err != nil {
				return nil, err
			}
			x.Observe(l, *h.State)
			return nil, nil
		})
		entry := dispatch.NewLink(t.wrap(c), clk, func(_ *dispatch.Link, _ string, params json.RawMessage) (any, error) {
			var f dispatch.FetchConfig
			if err := json.Unmarshal(params, &f); err != nil {
				return nil, err
			}
			return serve.Reply(f)
		})
		b.Cleanup(sidecar.Close)
		b.Cleanup(entry.Close)
		out[i] = benchSidecar{store, entry}
	}
	return out
}

// shareRecord returns a record at offset that changes the share of a client account.
func shareRecord(b testing.TB, offset int64) logservice.Record {
	b.Helper()
	account := directory.Account{Name: "account-0421", Share: int(offset%100) + 1}
	data, err := json.Marshal(directory.Change{
		ID: fmt.Sprint("change-", offset), Author: "operator", BasedOn: offset - 1, Ops: []directory.Op{{SetAccount: &account}},
	})
	if err != nil {
		b.Fatal(err)
	}
	return logservice.Record{Offset: offset, Data: data}
}

// BenchmarkSpread measures the time until a configuration change of an entry has
// reached all its sidecars, and the bytes sent per connection.
func BenchmarkSpread(b *testing.B) {
	for _, n := range []int{16, 64, 256, 1024} {
		b.Run(fmt.Sprint("connections=", n), func(b *testing.B) {
			var t traffic
			source := config.New(0)
			sidecars := connectSidecars(b, n, &t, source)
			offset := int64(0)
			for b.Loop() {
				offset++
				if err := source.Offer([]logservice.Record{shareRecord(b, offset)}); err != nil {
					b.Fatal(err)
				}
				st := dispatch.State{Config: source.Version()}
				for _, f := range sidecars {
					f.entry.Notify(dispatch.MethodHeartbeat, dispatch.Heartbeat{State: &st})
				}
				for _, f := range sidecars {
					if err := f.store.Wait(b.Context(), offset); err != nil {
						b.Fatal(err)
					}
				}
			}
			b.ReportMetric(float64(b.Elapsed().Milliseconds())/float64(b.N), "ms/change")
			b.ReportMetric(float64(t.bytes.Load())/float64(b.N*n), "B/connection")
		})
	}
}

// BenchmarkLinkMemory measures the heap and stack memory of one end of an idle
// control connection.
func BenchmarkLinkMemory(b *testing.B) {
	for _, n := range []int{16, 64, 256} {
		b.Run(fmt.Sprint("connections=", n), func(b *testing.B) {
			for range b.N {
				var t traffic
				received := make(chan struct{}, n)
				before := memoryInUse()
				pairs := connect(b, n, &t, dispatch.Heartbeat{}, received)
				for _, p := range pairs {
					p.dialed.Notify(dispatch.MethodHeartbeat, dispatch.Heartbeat{})
					<-received
				}
				b.ReportMetric((memoryInUse()-before)/float64(2*n), "B/link")
				runtime.KeepAlive(pairs)
			}
		})
	}
}

// memoryInUse returns the bytes of heap and stack memory in use after a garbage collection.
func memoryInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
