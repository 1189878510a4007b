package arrivals

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// prefixChars is the length of a prompt prefix.
const prefixChars = 1024

// Request is one arrival.
type Request struct {
	// Index counts the requests of a schedule from 0, in the order of arrival.
	Index   int
	At      clock.Millis
	Account string
	Class   string
	// Prefix is the number of the account's prompt prefix.
	Prefix int
	// Tokens is the length of the answer, which the system does not know.
	Tokens      int
	PromptChars int
	// Nonce is unique in the schedule; the answer consists of it.
	Nonce string
	// Retries tells that the caller repeats a refused request once.
	Retries bool
}

// Schedule is the arrivals of a run, ordered by time.
type Schedule struct {
	Scenario Scenario
	Seed     uint64
	Duration clock.Millis
	Requests []Request
}

// Generate returns the arrivals of s in the time d.
func Generate(s Scenario, seed uint64, d clock.Millis) Schedule {
	var all []Request
	for _, a := range s.Accounts {
		for _, c := range s.Classes {
			all = append(all, stream(s, a, c, seed, d)...)
		}
	}
	slices.SortStableFunc(all, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	for i := range all {
		all[i].Index = i
		all[i].Nonce = fmt.Sprintf("n%xq%d", seed, i)
	}
	return Schedule{Scenario: s, Seed: seed, Duration: d, Requests: all}
}

// stream returns the arrivals of one account in one class: a Poisson process
// of groups, thinned to the load at each time.
func stream(s Scenario, a Account, c ClassLoad, seed uint64, d clock.Millis) []Request {
	r := rand.New(rand.NewPCG(seed, xxhash.Sum64String(a.Name+"/"+c.Class.Name)))
	unit := s.unitRate(a, c)
	peak := unit * s.peakLoad(a, c)
	if peak <= 0 {
		return nil
	}
	group := meanGroup(s)
	var out []Request
	at := 0.0
	for {
		at += r.ExpFloat64() / (peak / group) * 1000
		if at >= float64(d) {
			return out
		}
		keep := r.Float64()*peak < unit*s.load(a, c, at/float64(d)*100)
		n := groupSize(s, r)
		for range n {
			req := Request{
				At:          clock.Millis(at),
				Account:     a.Name,
				Class:       c.Class.Name,
				Prefix:      r.IntN(max(1, a.Prefixes)),
				Tokens:      c.Output.draw(r),
				PromptChars: c.PromptChars,
				Retries:     r.IntN(100) < s.RetryPercent,
			}
			if keep {
				out = append(out, req)
			}
		}
	}
}

func meanGroup(s Scenario) float64 {
	if s.BurstSize < 2 {
		return 1
	}
	p := float64(s.BurstPercent) / 100
	return 1 - p + p*float64(s.BurstSize)
}

// groupSize draws a size: 1, or with probability BurstPercent a geometric one.
func groupSize(s Scenario, r *rand.Rand) int {
	if s.BurstSize < 2 || r.IntN(100) >= s.BurstPercent {
		return 1
	}
	n := 1
	for r.Float64() > 1/float64(s.BurstSize) {
		n++
	}
	return n
}

// load returns the load of a in c at a point of the run, as a part of its load
// at full capacity.
func (s Scenario) load(a Account, c ClassLoad, percent float64) float64 {
	load, flood := s.LoadPercent, 1.0
	for _, p := range s.Phases {
		if percent < p.FromPercent || percent >= p.ToPercent {
			continue
		}
		if len(p.Classes) == 0 || slices.Contains(p.Classes, c.Class.Name) {
			load = p.LoadPercent
		}
		if a.Flood > 0 {
			flood = a.Flood
		}
	}
	return load / 100 * flood
}

func (s Scenario) peakLoad(a Account, c ClassLoad) float64 {
	peak := s.LoadPercent / 100
	for _, p := range s.Phases {
		peak = max(peak, s.load(a, c, p.FromPercent))
	}
	return peak
}

// unitRate returns the requests per second of a in c at a load of 100 %.
func (s Scenario) unitRate(a Account, c ClassLoad) float64 {
	shares, loads := 0, 0.0
	for _, x := range s.Accounts {
		shares += x.Share
	}
	for _, x := range s.Classes {
		loads += x.LoadPercent
	}
	tokens := s.Deployment.TokensPerSecond() * float64(a.Share) / float64(shares) * c.LoadPercent / loads
	return tokens / c.Output.Mean()
}

// Prompt returns the system and the user message of q.
func (q Request) Prompt() (system, user string) {
	family := fmt.Sprintf("prefix %s %d. ", q.Account, q.Prefix)
	system = strings.Repeat(family, prefixChars/len(family)+1)[:prefixChars]
	user = fmt.Sprintf("nonce:%s tokens:%d %s", q.Nonce, q.Tokens, strings.Repeat("x", q.PromptChars))
	return system, user
}
