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
	prefillTokens = 3 // tokens that could be generated in the time of a prefill
	meanTokens    = 120
	runMs         = 4 * clock.Minute
	// capacity is the number of tokens per millisecond.
	capacity = float64(serverSlots) / tokenMs
)

var targets = []clock.Millis{1 * clock.Second, 4 * clock.Second, 20 * clock.Second}

// job is one request of the driver.
type job struct {
	r       slots.Reservation
	length  int
	done    int // tokens of all attempts
	attempt int // tokens of this attempt
	preempt int // preemptions
	startMs clock.Millis
	firstMs clock.Millis // 0 before the first token
	endMs   clock.Millis // 0 before the end
}

// paceMs bounds the mean time between the tokens of the tiers 0 and 1; the
// target of tier 2 is for the whole answer.
const paceMs = 3 * tokenMs

// met tells whether a complete answer met all targets.
func (j *job) met() bool {
	if j.endMs == 0 || j.r.WholeAnswer {
		return j.endMs > 0 && j.endMs <= j.r.ArrivedMs+targets[2]
	}
	return j.attained() && j.endMs-j.firstMs <= paceMs*clock.Millis(j.length-1)
}

func (j *job) attained() bool {
	return j.firstMs > 0 && j.firstMs <= j.r.ArrivedMs+targets[j.r.Tier]
}

// arrivals returns Poisson arrivals of ten accounts in three tiers at load
// times the capacity, with log-normal lengths. Account a0 sends flood times as
// much as each other.
func arrivals(seed uint64, load float64, mix []float64, flood float64) []*job {
	rnd := rand.New(rand.NewPCG(seed, 1))
	perMs := load * capacity / meanTokens
	var out []*job
	for at := 1.0; at < float64(runMs); at += rnd.ExpFloat64() / perMs {
		tier, x := 0, rnd.Float64()
		for tier < 2 && x >= mix[tier] {
			x -= mix[tier]
			tier++
		}
		account := int(math.Max(0, math.Ceil(rnd.Float64()*(9+flood)-flood)))
		now := clock.Millis(at)
		out = append(out, &job{
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

// server is a backend server with its scheduler.
type server struct {
	s       *slots.Slots
	jobs    map[string]*job
	running []*job
}

func (v *server) start(now clock.Millis, j *job) {
	j.startMs, j.attempt = now+prefillTokens*tokenMs, 0
	v.running = append(v.running, j)
}

func (v *server) stop(now clock.Millis, j *job) {
	i := slices.Index(v.running, j)
	v.running = slices.Delete(v.running, i, i+1)
	v.s.Finish(now, j.r.ID, j.attempt)
}

func (v *server) arrive(now clock.Millis, j *job) {
	v.jobs[j.r.ID] = j
	if _, ok := v.s.TryStart(now, j.r); ok {
		v.start(now, j)
	} else {
		v.s.Reserve(now, j.r)
	}
}

func (v *server) generate(now clock.Millis) {
	for _, j := range slices.Clone(v.running) {
		if now <= j.startMs || (now-j.startMs)%tokenMs != 0 {
			continue
		}
		j.attempt++
		j.done++
		if j.firstMs == 0 {
			j.firstMs = now
		}
		if j.done == j.length {
			j.endMs = now
			v.stop(now, j)
		} else if j.attempt%8 == 1 {
			v.s.Progress(now, j.r.ID, j.attempt)
		}
	}
}

func (v *server) act(now clock.Millis) {
	for acts := v.s.Actions(); len(acts) > 0; acts = v.s.Actions() {
		for _, a := range acts {
			j := v.jobs[a.ID]
			if a.Kind == slots.ActionOffer && v.s.Accept(now, a.ID) {
				v.start(now, j)
			}
			if a.Kind == slots.ActionPreempt && slices.Contains(v.running, j) {
				v.stop(now, j)
				j.preempt++
				j.r.Resumed = j.firstMs > 0
				v.s.Reserve(now, j.r)
			}
		}
	}
}

func drive(cfg slots.Config, jobs []*job) *slots.Slots {
	cfg.Slots, cfg.TokenMs, cfg.CheckEvery = serverSlots, tokenMs, 64
	v := &server{s: slots.New(cfg), jobs: map[string]*job{}}
	for now, next := clock.Millis(0), 0; now < runMs; now++ {
		for ; next < len(jobs) && jobs[next].r.ArrivedMs <= now; next++ {
			v.arrive(now, jobs[next])
		}
		v.generate(now)
		if now%10 == 0 {
			v.s.Tick(now)
		}
		v.act(now)
	}
	return v.s
}
