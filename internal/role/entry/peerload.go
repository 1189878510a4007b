package entry

import "github.com/damaskport/damaskport/internal/runtime/clock"

// usable reports whether requests may be sent to the sidecar: it is connected, not
// draining, and has a configuration, without which it refuses everything. The caller
// must hold p.mu.
func (p *peer) usable() bool {
	return p.link != nil && p.config.Number > 0 && !p.leaving && !p.listedLeaving.Load() && !p.drained.Load()
}

// silenceTimeout returns the time without any data from the sidecar after which the
// entry abandons an attempt there. It exceeds the sidecar's own progress timeout, so
// that the sidecar can report a stalled server first.
func (p *peer) silenceTimeout() clock.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hello.ProgressTimeoutMs + progressMargin
}

// attemptStarted counts an attempt sent to the sidecar, so that its free slots
// decrease already before its next load report.
func (p *peer) attemptStarted(j *job) {
	p.e.router.recordSent(j, p)
	p.mu.Lock()
	p.load.Free--
	p.mu.Unlock()
}

// attemptEnded counts the end of an attempt at the sidecar.
func (p *peer) attemptEnded() {
	p.e.router.recordDone(p)
	p.mu.Lock()
	p.load.Free++
	p.mu.Unlock()
}

// markFull sets the free slots to 0 after the sidecar refused an attempt for lack
// of one.
func (p *peer) markFull() {
	p.mu.Lock()
	p.load.Free = 0
	p.mu.Unlock()
	p.updateRouter()
}

// freeSlots returns the estimated number of free slots. It can be negative when
// attempts were started since the last report.
func (p *peer) freeSlots() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.load.Free
}

// updateRouter passes the current view of the sidecar to the router, if it is
// connected.
func (p *peer) updateRouter() {
	p.mu.Lock()
	v := p.routingData(p.e.clock.Now())
	usable := p.link != nil
	p.mu.Unlock()
	if usable {
		p.e.router.report(p, v)
	}
}
