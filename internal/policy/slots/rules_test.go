package slots_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/damaskport/damaskport/internal/policy/slots"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const floorLength = 40 // most tokens of a request

// floorRun is a server whose highest tier always waits, each floor class too.
type floorRun struct {
	s       *slots.Slots
	lengths *rand.Rand
	next    int
	// charged counts all tokens, own those of each class; starts holds the
	// charged tokens at each start of a class.
	charged float64
	own     map[string]float64
	starts  map[string][]float64
	// behind is the most that a class lagged behind its part of the charged tokens.
	behind map[string]float64
	rates  map[string]float64
	floors map[string]int
	tiers  map[string]int
}

func (f *floorRun) reserve(now clock.Millis, class string) {
	f.next++
	f.s.Reserve(now, slots.Reservation{
		ID: fmt.Sprint(class, "-", f.next), Class: class, Tier: f.tiers[class], FloorPercent: f.floors[class], Account: "a",
		ArrivedMs: now, EstTokens: 1 + f.lengths.IntN(floorLength), Preemptible: true,
	})
}

func (f *floorRun) finish(now clock.Millis, id string) {
	class, _, _ := strings.Cut(id, "-")
	n := 1 + f.lengths.IntN(floorLength)
	f.s.Finish(now, id, n)
	f.charged += float64(n)
	f.own[class] += float64(n)
	for c, rate := range f.rates {
		f.behind[c] = max(f.behind[c], rate*f.charged-f.own[c])
	}
}

// runFloors ends n requests. Estimates and lengths are independent; lower work
// not on a floor turn is preempted by the scheduler before its first token.
func runFloors(cfg slots.Config, floors []int, n int) *floorRun {
	f := &floorRun{
		s: slots.New(cfg), lengths: rand.New(rand.NewPCG(1, uint64(n))), own: map[string]float64{}, starts: map[string][]float64{},
		behind: map[string]float64{}, rates: map[string]float64{}, floors: map[string]int{}, tiers: map[string]int{},
	}
	total := 0
	for _, percent := range floors {
		total += percent
	}
	for i, percent := range floors {
		class := fmt.Sprint("low", i)
		f.floors[class], f.tiers[class], f.rates[class] = percent, 1+i%2, float64(percent)/float64(max(100, total))
		f.reserve(0, class)
	}
	var running []string
	for now := clock.Millis(1); now <= clock.Millis(n); {
		for f.s.Load().WaitingByTier[0] < 2 {
			f.reserve(now, "top")
		}
		for acts := f.s.Actions(); len(acts) > 0; acts = f.s.Actions() {
			for _, a := range acts {
				if a.Kind == slots.ActionPreempt {
					f.s.Finish(now, a.ID, 0)
					continue
				}
				class, _, _ := strings.Cut(a.ID, "-")
				if class != "top" {
					f.reserve(now, class)
				}
				f.s.Accept(now, a.ID)
				f.starts[class] = append(f.starts[class], f.charged)
				running = append(running, a.ID)
			}
		}
		now++
		f.finish(now, running[0])
		running = running[1:]
	}
	return f
}

// longestGap returns the most tokens between two starts, the ends included.
func longestGap(starts []float64, end float64) float64 {
	gap, last := 0.0, 0.0
	for _, at := range append(starts, end) {
		gap = max(gap, at-last)
		last = at
	}
	return gap
}

// TestFloorWithinTokens asserts that each class with waiting work gets its
// floor of the charged tokens, never more than the stated amount behind, that
// it starts again within the tokens in which it earns its last request and the
// next one, and that without floors it does not start at all. With few
// OutputTokens, requests are longer than what a class may save.
func TestFloorWithinTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 1000
		cfg := slots.Config{Slots: rapid.IntRange(1, 8).Draw(t, "slots"), CheckEvery: 1, OutputTokens: rapid.SampledFrom([]int{5, 200}).Draw(t, "outputTokens")}
		floors := rapid.SliceOfN(rapid.IntRange(2, 20), 1, 6).Draw(t, "floors")
		got := runFloors(cfg, floors, n)
		turns := float64((2*cfg.Slots + len(floors) + 1) * floorLength)
		for class, rate := range got.rates {
			if gap, bound := longestGap(got.starts[class], got.charged), 2*floorLength/rate+turns; gap > bound {
				t.Fatalf("%s with floor %d waited %.0f charged tokens, bound %.0f", class, got.floors[class], gap, bound)
			}
			if behind, bound := got.behind[class], 2*floorLength+rate*turns; cfg.OutputTokens == 200 && behind > bound {
				t.Fatalf("%s with floor %d lagged %.0f tokens behind, bound %.0f", class, got.floors[class], behind, bound)
			}
			if most := rate*got.charged + float64(2+cfg.Slots)*floorLength; got.own[class] > most {
				t.Fatalf("%s with floor %d got %.0f tokens, at most %.0f", class, got.floors[class], got.own[class], most)
			}
		}
		cfg.NoFloors = true
		off := runFloors(cfg, floors, n)
		for class, starts := range off.starts {
			if last := starts[len(starts)-1]; class != "top" && last > off.charged/10 {
				t.Fatalf("without floors %s started at token %.0f of %.0f", class, last, off.charged)
			}
		}
	})
}

type event struct {
	Kind   slots.ActionKind
	ID     string
	Reason slots.RefuseReason
}

func events(s *slots.Slots) []event {
	var out []event
	for _, a := range s.Actions() {
		out = append(out, event{a.Kind, a.ID, a.Reason})
	}
	return out
}

func diff(t *testing.T, what string, want, got any) {
	t.Helper()
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("%s (-want +got):\n%s", what, d)
	}
}

// TestDeadlineExtendedByLowerTier has a lower tier hold the only slot without
// preemption: the higher tier's request waits past its deadline for as long as
// that work holds the slot, and is refused once its own tier delays it.
func TestDeadlineExtendedByLowerTier(t *testing.T) {
	s := slots.New(slots.Config{Slots: 1, OutputTokens: 10})
	s.TryStart(0, slots.Reservation{ID: "low", Tier: 2})
	v := s.Reserve(0, slots.Reservation{ID: "high", Tier: 0, DeadlineMs: 1000})
	if !v.Feasible || v.LowestTier != slots.NoTier {
		t.Errorf("verdict %+v, want feasible and nothing that could make room", v)
	}
	s.Tick(5000)
	diff(t, "while a lower tier holds the slot", []event(nil), events(s))
	s.Finish(5000, "low", 10)
	diff(t, "after it", []event{{slots.ActionOffer, "high", ""}}, events(s))
	s.Accept(5001, "high")
	s.Reserve(5001, slots.Reservation{ID: "next", Tier: 0, ArrivedMs: 5001, DeadlineMs: 6001})
	s.Tick(6002)
	diff(t, "after its own tier", []event{{slots.ActionRefuse, "next", slots.RefuseExpired}}, events(s))
}

func TestOfferLapsesAndDrainRefuses(t *testing.T) {
	s := slots.New(slots.Config{Slots: 1, OfferTimeoutMs: 100})
	for _, id := range []string{"a", "b", "c"} {
		s.Reserve(0, slots.Reservation{ID: id})
	}
	diff(t, "first", []event{{slots.ActionOffer, "a", ""}}, events(s))
	if at, ok := s.NextDeadline(); !ok || at > 100 {
		t.Errorf("next deadline %d %t, want at most 100", at, ok)
	}
	s.Tick(100)
	diff(t, "lapse", []event{{slots.ActionRefuse, "a", slots.RefuseLapsed}, {slots.ActionOffer, "b", ""}}, events(s))
	if s.Accept(100, "a") {
		t.Error("a lapsed offer was accepted")
	}
	s.Drain(101)
	diff(t, "drain", []event{{slots.ActionRefuse, "c", slots.RefuseLeaving}}, events(s))
	if !s.Accept(102, "b") {
		t.Error("the offer made before the drain was not accepted")
	}
	s.Finish(103, "b", 1)
	if v := s.Reserve(104, slots.Reservation{ID: "d"}); v.Feasible || !v.Leaving {
		t.Errorf("verdict after the drain %+v", v)
	}
	diff(t, "after the drain", []event(nil), events(s))
}

// TestSharesFollowRealTokens has two accounts of equal shares whose estimates
// are equal, but one generates ten times as much.
func TestSharesFollowRealTokens(t *testing.T) {
	for _, off := range []bool{false, true} {
		s := slots.New(slots.Config{Slots: 1, NoShares: off, CheckEvery: 1, IdleTokens: -1})
		tokens := map[string]int{}
		length := map[string]int{"a": 100, "b": 10}
		account := map[string]string{}
		for i := range 4000 {
			for _, name := range []string{"a", "b"} {
				id := fmt.Sprint(name, i)
				account[id] = name
				if i < 2000 {
					s.Reserve(clock.Millis(i), slots.Reservation{ID: id, Account: name, EstTokens: 10, ArrivedMs: clock.Millis(i)})
				}
			}
			for _, a := range s.Actions() {
				s.Accept(clock.Millis(i), a.ID)
				n := length[account[a.ID]]
				tokens[account[a.ID]] += n
				s.Finish(clock.Millis(i), a.ID, n)
			}
			if tokens["a"]+tokens["b"] > 15000 {
				break
			}
		}
		ratio := float64(tokens["a"]) / float64(tokens["b"])
		if fair := ratio < 1.1 && ratio > 0.9; fair == off {
			t.Errorf("noShares=%t: tokens %v", off, tokens)
		}
	}
}

// TestPreemptedTurnIsGivenBack has a higher tier arrive just after each start
// of a lower class on an ordinary turn, and stop it before its first token: the
// class must get a turn on which it is not stopped.
func TestPreemptedTurnIsGivenBack(t *testing.T) {
	s := slots.New(slots.Config{Slots: 1, CheckEvery: 1})
	low := slots.Reservation{ID: "low", Class: "low", Tier: 1, FloorPercent: 10, EstTokens: 10, Preemptible: true}
	kept, now := 0, clock.Millis(0)
	for cycle := range 200 {
		top := fmt.Sprint("top", cycle)
		now++
		s.Reserve(now, low)
		for range 4 {
			for _, a := range s.Actions() {
				now++
				switch {
				case a.Kind == slots.ActionPreempt:
					s.Finish(now, a.ID, 0)
					s.Reserve(now, low)
				case a.Kind == slots.ActionOffer && s.Accept(now, a.ID) && a.ID[0] == 'l':
					s.Reserve(now, slots.Reservation{ID: top, Class: "top"})
					if s.Counts().FloorTurns > kept {
						kept = s.Counts().FloorTurns
						s.Finish(now, a.ID, 10)
					}
				case a.Kind == slots.ActionOffer:
					s.Finish(now, a.ID, 10)
				}
			}
		}
	}
	if kept < 10 {
		t.Errorf("%d of 200 starts were kept, want at least 10", kept)
	}
}

// TestEstimateWithoutCancelled has each entry reserve at two sidecars: of two
// waiting requests one is cancelled per start. The estimate must follow.
func TestEstimateWithoutCancelled(t *testing.T) {
	s := slots.New(slots.Config{Slots: 1, TokenMs: 10, NoShedding: true, CheckEvery: 1})
	next := 0
	reserve := func(now clock.Millis) {
		next++
		s.Reserve(now, slots.Reservation{ID: fmt.Sprint("r", next), ArrivedMs: now, EstTokens: 100})
	}
	for range 21 {
		reserve(0)
	}
	cancel, now := 1, clock.Millis(0)
	for range 300 {
		for _, a := range s.Actions() {
			s.Accept(now, a.ID)
			_, _ = fmt.Sscanf(a.ID, "r%d", &cancel)
			s.Cancel(now, fmt.Sprint("r", cancel+1))
			now += clock.Second
			s.Finish(now, a.ID, 100)
		}
		reserve(now)
		reserve(now)
	}
	v := s.Reserve(now, slots.Reservation{ID: "probe", ArrivedMs: now, EstTokens: 100})
	if v.Place < 8 || v.Place > 12 {
		t.Errorf("place %d behind %d requests of which half are cancelled, want about 10", v.Place, s.Load().WaitingByTier[0]-1)
	}
}

// TestDeadEntryHoldsNoFloor has an entry that answers no offer: its class must
// not keep another class from its floor.
func TestDeadEntryHoldsNoFloor(t *testing.T) {
	s := slots.New(slots.Config{Slots: 1, OfferTimeoutMs: 100, CheckEvery: 1, NoPreemption: true})
	started := map[string]int{}
	for i, now := 0, clock.Millis(0); i < 1000; i, now = i+1, now+50 {
		for _, class := range []string{"dead", "low", "top"} {
			r := slots.Reservation{ID: fmt.Sprint(class, i), Class: class, Entry: class, Tier: 1, FloorPercent: 20, EstTokens: 10, ArrivedMs: now}
			if class == "top" {
				r.Tier, r.FloorPercent = 0, 0
			}
			s.Reserve(now, r)
		}
		s.Tick(now)
		for acts := s.Actions(); len(acts) > 0; acts = s.Actions() {
			for _, a := range acts {
				if a.Kind == slots.ActionOffer && a.Entry != "dead" && s.Accept(now, a.ID) {
					started[a.Entry]++
					s.Finish(now+1, a.ID, 10)
				}
			}
			now++
		}
	}
	if started["low"] < 200 || started["top"] < 200 {
		t.Errorf("started %v of 1000 requests each, want at least 200", started)
	}
}

// TestNonPreemptingRequestWaits has a non-preempting request wait beside lower work until
// it is reserved again without patience.
func TestNonPreemptingRequestWaits(t *testing.T) {
	s := slots.New(slots.Config{Slots: 1, CheckEvery: 1})
	s.TryStart(0, slots.Reservation{ID: "low", Tier: 2, Preemptible: true})
	high := slots.Reservation{ID: "high", NonPreempting: true}
	s.Reserve(1, high)
	diff(t, "nonPreempting", []event(nil), events(s))
	high.NonPreempting = false
	s.Reserve(2, high)
	s.Reserve(3, high)
	diff(t, "urged", []event{{slots.ActionPreempt, "low", ""}}, events(s))
	s.Finish(4, "low", 1)
	diff(t, "served", []event{{slots.ActionOffer, "high", ""}}, events(s))
}
