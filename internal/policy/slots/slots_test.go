package slots_test

import (
	"flag"
	"fmt"
	"os"
	"sort"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/damaskport/damaskport/internal/policy/slots"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// rapidSeed is the default of -rapid.seed, so that runs are reproducible.
const rapidSeed = "20261203"

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.nofailfile", "true")
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = f.Value.Set(rapidSeed)
	}
	fmt.Println("rapid.seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

// model makes random calls to a Scheduler and tracks the state of each reservation as a
// sidecar sees it.
type model struct {
	t    *rapid.T
	s    *slots.Scheduler
	cfg  slots.Config
	now  clock.Millis
	next int                          // number of the newest reservation
	res  map[string]slots.Reservation // by id
	// The sets hold the ids of the reservations in each state; stopped ones have been
	// preempted and have not ended yet.
	waiting map[string]bool
	offered map[string]bool
	running map[string]bool
	stopped map[string]bool
}

// applyActions checks the new actions against the model and applies them.
func (m *model) applyActions() {
	for _, a := range m.s.Actions() {
		switch a.Kind {
		case slots.ActionOffer:
			if !m.waiting[a.ID] {
				m.t.Fatalf("offer for %s, which is not waiting", a.ID)
			}
			delete(m.waiting, a.ID)
			m.offered[a.ID] = true
		case slots.ActionRefuse:
			if !m.waiting[a.ID] && !m.offered[a.ID] || a.Reason == "" {
				m.t.Fatalf("refusal of %s with reason %q; want a waiting or offered request and a reason", a.ID, a.Reason)
			}
			delete(m.waiting, a.ID)
			delete(m.offered, a.ID)
		case slots.ActionPreempt:
			m.preempted(a.ID)
		}
	}
	if n := len(m.offered) + len(m.running) + len(m.stopped); n > m.cfg.Slots {
		m.t.Fatalf("%d requests in %d slots", n, m.cfg.Slots)
	}
}

// preempted records a preemption. It asserts that the request was running and
// preemptible and that a request of a higher tier waits.
func (m *model) preempted(id string) {
	highest := 99
	for w := range m.waiting {
		highest = min(highest, m.res[w].Tier)
	}
	if !m.running[id] || m.res[id].Tier <= highest || !m.res[id].Preemptible {
		m.t.Fatalf("preempted %+v while the highest waiting tier is %d", m.res[id], highest)
	}
	delete(m.running, id)
	m.stopped[id] = true
}

// drawID draws an id from the sets; it returns false if they are empty.
func (m *model) drawID(sets ...map[string]bool) (string, bool) {
	var ids []string
	for _, set := range sets {
		for id := range set {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return "", false
	}
	sort.Strings(ids)
	return rapid.SampledFrom(ids).Draw(m.t, "id"), true
}

// drawReservation draws a reservation with a new id.
func (m *model) drawReservation() slots.Reservation {
	m.next++
	tier := rapid.IntRange(0, 2).Draw(m.t, "tier")
	r := slots.Reservation{
		ID: fmt.Sprintf("r%d", m.next), Entry: rapid.SampledFrom([]string{"e1", "e2"}).Draw(m.t, "entry"),
		Class: fmt.Sprintf("c%d%d", tier, rapid.IntRange(0, 1).Draw(m.t, "class")), Tier: tier,
		Account: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(m.t, "account"), Share: rapid.IntRange(0, 3).Draw(m.t, "share"),
		FloorPercent: 10 * tier, ArrivedMs: m.now, EstOutputTokens: rapid.IntRange(0, 60).Draw(m.t, "est"),
		PromptTokens: rapid.IntRange(0, 100).Draw(m.t, "prompt"), Preemptible: rapid.Bool().Draw(m.t, "preemptible"),
		NonPreempting: rapid.Bool().Draw(m.t, "nonPreempting"), Resumed: rapid.IntRange(0, 3).Draw(m.t, "resumed") == 0,
	}
	if d := rapid.IntRange(0, 5000).Draw(m.t, "deadline"); d > 0 {
		r.DeadlineMs = m.now + clock.Millis(d)
	}
	m.res[r.ID] = r
	return r
}

func (m *model) reserve(*rapid.T) {
	r := m.drawReservation()
	if m.s.Reserve(m.now, r).Feasible {
		m.waiting[r.ID] = true
	}
}

func (m *model) tryStart(*rapid.T) {
	r := m.drawReservation()
	if _, ok := m.s.TryStart(m.now, r); ok {
		m.running[r.ID] = true
	}
}

// answer accepts or declines an offer.
func (m *model) answer(t *rapid.T) {
	id, ok := m.drawID(m.offered)
	if !ok {
		return
	}
	delete(m.offered, id)
	if rapid.IntRange(0, 3).Draw(t, "decline") == 0 {
		m.s.Decline(m.now, id)
	} else if m.s.Accept(m.now, id) {
		m.running[id] = true
	}
}

func (m *model) finish(t *rapid.T) {
	if id, ok := m.drawID(m.running, m.stopped); ok {
		delete(m.running, id)
		delete(m.stopped, id)
		m.s.Finish(m.now, id, rapid.IntRange(0, 200).Draw(t, "tokens"))
	}
}

func (m *model) cancel(*rapid.T) {
	if id, ok := m.drawID(m.waiting, m.offered, m.running, m.stopped); ok {
		for _, set := range []map[string]bool{m.waiting, m.offered, m.running, m.stopped} {
			delete(set, id)
		}
		m.s.Cancel(m.now, id)
		m.s.Cancel(m.now, id)
	}
}

func (m *model) progress(t *rapid.T) {
	if id, ok := m.drawID(m.running, m.stopped); ok {
		m.s.Progress(m.now, id, rapid.IntRange(0, 100).Draw(t, "tokens"))
	}
}

func (m *model) dropEntry(t *rapid.T) {
	e := rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "entry")
	m.s.DropEntry(m.now, e)
	for _, set := range []map[string]bool{m.waiting, m.offered} {
		for id := range set {
			if m.res[id].Entry == e {
				delete(set, id)
			}
		}
	}
}

func (m *model) tick(t *rapid.T) {
	m.now += clock.Millis(rapid.IntRange(0, 300).Draw(t, "dt"))
	m.s.Tick(m.now)
}

// checkTierIsolation asserts that a new reservation of a lower tier does not change the
// estimate for a request of a higher tier. As no slot is free, TryStart only returns
// the estimate.
func (m *model) checkTierIsolation(*rapid.T) {
	if m.s.Load().Free > 0 {
		return
	}
	high := m.drawReservation()
	high.Tier, high.Class = 0, "c00"
	before, _ := m.s.TryStart(m.now, high)
	low := m.drawReservation()
	low.Tier, low.Class = 2, "c20"
	m.res[low.ID] = low
	if m.s.Reserve(m.now, low).Feasible {
		m.waiting[low.ID] = true
	}
	after, _ := m.s.TryStart(m.now, high)
	after.LowestTier = before.LowestTier
	if diff := cmp.Diff(before, after); diff != "" {
		m.t.Fatalf("lower-tier work changed the verdict of a higher tier: %s", diff)
	}
}

// TestRandomRuns makes random calls; the scheduler checks all its invariants and the
// test those of the model after each call.
func TestRandomRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := slots.Config{
			Slots: rapid.IntRange(1, 4).Draw(t, "slots"), CheckEvery: 1,
			NoFloors: rapid.Bool().Draw(t, "noFloors"), NoShedding: rapid.Bool().Draw(t, "noShedding"),
		}
		m := &model{
			t: t, cfg: cfg, s: slots.New(cfg), now: 1, res: map[string]slots.Reservation{},
			waiting: map[string]bool{}, offered: map[string]bool{}, running: map[string]bool{}, stopped: map[string]bool{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"reserve": m.reserve, "reserve2": m.reserve, "tryStart": m.tryStart, "answer": m.answer, "finish": m.finish,
			"cancel": m.cancel, "progress": m.progress, "dropEntry": m.dropEntry, "tick": m.tick, "probe": m.checkTierIsolation,
			"": func(*rapid.T) { m.applyActions() },
		})
	})
}
