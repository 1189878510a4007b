package lease_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/lease"
)

// fault is a mechanism of the protocol that the model runs without.
type fault int

const (
	noFault fault = iota
	// validFromSeen counts a lease's length from when its holder read the
	// accepted claim, not from when it sent it.
	validFromSeen
	// shortWait has challengers wait for half a lease length.
	shortWait
	// noDrift has challengers wait for the lease length without the drift.
	noDrift
	// anyLastClaim accepts claims whichever last claim they name.
	anyLastClaim
	// keepAfterRelease has holders keep a lease until they read its release.
	keepAfterRelease
)

const (
	length = 3000 * clock.Millisecond // of a lease
	// maxRateError is the maximum rate error of a clock, in thousandths.
	maxRateError = 100
	driftMs      = length*2*maxRateError/(1000-maxRateError) + 10
	modelBase    = 1000 * clock.Hour // time at which the model starts
)

var leaseNames = []string{"capacity/a", "usage/0"}

// member is a process that reads the log and wants leases.
type member struct {
	author     *lease.Author
	name       string
	start      clock.Millis // when its clock was exact, in the model's time
	rate       int          // the clock gains rate/1000 of the time that passes
	frozen     bool
	next       int64
	wants      bool
	faultyHeld map[string]lease.Held // leases held under validFromSeen and keepAfterRelease
}

type logRecord struct {
	atMs clock.Millis
	data []byte
}

// model simulates a log and members with drifting clocks that freeze and crash.
// Its own time has no drift.
type model struct {
	fault       fault
	now         clock.Millis
	log         []logRecord
	first       int64    // offset of the oldest retained record
	unconfirmed [][]byte // appends that may be recorded later
	members     []*member
	created     int
	terms       map[string]int64  // last term by lease
	holder      map[string]string // last holder by lease
	grants      int               // number of terms started
	err         error
}

func newModel(members int, f fault, choose func(int) int) *model {
	m := &model{fault: f, now: modelBase, first: 1, terms: map[string]int64{}, holder: map[string]string{}}
	for i := range members {
		m.members = append(m.members, nil)
		m.replace(i, choose)
	}
	return m
}

// replace replaces a member by a new process with a clock of another rate.
func (m *model) replace(i int, choose func(int) int) {
	m.created++
	b := &member{name: fmt.Sprintf("h%d", m.created), start: m.now, faultyHeld: map[string]lease.Held{}, next: 1}
	b.rate = []int{-maxRateError, 0, maxRateError}[choose(3)]
	cfg := lease.Config{Holder: b.name, LengthMs: length, DriftMs: driftMs}
	switch m.fault {
	case shortWait:
		cfg.DriftMs = -length / 2
	case noDrift:
		cfg.DriftMs = 0
	}
	b.author = lease.NewAuthor(b.now(m.now), cfg, lease.New())
	m.members[i] = b
	m.want(i, choose)
}

// now converts a time of the model to the member's clock.
func (b *member) now(t clock.Millis) clock.Millis {
	return t + (t-b.start)*clock.Millis(b.rate)/1000
}

// want changes at random whether a member wants the leases.
func (m *model) want(i int, choose func(int) int) {
	b := m.members[i]
	b.wants = choose(3) > 0
	names := leaseNames
	if !b.wants {
		names = nil
	}
	if m.fault != keepAfterRelease {
		clear(b.faultyHeld)
	}
	m.send(b.author.SetWanted(b.now(m.now), names...), choose)
}

// send records each append at once, later or never. The author gets no answer.
func (m *model) send(out []lease.Append, choose func(int) int) {
	for _, a := range out {
		switch choose(6) {
		default:
			m.record(a.Data)
		case 0:
			m.unconfirmed = append(m.unconfirmed, a.Data)
		case 1:
		}
	}
}

func (m *model) record(data []byte) {
	if m.fault == anyLastClaim {
		data = m.nameLastClaims(data)
	}
	m.log = append(m.log, logRecord{m.now, data})
}

// nameLastClaims changes each claim of a record to name the last accepted claim.
func (m *model) nameLastClaims(data []byte) []byte {
	f := lease.New()
	for i, r := range m.log {
		f.Apply(int64(i+1), r.atMs, r.data)
	}
	var rec lease.Record
	_ = json.Unmarshal(data, &rec)
	for i, c := range rec.Claims {
		s, _ := f.Lookup(c.Lease)
		rec.Claims[i].LastAccepted = s.Last
		if !c.Release {
			rec.Claims[i].Term = 0
		}
	}
	data, _ = json.Marshal(rec)
	return data
}

// step advances the time, performs a random event and returns an error if it
// broke an invariant. choose(n) returns a number in [0, n).
func (m *model) step(choose func(int) int) error {
	m.now += clock.Millis(choose(8)) * length / 40
	i := choose(len(m.members))
	b := m.members[i]
	switch choose(24) {
	case 0:
		b.frozen = !b.frozen
	case 1:
		m.replace(i, choose)
	case 2:
		m.want(i, choose)
	case 3:
		m.first += int64(choose(int(int64(len(m.log)) + 2 - m.first)))
	case 4, 5:
		m.recordDelayed(choose)
	case 6:
		m.now += clock.Millis(choose(3)) * length
	default:
		for _, b := range m.members {
			if !b.frozen {
				m.read(b, choose)
			}
		}
	}
	m.check()
	return m.err
}

// recordDelayed records an append that was delayed.
func (m *model) recordDelayed(choose func(int) int) {
	if len(m.unconfirmed) == 0 {
		return
	}
	k := choose(len(m.unconfirmed))
	m.record(m.unconfirmed[k])
	m.unconfirmed = append(m.unconfirmed[:k:k], m.unconfirmed[k+1:]...)
}

func (m *model) read(b *member, choose func(int) int) {
	now := b.now(m.now)
	b.next = max(b.next, m.first)
	b.author.SetOldest(m.first)
	for range choose(5) {
		if b.next > int64(len(m.log)) {
			break
		}
		r := m.log[b.next-1]
		before := m.held(b)
		m.send(b.author.ApplyRecord(now, b.next, r.atMs, r.data), choose)
		m.updateFaultyHeld(b, before, r.data)
		b.next++
	}
	m.send(b.author.Tick(now), choose)
}

func (m *model) held(b *member) map[string]lease.Held {
	out := map[string]lease.Held{}
	for _, name := range leaseNames {
		if h, ok := b.author.Held(b.now(m.now), name); ok {
			out[name] = h
		}
	}
	return out
}

// updateFaultyHeld stores the leases that the member would take for valid under
// validFromSeen and keepAfterRelease.
func (m *model) updateFaultyHeld(b *member, before map[string]lease.Held, data []byte) {
	for name, h := range m.held(b) {
		if before[name] == h {
			continue
		}
		if m.fault == validFromSeen {
			h.UntilMs = b.now(m.now) + length
		}
		b.faultyHeld[name] = h
	}
	var rec lease.Record
	_ = json.Unmarshal(data, &rec)
	if rec.Holder == b.name && len(rec.Claims) > 0 && rec.Claims[0].Release {
		clear(b.faultyHeld)
	}
}

// valid returns the lease and true if the member takes it for valid.
func (m *model) valid(b *member, name string) (lease.Held, bool) {
	if m.fault == validFromSeen || m.fault == keepAfterRelease {
		h, ok := b.faultyHeld[name]
		return h, ok && b.now(m.now) < h.UntilMs
	}
	return b.author.Held(b.now(m.now), name)
}

// check sets err if two members hold the same lease, or if its term decreases
// or is used by two members.
func (m *model) check() {
	for _, name := range leaseNames {
		by := ""
		for _, b := range m.members {
			h, ok := m.valid(b, name)
			if !ok {
				continue
			}
			if by != "" {
				m.err = fmt.Errorf("%s held by %s and %s", name, by, b.name)
			}
			by = b.name
			if h.Term < m.terms[name] || h.Term == m.terms[name] && m.holder[name] != b.name {
				m.err = fmt.Errorf("%s: term %d of %s after %d of %s", name, h.Term, b.name, m.terms[name], m.holder[name])
			}
			if h.Term != m.terms[name] {
				m.grants++
			}
			m.terms[name], m.holder[name] = h.Term, b.name
		}
	}
}

// TestModelInvariants runs random interleavings of two or three members: at most one
// holds a lease at any time, and terms never decrease.
func TestModelInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "choice") }
		m := newModel(2+choose(2), noFault, choose)
		for range 150 {
			if err := m.step(choose); err != nil {
				rt.Fatal(err)
			}
		}
	})
}

// TestModelSeeds runs long interleavings from fixed seeds. It also checks that
// enough terms are started for the runs to test anything.
func TestModelSeeds(t *testing.T) {
	const seeds = 300
	grants := 0
	for seed := range uint64(seeds) {
		m, err := runSeed(seed, noFault)
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		grants += m.grants
	}
	if grants < 5*seeds {
		t.Errorf("%d terms in %d runs, want at least 5 a run", grants, seeds)
	}
	t.Logf("%d terms in %d runs", grants, seeds)
}

// TestModelFindsFaults checks that the model detects each fault. To save time,
// each search starts just below the first seed that detects it.
func TestModelFindsFaults(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault fault
		from  uint64
	}{
		{"validFromSeen", validFromSeen, 850},
		{"shortWait", shortWait, 0},
		{"noDrift", noDrift, 570},
		{"anyLastClaim", anyLastClaim, 0},
		{"keepAfterRelease", keepAfterRelease, 95},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := c.from; seed < 3000; seed++ {
				if _, err := runSeed(seed, c.fault); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Error("no violation found in 3000 seeds")
		})
	}
}

func runSeed(seed uint64, f fault) (*model, error) {
	r := rand.New(rand.NewPCG(seed, 2))
	m := newModel(2+int(seed%2), f, r.IntN)
	for range 400 {
		if err := m.step(r.IntN); err != nil {
			return m, err
		}
	}
	return m, nil
}
