// Package listrefresh decides when a gateway reads the list of servers from the store
// itself, instead of relying on the updates that store readers send.
//
// There may be hundreds of gateways, and the store can serve only a few calls of
// each. One gateway (the first store reader) reads for all and sends updates to
// the others; the next readers take over when its updates stop. An update may be
// late: a connection may delay it, a reader may be suspended between its read and
// its update, or be cut off from the store and not know it yet. Still, no gateway
// may send requests to a draining server for long after the store has recorded that
// it leaves.
//
// So the age of a list is counted from when the read that returned it was sent,
// by the clock of the gateway that uses it, however the list got there. An update
// of a reader renews a gateway's list only if both lists are equal. A gateway
// whose list was not confirmed recently reads for itself.
//
// The package is a pure state machine with a single owner: time is an argument.
package listrefresh

import "github.com/damaskport/damaskport/internal/runtime/clock"

const (
	// Readers is the number of gateways that send updates: the first one reads
	// the store regularly, the next ones take over from it.
	Readers = 3
	// maxReadInterval is the longest interval between two reads of the first reader;
	// everyPart is the number of reads within the drain time of a server.
	maxReadInterval = 500 * clock.Millisecond
	readsPerDrain   = 4
	// standbyDelayStep is by how much longer each further reader waits before it takes
	// over.
	standbyDelayStep = 150 * clock.Millisecond
	// maxOwnReadAge is the largest list age at which any gateway reads for itself.
	// reserve is the part of the drain time that must be left then: for a read on
	// a dead connection, the same read on a new one, and the transit of a request
	// to the server.
	maxOwnReadAge = 1300 * clock.Millisecond
	drainReserve  = 700 * clock.Millisecond
	// transitReserve is the part of the reserve for the transit of a request.
	transitReserve = 200 * clock.Millisecond
	// minFullReadBackOff is the first back-off between two full reads of a
	// gateway whose list keeps differing from a reader's; it doubles up to
	// maxFullReadBackOff.
	minFullReadBackOff = 300 * clock.Millisecond
	maxFullReadBackOff = 10 * clock.Second
)

// Times holds the read interval and the bounds on the age of a list.
type Times struct {
	// ReadInterval is the interval between two reads of the first reader.
	ReadInterval clock.Millis
	// OwnReadAge is the list age from which any gateway reads for itself.
	OwnReadAge clock.Millis
	// MaxAge is the bound on the age of a list that requests are placed by, while
	// the store is available.
	MaxAge clock.Millis
}

// TimesFor returns the times for servers that still serve for drain after the store
// has recorded that they leave.
func TimesFor(drain clock.Millis) Times {
	return Times{
		ReadInterval: max(min(drain/readsPerDrain, maxReadInterval), 1),
		OwnReadAge:   max(min(maxOwnReadAge, drain-drainReserve), drain/2),
		MaxAge:       max(drain-transitReserve, drain/2),
	}
}

// Follower tracks the age of one gateway's server list and when to read it again.
type Follower struct {
	times Times
	// confirmedMs is the latest time at which this gateway's list is known to have been
	// equal to the store's.
	confirmedMs clock.Millis
	known       bool
	// lastReadSentMs is when the last read that was answered was sent.
	lastReadSentMs clock.Millis
	// differs is set while a reader's list is not equal to this gateway's. The
	// whole list is read again from nextFullReadMs on, with a growing back-off.
	differs         bool
	nextFullReadMs  clock.Millis
	fullReadBackOff clock.Millis
}

// New returns a Follower without a list.
func New(t Times) *Follower { return &Follower{times: t} }

// SetTimes replaces the times.
func (f *Follower) SetTimes(t Times) { f.times = t }

// Answered records that the store answered a read that was sent at sent, and that
// this gateway's list is now that answer.
func (f *Follower) Answered(now, sent clock.Millis) {
	f.lastReadSentMs = max(f.lastReadSentMs, sent)
	f.confirmedMs = max(f.confirmedMs, sent)
	f.known = true
	if f.differs && now >= f.nextFullReadMs {
		f.differs = false
		f.fullReadBackOff = min(max(f.fullReadBackOff*2, minFullReadBackOff), maxFullReadBackOff)
		f.nextFullReadMs = now + f.fullReadBackOff
	}
}

// Update records an update of a reader: its list was the store's as of asOf, and
// same reports whether it is equal to this gateway's list.
func (f *Follower) Update(now, asOf clock.Millis, same bool) {
	if same {
		f.confirmedMs = max(f.confirmedMs, asOf)
		f.differs, f.fullReadBackOff, f.nextFullReadMs = false, 0, 0
		return
	}
	if !f.differs && asOf >= f.lastReadSentMs {
		f.differs = true
		f.nextFullReadMs = max(f.nextFullReadMs, now)
	}
}

// Invalidate marks the list as unknown, so that it is read whole at once.
func (f *Follower) Invalidate() { f.known = false }

// NeedsFullRead reports whether the next read must return the whole list instead of the
// changes since the last read: no list is known, or a reader's differs and the
// changes do not explain why.
func (f *Follower) NeedsFullRead(now clock.Millis) bool {
	return !f.known || f.differs && now >= f.nextFullReadMs
}

// Age returns the time since this gateway's list was last known to be the
// store's.
func (f *Follower) Age(now clock.Millis) clock.Millis { return now - f.confirmedMs }

// DueMs returns when the gateway is to read the store next. rank is the number of
// live gateways that precede it in the order of readers.
func (f *Follower) DueMs(now clock.Millis, rank int) clock.Millis {
	if !f.known {
		return now
	}
	due := f.confirmedMs + f.times.OwnReadAge
	switch {
	case rank == 0:
		due = min(due, f.lastReadSentMs+f.times.ReadInterval)
	case rank < Readers:
		due = min(due, f.confirmedMs+f.times.ReadInterval*3/2+clock.Millis(rank)*standbyDelayStep)
	}
	if f.differs {
		due = min(due, f.nextFullReadMs)
	}
	return due
}
