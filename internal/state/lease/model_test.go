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

// fault switches one mechanism of the protocol off.
type fault int

const (
	noFault fault = iota
	// validFromSeen counts validity from when the accepted claim was seen.
	validFromSeen
	// shortWait has challengers wait for half a lease.
	shortWait
	// noDrift has challengers wait without regard to drift.
	noDrift
	// unbound accepts claims whatever last claim they name.
	unbound
	// keepAfterRelease has holders go on until the release is seen.
	keepAfterRelease
)

const (
	length = 3000 * clock.Millisecond
	// maxRate is by how much clocks are fast or slow, in thousandths.
	maxRate   = 100
	driftMs   = length*2*maxRate/(1000-maxRate) + 10
	modelBase = 1000 * clock.Hour
)

var leaseNames = []string{"capacity/a", "usage/0"}

type member struct {
	author *lease.Author
	name   string
	start  clock.Millis
	rate   int // clock gains rate/1000
	frozen bool
	next   int64
	wants  bool
	seen   map[string]lease.Held // validity under validFromSeen and keepAfterRelease
}

type logRecord struct {
	atMs clock.Millis
	data []byte
}

// model is a log and members with drifting clocks that freeze and crash. Time
// in it is true time.
type model struct {
	fault   fault
	now     clock.Millis
	log     []logRecord
	first   int64
	limbo   [][]byte
	members []*member
	made    int
	terms   map[string]int64
	holder  map[string]string
	grants  int
	err     error
}

func newModel(members int, f fault, choose func(int) int) *model {
	m := &model{fault: f, now: modelBase, first: 1, terms: map[string]int64{}, holder: map[string]string{}}
	for i := range members {
		m.members = append(m.members, nil)
		m.replace(i, choose)
	}
	return m
}

func (m *model) replace(i int, choose func(int) int) {
	m.made++
	b := &member{name: fmt.Sprintf("h%d", m.made), start: m.now, seen: map[string]lease.Held{}, next: 1}
	b.rate = []int{-maxRate, 0, maxRate}[choose(3)]
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

func (b *member) now(t clock.Millis) clock.Millis {
	return t + (t-b.start)*clock.Millis(b.rate)/1000
}

func (m *model) want(i int, choose func(int) int) {
	b := m.members[i]
	b.wants = choose(3) > 0
	names := leaseNames
	if !b.wants {
		names = nil
	}
	if m.fault != keepAfterRelease {
		clear(b.seen)
	}
	m.send(b.author.Want(b.now(m.now), names...), choose)
}

// send records an append now, later or never; the author is not told.
func (m *model) send(out []lease.Append, choose func(int) int) {
	for _, a := range out {
		switch choose(6) {
		default:
			m.record(a.Data)
		case 0:
			m.limbo = append(m.limbo, a.Data)
		case 1:
		}
	}
}

func (m *model) record(data []byte) {
	if m.fault == unbound {
		data = m.unbind(data)
	}
	m.log = append(m.log, logRecord{m.now, data})
}

// unbind makes claims name the last accepted ones.
func (m *model) unbind(data []byte) []byte {
	f := lease.New()
	for i, r := range m.log {
		f.Apply(int64(i+1), r.atMs, r.data)
	}
	var rec lease.Record
	_ = json.Unmarshal(data, &rec)
	for i, c := range rec.Claims {
		s, _ := f.Lookup(c.Lease)
		rec.Claims[i].Seen = s.Last
		if !c.Release {
			rec.Claims[i].Term = 0
		}
	}
	data, _ = json.Marshal(rec)
	return data
}

// step lets a little time pass and performs the event that choose selects.
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
		m.land(choose)
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

func (m *model) land(choose func(int) int) {
	if len(m.limbo) == 0 {
		return
	}
	k := choose(len(m.limbo))
	m.record(m.limbo[k])
	m.limbo = append(m.limbo[:k:k], m.limbo[k+1:]...)
}

func (m *model) read(b *member, choose func(int) int) {
	now := b.now(m.now)
	b.next = max(b.next, m.first)
	b.author.Begin(m.first)
	for range choose(5) {
		if b.next > int64(len(m.log)) {
			break
		}
		r := m.log[b.next-1]
		before := m.held(b)
		m.send(b.author.Seen(now, b.next, r.atMs, r.data), choose)
		m.note(b, before, r.data)
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

// note keeps what a member without the mechanism would take as its validity.
func (m *model) note(b *member, before map[string]lease.Held, data []byte) {
	for name, h := range m.held(b) {
		if before[name] == h {
			continue
		}
		if m.fault == validFromSeen {
			h.UntilMs = b.now(m.now) + length
		}
		b.seen[name] = h
	}
	var rec lease.Record
	_ = json.Unmarshal(data, &rec)
	if rec.Holder == b.name && len(rec.Claims) > 0 && rec.Claims[0].Release {
		clear(b.seen)
	}
}

func (m *model) valid(b *member, name string) (lease.Held, bool) {
	if m.fault == validFromSeen || m.fault == keepAfterRelease {
		h, ok := b.seen[name]
		return h, ok && b.now(m.now) < h.UntilMs
	}
	return b.author.Held(b.now(m.now), name)
}

// check finds two members that hold one lease, and terms that go back.
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

func TestModelHolds(t *testing.T) {
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

// TestModelSeeds runs long interleavings from fixed seeds, in which leases
// must change hands.
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
		t.Errorf("%d terms in %d runs; the model does nothing", grants, seeds)
	}
	t.Logf("%d terms in %d runs", grants, seeds)
}

// TestModelFindsFaults shows that the model check fails when one mechanism is
// off. Each search starts near the first seed that finds it.
func TestModelFindsFaults(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault fault
		from  uint64
	}{
		{"validFromSeen", validFromSeen, 850},
		{"shortWait", shortWait, 0},
		{"noDrift", noDrift, 570},
		{"unbound", unbound, 0},
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
