// Package capacity computes the orders to the platform that start and stop the backend
// servers of a pool so that their number follows the demand. It is a pure state
// machine: each Plan depends on the whole observed state, not on changes to it, so
// that a lost order or answer is corrected by the next Plan. A Planner is not safe
// for concurrent use.
//
// The number of servers needed is the demand expected at the end of a server's
// start-up time, plus the work waiting now, divided by the throughput of a server at
// its target utilization. When more servers are needed, they are started at once.
// Servers are stopped only down to the largest number needed within the hold time,
// the last few start-up times, so that no server is stopped that would be started
// again soon.
//
// Placement rules, in order of precedence:
//
//  1. If PoolSpec.SurviveZone is set, the loss of any one zone leaves MinServers.
//  2. No zone has more than MaxZonePercent of the servers, and two or more
//     servers are spread over at least two zones, if two are available.
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
	StateLeaving  State = "leaving" // draining, to be stopped
)

// Action is the kind of an order.
type Action string

// Actions of orders.
const (
	ActionStart Action = "start"
	ActionStop  Action = "stop" // the server is drained first
)

const (
	defaultUtilization    = 0.75
	defaultMaxZonePercent = 50
	defaultStartUp        = 60 * clock.Second
	// holdStartUps is the hold time before servers are stopped, in multiples of
	// the start-up time.
	holdStartUps = 5
	// trendStartUps is the time over which growth of the demand is measured, in
	// multiples of the start-up time.
	trendStartUps = 1
	// missBoostPercent is how many servers, in percent of the live ones, are added while
	// the attainment target is missed at busyUtilization or more.
	missBoostPercent = 10
	// busyUtilization is the utilization of the live servers, 0 to 1, from which a
	// missed attainment target is attributed to lack of capacity.
	busyUtilization = 0.5
	// minMovePriceRatio is the ratio of a zone's price to that of a cheaper zone from
	// which a server is replaced by one in the cheaper zone.
	minMovePriceRatio = 1.25
)

// PoolSpec is the configuration of a pool. Zero values of Utilization and
// MaxZonePercent take defaults.
type PoolSpec struct {
	Pool       string
	MinServers int
	// MaxServers bounds the number of servers; 0 for no bound.
	MaxServers int
	// SurviveZone requires that MinServers remain after the loss of any one zone.
	SurviveZone bool
	// TokensPerSecond is the throughput of one server with all slots busy, in output
	// tokens per second.
	TokensPerSecond float64
	// Utilization is the planned fraction of TokensPerSecond, up to 1; 0 means 0.75.
	Utilization float64
	// MaxZonePercent is the largest part of the servers, in percent, that one zone may
	// have; 0 means 50.
	MaxZonePercent int
	// AttainmentTarget is the fraction of requests, 0 to 1, that should meet their
	// latency target; 0 for no attainment target.
	AttainmentTarget float64
}

// Zone is an availability zone in which servers can be started.
type Zone struct {
	Name         string
	PricePerHour float64
	// Down is set if no server can be started in the zone.
	Down bool
}

// Demand is the present demand of a pool.
type Demand struct {
	// TokensPerSecond is the work that arrives per second, in tokens, including
	// requests that are refused to shed load.
	TokensPerSecond float64
	// WaitingTokens is the expected work of the waiting requests, in tokens.
	WaitingTokens float64
	// Attainment is the fraction of recent requests, 0 to 1, that met their latency
	// target.
	Attainment float64
}

// Server is a backend server as reported by the platform.
type Server struct {
	Name  string
	Zone  string
	State State
	// Load is the number of its running and waiting requests.
	Load int
}

// Observed is the observed state that a Plan depends on.
type Observed struct {
	Demand  Demand
	Servers []Server
	Zones   []Zone
	// Pending are the orders that were sent but have no effect on Servers yet.
	Pending []Order
	// StartUpMs is the time, in ms, from a start order until the server is live; 0
	// means 60 s.
	StartUpMs clock.Millis
}

// Order starts or stops one server.
type Order struct {
	Action Action
	Pool   string
	Zone   string
	// Server is the name of the server to be stopped; empty for a start.
	Server string
}

// Plan is the result of Planner.Plan.
type Plan struct {
	// Desired is the number of servers that the pool should have. Needed is the number
	// for the present demand alone, without the hold time and the bounds of the spec.
	Desired int
	Needed  int
	Orders  []Order
}

// Planner computes the plans of one pool.
type Planner struct {
	spec PoolSpec
	// neededHistory holds the servers needed at times within the hold time, without
	// samples that a later one equals or exceeds: from the oldest to the newest, their
	// numbers decrease.
	neededHistory []neededSample
	demandHistory []demandSample // within trendStartUps start-up times, oldest first
}

// neededSample is the number of servers that were needed at a time.
type neededSample struct {
	atMs   clock.Millis
	needed int
}

// demandSample is the demand at a time.
type demandSample struct {
	atMs   clock.Millis
	tokens float64 // tokens per second
}

// NewPlanner returns a Planner for the pool of spec.
func NewPlanner(spec PoolSpec) *Planner {
	return (&Planner{}).WithSpec(spec)
}

// WithSpec returns a Planner for spec, with the history of p.
func (p *Planner) WithSpec(spec PoolSpec) *Planner {
	if spec.Utilization <= 0 {
		spec.Utilization = defaultUtilization
	}
	if spec.MaxZonePercent <= 0 {
		spec.MaxZonePercent = defaultMaxZonePercent
	}
	spec.MinServers = max(spec.MinServers, 0)
	return &Planner{spec: spec, neededHistory: p.neededHistory, demandHistory: p.demandHistory}
}

// Plan returns the orders for the observed state. If it is called again before its
// orders take effect, with these in Observed.Pending, it does not repeat them.
func (p *Planner) Plan(now clock.Millis, o Observed) Plan {
	if o.StartUpMs <= 0 {
		o.StartUpMs = defaultStartUp
	}
	fleet := newFleet(o)
	needed := p.needed(now, o, fleet)
	desired := p.bound(p.maxNeeded(now, needed, o.StartUpMs), fleet)
	return Plan{Desired: desired, Needed: needed, Orders: p.orders(fleet, desired)}
}

// needed returns the number of servers for the demand expected at the end of the
// start-up time, or more while the attainment target is missed under load.
func (p *Planner) needed(now clock.Millis, o Observed, f *fleet) int {
	if p.spec.TokensPerSecond <= 0 {
		return p.spec.MinServers
	}
	seconds := float64(o.StartUpMs) / float64(clock.Second)
	expected := o.Demand.TokensPerSecond + p.demandGrowth(now, o)*seconds + o.Demand.WaitingTokens/seconds
	n := int(math.Ceil(expected/(p.spec.TokensPerSecond*p.spec.Utilization) - 1e-9))
	missed := p.spec.AttainmentTarget > 0 && o.Demand.Attainment < p.spec.AttainmentTarget
	busy := o.Demand.TokensPerSecond >= busyUtilization*p.spec.TokensPerSecond*float64(f.live)
	if missed && busy && f.live > 0 && f.starting == 0 {
		n = max(n, f.live+(f.live*missBoostPercent+99)/100)
	}
	return n
}

// demandGrowth returns how fast the demand rises, in tokens/s per second, at least 0.
// It measures the rise in each half of the trend window and uses the lower one, so
// that a single step does not count as a trend.
func (p *Planner) demandGrowth(now clock.Millis, o Observed) float64 {
	p.demandHistory = append(p.demandHistory, demandSample{atMs: now, tokens: o.Demand.TokensPerSecond})
	window := trendStartUps * o.StartUpMs
	for len(p.demandHistory) > 2 && now-p.demandHistory[1].atMs >= window {
		p.demandHistory = p.demandHistory[1:]
	}
	first := p.demandHistory[0]
	if now-first.atMs < window {
		return 0
	}
	middle, _ := slices.BinarySearchFunc(p.demandHistory, now-window/2, func(d demandSample, at clock.Millis) int {
		return cmp.Compare(d.atMs, at)
	})
	half := p.demandHistory[min(middle, len(p.demandHistory)-1)].tokens
	rise := math.Min(half-first.tokens, o.Demand.TokensPerSecond-half)
	return math.Max(0, 2*rise/(float64(window)/float64(clock.Second)))
}

// maxNeeded returns the largest number of servers needed within the hold time.
func (p *Planner) maxNeeded(now clock.Millis, needed int, startUp clock.Millis) int {
	for len(p.neededHistory) > 0 && p.neededHistory[len(p.neededHistory)-1].needed <= needed {
		p.neededHistory = p.neededHistory[:len(p.neededHistory)-1]
	}
	p.neededHistory = append(p.neededHistory, neededSample{atMs: now, needed: needed})
	for now-p.neededHistory[0].atMs > holdStartUps*startUp {
		p.neededHistory = p.neededHistory[1:]
	}
	return p.neededHistory[0].needed
}

// bound raises or lowers n, a number of servers, to the limits of the spec. With
// SurviveZone, the minimum is so large that MinServers are left when one of the zones,
// which have equal numbers of servers, is lost.
func (p *Planner) bound(n int, f *fleet) int {
	minServers := p.spec.MinServers
	if zones := f.openZones(); p.spec.SurviveZone && zones > 1 {
		minServers = (zones*minServers + zones - 2) / (zones - 1)
	}
	n = max(n, minServers)
	if p.spec.MaxServers > 0 {
		n = min(n, p.spec.MaxServers)
	}
	return n
}
