// Package follow decides when a gateway reads the list of servers from the store
// by itself.
//
// The load: hundreds of gateways, and a store that bears a few calls of each. One
// gateway reads for all and tells the others what it knows; the next ones take over
// when it falls silent. What is told may be late, for a connection may hold it
// back, a reader may be suspended between its read and its word, and a reader may
// be cut off from the store without knowing it yet. A server that leaves must get
// nothing from any gateway soon after the store was told.
//
// So a list is as old as the store's answer that it stems from, by the clock of the
// gateway that uses it, however it came there. A list that others tell counts only
// while it is the own one. Whoever knows of no answer of late reads for itself.
//
// The package is a pure state machine with a single owner: time is an argument.
package follow

import "github.com/damaskport/damaskport/internal/runtime/clock"

const (
	// Readers is the number of gateways that tell the others: the first one reads
	// all the time, the next ones take over from it.
	Readers = 3
	// longestEvery is the most time between two reads of the first reader, and
	// everyPart the part of the time in which a leaving server still serves.
	longestEvery = 500 * clock.Millisecond
	everyPart    = 4
	// standbyStep is by how much longer each further reader bears silence.
	standbyStep = 150 * clock.Millisecond
	// longestOwn is the age of a list from which any gateway reads by itself, and
	// reserve what must be left of the time in which a leaving server still serves:
	// a read on a connection that is dead, the same read on a new one, and the way
	// of a request to the server.
	longestOwn = 1300 * clock.Millisecond
	reserve    = 700 * clock.Millisecond
	// way is the part of the reserve that is left for the way of a request.
	way = 200 * clock.Millisecond
	// firstRepeat is the time between two reads of a gateway whose list stays another
	// one than a reader tells; it doubles up to lastRepeat.
	firstRepeat = 300 * clock.Millisecond
	lastRepeat  = 10 * clock.Second
)

// Times are the paces of following.
type Times struct {
	// Every is the time between two reads of the first reader.
	Every clock.Millis
	// Own is the age of a list from which any gateway reads by itself.
	Own clock.Millis
	// Most is the age that no list that requests are placed by may reach while the
	// store answers.
	Most clock.Millis
}

// For returns the times for servers that still serve for drain after the store was
// told that they leave.
func For(drain clock.Millis) Times {
	return Times{
		Every: max(min(drain/everyPart, longestEvery), 1),
		Own:   max(min(longestOwn, drain-reserve), drain/2),
		Most:  max(drain-way, drain/2),
	}
}

// Follower is the state machine.
type Follower struct {
	times Times
	// asOf is the time as of which the own list is known to be the store's.
	asOf  clock.Millis
	known bool
	// readMs is when the last read was sent that was answered.
	readMs clock.Millis
	// differs tells that a reader has another list than the own one. It is read
	// again from repeatMs on, after a growing pause.
	differs  bool
	repeatMs clock.Millis
	pause    clock.Millis
}

// New returns a Follower that knows no list.
func New(t Times) *Follower { return &Follower{times: t} }

// Pace changes the times.
func (f *Follower) Pace(t Times) { f.times = t }

// Answered takes in that the store answered a read that was sent at sent, and that
// the own list is what it answered.
func (f *Follower) Answered(now, sent clock.Millis) {
	f.readMs = max(f.readMs, sent)
	f.asOf = max(f.asOf, sent)
	f.known = true
	if f.differs && now >= f.repeatMs {
		f.differs = false
		f.pause = min(max(f.pause*2, firstRepeat), lastRepeat)
		f.repeatMs = now + f.pause
	}
}

// Told takes in that the list of a reader is the store's as of asOf, and whether it
// is the own list.
func (f *Follower) Told(now, asOf clock.Millis, same bool) {
	if same {
		f.asOf = max(f.asOf, asOf)
		f.differs, f.pause, f.repeatMs = false, 0, 0
		return
	}
	if !f.differs && asOf >= f.readMs {
		f.differs = true
		f.repeatMs = max(f.repeatMs, now)
	}
}

// Forget has the list read at once.
func (f *Follower) Forget() { f.known = false }

// Whole reports whether the list is to be read whole: a reader has another one, and
// what was added since the last read does not tell why.
func (f *Follower) Whole(now clock.Millis) bool {
	return !f.known || f.differs && now >= f.repeatMs
}

// Age returns the age of the own list.
func (f *Follower) Age(now clock.Millis) clock.Millis { return now - f.asOf }

// DueMs returns when the gateway is to read by itself. rank tells how many gateways
// that are up come before it as readers.
func (f *Follower) DueMs(now clock.Millis, rank int) clock.Millis {
	if !f.known {
		return now
	}
	due := f.asOf + f.times.Own
	switch {
	case rank == 0:
		due = min(due, f.readMs+f.times.Every)
	case rank < Readers:
		due = min(due, f.asOf+f.times.Every*3/2+clock.Millis(rank)*standbyStep)
	}
	if f.differs {
		due = min(due, f.repeatMs)
	}
	return due
}
