package deployment

import (
	"slices"

	"github.com/damaskport/damaskport/internal/load/arrivals"
	"github.com/damaskport/damaskport/internal/operator/settings"
)

// Ours is the name of the whole policy.
const Ours = "ours"

// Baseline is a policy by name.
type Baseline struct {
	Name   string
	Policy settings.Policy
}

// Baselines returns the policies that can be compared: the whole one, simple
// ones, and the whole one with one mechanism off.
func Baselines() []Baseline {
	whole := settings.Policy{Order: settings.OrderTiers, Routing: settings.RoutingAffinity}
	without := func(off func(*settings.Policy)) settings.Policy {
		p := whole
		off(&p)
		return p
	}
	return []Baseline{
		{Ours, whole},
		{"fifoRoundRobin", simple(settings.RoutingRoundRobin)},
		{"leastConnections", simple(settings.RoutingLeastConnections)},
		{"noShares", without(func(p *settings.Policy) { p.NoShares = true })},
		{"noFloors", without(func(p *settings.Policy) { p.NoFloors = true })},
		{"noShedding", without(func(p *settings.Policy) { p.NoShedding = true })},
		{"noPreemption", without(func(p *settings.Policy) { p.NoPreemption = true })},
		{"noStragglers", without(func(p *settings.Policy) { p.NoStragglers = true })},
		{"noDiscount", without(func(p *settings.Policy) { p.NoDiscount = true })},
	}
}

// simple serves in the order of arrival, without any of the mechanisms.
func simple(r settings.Routing) settings.Policy {
	return settings.Policy{
		Order: settings.OrderFIFO, Routing: r,
		NoShares: true, NoFloors: true, NoShedding: true, NoPreemption: true, NoStragglers: true, NoDiscount: true,
	}
}

// BaselineNamed returns the baseline called name.
func BaselineNamed(name string) (Baseline, error) {
	all := Baselines()
	i := slices.IndexFunc(all, func(b Baseline) bool { return b.Name == name })
	if i >= 0 {
		return all[i], nil
	}
	var known []string
	for _, b := range all {
		known = append(known, b.Name)
	}
	return Baseline{}, &arrivals.UnknownError{Kind: "baseline", Name: name, Known: known}
}
