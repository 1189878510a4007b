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

// messageOverheadBytes is the overhead of a small message on the link: the
// headers of TCP and IP and the framing of a chunk.
const messageOverheadBytes = 66

// overloadGate measures whether the gateway's own processor and network link keep
// up with the load, and accepts or refuses new requests accordingly.
//
// To measure the processor, the task probe writes the time at which it was due to
// wake up to a pipe, and the task measure reads it. The read is delayed as much
// as the handling of anything that arrives from the network.
type overloadGate struct {
	in, out *os.File
	// bytes is the number of bytes sent over the link since the last sample.
	bytes      atomic.Int64
	overloaded atomic.Bool
	// lastDelayMs is the last measured delay of a probe, in ms. probePending is set while a
	// probe has not been read yet.
	lastDelayMs  atomic.Int64
	probePending atomic.Bool

	mu         sync.Mutex
	controller *admission.Controller
}

func newOverloadGate(linkMbps float64) (*overloadGate, error) {
	out, in, err := os.Pipe()
	if err != nil {
		return nil, errors.Wrap(err, "create pipe for the overload probe")
	}
	return &overloadGate{in: in, out: out, controller: admission.New(linkMbps)}, nil
}

func (o *overloadGate) setLinkMbps(mbps float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.controller.SetLink(mbps)
}

// addMessage counts a message of n bytes that is sent over the link.
func (o *overloadGate) addMessage(n int) { o.bytes.Add(int64(n + messageOverheadBytes)) }

// admits reports whether a new request is accepted. rank is 0 for the most urgent
// requests and leastUrgent for the least urgent ones.
func (o *overloadGate) admits(rank, leastUrgent int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.controller.Accepts(rank, leastUrgent, rand.Float64())
}

// observe records the measured delay of a probe and the bytes sent since the last one. It
// reports whether the gateway has become overloaded or has recovered, and returns
// the measurements as log fields.
func (o *overloadGate) observe(now, delay clock.Millis) (changed bool, f logrus.Fields) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastDelayMs.Store(int64(delay))
	o.controller.Observe(now, admission.Sample{Delay: delay, Bytes: o.bytes.Swap(0)})
	f = logrus.Fields{"delayMs": int64(o.controller.Delay()), "link": o.controller.LinkUtilisation(), "part": o.controller.AcceptedFraction()}
	return o.overloaded.Swap(o.controller.Diverting()) != o.controller.Diverting(), f
}

// probeDelay returns how long the last probe waited for the processor: the time from when
// it was due to be written until it was read. Received messages are read about as late.
func (o *overloadGate) probeDelay() clock.Millis { return clock.Millis(o.lastDelayMs.Load()) }

// probe writes a probe to the pipe every admission.SampleEvery until ctx is
// cancelled, but none while the last one has not been read.
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
			return errors.Wrap(err, "write overload probe")
		}
	}
}

// measure reads the probes from the pipe and records their delays until ctx is
// cancelled.
func (g *Gateway) measure(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = g.gate.out.Close() })
	defer stop()
	var due [8]byte
	for {
		if _, err := g.gate.out.Read(due[:]); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "read overload probe")
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
			g.log.WithField("event", "entryOverloaded").WithFields(f).Warn("processor or network link overloaded; accepting only a fraction of new requests")
			continue
		}
		g.log.WithField("event", "entryRelieved").WithFields(f).Info()
	}
}
