package slots_test

import (
	"slices"
	"testing"

	"github.com/damaskport/damaskport/internal/policy/slots"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// result is what a run gave: parts of 1.
type result struct {
	attained [3]float64
	goodput  float64    // tokens of requests that attained and ended, of the capacity
	wasted   float64    // other tokens and prefills of preemption, of those generated
	met      [3]float64 // all targets
	late     float64    // tokens of answers that did not meet all targets, of those generated
	worst    float64    // lowest part of its fair share of tokens that an account got
}

func measure(jobs []*job) result {
	var n, hit, met [3]float64
	late := 0.0
	good, spent, lost := 0.0, 0.0, 0.0
	asked, got := map[string]float64{}, map[string]float64{}
	for _, j := range jobs {
		n[j.r.Tier]++
		asked[j.r.Account] += float64(j.length)
		spent += float64(j.done + j.preempt*prefillTokens)
		lost += float64(j.preempt * prefillTokens)
		if j.met() {
			met[j.r.Tier]++
		} else if j.endMs > 0 {
			late += float64(j.done)
		}
		if j.attained() {
			hit[j.r.Tier]++
		}
		if !j.attained() || j.done < j.length && j.r.ArrivedMs < runMs-clock.Minute {
			lost += float64(j.done)
			continue
		}
		good += float64(j.done)
		got[j.r.Account] += float64(j.done)
	}
	out := result{goodput: good / (capacity * float64(runMs)), wasted: lost / spent, late: late / spent, worst: 1}
	for i := range n {
		out.attained[i] = hit[i] / max(n[i], 1)
		out.met[i] = met[i] / max(n[i], 1)
	}
	fair := capacity * float64(runMs) / 10
	for a, tokens := range asked {
		out.worst = min(out.worst, got[a]/min(tokens, fair))
	}
	return out
}

var variants = []struct {
	name     string
	cfg      slots.Config
	asserted bool
}{
	{"ours", slots.Config{}, true},
	{"alone", slots.Config{}, true}, // only the highest tier arrives
	{"noShares", slots.Config{NoShares: true}, true},
	{"fifo", slots.Config{Order: slots.OrderFIFO, NoShedding: true}, false},
	{"fifoShedding", slots.Config{Order: slots.OrderFIFO}, false},
	{"noIdleCredit", slots.Config{IdleTokens: -1}, false},
	{"noFloors", slots.Config{NoFloors: true}, false},
	{"noShedding", slots.Config{NoShedding: true}, false},
	{"noPreemption", slots.Config{NoPreemption: true}, false},
}

// TestCompare runs variants at twice the capacity, with and without an account
// that floods; all of them with -v, else those that are asserted. In an eruption the highest tier must do nearly as well as
// if it were alone; under flooding the worst account must do better than
// without shares.
func TestCompare(t *testing.T) {
	for _, scene := range []struct {
		name  string
		mix   []float64
		flood float64
	}{{"eruption", []float64{0.2, 0.4, 0.4}, 1}, {"eruptionHighTop", []float64{0.3, 0.3, 0.4}, 1}, {"flood", []float64{0, 1, 0}, 10}} {
		for seed := uint64(1); seed <= 3; seed++ {
			got := map[string]result{}
			for _, variant := range variants {
				if !variant.asserted && !testing.Verbose() {
					continue
				}
				jobs := arrivals(seed, 2, scene.mix, scene.flood)
				if variant.name == "alone" {
					jobs = slices.DeleteFunc(jobs, func(j *job) bool { return j.r.Tier > 0 })
				}
				s := drive(variant.cfg, jobs)
				r := measure(jobs)
				got[variant.name] = r
				t.Logf("%s seed=%d %-12s attained=%.3f/%.3f/%.3f met=%.3f/%.3f/%.3f late=%.3f goodput=%.3f wasted=%.3f worst=%.3f %+v",
					scene.name, seed, variant.name, r.attained[0], r.attained[1], r.attained[2], r.met[0], r.met[1], r.met[2], r.late, r.goodput, r.wasted, r.worst, s.Counts())
			}
			ours := got["ours"]
			if scene.flood == 1 && ours.attained[0] < got["alone"].attained[0]-0.04 {
				t.Errorf("%s seed %d: tier 0 attained %.3f, alone %.3f", scene.name, seed, ours.attained[0], got["alone"].attained[0])
			}
			if scene.flood > 1 && ours.worst < got["noShares"].worst+0.2 {
				t.Errorf("%s seed %d: worst account %.3f, without shares %.3f", scene.name, seed, ours.worst, got["noShares"].worst)
			}
			if ours.late > 0.08 {
				t.Errorf("%s seed %d: %.3f of the tokens in late answers", scene.name, seed, ours.late)
			}
			if ours.wasted > 0.05 || ours.goodput < 0.9 {
				t.Errorf("%s seed %d: wasted %.3f goodput %.3f", scene.name, seed, ours.wasted, ours.goodput)
			}
		}
	}
}
