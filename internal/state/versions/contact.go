package versions

import "github.com/damaskport/damaskport/internal/runtime/clock"

const (
	// registerTime is how long after it accepts connections a server may register its start.
	registerTime = 100 * clock.Millisecond
	// startMargin is the difference of clocks up to which a server that started before the
	// first event of a stream is taken to have sent it.
	startMargin = 500 * clock.Millisecond
)

// Contact is the contact to a server that sent events of a stream. The server is known by its
// id, which all its starts bear, and by its address.
type Contact struct {
	Server string
	// Start is the start of the server in the list by which it was chosen, in Unix ms.
	Start int64
	// OpenedMs is when the connection to the server was open, by the steady clock.
	OpenedMs clock.Millis
	// BeganMs is when the first event came, in Unix ms.
	BeganMs clock.Millis
}

// Proof is what a list of servers says about the server of a Contact.
type Proof int

const (
	// Unproved means that the list is older than the connection, and the server may have started anew.
	Unproved Proof = iota
	// Proved means that the start of the Contact sent the events.
	Proved
	// Restarted means that the server started anew before the first event, so that either start may
	// have sent it.
	Restarted
)

// ListNeeded returns the time, by the steady clock, as of which a list of servers shows which
// start a connection leads to that was opened at a time.
func ListNeeded(openedMs clock.Millis) clock.Millis { return openedMs + registerTime }

// Prove returns what a list as of a time says. latest is the latest start of the server that it has shown so far,
// also if the server drained or was removed in it; 0 if it has shown none.
func (c Contact) Prove(asOf clock.Millis, latest int64) Proof {
	switch {
	case latest > c.Start && clock.Millis(latest) <= c.BeganMs+startMargin:
		return Restarted
	case asOf < ListNeeded(c.OpenedMs):
		return Unproved
	}
	return Proved
}
