package process

import (
	"context"

	"github.com/damaskport/damaskport/internal/control/capacity"
	"github.com/damaskport/damaskport/internal/peer/config"
	policy "github.com/damaskport/damaskport/internal/policy/capacity"
	"github.com/damaskport/damaskport/internal/role/entry"
)

// managedPools supplies the capacity reconciler with the managed pools and their demand.
type managedPools struct {
	e        *entry.Entry
	store    *config.Store
	planners map[string]*policy.Planner
}

func newPools(e *entry.Entry, store *config.Store) *managedPools {
	return &managedPools{e: e, store: store, planners: map[string]*policy.Planner{}}
}

// Pools returns the pools with a maximum number of servers in the configuration. A pool
// without a reachable backend server is omitted, since its demand is unknown.
func (p *managedPools) Pools(context.Context) []capacity.Pool {
	var out []capacity.Pool
	for _, conf := range p.store.Current().Pools() {
		d, ok := p.e.Demand(conf.Name)
		if conf.MaxServers == 0 || !ok {
			continue
		}
		spec := policy.PoolSpec{
			Pool: conf.Name, MinServers: conf.MinServers * d.Zones, MaxServers: conf.MaxServers * d.Zones,
			TokensPerSecond: d.ServerTokensPerSecond,
		}
		planner := p.planners[conf.Name]
		if planner == nil {
			planner = policy.NewPlanner(spec)
		} else {
			planner = planner.WithSpec(spec)
		}
		p.planners[conf.Name] = planner
		out = append(out, capacity.Pool{
			Name: conf.Name, Decider: planner, Load: d.Load,
			Demand: policy.Demand{TokensPerSecond: d.TokensPerSecond, WaitingTokens: d.WaitingTokens, Attainment: d.Attainment},
		})
	}
	return out
}
