// Package capacity computes the orders that bring the backend servers of a
// pool to the number that its demand needs. It is a pure state machine: each
// Plan reads the whole observed state, never changes of it, so that a lost
// order or answer is made good by the next Plan. It is not safe for concurrent use.
//
// The number of servers is the demand expected at the end of the start-up
// time, with the backlog to be worked off, divided by what a server does at its
// target utilization. It rises at once and falls only to the largest number of
// the hold time, which is a multiple of the start-up time, so that a server is
// never stopped that would be started again within it.
//
// Rules of placement, the first wins:
//
//  1. The loss of any one zone leaves PoolSpec.MinServers where SurviveZone is set.
//  2. No zone has more than MaxZonePercent of the servers, and two or more
//     servers stand in at least two zones, if two are available.
//  3. Servers start in the cheapest zone and stop in the most expensive one.
//  4. Within a zone the least loaded server stops.
package capacity

import (
	"cmp"
	"math"
	"slices"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// State is the state of a backend server.
type State string

// States of backend servers.
const (
	StateStarting State = "starting"
	StateLive     State = "live"
	StateLeaving  State = "leaving"
)

// Action is what an order does.
type Action string

// Actions of orders. Stop is carried out by drain.
const (
	ActionStart Action = "start"
	ActionStop  Action = "stop"
)

const (
	defaultUtilization    = 0.75
	defaultMaxZonePercent = 50
	defaultStartUp        = 60 * clock.Second
	// holdStartUps is the hold time before servers are stopped, in start-up times.
	holdStartUps = 5
	// trendStartUps is the time over which growth is measured, in start-up times.
	trendStartUps = 1
	// boostPercent is added to the servers while the target is missed under load.
	boostPercent = 10
	// busyUtilization is the utilization from which a missed target is put down to capacity.
	busyUtilization = 0.5
	// moveSaving is the price ratio from which a server is replaced in a cheaper zone.
	moveSaving = 1.25
)

// PoolSpec is what operators ask for a pool. Zero values take defaults.
type PoolSpec struct {
	Pool       string
	MinServers int
	// MaxServers bounds the servers; 0 for no bound.
	MaxServers int
	// SurviveZone tells that MinServers must stay after the loss of a zone.
	SurviveZone bool
	// TokensPerSecond is what one server generates with all slots busy.
	TokensPerSecond float64
	// Utilization is the part of TokensPerSecond that is planned with.
	Utilization    float64
	MaxZonePercent int
	// AttainmentTarget is the part of requests that are to meet their target; 0 for none.
	AttainmentTarget float64
}

// Zone is an availability zone in which servers can be started.
type Zone struct {
	Name         string
	PricePerHour float64
	// Down tells that no server can be started there.
	Down bool
}

// Demand is the present demand of a pool.
type Demand struct {
	// TokensPerSecond is the arriving work, shed requests included.
	TokensPerSecond float64
	// WaitingTokens is the expected work of the waiting requests.
	WaitingTokens float64
	// Attainment is the part of recent requests that met their target.
	Attainment float64
}

// Server is a backend server as the platform or an order shows it.
type Server struct {
	Name  string
	Zone  string
	State State
	// Load is the number of its running and waiting requests.
	Load int
}

// Observed is everything that a Plan depends on.
type Observed struct {
	Demand  Demand
	Servers []Server
	Zones   []Zone
	// Pending are orders that were sent and do not show in Servers yet.
	Pending []Order
	// StartUpMs is the time from an order until the server is live.
	StartUpMs clock.Millis
}

// Order starts or stops one server.
type Order struct {
	Action Action
	Pool   string
	Zone   string
	// Server is the server to be stopped.
	Server string
}

// Plan is the result of Planner.Plan.
type Plan struct {
	// Desired is the number of servers to have, and Needed what the present
	// demand alone asks for.
	Desired int
	Needed  int
	Orders  []Order
}

// Planner plans one pool.
type Planner struct {
	spec    PoolSpec
	history []sample // needed servers over the hold time, decreasing
	past    []demandAt
}

type sample struct {
	atMs   clock.Millis
	needed int
}

type demandAt struct {
	atMs   clock.Millis
	tokens float64
}

// NewPlanner returns a Planner for the pool of spec.
func NewPlanner(spec PoolSpec) *Planner {
	return (&Planner{}).WithSpec(spec)
}

// WithSpec returns a Planner for a changed spec with the history of p.
func (p *Planner) WithSpec(spec PoolSpec) *Planner {
	if spec.Utilization <= 0 {
		spec.Utilization = defaultUtilization
	}
	if spec.MaxZonePercent <= 0 {
		spec.MaxZonePercent = defaultMaxZonePercent
	}
	spec.MinServers = max(spec.MinServers, 0)
	return &Planner{spec: spec, history: p.history, past: p.past}
}

// Plan returns the orders that the observed state asks for. Called again
// before they show, with them in Pending, it returns none of them twice.
func (p *Planner) Plan(now clock.Millis, o Observed) Plan {
	if o.StartUpMs <= 0 {
		o.StartUpMs = defaultStartUp
	}
	fleet := newFleet(o)
	needed := p.needed(now, o, fleet)
	desired := p.bound(p.held(now, needed, o.StartUpMs), fleet)
	return Plan{Desired: desired, Needed: needed, Orders: p.orders(fleet, desired)}
}

// needed returns the servers for the demand at the end of the start-up time.
func (p *Planner) needed(now clock.Millis, o Observed, f *fleet) int {
	if p.spec.TokensPerSecond <= 0 {
		return p.spec.MinServers
	}
	seconds := float64(o.StartUpMs) / float64(clock.Second)
	expected := o.Demand.TokensPerSecond + p.growth(now, o)*seconds + o.Demand.WaitingTokens/seconds
	n := int(math.Ceil(expected/(p.spec.TokensPerSecond*p.spec.Utilization) - 1e-9))
	missed := p.spec.AttainmentTarget > 0 && o.Demand.Attainment < p.spec.AttainmentTarget
	busy := o.Demand.TokensPerSecond >= busyUtilization*p.spec.TokensPerSecond*float64(f.live)
	if missed && busy && f.live > 0 && f.starting == 0 {
		n = max(n, f.live+(f.live*boostPercent+99)/100)
	}
	return n
}

// growth returns the rise of the demand per second, at least 0. It is the lower
// one of two halves of the trend's window, so that a step is not taken for a trend.
func (p *Planner) growth(now clock.Millis, o Observed) float64 {
	p.past = append(p.past, demandAt{atMs: now, tokens: o.Demand.TokensPerSecond})
	window := trendStartUps * o.StartUpMs
	for len(p.past) > 2 && now-p.past[1].atMs >= window {
		p.past = p.past[1:]
	}
	first := p.past[0]
	if now-first.atMs < window {
		return 0
	}
	middle, _ := slices.BinarySearchFunc(p.past, now-window/2, func(d demandAt, at clock.Millis) int {
		return cmp.Compare(d.atMs, at)
	})
	half := p.past[min(middle, len(p.past)-1)].tokens
	rise := math.Min(half-first.tokens, o.Demand.TokensPerSecond-half)
	return math.Max(0, 2*rise/(float64(window)/float64(clock.Second)))
}

// held returns the largest number needed within the hold time.
func (p *Planner) held(now clock.Millis, needed int, startUp clock.Millis) int {
	for len(p.history) > 0 && p.history[len(p.history)-1].needed <= needed {
		p.history = p.history[:len(p.history)-1]
	}
	p.history = append(p.history, sample{atMs: now, needed: needed})
	for now-p.history[0].atMs > holdStartUps*startUp {
		p.history = p.history[1:]
	}
	return p.history[0].needed
}

// bound applies the bounds of the spec.
func (p *Planner) bound(n int, f *fleet) int {
	least := p.spec.MinServers
	if zones := f.open(); p.spec.SurviveZone && zones > 1 {
		least = (zones*least + zones - 2) / (zones - 1)
	}
	n = max(n, least)
	if p.spec.MaxServers > 0 {
		n = min(n, p.spec.MaxServers)
	}
	return n
}
