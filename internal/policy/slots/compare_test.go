package slots_test

import (
	"slices"
	"testing"

	"github.com/damaskport/damaskport/internal/policy/slots"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// result is the outcome of a run, as fractions from 0 to 1.
type result struct {
	attained     [3]float64 // requests by tier whose first token met its target
	goodput      float64    // tokens of requests that attained and ended, of the capacity
	wasted       float64    // other tokens and prefills repeated after preemption, of the generated tokens
	met          [3]float64 // requests by tier that met all targets
	lateTokens   float64    // tokens of complete answers that missed a target, of the generated tokens
	minFairShare float64    // tokens received relative to the fair share, of the account with the least
}

// measure computes the result of a simulated run from its requests.
func measure(requests []*simRequest) result {
	var n, attained, met [3]float64
	late := 0.0
	good, spent, lost := 0.0, 0.0, 0.0
	offered, got := map[string]float64{}, map[string]float64{}
	for _, j := range requests {
		n[j.r.Tier]++
		offered[j.r.Account] += float64(j.length)
		spent += float64(j.tokens + j.preemptions*prefillTokens)
		lost += float64(j.preemptions * prefillTokens)
		if j.met() {
			met[j.r.Tier]++
		} else if j.endMs > 0 {
			late += float64(j.tokens)
		}
		if j.attained() {
			attained[j.r.Tier]++
		}
		if !j.attained() || j.tokens < j.length && j.r.ArrivedMs < runMs-clock.Minute {
			lost += float64(j.tokens)
			continue
		}
		good += float64(j.tokens)
		got[j.r.Account] += float64(j.tokens)
	}
	out := result{goodput: good / (capacity * float64(runMs)), wasted: lost / spent, lateTokens: late / spent, minFairShare: 1}
	for i := range n {
		out.attained[i] = attained[i] / max(n[i], 1)
		out.met[i] = met[i] / max(n[i], 1)
	}
	fair := capacity * float64(runMs) / 10
	for a, tokens := range offered {
		out.minFairShare = min(out.minFairShare, got[a]/min(tokens, fair))
	}
	return out
}

// variants are the configurations that TestVariantsUnderOverload compares; "ours" is the
// default one.
var variants = []struct {
	name     string
	cfg      slots.Config
	asserted bool // the test asserts its result; others run only with -v
}{
	{"ours", slots.Config{}, true},
	{"alone", slots.Config{}, true}, // only requests of the highest tier
	{"noShares", slots.Config{NoShares: true}, true},
	{"fifo", slots.Config{Order: slots.OrderFIFO, NoShedding: true}, false},
	{"fifoShedding", slots.Config{Order: slots.OrderFIFO}, false},
	{"noIdleCredit", slots.Config{MaxIdleCreditTokens: -1}, false},
	{"noFloors", slots.Config{NoFloors: true}, false},
	{"noShedding", slots.Config{NoShedding: true}, false},
	{"noPreemption", slots.Config{NoPreemption: true}, false},
}

// TestVariantsUnderOverload simulates a load of twice the capacity and compares the
// default configuration with variants that lack a mechanism. If all accounts send
// equally many requests, nearly as many requests of the highest tier must meet their
// target as if no others were sent. If one account sends ten times as many as each
// other one, the account that receives the least of its fair share must receive more
// than without shares.
func TestVariantsUnderOverload(t *testing.T) {
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
				requests := arrivals(seed, 2, scene.mix, scene.flood)
				if variant.name == "alone" {
					requests = slices.DeleteFunc(requests, func(j *simRequest) bool { return j.r.Tier > 0 })
				}
				s := simulate(variant.cfg, requests)
				r := measure(requests)
				got[variant.name] = r
				t.Logf("%s seed=%d %-12s attained=%.3f/%.3f/%.3f met=%.3f/%.3f/%.3f lateTokens=%.3f goodput=%.3f wasted=%.3f minFairShare=%.3f %+v",
					scene.name, seed, variant.name, r.attained[0], r.attained[1], r.attained[2], r.met[0], r.met[1], r.met[2], r.lateTokens, r.goodput, r.wasted, r.minFairShare, s.Counts())
			}
			ours := got["ours"]
			if scene.flood == 1 && ours.attained[0] < got["alone"].attained[0]-0.04 {
				t.Errorf("%s seed %d: fraction of tier 0 that met its target %.3f, without other tiers %.3f, want at most 0.04 less", scene.name, seed, ours.attained[0], got["alone"].attained[0])
			}
			if scene.flood > 1 && ours.minFairShare < got["noShares"].minFairShare+0.2 {
				t.Errorf("%s seed %d: account with the least got %.3f of its fair share, without shares %.3f, want at least 0.2 more", scene.name, seed, ours.minFairShare, got["noShares"].minFairShare)
			}
			if ours.lateTokens > 0.08 {
				t.Errorf("%s seed %d: %.3f of the tokens in late answers, want at most 0.08", scene.name, seed, ours.lateTokens)
			}
			if ours.wasted > 0.05 || ours.goodput < 0.9 {
				t.Errorf("%s seed %d: wasted %.3f, want at most 0.05; goodput %.3f, want at least 0.9", scene.name, seed, ours.wasted, ours.goodput)
			}
		}
	}
}
