package capacity_test

import (
	"fmt"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"flag"

	"github.com/damaskport/damaskport/internal/policy/capacity"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.nofailfile", "true")
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261203")
	}
	fmt.Println("rapid.seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

// platform simulates the platform that carries out the orders.
type platform struct {
	servers   []capacity.Server
	readyMs   map[string]clock.Millis // by server: when it is live, or has stopped
	started   int                     // servers started so far
	startUpMs clock.Millis            // start-up time of a server
}

// carryOut starts and stops servers; a stopped server is leaving for 10 s.
func (p *platform) carryOut(now clock.Millis, orders []capacity.Order) {
	for _, o := range orders {
		if o.Action == capacity.ActionStart {
			p.started++
			name := fmt.Sprint("s", p.started)
			p.servers = append(p.servers, capacity.Server{Name: name, Zone: o.Zone, State: capacity.StateStarting})
			p.readyMs[name] = now + p.startUpMs
			continue
		}
		for i := range p.servers {
			if p.servers[i].Name == o.Server {
				p.servers[i].State = capacity.StateLeaving
				p.readyMs[o.Server] = now + 10*clock.Second
			}
		}
	}
}

// advance updates the states of the servers to the time now.
func (p *platform) advance(now clock.Millis) {
	var kept []capacity.Server
	for _, s := range p.servers {
		due := p.readyMs[s.Name] <= now
		if s.State == capacity.StateLeaving && due {
			continue
		}
		if s.State == capacity.StateStarting && due {
			s.State = capacity.StateLive
		}
		kept = append(kept, s)
	}
	p.servers = kept
}

// byZone returns the number of servers in one of the states, by zone.
func (p *platform) byZone(states ...capacity.State) map[string]int {
	out := map[string]int{}
	for _, s := range p.servers {
		for _, st := range states {
			if s.State == st {
				out[s.Zone]++
			}
		}
	}
	return out
}

// total returns the sum of the values of m.
func total(m map[string]int) int {
	n := 0
	for _, v := range m {
		n += v
	}
	return n
}

var zones = []capacity.Zone{{Name: "a", PricePerHour: 2}, {Name: "b", PricePerHour: 2.2}, {Name: "c", PricePerHour: 3}}

// runPlans calls Plan once a second from the time from for the duration d, carries out
// the orders, and returns the last plan.
func runPlans(p *platform, pl *capacity.Planner, from, d clock.Millis, o capacity.Observed) capacity.Plan {
	var plan capacity.Plan
	for now := from; now < from+d; now += clock.Second {
		p.advance(now)
		o.Servers, o.StartUpMs = p.servers, p.startUpMs
		plan = pl.Plan(now, o)
		p.carryOut(now, plan.Orders)
	}
	return plan
}

// TestScalesWithDemandInCheapestZones lets the demand rise, dip for less than the hold
// time of 5 minutes, and fall: servers start in the cheapest zones, the dip neither
// stops nor starts any, and afterwards only the minimum is left.
func TestScalesWithDemandInCheapestZones(t *testing.T) {
	p := &platform{readyMs: map[string]clock.Millis{}, startUpMs: clock.Minute}
	pl := capacity.NewPlanner(capacity.PoolSpec{Pool: "p", MinServers: 2, SurviveZone: true, TokensPerSecond: 100, Utilization: 0.5})
	o := capacity.Observed{Zones: zones, Demand: capacity.Demand{TokensPerSecond: 300, Attainment: 1}}
	runPlans(p, pl, 0, 2*clock.Minute, o)
	if diff := cmp.Diff(map[string]int{"a": 3, "b": 3}, p.byZone(capacity.StateLive)); diff != "" {
		t.Errorf("6 servers by zone (-want +got):\n%s", diff)
	}
	startedBefore := p.started
	o.Demand.TokensPerSecond = 50
	runPlans(p, pl, 2*clock.Minute, 4*clock.Minute, o)
	if got := p.byZone(capacity.StateLive); total(got) != 6 {
		t.Errorf("servers by zone within the hold time: %v, want 6 servers", got)
	}
	o.Demand.TokensPerSecond = 300
	runPlans(p, pl, 6*clock.Minute, clock.Minute, o)
	if p.started != startedBefore {
		t.Errorf("%d starts after a short dip, want none", p.started-startedBefore)
	}
	o.Demand.TokensPerSecond = 50
	runPlans(p, pl, 7*clock.Minute, 20*clock.Minute, o)
	if diff := cmp.Diff(map[string]int{"a": 1, "b": 1, "c": 1}, p.byZone(capacity.StateLive)); diff != "" {
		t.Errorf("servers by zone at the minimum that survives the loss of a zone (-want +got):\n%s", diff)
	}
}

// TestPendingOrdersAreNotRepeated calls Plan again while the orders of the first plan
// are pending: the second plan has no orders.
func TestPendingOrdersAreNotRepeated(t *testing.T) {
	pl := capacity.NewPlanner(capacity.PoolSpec{Pool: "p", TokensPerSecond: 100})
	o := capacity.Observed{Zones: zones, Demand: capacity.Demand{TokensPerSecond: 500, Attainment: 1}}
	first := pl.Plan(0, o)
	o.Pending = first.Orders
	if second := pl.Plan(1000, o); len(first.Orders) != 7 || len(second.Orders) != 0 {
		t.Errorf("%d orders, then %d with those pending; want 7 and 0", len(first.Orders), len(second.Orders))
	}
}

// TestRandomDemand changes demand, attainment and prices at random for an hour and
// checks each plan: stopping servers leaves MinServers and, with SurviveZone, as many
// after the loss of any one zone; two or more servers are spread over at least two
// zones; there are never more than MaxServers. Half an hour after the last change
// there are no more orders.
func TestRandomDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		minServers := rapid.IntRange(0, 4).Draw(t, "min")
		spec := capacity.PoolSpec{
			Pool: "p", MinServers: minServers, SurviveZone: rapid.Bool().Draw(t, "survive"), TokensPerSecond: 100,
			MaxServers: 4*minServers + rapid.IntRange(1, 20).Draw(t, "max"), AttainmentTarget: 0.99,
		}
		p := &platform{readyMs: map[string]clock.Millis{}, startUpMs: 30 * clock.Second}
		pl := capacity.NewPlanner(spec)
		o := capacity.Observed{Zones: append([]capacity.Zone(nil), zones...), StartUpMs: p.startUpMs}
		var last capacity.Plan
		changeMs := clock.Millis(0)
		for now := clock.Millis(0); now < 90*clock.Minute; now += 5 * clock.Second {
			if now < 60*clock.Minute && now%(2*clock.Minute) == 0 && rapid.Bool().Draw(t, "change") {
				o.Demand.TokensPerSecond = float64(rapid.IntRange(0, 2000).Draw(t, "tokens"))
				o.Demand.Attainment = 1 - float64(rapid.IntRange(0, 10).Draw(t, "missed"))/100
				o.Zones[rapid.IntRange(0, 2).Draw(t, "zone")].PricePerHour = float64(rapid.IntRange(1, 9).Draw(t, "price"))
				changeMs = now
			}
			if now >= 60*clock.Minute {
				o.Demand.Attainment = 1
			}
			p.advance(now)
			o.Servers = p.servers
			last = pl.Plan(now, o)
			p.carryOut(now, last.Orders)
			assertPlan(t, spec, p, last)
		}
		if len(last.Orders) > 0 {
			t.Fatalf("orders %v although the demand is unchanged since %d ms", last.Orders, changeMs)
		}
	})
}

// assertPlan fails if the servers, after the orders of plan, violate the spec.
func assertPlan(t *rapid.T, spec capacity.PoolSpec, p *platform, plan capacity.Plan) {
	live := p.byZone(capacity.StateLive)
	all := p.byZone(capacity.StateLive, capacity.StateStarting)
	if n := total(all); n > spec.MaxServers {
		t.Fatalf("%d servers, at most %d allowed", n, spec.MaxServers)
	}
	for _, o := range plan.Orders {
		if o.Action != capacity.ActionStop {
			continue
		}
		for zone, n := range live {
			if spec.SurviveZone && total(live)-n < spec.MinServers {
				t.Fatalf("after %v the loss of %s leaves %d of %d", o, zone, total(live)-n, spec.MinServers)
			}
		}
		if total(live) < spec.MinServers {
			t.Fatalf("after %v %d servers are left", o, total(live))
		}
	}
	if len(all) == 1 && total(all) > 1 {
		t.Fatalf("all servers in one zone: %v", all)
	}
}
