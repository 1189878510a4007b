// Package listrefresh decides when a gateway reads the list of backend servers from
// the store itself, instead of relying on the updates that store readers send.
//
// There may be hundreds of gateways, and the store can serve only a few calls of
// each. One gateway (the first store reader) reads the list for all and sends
// updates to the others; up to two other gateways (the next readers) are on standby
// and take over when its updates stop. An update may be late: a connection may
// delay it, or the reader's process may be suspended between its read and its
// update, or the reader may have lost the store without having noticed. Still, no
// gateway may send requests to a draining server for long after the store has
// recorded that it drains.
//
// So the age of a gateway's list is the time since the store read that returned it
// was sent, by the clock of that gateway, also if another gateway made the read. An
// update of a reader confirms a gateway's list, which renews its age, only if both
// lists are equal. A gateway whose list was not confirmed recently reads the store
// itself.
//
// The package is a pure state machine: time is an argument. A Follower is not safe
// for concurrent use.
package listrefresh

import "github.com/damaskport/damaskport/internal/runtime/clock"

const (
	// Readers is the number of gateways that are store readers: the first one reads
	// the store regularly, the others are on standby.
	Readers = 3
	// The first reader reads readsPerDrain times within the drain time of a server,
	// but at least once in maxReadInterval.
	maxReadInterval = 500 * clock.Millisecond
	readsPerDrain   = 4
	// standbyDelayStep is how much longer each standby reader waits for an update than
	// the one before it, before it reads the store itself.
	standbyDelayStep = 150 * clock.Millisecond
	// maxOwnReadAge is the upper limit of Times.OwnReadAge. drainReserve is how much of
	// the drain time must be left at that age: for a read on a dead connection, the
	// same read on a new one, and the transit of a request to the server.
	maxOwnReadAge = 1300 * clock.Millisecond
	drainReserve  = 700 * clock.Millisecond
	// transitReserve is the part of drainReserve for the transit of a request.
	transitReserve = 200 * clock.Millisecond
	// minFullReadBackOff is the first back-off between two full reads (see
	// Follower.NeedsFullRead) of a gateway whose list keeps differing from a reader's;
	// the back-off doubles up to maxFullReadBackOff.
	minFullReadBackOff = 300 * clock.Millisecond
	maxFullReadBackOff = 10 * clock.Second
)

// Times holds the read interval of the first reader and the bounds on the age of a
// gateway's list, in ms.
type Times struct {
	// ReadInterval is the interval between two reads of the first reader.
	ReadInterval clock.Millis
	// OwnReadAge is the list age from which any gateway reads the store itself.
	OwnReadAge clock.Millis
	// MaxAge is the largest age that the list used to choose servers for requests
	// reaches while the store is available.
	MaxAge clock.Millis
}

// TimesFor returns the times for servers that still accept requests for drain ms after
// the store has recorded that they drain.
func TimesFor(drain clock.Millis) Times {
	return Times{
		ReadInterval: max(min(drain/readsPerDrain, maxReadInterval), 1),
		OwnReadAge:   max(min(maxOwnReadAge, drain-drainReserve), drain/2),
		MaxAge:       max(drain-transitReserve, drain/2),
	}
}

// Follower tracks the age of one gateway's server list and decides when the gateway
// reads the list again. All times are on that gateway's clock.
type Follower struct {
	times Times
	// confirmedMs is the latest time at which this gateway's list is known to have been
	// equal to the store's.
	confirmedMs clock.Millis
	known       bool // the gateway has a list
	// lastReadSentMs is when the last read that the store answered was sent.
	lastReadSentMs clock.Millis
	// differs is set while a reader's list is not equal to this gateway's. A full read
	// is then due at nextFullReadMs. fullReadBackOff is the time from the last full
	// read to the next one.
	differs         bool
	nextFullReadMs  clock.Millis
	fullReadBackOff clock.Millis
}

// New returns a Follower without a list.
func New(t Times) *Follower { return &Follower{times: t} }

// SetTimes replaces the times.
func (f *Follower) SetTimes(t Times) { f.times = t }

// Answered records that the store answered a read that was sent at sent, and that this
// gateway's list is now the list in the answer.
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

// Update records an update of a reader. asOf is the time at which the reader's list is
// known to have been equal to the store's; same is set if it is equal to this
// gateway's list.
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

// Invalidate marks the list as unknown, so that a full read is due at once.
func (f *Follower) Invalidate() { f.known = false }

// NeedsFullRead reports whether the next read must be a full read, which returns the
// whole list instead of the changes since the last read. That is so if the gateway has
// no list, or if a reader's list differs, which the changes do not explain, and the
// back-off between full reads is over.
func (f *Follower) NeedsFullRead(now clock.Millis) bool {
	return !f.known || f.differs && now >= f.nextFullReadMs
}

// Age returns the time, in ms, since this gateway's list was last known to be equal to
// the store's.
func (f *Follower) Age(now clock.Millis) clock.Millis { return now - f.confirmedMs }

// DueMs returns when the gateway has to read the store next; the time may be past. rank
// is the gateway's place in the order of readers, from 0 for the first reader: the
// number of live gateways before it.
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
