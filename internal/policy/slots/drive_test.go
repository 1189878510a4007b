package slots_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/damaskport/damaskport/internal/policy/slots"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	serverSlots   = 8
	tokenMs       = 25
	prefillTokens = 3                // duration of a prefill, in tokens generated meanwhile
	meanTokens    = 120              // mean output tokens per request
	runMs         = 4 * clock.Minute // simulated time
	// capacity is the number of output tokens that the server generates per millisecond.
	capacity = float64(serverSlots) / tokenMs
)

// targets are the times from arrival to the deadline, by tier: for the first token in
// tiers 0 and 1, for the whole answer in tier 2.
var targets = []clock.Millis{1 * clock.Second, 4 * clock.Second, 20 * clock.Second}

// simRequest is a simulated request.
type simRequest struct {
	r             slots.Reservation
	length        int // output tokens of the complete answer
	tokens        int // output tokens of all attempts
	attemptTokens int // output tokens of the current attempt
	preemptions   int
	startMs       clock.Millis // end of the current attempt's prefill
	firstMs       clock.Millis // 0 before the first token
	endMs         clock.Millis // 0 before the end
}

// maxTokenGapMs is the target for the mean inter-token latency in tiers 0 and 1.
const maxTokenGapMs = 3 * tokenMs

// met reports whether the answer is complete and met all targets.
func (j *simRequest) met() bool {
	if j.endMs == 0 || j.r.WholeAnswer {
		return j.endMs > 0 && j.endMs <= j.r.ArrivedMs+targets[2]
	}
	return j.attained() && j.endMs-j.firstMs <= maxTokenGapMs*clock.Millis(j.length-1)
}

// attained reports whether the first token met its target.
func (j *simRequest) attained() bool {
	return j.firstMs > 0 && j.firstMs <= j.r.ArrivedMs+targets[j.r.Tier]
}

// arrivals returns requests of ten accounts with Poisson arrivals and log-normal output
// lengths. load is the arriving work relative to the capacity of the server, and mix
// holds the fraction of requests in each tier. Account a0 sends flood times as many
// requests as each other account.
func arrivals(seed uint64, load float64, mix []float64, flood float64) []*simRequest {
	rnd := rand.New(rand.NewPCG(seed, 1))
	perMs := load * capacity / meanTokens
	var out []*simRequest
	for at := 1.0; at < float64(runMs); at += rnd.ExpFloat64() / perMs {
		tier, x := 0, rnd.Float64()
		for tier < 2 && x >= mix[tier] {
			x -= mix[tier]
			tier++
		}
		account := int(math.Max(0, math.Ceil(rnd.Float64()*(9+flood)-flood)))
		now := clock.Millis(at)
		out = append(out, &simRequest{
			length: 1 + int(math.Exp(rnd.NormFloat64()*0.8-0.32)*meanTokens),
			r: slots.Reservation{
				ID: fmt.Sprint(len(out)), Class: fmt.Sprint("c", tier), Tier: tier, FloorPercent: []int{0, 5, 5}[tier],
				Account: fmt.Sprint("a", account), ArrivedMs: now, DeadlineMs: now + targets[tier], Preemptible: tier > 0,
				WholeAnswer: tier == 2,
			},
		})
	}
	return out
}

// server simulates a backend server with its scheduler.
type server struct {
	s        *slots.Scheduler
	requests map[string]*simRequest
	running  []*simRequest
}

// start runs a new attempt of j, which begins with a prefill.
func (v *server) start(now clock.Millis, j *simRequest) {
	j.startMs, j.attemptTokens = now+prefillTokens*tokenMs, 0
	v.running = append(v.running, j)
}

// stop ends the current attempt of j, which is complete or preempted.
func (v *server) stop(now clock.Millis, j *simRequest) {
	i := slices.Index(v.running, j)
	v.running = slices.Delete(v.running, i, i+1)
	v.s.Finish(now, j.r.ID, j.attemptTokens)
}

// arrive starts j if a slot is free, else reserves it.
func (v *server) arrive(now clock.Millis, j *simRequest) {
	v.requests[j.r.ID] = j
	if _, ok := v.s.TryStart(now, j.r); ok {
		v.start(now, j)
	} else {
		v.s.Reserve(now, j.r)
	}
}

// generate advances each running request by one token per tokenMs.
func (v *server) generate(now clock.Millis) {
	for _, j := range slices.Clone(v.running) {
		if now <= j.startMs || (now-j.startMs)%tokenMs != 0 {
			continue
		}
		j.attemptTokens++
		j.tokens++
		if j.firstMs == 0 {
			j.firstMs = now
		}
		if j.tokens == j.length {
			j.endMs = now
			v.stop(now, j)
		} else if j.attemptTokens%8 == 1 {
			v.s.Progress(now, j.r.ID, j.attemptTokens)
		}
	}
}

// handleActions accepts offers, and stops and reserves again what is preempted.
func (v *server) handleActions(now clock.Millis) {
	for acts := v.s.Actions(); len(acts) > 0; acts = v.s.Actions() {
		for _, a := range acts {
			j := v.requests[a.ID]
			if a.Kind == slots.ActionOffer && v.s.Accept(now, a.ID) {
				v.start(now, j)
			}
			if a.Kind == slots.ActionPreempt && slices.Contains(v.running, j) {
				v.stop(now, j)
				j.preemptions++
				j.r.Resumed = j.firstMs > 0
				v.s.Reserve(now, j.r)
			}
		}
	}
}

// simulate sends the requests to a simulated server for runMs and returns its scheduler.
func simulate(cfg slots.Config, requests []*simRequest) *slots.Scheduler {
	cfg.Slots, cfg.InitialTokenMs, cfg.CheckEvery = serverSlots, tokenMs, 64
	v := &server{s: slots.New(cfg), requests: map[string]*simRequest{}}
	for now, next := clock.Millis(0), 0; now < runMs; now++ {
		for ; next < len(requests) && requests[next].r.ArrivedMs <= now; next++ {
			v.arrive(now, requests[next])
		}
		v.generate(now)
		if now%10 == 0 {
			v.s.Tick(now)
		}
		v.handleActions(now)
	}
	return v.s
}
