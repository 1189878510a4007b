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

// fault is an error in the protocol that the model can simulate to show that its
// checks detect the error.
type fault int

const (
	noFault fault = iota
	// validFromRead has a lease start when its holder reads the accepted claim,
	// not when it sends the claim.
	validFromRead
	// shortWait has challengers wait for half a lease length.
	shortWait
	// noDrift has challengers wait for the lease length without the drift.
	noDrift
	// anyLastClaim has claims accepted whichever last accepted claim they name.
	anyLastClaim
	// keepAfterRelease has holders keep a lease after they send its release, until
	// they read it.
	keepAfterRelease
)

const (
	leaseLength = 3000 * clock.Millisecond // Config.LengthMs of all members
	// maxRateError is the maximum rate error of a clock, in thousandths.
	maxRateError = 100
	// driftMs is the maximum drift between two clocks during leaseLength, plus 10 ms.
	driftMs   = leaseLength*2*maxRateError/(1000-maxRateError) + 10
	modelBase = 1000 * clock.Hour // time at which the model starts
)

var leaseNames = []string{"capacity/a", "usage/0"}

// member is a process that reads the log and wants leases.
type member struct {
	author      *lease.Author
	name        string
	start       clock.Millis          // when its clock was exact, in the model's time
	rate        int                   // the clock gains rate/1000 of the time that passes
	suspended   bool                  // reads and sends nothing
	next        int64                 // offset of the next record to read
	wantsLeases bool                  // wants all leases in leaseNames
	faultyHeld  map[string]lease.Held // leases held under validFromRead and keepAfterRelease
}

type logRecord struct {
	atMs clock.Millis
	data []byte
}

// model simulates a log and members with drifting clocks that are suspended and crash.
// Its own time has no drift. err is set once an invariant is broken.
type model struct {
	fault        fault
	now          clock.Millis
	log          []logRecord
	first        int64    // offset of the oldest retained record
	unconfirmed  [][]byte // appends that may be recorded later
	members      []*member
	created      int               // number of processes started
	lastTerm     map[string]int64  // latest term that a member held, by lease
	lastHolder   map[string]string // member that held the latest term, by lease
	termsStarted int               // over all leases
	err          error
}

func newModel(members int, f fault, choose func(int) int) *model {
	m := &model{fault: f, now: modelBase, first: 1, lastTerm: map[string]int64{}, lastHolder: map[string]string{}}
	for i := range members {
		m.members = append(m.members, nil)
		m.startMember(i, choose)
	}
	return m
}

// startMember starts a new process as member i, with a clock of a chosen rate.
func (m *model) startMember(i int, choose func(int) int) {
	m.created++
	proc := &member{name: fmt.Sprintf("h%d", m.created), start: m.now, faultyHeld: map[string]lease.Held{}, next: 1}
	proc.rate = []int{-maxRateError, 0, maxRateError}[choose(3)]
	cfg := lease.Config{Holder: proc.name, LengthMs: leaseLength, DriftMs: driftMs}
	switch m.fault {
	case shortWait:
		cfg.DriftMs = -leaseLength / 2
	case noDrift:
		cfg.DriftMs = 0
	}
	proc.author = lease.NewAuthor(proc.now(m.now), cfg, lease.New())
	m.members[i] = proc
	m.changeWanted(i, choose)
}

// now converts a time of the model to the member's clock.
func (proc *member) now(t clock.Millis) clock.Millis {
	return t + (t-proc.start)*clock.Millis(proc.rate)/1000
}

// changeWanted chooses whether member i wants the leases.
func (m *model) changeWanted(i int, choose func(int) int) {
	proc := m.members[i]
	proc.wantsLeases = choose(3) > 0
	names := leaseNames
	if !proc.wantsLeases {
		names = nil
	}
	if m.fault != keepAfterRelease {
		clear(proc.faultyHeld)
	}
	m.send(proc.author.SetWanted(proc.now(m.now), names...), choose)
}

// send records each append at once, later or never. The author gets no result.
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

// record appends a record to the log.
func (m *model) record(data []byte) {
	if m.fault == anyLastClaim {
		data = m.setLastAccepted(data)
	}
	m.log = append(m.log, logRecord{m.now, data})
}

// setLastAccepted changes each claim of a record to name the last accepted claim.
func (m *model) setLastAccepted(data []byte) []byte {
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
	m.now += clock.Millis(choose(8)) * leaseLength / 40
	i := choose(len(m.members))
	proc := m.members[i]
	switch choose(24) {
	case 0:
		proc.suspended = !proc.suspended
	case 1:
		m.startMember(i, choose)
	case 2:
		m.changeWanted(i, choose)
	case 3:
		m.first += int64(choose(int(int64(len(m.log)) + 2 - m.first)))
	case 4, 5:
		m.recordDelayed(choose)
	case 6:
		m.now += clock.Millis(choose(3)) * leaseLength
	default:
		for _, proc := range m.members {
			if !proc.suspended {
				m.read(proc, choose)
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

// read has a member read up to four records of the log and calls its Tick.
func (m *model) read(proc *member, choose func(int) int) {
	now := proc.now(m.now)
	proc.next = max(proc.next, m.first)
	proc.author.SetOldest(m.first)
	for range choose(5) {
		if proc.next > int64(len(m.log)) {
			break
		}
		r := m.log[proc.next-1]
		before := m.held(proc)
		m.send(proc.author.ApplyRecord(now, proc.next, r.atMs, r.data), choose)
		m.updateFaultyHeld(proc, before, r.data)
		proc.next++
	}
	m.send(proc.author.Tick(now), choose)
}

// held returns the leases that a member holds according to its Author.
func (m *model) held(proc *member) map[string]lease.Held {
	out := map[string]lease.Held{}
	for _, name := range leaseNames {
		if h, ok := proc.author.Held(proc.now(m.now), name); ok {
			out[name] = h
		}
	}
	return out
}

// updateFaultyHeld updates faultyHeld after the member has read data, an encoded
// record; before holds the leases that it held before that.
func (m *model) updateFaultyHeld(proc *member, before map[string]lease.Held, data []byte) {
	for name, h := range m.held(proc) {
		if before[name] == h {
			continue
		}
		if m.fault == validFromRead {
			h.UntilMs = proc.now(m.now) + leaseLength
		}
		proc.faultyHeld[name] = h
	}
	var rec lease.Record
	_ = json.Unmarshal(data, &rec)
	if rec.Holder == proc.name && len(rec.Claims) > 0 && rec.Claims[0].Release {
		clear(proc.faultyHeld)
	}
}

// heldUnderFault returns the lease and true if the member acts as its holder, which
// depends on the simulated fault.
func (m *model) heldUnderFault(proc *member, name string) (lease.Held, bool) {
	if m.fault == validFromRead || m.fault == keepAfterRelease {
		h, ok := proc.faultyHeld[name]
		return h, ok && proc.now(m.now) < h.UntilMs
	}
	return proc.author.Held(proc.now(m.now), name)
}

// check sets err if two members hold the same lease, or if the term of a lease
// decreases or is used by two members.
func (m *model) check() {
	for _, name := range leaseNames {
		holder := ""
		for _, proc := range m.members {
			h, ok := m.heldUnderFault(proc, name)
			if !ok {
				continue
			}
			if holder != "" {
				m.err = fmt.Errorf("lease %s is held by %s and by %s", name, holder, proc.name)
			}
			holder = proc.name
			if h.Term < m.lastTerm[name] || h.Term == m.lastTerm[name] && m.lastHolder[name] != proc.name {
				m.err = fmt.Errorf("lease %s: term %d of %s follows term %d of %s", name, h.Term, proc.name, m.lastTerm[name], m.lastHolder[name])
			}
			if h.Term != m.lastTerm[name] {
				m.termsStarted++
			}
			m.lastTerm[name], m.lastHolder[name] = h.Term, proc.name
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
	started := 0
	for seed := range uint64(seeds) {
		m, err := runSeed(seed, noFault)
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		started += m.termsStarted
	}
	if started < 5*seeds {
		t.Errorf("%d terms started in %d runs, want at least 5 per run", started, seeds)
	}
	t.Logf("%d terms started in %d runs", started, seeds)
}

// TestModelFindsFaults checks that the model reports a broken invariant for each
// fault. To save time, each search starts just below the first seed that does.
func TestModelFindsFaults(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault fault
		from  uint64
	}{
		{"validFromRead", validFromRead, 850},
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

// runSeed runs 400 random events from a fixed seed.
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
