package capacity

import (
	"cmp"
	"slices"
)

// fleet holds the observed servers of a pool by zone, as they are once the pending
// orders and the orders of the present plan have been carried out.
type fleet struct {
	zones []*zone // by price, then name
	// live, starting and leaving are the numbers of servers in each state.
	live     int
	starting int
	leaving  int
}

// zone is an availability zone with its servers of the pool.
type zone struct {
	Zone
	live     []Server // by load, then name
	starting int      // number of starting servers
}

func newFleet(o Observed) *fleet {
	f := &fleet{}
	byName := map[string]*zone{}
	for _, z := range o.Zones {
		byName[z.Name] = &zone{Zone: z}
		f.zones = append(f.zones, byName[z.Name])
	}
	stopping := map[string]bool{}
	for _, order := range o.Pending {
		if order.Action == ActionStop {
			stopping[order.Server] = true
			continue
		}
		if z := byName[order.Zone]; z != nil {
			z.starting++
			f.starting++
		}
	}
	for _, s := range o.Servers {
		z := byName[s.Zone]
		if z == nil {
			z = &zone{Zone: Zone{Name: s.Zone, Down: true}}
			byName[s.Zone] = z
			f.zones = append(f.zones, z)
		}
		f.add(z, s, stopping[s.Name])
	}
	f.sort()
	return f
}

func (f *fleet) add(z *zone, s Server, stopping bool) {
	switch {
	case s.State == StateLeaving || stopping:
		f.leaving++
	case s.State == StateStarting:
		z.starting++
		f.starting++
	default:
		z.live = append(z.live, s)
		f.live++
	}
}

func (f *fleet) sort() {
	slices.SortFunc(f.zones, func(a, b *zone) int {
		if c := cmp.Compare(a.PricePerHour, b.PricePerHour); c != 0 {
			return c
		}
		return cmp.Compare(a.Name, b.Name)
	})
	for _, z := range f.zones {
		slices.SortFunc(z.live, func(a, b Server) int {
			if c := cmp.Compare(a.Load, b.Load); c != 0 {
				return c
			}
			return cmp.Compare(a.Name, b.Name)
		})
	}
}

func (z *zone) size() int {
	return len(z.live) + z.starting
}

// openZones returns the number of zones in which servers can be started.
func (f *fleet) openZones() int {
	n := 0
	for _, z := range f.zones {
		if !z.Down {
			n++
		}
	}
	return n
}

func (f *fleet) size() int {
	return f.live + f.starting
}

// zoneBound returns the largest number of servers that one zone may have if the pool
// has n servers.
func (p *Planner) zoneBound(n int, f *fleet) int {
	open := f.openZones()
	if open < 2 {
		return n
	}
	bound := (n*p.spec.MaxZonePercent + 99) / 100
	if p.spec.SurviveZone {
		bound = min(bound, n-p.spec.MinServers)
	}
	return max(bound, (n+open-1)/open, 1)
}

// orders returns the orders that bring the fleet to the desired number of servers and
// then to a better placement. Servers are started before any others are stopped, and
// none are stopped while others are starting.
func (p *Planner) orders(f *fleet, desired int) []Order {
	var out []Order
	bound := p.zoneBound(desired, f)
	for f.size() < desired {
		z := f.startZone(bound)
		if z == nil {
			break
		}
		out = append(out, p.start(f, z))
	}
	if len(out) > 0 {
		return out
	}
	if f.starting > 0 {
		return nil
	}
	if z := p.replacementZone(f, desired, bound); z != nil {
		return []Order{p.start(f, z)}
	}
	stops := p.stops(f, desired)
	if len(stops) == 0 && f.leaving == 0 {
		if z := p.reliefZone(f, desired, bound); z != nil {
			return []Order{p.start(f, z)}
		}
	}
	return stops
}

func (p *Planner) start(f *fleet, z *zone) Order {
	z.starting++
	f.starting++
	return Order{Action: ActionStart, Pool: p.spec.Pool, Zone: z.Name}
}

// startZone returns the cheapest zone with fewer than bound servers; of zones at
// the same price, the one with the fewest servers.
func (f *fleet) startZone(bound int) *zone {
	var best *zone
	for _, z := range f.zones {
		if z.Down || z.size() >= bound {
			continue
		}
		if best == nil || z.PricePerHour == best.PricePerHour && z.size() < best.size() {
			best = z
		}
	}
	return best
}

// replacementZone returns the zone in which to start one server more than desired, to
// replace a server in another zone that has more than bound servers, is down or has a
// much higher price (see minMovePriceRatio); nil if no server is to be replaced. A
// later plan then stops that server.
func (p *Planner) replacementZone(f *fleet, desired, bound int) *zone {
	if f.size() != desired || f.leaving > 0 || p.spec.MaxServers > 0 && desired >= p.spec.MaxServers {
		return nil
	}
	target := f.startZone(bound)
	if target == nil {
		return nil
	}
	for _, z := range f.zones {
		if z == target || len(z.live) == 0 {
			continue
		}
		if z.size() > bound || z.PricePerHour >= target.PricePerHour*minMovePriceRatio && !z.Down {
			return target
		}
	}
	return nil
}

// reliefZone returns the zone in which to start one more server so that all surplus
// servers, which cannot be stopped now as the rest would not survive the loss of a
// zone, can be stopped; nil if that is not cheaper.
func (p *Planner) reliefZone(f *fleet, desired, bound int) *zone {
	if f.size() <= desired || p.spec.MaxServers > 0 && f.size() >= p.spec.MaxServers {
		return nil
	}
	target := f.startZone(bound)
	stopped := float64(f.size() - desired + 1)
	if target == nil || target.PricePerHour >= stopped*f.zones[0].PricePerHour {
		return nil
	}
	return target
}

// stops returns the orders that stop surplus servers. At most a tenth of the live
// servers, but at least one, are leaving at a time.
func (p *Planner) stops(f *fleet, desired int) []Order {
	var out []Order
	limit := max(1, f.live/10) - f.leaving
	bound := p.zoneBound(desired, f)
	for f.size() > desired && len(out) < limit {
		z := p.stopZone(f, bound)
		if z == nil {
			break
		}
		out = append(out, Order{Action: ActionStop, Pool: p.spec.Pool, Zone: z.Name, Server: z.live[0].Name})
		z.live = z.live[1:]
		f.live--
	}
	return out
}

// stopZone returns the zone in which to stop a server, among those that canStop allows:
// one with more than bound servers, else the most expensive one; of zones at the same
// price, the one with the most servers; nil if no server can be stopped.
func (p *Planner) stopZone(f *fleet, bound int) *zone {
	var best *zone
	for _, z := range f.zones {
		if len(z.live) == 0 || !p.canStop(f, z) {
			continue
		}
		if best == nil || z.stopsBefore(best, bound) {
			best = z
		}
	}
	return best
}

// stopsBefore reports whether z is a better zone to stop a server in than best, by the
// rules of stopZone.
func (z *zone) stopsBefore(best *zone, bound int) bool {
	if over := z.size() > bound; over != (best.size() > bound) {
		return over
	}
	if z.PricePerHour != best.PricePerHour {
		return z.PricePerHour > best.PricePerHour
	}
	return z.size() > best.size()
}

// canStop reports whether MinServers remain live after one server of z is
// stopped and, with SurviveZone, also after the loss of any one zone.
func (p *Planner) canStop(f *fleet, z *zone) bool {
	left := f.live - 1
	if left < p.spec.MinServers {
		return false
	}
	if !p.spec.SurviveZone {
		return true
	}
	for _, other := range f.zones {
		lost := len(other.live)
		if other == z {
			lost--
		}
		if left-lost < p.spec.MinServers {
			return false
		}
	}
	return true
}
