package entry

import "github.com/damaskport/damaskport/internal/runtime/clock"

// usable reports whether the sidecar takes work: it is connected, not leaving,
// and has a configuration, without which it refuses everything. The caller
// holds mu.
func (p *peer) usable() bool {
	return p.link != nil && p.config.Number > 0 && !p.leaving && !p.listedLeaving.Load() && !p.drained.Load()
}

// silenceTimeout returns how long a silent answer of the sidecar is borne. It exceeds
// the sidecar's own timeout, so that a sidecar reports a silent server before
// the entry gives the sidecar up.
func (p *peer) silenceTimeout() clock.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hello.ProgressTimeoutMs + progressMargin
}

// assigned notes that a request was bound here, so that the known free slots fall
// before the next report.
func (p *peer) assigned(j *job) {
	p.e.router.sent(j, p)
	p.mu.Lock()
	p.load.Free--
	p.mu.Unlock()
}

// released notes that a request has ended here.
func (p *peer) released() {
	p.e.router.done(p)
	p.mu.Lock()
	p.load.Free++
	p.mu.Unlock()
}

// full notes that the sidecar had no free slot.
func (p *peer) full() {
	p.mu.Lock()
	p.load.Free = 0
	p.mu.Unlock()
	p.report()
}

// free returns the number of slots that are thought to be free.
func (p *peer) free() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.load.Free
}

// report tells the router what is known of the sidecar.
func (p *peer) report() {
	p.mu.Lock()
	v := p.view(p.e.clock.Now())
	usable := p.link != nil
	p.mu.Unlock()
	if usable {
		p.e.router.report(p, v)
	}
}
