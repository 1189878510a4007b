package slots_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/damaskport/damaskport/internal/policy/slots"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// starts runs n turns on a server whose highest tier always waits, each floor
// class too, and returns the turns at which each class started. Started lower
// work that is preemptible is preempted by the scheduler before its first token.
func starts(cfg slots.Config, floors []int, n int) map[string][]int {
	s := slots.New(cfg)
	next := 0
	reserve := func(now clock.Millis, class string, tier, floor int) {
		next++
		s.Reserve(now, slots.Reservation{
			ID: fmt.Sprint(class, "-", next), Class: class, Tier: tier, FloorPercent: floor, Account: "a", ArrivedMs: now, EstTokens: 10, Preemptible: true,
		})
	}
	out := map[string][]int{}
	var running []string
	for i, f := range floors {
		reserve(0, fmt.Sprint("low", i), 1+i%2, f)
	}
	for now := clock.Millis(1); now <= clock.Millis(n); {
		for s.Load().WaitingByTier[0] < 2 {
			reserve(now, "top", 0, 0)
		}
		for acts := s.Actions(); len(acts) > 0; acts = s.Actions() {
			for _, a := range acts {
				if a.Kind == slots.ActionPreempt {
					s.Finish(now, a.ID, 0)
					continue
				}
				var class string
				var id int
				_, _ = fmt.Sscanf(a.ID, "low%d-", &id)
				if class = "top"; a.ID[0] == 'l' {
					class = fmt.Sprint("low", id)
					reserve(now, class, 1+id%2, floors[id])
				}
				s.Accept(now, a.ID)
				out[class] = append(out[class], int(now))
				running = append(running, a.ID)
				now++
			}
		}
		if len(running) > 0 {
			s.Finish(now, running[0], 10)
			running = running[1:]
		}
	}
	return out
}

// longestGap returns the most turns between two starts, the ends included.
func longestGap(turns []int, n int) int {
	gap, last := 0, 0
	for _, t := range append(turns, n) {
		gap = max(gap, t-last)
		last = t
	}
	return gap
}

// TestFloorWithinTurns asserts that each class with waiting work starts once in
// the turns of its floor, and that without floors it does not start at all.
func TestFloorWithinTurns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 1000
		cfg := slots.Config{Slots: rapid.IntRange(1, 8).Draw(t, "slots"), CheckEvery: 1}
		floors := rapid.SliceOfN(rapid.IntRange(2, 20), 1, 6).Draw(t, "floors")
		got := starts(cfg, floors, n)
		total := 0
		for _, f := range floors {
			total += f
		}
		for i, f := range floors {
			class := fmt.Sprint("low", i)
			bound := (max(100, total)+f-1)/f + len(floors) + 2*cfg.Slots + 1
			if gap := longestGap(got[class], n); gap > bound {
				t.Fatalf("%s with floor %d waited %d turns, bound %d", class, f, gap, bound)
			}
			least, most := n*f/max(100, total)-bound/10-2, n*f/max(100, total)+2*cfg.Slots+2
			if len(got[class]) < least || len(got[class]) > most {
				t.Fatalf("%s with floor %d started %d times in %d turns", class, f, len(got[class]), n)
			}
		}
		cfg.NoFloors = true
		off := starts(cfg, floors, n)
		for class, turns := range off {
			if last := turns[len(turns)-1]; class != "top" && last > n/10 {
				t.Fatalf("without floors %s started at turn %d", class, last)
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
	low := slots.Reservation{ID: "low", Class: "low", Tier: 1, FloorPercent: 10, Preemptible: true}
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
			r := slots.Reservation{ID: fmt.Sprint(class, i), Class: class, Entry: class, Tier: 1, FloorPercent: 20, ArrivedMs: now}
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
