package lease

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/supervise"
)

const (
	// renewalsPerLease is the number of renewals per lease length.
	renewalsPerLease = 3
	// claimsPerLease is the number of times per lease length that a claim is sent
	// until one is accepted.
	claimsPerLease = 6
	// emptyRecordInterval is the minimum time from a record to an empty one, which only
	// advances the log time.
	emptyRecordInterval = 20 * clock.Second
)

// Config holds the parameters of an Author.
type Config struct {
	// Holder identifies this process; a restarted process has a new identifier.
	Holder string
	// LengthMs is how long a lease is valid without renewal, at most MaxLength.
	LengthMs clock.Millis
	// DriftMs is the maximum drift between two clocks during LengthMs.
	DriftMs clock.Millis
}

// Append adds a record to the leases stream. The Author does not need the result: it
// finds out whether the record was appended when it reads the stream.
type Append struct {
	Data []byte
}

// Held is a lease that the process holds.
type Held struct {
	Lease string
	Term  int64
	// UntilMs is when the lease ends unless renewed, on the monotonic clock
	// that the Author is driven by.
	UntilMs clock.Millis
}

// Author takes, renews and releases the leases that one process wants. It is a
// pure state machine and not safe for concurrent use. The times passed to its
// methods are readings of one monotonic clock that also advances while the
// machine is suspended, taken after a record was received or before one is sent.
type Author struct {
	cfg               Config
	fold              *Fold
	startMs           clock.Millis           // when the Author started to read
	lastSeq           int64                  // Record.Seq of the last record sent
	sendTimes         map[int64]clock.Millis // send times of the records of the last LengthMs, by Record.Seq
	leases            map[string]*leaseState
	nextEmptyRecordMs clock.Millis // earliest time to append the next empty record, which only advances the log time
}

// leaseState is the state of one lease that the Author keeps in addition to that in
// the Fold. Its times are on the Author's monotonic clock.
type leaseState struct {
	wanted bool
	// readMs is when the last accepted claim was read.
	readMs clock.Millis
	// lengthMs is the length of the lease in the last accepted claim, or
	// Config.LengthMs if that is greater. A challenger waits for at least this long.
	lengthMs    clock.Millis
	held        Held         // as last taken or renewed; zero after a release or if another process took it
	renewMs     clock.Millis // when the held lease should be renewed
	nextClaimMs clock.Millis // earliest time of the next claim
	release     bool         // a release has yet to be recorded
}

// NewAuthor returns an Author that starts to read at time now. It takes
// ownership of fold.
func NewAuthor(now clock.Millis, cfg Config, fold *Fold) *Author {
	cfg.LengthMs = min(cfg.LengthMs, MaxLength)
	return &Author{
		cfg:               cfg,
		fold:              fold,
		startMs:           now,
		sendTimes:         map[int64]clock.Millis{},
		leases:            map[string]*leaseState{},
		nextEmptyRecordMs: now,
	}
}

// SetWanted sets the leases that the process wants to hold, and releases any others
// that it holds.
func (a *Author) SetWanted(now clock.Millis, names ...string) []Append {
	for name, l := range a.leases {
		if l.wanted && !slices.Contains(names, name) {
			l.wanted = false
			l.release = l.held.UntilMs > now
			l.held = Held{}
			l.nextClaimMs = now
		}
	}
	for _, name := range names {
		a.lease(name).wanted = true
	}
	return a.Tick(now)
}

// lease returns the state of a lease, which it creates if there is none.
func (a *Author) lease(name string) *leaseState {
	l, ok := a.leases[name]
	if !ok {
		l = &leaseState{readMs: a.startMs, lengthMs: a.cfg.LengthMs}
		a.leases[name] = l
	}
	return l
}

// Held returns the lease and true if the process holds it at time now.
func (a *Author) Held(now clock.Millis, name string) (Held, bool) {
	l, ok := a.leases[name]
	if !ok || now >= l.held.UntilMs {
		return Held{}, false
	}
	return l.held, true
}

// Releasing reports whether a release has yet to be recorded.
func (a *Author) Releasing() bool {
	for _, l := range a.leases {
		if l.release {
			return true
		}
	}
	return false
}

// SetOldest reports that first is the offset of the oldest retained record.
func (a *Author) SetOldest(first int64) { a.fold.SetOldest(first) }

// Next returns the offset of the next record to read.
func (a *Author) Next() int64 { return a.fold.Next() }

// ApplyRecord applies the next record read from the stream. atMs is the record's log
// time.
func (a *Author) ApplyRecord(now clock.Millis, offset int64, atMs clock.Millis, data []byte) []Append {
	for _, d := range a.fold.Apply(offset, atMs, data) {
		if d.Accepted {
			a.handleAccepted(now, d)
		}
	}
	return a.Tick(now)
}

// handleAccepted updates the state of a lease after an accepted claim on it, of
// this process or of another.
func (a *Author) handleAccepted(now clock.Millis, d Decision) {
	l := a.lease(d.Lease)
	s, _ := a.fold.Lookup(d.Lease)
	l.readMs = now
	l.lengthMs = max(s.LengthMs, a.cfg.LengthMs)
	l.held = Held{}
	l.nextClaimMs = now
	if d.Holder != a.cfg.Holder || d.Release {
		l.release = false
		return
	}
	sentMs, ok := a.sendTimes[d.Seq]
	if !ok || !l.wanted || l.release {
		return
	}
	l.held = Held{Lease: d.Lease, Term: s.Term, UntilMs: sentMs + a.cfg.LengthMs}
	l.renewMs = sentMs + a.cfg.LengthMs/renewalsPerLease
}

// Tick sends the claims, renewals and releases that are due. If there are none, it
// sends an empty record if one is due and the state of a wanted lease is unknown.
func (a *Author) Tick(now clock.Millis) []Append {
	for seq, sentMs := range a.sendTimes {
		if now >= sentMs+a.cfg.LengthMs {
			delete(a.sendTimes, seq)
		}
	}
	var claims []Claim
	unknown := false
	for _, name := range slices.Sorted(maps.Keys(a.leases)) {
		l := a.leases[name]
		at, c, ok := a.due(name, l)
		if _, known := a.fold.Lookup(name); !known && l.wanted {
			unknown = true
		}
		if !ok || now < at {
			continue
		}
		l.nextClaimMs = now + a.cfg.LengthMs/claimsPerLease
		if c.Term != 0 && now >= l.held.UntilMs && !c.Release {
			c.Term = 0
		}
		claims = append(claims, c)
	}
	if len(claims) == 0 && (!unknown || now < a.nextEmptyRecordMs) {
		return nil
	}
	return []Append{a.record(now, claims)}
}

// record returns the next record of the process, with the given claims.
func (a *Author) record(now clock.Millis, claims []Claim) Append {
	a.lastSeq++
	a.sendTimes[a.lastSeq] = now
	a.nextEmptyRecordMs = now + emptyRecordInterval
	data, err := json.Marshal(Record{Holder: a.cfg.Holder, Seq: a.lastSeq, Claims: claims})
	if err != nil {
		panic(&supervise.InvariantError{Invariant: "lease.encode", Detail: err.Error()})
	}
	return Append{data}
}

// due returns when to send the next claim, renewal or release of a lease, and its
// contents; false if there is none to send.
func (a *Author) due(name string, l *leaseState) (clock.Millis, Claim, bool) {
	s, known := a.fold.Lookup(name)
	own := s.Holder == a.cfg.Holder
	c := Claim{Lease: name, LastAccepted: s.Last, LengthMs: a.cfg.LengthMs}
	switch {
	case !known || !l.wanted && !l.release:
		return 0, c, false
	case l.release:
		c.Release, c.Term = true, s.Term
		return l.nextClaimMs, c, own
	case own:
		c.Term = s.Term
		return max(l.nextClaimMs, l.renewMs), c, true
	case s.Last > 0 && s.Holder == "":
		return max(l.nextClaimMs, l.readMs+a.challengeDelay(name)), c, true
	}
	return max(l.nextClaimMs, l.readMs+l.lengthMs+a.cfg.DriftMs+a.challengeDelay(name)), c, true
}

// challengeDelay returns how much longer than necessary this process waits before it
// claims a free lease. One part of the delay, up to a quarter of the lease length, is
// a hash of the process and the lease and makes conflicting claims rare. The other
// part grows with the number of leases that the process holds, up to a lease length,
// and spreads the leases over the processes.
func (a *Author) challengeDelay(name string) clock.Millis {
	held := 0
	for _, l := range a.leases {
		if l.held.Lease != "" {
			held++
		}
	}
	part := xxhash.Sum64String(a.cfg.Holder+"/"+name) % uint64(a.cfg.LengthMs/4+1)
	return clock.Millis(part) + min(a.cfg.LengthMs, clock.Millis(held)*a.cfg.LengthMs/8)
}

// NextTick returns the time at which Tick must be called next; false if it need
// not be called.
func (a *Author) NextTick() (clock.Millis, bool) {
	next, found := a.nextEmptyRecordMs, false
	for name, l := range a.leases {
		at, _, ok := a.due(name, l)
		if !ok {
			if l.wanted && (!found || a.nextEmptyRecordMs < next) {
				next, found = a.nextEmptyRecordMs, true
			}
			continue
		}
		if !found || at < next {
			next, found = at, true
		}
	}
	return next, found
}
