package exchange

import "sync"

// phase is where a request is, as far as the departure of its caller is concerned.
type phase int

const (
	// phaseWaiting means that no server has the request.
	phaseWaiting phase = iota
	// phaseSent means that a server may have some of the request.
	phaseSent
	// phaseDropped means that the caller left, and the request is not sent any more.
	phaseDropped
)

// Departure decides what becomes of a request when its caller closes the connection. Until the
// first byte is written to a server, the request is dropped. From then on it is dropped too,
// unless it has to be completed so that its outcome is known; that ends if the server turns out
// not to run it. A Departure is safe for concurrent use.
type Departure struct {
	completed bool
	drop      func()

	mu    sync.Mutex
	phase phase
	left  bool
}

// NewDeparture returns the Departure of a request that waits for a server. If completed is set, the
// request is completed once it was sent. drop ends the request; it must not block.
func NewDeparture(completed bool, drop func()) *Departure {
	return &Departure{completed: completed, drop: drop}
}

// Left records that the caller has closed its connection.
func (d *Departure) Left() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.left = true
	d.applyLocked()
}

// Send reports whether the request may be written to a server, and if so records that it is.
func (d *Departure) Send() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.phase == phaseDropped {
		return false
	}
	d.phase = phaseSent
	return true
}

// Unsent records that the server to which the request was to be sent has not run it, and will not.
func (d *Departure) Unsent() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.phase == phaseSent {
		d.phase = phaseWaiting
	}
	d.applyLocked()
}

// Dropped reports whether the request was dropped.
func (d *Departure) Dropped() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.phase == phaseDropped
}

// applyLocked drops the request if its caller has left and it need not be completed. d.mu is held.
func (d *Departure) applyLocked() {
	if !d.left || d.phase == phaseDropped || d.completed && d.phase == phaseSent {
		return
	}
	d.phase = phaseDropped
	d.drop()
}
