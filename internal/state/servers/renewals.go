package servers

import "github.com/damaskport/damaskport/internal/runtime/clock"

const (
	// RenewalSettle is how long after a time an entry may still arrive at the store that was sent before
	// it: the entry of a process that has ended meanwhile.
	RenewalSettle = 250 * clock.Millisecond
	// renewalReadInterval is the time between two reads that are sent for renewals.
	renewalReadInterval = 300 * clock.Millisecond
)

// Renewal is what the store tells of the process of a server since a time.
type Renewal int

// The states of a renewal. NoRenewal stands for an entry that was not written since, or not read.
const (
	NoRenewal Renewal = iota
	// Renewed: the process has written its entry, so it ran then.
	Renewed
	// Gone: the entry is missing, or of another start. It will not be renewed.
	Gone
)

// Renewals tells whether servers renew their entries, from reads of the store. A process that has ended
// renews none. It has a single owner and is not safe for concurrent use; times are by the monotonic clock.
type Renewals struct {
	watches map[*RenewalWatch]struct{}
	// latest holds the last entry read of each server.
	latest map[string]entryVersion
}

type entryVersion struct{ start, seq int64 }

// RenewalWatch watches the entry of one start of a server.
type RenewalWatch struct {
	Key Key
	// SinceMs is the time that a renewal has to follow.
	SinceMs clock.Millis
	state   Renewal
	// based is set once the entries are known that were written by SinceMs, baseSeq being the last one.
	based   bool
	baseSeq int64
}

// State returns what is known so far.
func (w *RenewalWatch) State() Renewal { return w.state }

// NewRenewals returns Renewals without a watch.
func NewRenewals() *Renewals {
	return &Renewals{watches: map[*RenewalWatch]struct{}{}, latest: map[string]entryVersion{}}
}

// Watch adds w, until Stop is called.
func (r *Renewals) Watch(w *RenewalWatch) { r.watches[w] = struct{}{} }

// DueMs returns when a read is due that may tell a watch more, given when the last one was sent; ok is
// false if none waits.
func (r *Renewals) DueMs(readMs clock.Millis) (ms clock.Millis, ok bool) {
	for w := range r.watches {
		if w.state != NoRenewal {
			continue
		}
		if at := max(w.SinceMs+RenewalSettle, readMs+renewalReadInterval); !ok || at < ms {
			ms, ok = at, true
		}
	}
	return ms, ok
}

// Stop removes w.
func (r *Renewals) Stop(w *RenewalWatch) { delete(r.watches, w) }

// Read records a read that was sent at a time and answered, with the entries in it in their order; deleted
// ones have no start. whole is set if it holds the newest entry of each server, else those since the last
// read.
func (r *Renewals) Read(sent clock.Millis, entries []Server, whole bool) {
	if whole {
		clear(r.latest)
	}
	for _, s := range entries {
		r.latest[s.ID] = entryVersion{s.Start, s.Seq}
	}
	for w := range r.watches {
		if sent >= w.SinceMs+RenewalSettle && w.state == NoRenewal {
			w.update(r.latest[w.Key.ID])
		}
	}
}

// update takes up the newest entry, as of a read that was sent once w may be based.
func (w *RenewalWatch) update(e entryVersion) {
	switch {
	case e.start != w.Key.Start || e.start == 0:
		w.state = Gone
	case !w.based:
		w.based, w.baseSeq = true, e.seq
	case e.seq > w.baseSeq:
		w.state = Renewed
	}
}
