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

const maxRequestTokens = 40 // maximum length and estimate of a request

// floorRun is a run of a scheduler in which the highest tier, whose class "top" has no
// floor, and each class with a floor always have waiting requests.
type floorRun struct {
	s       *slots.Scheduler
	lengths *rand.Rand // source of estimates and output lengths
	next    int        // number of the newest request
	// charged counts the tokens of all finished requests, classTokens those of each
	// class; starts holds the value of charged at each start of the class.
	charged     float64
	classTokens map[string]float64
	starts      map[string][]float64
	// maxLag is the largest number of tokens by which a class was below its floor.
	maxLag map[string]float64
	rates  map[string]float64 // scaled floor by class, 0 to 1
	floors map[string]int
	tiers  map[string]int
}

// reserve reserves a request of class with a random estimate.
func (f *floorRun) reserve(now clock.Millis, class string) {
	f.next++
	f.s.Reserve(now, slots.Reservation{
		ID: fmt.Sprint(class, "-", f.next), Class: class, Tier: f.tiers[class], FloorPercent: f.floors[class], Account: "a",
		ArrivedMs: now, EstOutputTokens: 1 + f.lengths.IntN(maxRequestTokens), Preemptible: true,
	})
}

// finish ends a request with a random output length.
func (f *floorRun) finish(now clock.Millis, id string) {
	class, _, _ := strings.Cut(id, "-")
	n := 1 + f.lengths.IntN(maxRequestTokens)
	f.s.Finish(now, id, n)
	f.charged += float64(n)
	f.classTokens[class] += float64(n)
	for c, rate := range f.rates {
		f.maxLag[c] = max(f.maxLag[c], rate*f.charged-f.classTokens[c])
	}
}

// runFloors makes a run with one class for each floor percentage until n requests have
// ended. Estimates and output lengths are independent. Requests of lower tiers that
// are not on a floor turn are preempted before their first token.
func runFloors(cfg slots.Config, floors []int, n int) *floorRun {
	f := &floorRun{
		s: slots.New(cfg), lengths: rand.New(rand.NewPCG(1, uint64(n))), classTokens: map[string]float64{}, starts: map[string][]float64{},
		maxLag: map[string]float64{}, rates: map[string]float64{}, floors: map[string]int{}, tiers: map[string]int{},
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

// longestGap returns the largest difference between consecutive values of starts, with 0
// before the first and end after the last one. All are numbers of charged tokens.
func longestGap(starts []float64, end float64) float64 {
	gap, last := 0.0, 0.0
	for _, at := range append(starts, end) {
		gap = max(gap, at-last)
		last = at
	}
	return gap
}

// TestFloorServedWithinTokenBound asserts for each class with a floor: it receives its
// floor with a bounded lag; between two of its starts, at most the tokens are charged
// that earn the credit for its last and its next request; it does not receive much more
// than its floor. Without floors, no such class starts after the first tenth of the
// run. If InitialOutputTokens is 5, requests cost more than the maximum credit.
func TestFloorServedWithinTokenBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 1000
		cfg := slots.Config{Slots: rapid.IntRange(1, 8).Draw(t, "slots"), CheckEvery: 1, InitialOutputTokens: rapid.SampledFrom([]int{5, 200}).Draw(t, "outputTokens")}
		floors := rapid.SliceOfN(rapid.IntRange(2, 20), 1, 6).Draw(t, "floors")
		got := runFloors(cfg, floors, n)
		turns := float64((2*cfg.Slots + len(floors) + 1) * maxRequestTokens)
		for class, rate := range got.rates {
			if gap, bound := longestGap(got.starts[class], got.charged), 2*maxRequestTokens/rate+turns; gap > bound {
				t.Fatalf("%s with floor %d waited %.0f charged tokens, bound %.0f", class, got.floors[class], gap, bound)
			}
			if behind, bound := got.maxLag[class], 2*maxRequestTokens+rate*turns; cfg.InitialOutputTokens == 200 && behind > bound {
				t.Fatalf("%s with floor %d lagged %.0f tokens behind, bound %.0f", class, got.floors[class], behind, bound)
			}
			if limit := rate*got.charged + float64(2+cfg.Slots)*maxRequestTokens; got.classTokens[class] > limit {
				t.Fatalf("%s with floor %d got %.0f tokens, want at most %.0f", class, got.floors[class], got.classTokens[class], limit)
			}
		}
		cfg.NoFloors = true
		off := runFloors(cfg, floors, n)
		for class, starts := range off.starts {
			if last := starts[len(starts)-1]; class != "top" && last > off.charged/10 {
				t.Fatalf("without floors %s started after %.0f of %.0f tokens, want no start after the first tenth", class, last, off.charged)
			}
		}
	})
}

// event is the part of an action that tests compare.
type event struct {
	Kind   slots.ActionKind
	ID     string
	Reason slots.RefuseReason
}

// events returns the scheduler's actions since the last call.
func events(s *slots.Scheduler) []event {
	var out []event
	for _, a := range s.Actions() {
		out = append(out, event{a.Kind, a.ID, a.Reason})
	}
	return out
}

// checkDiff fails the test if got differs from want; what describes them.
func checkDiff(t *testing.T, what string, want, got any) {
	t.Helper()
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("%s (-want +got):\n%s", what, d)
	}
}

// TestDeadlineExtendedByLowerTier has a non-preemptible request of a lower tier occupy
// the only slot past the deadline of a waiting request of the higher tier, which is
// not refused. Then that request occupies the slot past the deadline of another one of
// its tier, which is refused.
func TestDeadlineExtendedByLowerTier(t *testing.T) {
	s := slots.New(slots.Config{Slots: 1, InitialOutputTokens: 10})
	s.TryStart(0, slots.Reservation{ID: "low", Tier: 2})
	v := s.Reserve(0, slots.Reservation{ID: "high", Tier: 0, DeadlineMs: 1000})
	if !v.Feasible || v.LowestTier != slots.NoTier {
		t.Errorf("verdict %+v, want feasible, and no tier to preempt", v)
	}
	s.Tick(5000)
	checkDiff(t, "while a lower tier holds the slot", []event(nil), events(s))
	s.Finish(5000, "low", 10)
	checkDiff(t, "after the lower tier's request ended", []event{{slots.ActionOffer, "high", ""}}, events(s))
	s.Accept(5001, "high")
	s.Reserve(5001, slots.Reservation{ID: "next", Tier: 0, ArrivedMs: 5001, DeadlineMs: 6001})
	s.Tick(6002)
	checkDiff(t, "delayed by its own tier past the deadline", []event{{slots.ActionRefuse, "next", slots.RefuseExpired}}, events(s))
}

func TestOfferLapsesAndDrainRefuses(t *testing.T) {
	s := slots.New(slots.Config{Slots: 1, OfferTimeoutMs: 100})
	for _, id := range []string{"a", "b", "c"} {
		s.Reserve(0, slots.Reservation{ID: id})
	}
	checkDiff(t, "first offer", []event{{slots.ActionOffer, "a", ""}}, events(s))
	if at, ok := s.NextDeadline(); !ok || at > 100 {
		t.Errorf("next deadline %d %t, want at most 100", at, ok)
	}
	s.Tick(100)
	checkDiff(t, "offer not accepted in time", []event{{slots.ActionRefuse, "a", slots.RefuseLapsed}, {slots.ActionOffer, "b", ""}}, events(s))
	if s.Accept(100, "a") {
		t.Error("a lapsed offer was accepted")
	}
	s.Drain(101)
	checkDiff(t, "drain", []event{{slots.ActionRefuse, "c", slots.RefuseLeaving}}, events(s))
	if !s.Accept(102, "b") {
		t.Error("the offer made before the drain was not accepted")
	}
	s.Finish(103, "b", 1)
	if v := s.Reserve(104, slots.Reservation{ID: "d"}); v.Feasible || !v.Leaving {
		t.Errorf("verdict after the drain %+v, want not feasible and leaving", v)
	}
	checkDiff(t, "after the drain", []event(nil), events(s))
}

// TestSharesFollowRealTokens has two accounts with equal shares and estimates, one of
// which generates ten times as many tokens per request: both must receive equally
// many tokens, and without shares they must not.
func TestSharesFollowRealTokens(t *testing.T) {
	for _, off := range []bool{false, true} {
		s := slots.New(slots.Config{Slots: 1, NoShares: off, CheckEvery: 1, MaxIdleCreditTokens: -1})
		tokens := map[string]int{}
		length := map[string]int{"a": 100, "b": 10}
		account := map[string]string{}
		for i := range 4000 {
			for _, name := range []string{"a", "b"} {
				id := fmt.Sprint(name, i)
				account[id] = name
				if i < 2000 {
					s.Reserve(clock.Millis(i), slots.Reservation{ID: id, Account: name, EstOutputTokens: 10, ArrivedMs: clock.Millis(i)})
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
			t.Errorf("noShares=%t: tokens by account %v, want equal amounts only with shares", off, tokens)
		}
	}
}

// TestPreemptedClassGetsFloorTurn has a higher tier preempt each request of a class in a
// lower tier before its first token, unless the request is on a floor turn: the class
// must still receive floor turns, which are not preempted.
func TestPreemptedClassGetsFloorTurn(t *testing.T) {
	s := slots.New(slots.Config{Slots: 1, CheckEvery: 1})
	low := slots.Reservation{ID: "low", Class: "low", Tier: 1, FloorPercent: 10, EstOutputTokens: 10, Preemptible: true}
	floorTurns, now := 0, clock.Millis(0)
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
					if s.Counts().FloorTurns > floorTurns {
						floorTurns = s.Counts().FloorTurns
						s.Finish(now, a.ID, 10)
					}
				case a.Kind == slots.ActionOffer:
					s.Finish(now, a.ID, 10)
				}
			}
		}
	}
	if floorTurns < 10 {
		t.Errorf("%d floor turns in 200 cycles, want at least 10", floorTurns)
	}
}

// TestEstimateExcludesLikelyCancellations cancels one waiting request for each one that
// starts, as entries do that reserve each request at two sidecars: the estimate for a
// new request must count only half of the waiting requests, as the others will be
// cancelled.
func TestEstimateExcludesLikelyCancellations(t *testing.T) {
	s := slots.New(slots.Config{Slots: 1, InitialTokenMs: 10, NoShedding: true, CheckEvery: 1})
	next := 0
	reserve := func(now clock.Millis) {
		next++
		s.Reserve(now, slots.Reservation{ID: fmt.Sprint("r", next), ArrivedMs: now, EstOutputTokens: 100})
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
	v := s.Reserve(now, slots.Reservation{ID: "probe", ArrivedMs: now, EstOutputTokens: 100})
	if v.QueuePosition < 8 || v.QueuePosition > 12 {
		t.Errorf("queue position %d behind %d requests of which half are cancelled, want 8 to 12", v.QueuePosition, s.Load().WaitingByTier[0]-1)
	}
}

// TestUnresponsiveEntryDoesNotBlockFloors has an entry that neither accepts nor declines
// its offers, for a class with a floor: other classes must still be served.
func TestUnresponsiveEntryDoesNotBlockFloors(t *testing.T) {
	s := slots.New(slots.Config{Slots: 1, OfferTimeoutMs: 100, CheckEvery: 1, NoPreemption: true})
	started := map[string]int{}
	for i, now := 0, clock.Millis(0); i < 1000; i, now = i+1, now+50 {
		for _, class := range []string{"dead", "low", "top"} {
			r := slots.Reservation{ID: fmt.Sprint(class, i), Class: class, Entry: class, Tier: 1, FloorPercent: 20, EstOutputTokens: 10, ArrivedMs: now}
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
		t.Errorf("started %v of 1000 requests per class, want at least 200 of low and of top", started)
	}
}

// TestNonPreemptingRequestWaits asserts that no request is preempted for a
// NonPreempting one until it is reserved again with the flag cleared.
func TestNonPreemptingRequestWaits(t *testing.T) {
	s := slots.New(slots.Config{Slots: 1, CheckEvery: 1})
	s.TryStart(0, slots.Reservation{ID: "low", Tier: 2, Preemptible: true})
	high := slots.Reservation{ID: "high", NonPreempting: true}
	s.Reserve(1, high)
	checkDiff(t, "while NonPreempting", []event(nil), events(s))
	high.NonPreempting = false
	s.Reserve(2, high)
	s.Reserve(3, high)
	checkDiff(t, "after NonPreempting was cleared", []event{{slots.ActionPreempt, "low", ""}}, events(s))
	s.Finish(4, "low", 1)
	checkDiff(t, "after the preempted request ended", []event{{slots.ActionOffer, "high", ""}}, events(s))
}
