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
	// renewsPerLease is the number of renewals in the length of a lease, and
	// sendsPerLease that of repeated claims while none was accepted.
	renewsPerLease = 3
	sendsPerLease  = 6
	// markAfter is the time between records that only mark the log's time.
	markAfter = 20 * clock.Second
)

// Config holds the parameters of an Author.
type Config struct {
	// Holder is unique to the process.
	Holder   string
	LengthMs clock.Millis
	// DriftMs bounds by how much two clocks differ over LengthMs.
	DriftMs clock.Millis
}

// Append adds a record to the leases stream. Its result is not needed: what
// was recorded is found by reading.
type Append struct {
	Data []byte
}

// Held is a lease that the process holds.
type Held struct {
	Lease string
	Term  int64
	// UntilMs is the time, on the clock of the Author's inputs, at which it
	// ends unless it is renewed.
	UntilMs clock.Millis
}

// Author takes, renews and releases the leases that one process wants. It is
// a pure state machine with a single owner. The time of each input is that of
// one monotonic clock that counts suspended time, read after a record was
// received and before one is sent.
type Author struct {
	cfg     Config
	fold    *Fold
	startMs clock.Millis
	seq     int64
	sent    map[int64]clock.Millis // times of records by number
	leases  map[string]*interest
	markMs  clock.Millis
}

// interest is what the Author knows of one lease beside the fold.
type interest struct {
	wanted bool
	// sawMs is when the last accepted claim was seen.
	sawMs    clock.Millis
	lengthMs clock.Millis
	held     Held
	renewMs  clock.Millis
	nextMs   clock.Millis
	release  bool
}

// NewAuthor returns an Author that owns fold and has read nothing before now.
func NewAuthor(now clock.Millis, cfg Config, fold *Fold) *Author {
	cfg.LengthMs = min(cfg.LengthMs, MaxLength)
	return &Author{
		cfg:     cfg,
		fold:    fold,
		startMs: now,
		sent:    map[int64]clock.Millis{},
		leases:  map[string]*interest{},
		markMs:  now,
	}
}

// Want sets the leases to be held. Others that are held are released.
func (a *Author) Want(now clock.Millis, names ...string) []Append {
	for name, in := range a.leases {
		if in.wanted && !slices.Contains(names, name) {
			in.wanted = false
			in.release = in.held.UntilMs > now
			in.held = Held{}
			in.nextMs = now
		}
	}
	for _, name := range names {
		a.interest(name).wanted = true
	}
	return a.Tick(now)
}

func (a *Author) interest(name string) *interest {
	in, ok := a.leases[name]
	if !ok {
		in = &interest{sawMs: a.startMs, lengthMs: a.cfg.LengthMs}
		a.leases[name] = in
	}
	return in
}

// Held returns the lease when the process holds it at now.
func (a *Author) Held(now clock.Millis, name string) (Held, bool) {
	in, ok := a.leases[name]
	if !ok || now >= in.held.UntilMs {
		return Held{}, false
	}
	return in.held, true
}

// Releasing reports whether a release has yet to be recorded.
func (a *Author) Releasing() bool {
	for _, in := range a.leases {
		if in.release {
			return true
		}
	}
	return false
}

// Begin tells that the stream retains records from first on only.
func (a *Author) Begin(first int64) { a.fold.Begin(first) }

// Next returns the offset of the next record to read.
func (a *Author) Next() int64 { return a.fold.Next() }

// Seen applies the next record of the stream.
func (a *Author) Seen(now clock.Millis, offset int64, atMs clock.Millis, data []byte) []Append {
	for _, d := range a.fold.Apply(offset, atMs, data) {
		if d.Accepted {
			a.accepted(now, d)
		}
	}
	return a.Tick(now)
}

func (a *Author) accepted(now clock.Millis, d Decision) {
	in := a.interest(d.Lease)
	s, _ := a.fold.Lookup(d.Lease)
	in.sawMs = now
	in.lengthMs = max(s.LengthMs, a.cfg.LengthMs)
	in.held = Held{}
	in.nextMs = now
	if d.Holder != a.cfg.Holder || d.Release {
		in.release = false
		return
	}
	sentMs, ok := a.sent[d.Seq]
	if !ok || !in.wanted || in.release {
		return
	}
	in.held = Held{Lease: d.Lease, Term: s.Term, UntilMs: sentMs + a.cfg.LengthMs}
	in.renewMs = sentMs + a.cfg.LengthMs/renewsPerLease
}

// Tick acts on the passing of time.
func (a *Author) Tick(now clock.Millis) []Append {
	for seq, sentMs := range a.sent {
		if now >= sentMs+a.cfg.LengthMs {
			delete(a.sent, seq)
		}
	}
	var claims []Claim
	unknown := false
	for _, name := range slices.Sorted(maps.Keys(a.leases)) {
		in := a.leases[name]
		at, c, ok := a.due(name, in)
		if _, known := a.fold.Lookup(name); !known && in.wanted {
			unknown = true
		}
		if !ok || now < at {
			continue
		}
		in.nextMs = now + a.cfg.LengthMs/sendsPerLease
		if c.Term != 0 && now >= in.held.UntilMs && !c.Release {
			c.Term = 0
		}
		claims = append(claims, c)
	}
	if len(claims) == 0 && (!unknown || now < a.markMs) {
		return nil
	}
	return []Append{a.record(now, claims)}
}

func (a *Author) record(now clock.Millis, claims []Claim) Append {
	a.seq++
	a.sent[a.seq] = now
	a.markMs = now + markAfter
	data, err := json.Marshal(Record{Holder: a.cfg.Holder, Seq: a.seq, Claims: claims})
	if err != nil {
		panic(&supervise.InvariantError{Invariant: "lease.encode", Detail: err.Error()})
	}
	return Append{data}
}

// due returns the next claim on a lease and the time to send it.
func (a *Author) due(name string, in *interest) (clock.Millis, Claim, bool) {
	s, known := a.fold.Lookup(name)
	mine := s.Holder == a.cfg.Holder
	c := Claim{Lease: name, Seen: s.Last, LengthMs: a.cfg.LengthMs}
	switch {
	case !known || !in.wanted && !in.release:
		return 0, c, false
	case in.release:
		c.Release, c.Term = true, s.Term
		return in.nextMs, c, mine
	case mine:
		c.Term = s.Term
		return max(in.nextMs, in.renewMs), c, true
	case s.Last > 0 && s.Holder == "":
		return max(in.nextMs, in.sawMs+a.spread(name)), c, true
	}
	return max(in.nextMs, in.sawMs+in.lengthMs+a.cfg.DriftMs+a.spread(name)), c, true
}

// spread delays a challenger, so that the leases spread over the processes
// and few claims meet: the more leases it holds the longer.
func (a *Author) spread(name string) clock.Millis {
	held := 0
	for _, in := range a.leases {
		if in.held.Lease != "" {
			held++
		}
	}
	part := xxhash.Sum64String(a.cfg.Holder+"/"+name) % uint64(a.cfg.LengthMs/4+1)
	return clock.Millis(part) + min(a.cfg.LengthMs, clock.Millis(held)*a.cfg.LengthMs/8)
}

// NextTick returns the time of the next Tick that is needed, if any.
func (a *Author) NextTick() (clock.Millis, bool) {
	next, found := a.markMs, false
	for name, in := range a.leases {
		at, _, ok := a.due(name, in)
		if !ok {
			if in.wanted && (!found || a.markMs < next) {
				next, found = a.markMs, true
			}
			continue
		}
		if !found || at < next {
			next, found = at, true
		}
	}
	return next, found
}
