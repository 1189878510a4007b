package versions

import (
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/servers"
)

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
	// Restarted means that the server started anew before the first event, or that it can't be told whether it did,
	// so that either start may have sent it.
	Restarted
	// Untraced means that the server may have started anew between two reads of the list: the records between them
	// were not read.
	Untraced
)

// ListNeeded returns the time, by the steady clock, as of which a list of servers shows which
// start a connection leads to that was opened at a time.
func ListNeeded(openedMs clock.Millis) clock.Millis { return openedMs + registerTime }

// Prove returns what a list as of a time says, by the starts of the servers that it has shown so far. That a start is not
// in the list, or that a later one is, proves nothing by itself: others may have come and gone unseen.
func (c Contact) Prove(asOf clock.Millis, starts servers.Starts) Proof {
	latest := starts.Latest(c.Server)
	e, ended := starts.End(servers.Key{ID: c.Server, Start: c.Start})
	next := e.Next
	if !ended && latest > c.Start {
		next = latest
	}
	switch {
	case next > c.Start && clock.Millis(next) <= c.BeganMs+startMargin:
		return Restarted
	case asOf < ListNeeded(c.OpenedMs):
		return Unproved
	case !ended && latest == c.Start:
		return Proved
	case ended && (e.Gap == 0 || e.ShownMs >= ListNeeded(c.OpenedMs)):
		return Proved
	case ended && !e.Lost:
		return Untraced
	}
	return Restarted
}
