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

// packetBytes is what a small message costs on the link beside its content: the
// heads of TCP and IP, the framing of a chunk.
const packetBytes = 66

// gate measures how far the gateway's own processor and link keep up, and takes
// or refuses new requests accordingly.
//
// One duty writes the time at which it should have been woken to a pipe, another
// reads it: in between it waits as anything that arrives from the network does.
type gate struct {
	in, out *os.File
	bytes   atomic.Int64
	away    atomic.Bool
	// delayMs is the last delay, and open tells that a probe was not read yet.
	delayMs atomic.Int64
	open    atomic.Bool

	mu sync.Mutex
	c  *admission.Controller
}

func newGate(linkMbps float64) (*gate, error) {
	out, in, err := os.Pipe()
	if err != nil {
		return nil, errors.Wrap(err, "pipe")
	}
	return &gate{in: in, out: out, c: admission.New(linkMbps)}, nil
}

func (a *gate) setLink(mbps float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.c.SetLink(mbps)
}

// carry notes a message of n bytes that goes on over the link.
func (a *gate) carry(n int) { a.bytes.Add(int64(n + packetBytes)) }

func (a *gate) takes(rank, lowest int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.c.Accepts(rank, lowest, rand.Float64())
}

// observe takes in a sample and reports whether away has changed.
func (a *gate) observe(now, delay clock.Millis) (changed bool, f logrus.Fields) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.delayMs.Store(int64(delay))
	a.c.Observe(now, admission.Sample{Delay: delay, Bytes: a.bytes.Swap(0)})
	f = logrus.Fields{"delayMs": int64(a.c.Delay()), "link": a.c.LinkUtilisation(), "part": a.c.AcceptedFraction()}
	return a.away.Swap(a.c.Diverting()) != a.c.Diverting(), f
}

// delay returns how long ready work waited for the processor lately.
func (a *gate) delay() clock.Millis { return clock.Millis(a.delayMs.Load()) }

// probe writes to the pipe until ctx ends.
func (g *Gateway) probe(ctx context.Context) error {
	for {
		due := g.clock.Now() + admission.SampleEvery
		if g.clock.Sleep(ctx, admission.SampleEvery) != nil {
			return g.gate.in.Close()
		}
		if g.gate.open.Swap(true) {
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
		g.gate.open.Store(false)
		now := g.clock.Now()
		delay := now - clock.Millis(binary.BigEndian.Uint64(due[:]))
		g.metrics.delayed(delay)
		changed, f := g.gate.observe(now, delay)
		if !changed {
			continue
		}
		if g.gate.away.Load() {
			g.log.WithField("event", "entryOverloaded").WithFields(f).Warn("processor or link cannot keep up")
			continue
		}
		g.log.WithField("event", "entryRelieved").WithFields(f).Info()
	}
}
