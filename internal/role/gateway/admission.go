package gateway

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/policy/admission"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// messageOverheadBytes is what a small message costs on the link beside its content: the
// heads of TCP and IP, the framing of a chunk.
const messageOverheadBytes = 66

// overloadGate measures how far the gateway's own processor and link keep up, and takes
// or refuses new requests accordingly.
//
// One duty writes the time at which it should have been woken to a pipe, another
// reads it: in between it waits as anything that arrives from the network does.
type overloadGate struct {
	in, out    *os.File
	bytes      atomic.Int64
	overloaded atomic.Bool
	// lastDelayMs is the last delay, and open tells that a probe was not read yet.
	lastDelayMs  atomic.Int64
	probePending atomic.Bool

	mu sync.Mutex
	c  *admission.Controller
}

func newOverloadGate(linkMbps float64) (*overloadGate, error) {
	out, in, err := os.Pipe()
	if err != nil {
		return nil, errors.Wrap(err, "pipe")
	}
	return &overloadGate{in: in, out: out, c: admission.New(linkMbps)}, nil
}

func (a *overloadGate) setLinkMbps(mbps float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.c.SetLink(mbps)
}

// addMessage notes a message of n bytes that goes on over the link.
func (a *overloadGate) addMessage(n int) { a.bytes.Add(int64(n + messageOverheadBytes)) }

func (a *overloadGate) admits(rank, lowest int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.c.Accepts(rank, lowest, rand.Float64())
}

// observe takes in a sample and reports whether away has changed.
func (a *overloadGate) observe(now, delay clock.Millis) (changed bool, f logrus.Fields) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastDelayMs.Store(int64(delay))
	a.c.Observe(now, admission.Sample{Delay: delay, Bytes: a.bytes.Swap(0)})
	f = logrus.Fields{"delayMs": int64(a.c.Delay()), "link": a.c.LinkUtilisation(), "part": a.c.AcceptedFraction()}
	return a.overloaded.Swap(a.c.Diverting()) != a.c.Diverting(), f
}

// delay returns how long ready work waited for the processor lately.
func (a *overloadGate) delay() clock.Millis { return clock.Millis(a.lastDelayMs.Load()) }

// probe writes to the pipe until ctx ends.
func (g *Gateway) probe(ctx context.Context) error {
	for {
		due := g.clock.Now() + admission.SampleEvery
		if g.clock.Sleep(ctx, admission.SampleEvery) != nil {
			return g.gate.in.Close()
		}
		if g.gate.probePending.Swap(true) {
			continue
		}
		if _, err := g.gate.in.Write(binary.BigEndian.AppendUint64(nil, uint64(due))); err != nil {
			return errors.Wrap(err, "probe")
		}
	}
}

// measure reads the pipe until the probe has ended.
func (g *Gateway) measure(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = g.gate.out.Close() })
	defer stop()
	var due [8]byte
	for {
		if _, err := g.gate.out.Read(due[:]); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "probe")
		}
		g.gate.probePending.Store(false)
		now := g.clock.Now()
		delay := now - clock.Millis(binary.BigEndian.Uint64(due[:]))
		g.metrics.delayed(delay)
		changed, f := g.gate.observe(now, delay)
		if !changed {
			continue
		}
		if g.gate.overloaded.Load() {
			g.log.WithField("event", "entryOverloaded").WithFields(f).Warn("processor or link cannot keep up")
			continue
		}
		g.log.WithField("event", "entryRelieved").WithFields(f).Info()
	}
}
