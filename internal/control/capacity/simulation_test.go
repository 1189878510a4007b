package capacity_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"

	"github.com/damaskport/damaskport/internal/control/capacity"
	"github.com/damaskport/damaskport/internal/control/lease"
	platform "github.com/damaskport/damaskport/internal/platform/capacity"
	"github.com/damaskport/damaskport/internal/platform/fenced"
	"github.com/damaskport/damaskport/internal/platform/logservice"
	policy "github.com/damaskport/damaskport/internal/policy/capacity"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/logging"
	"github.com/damaskport/damaskport/internal/state/order"
)

// fault is a mechanism of the protocol that the simulation disables.
type fault int

const (
	noFault fault = iota
	// newOrderIDs gives an order a new ID each time that it is sent.
	newOrderIDs
	// staleRecords makes delayed records valid whatever their term and sequence
	// number.
	staleRecords
	// ignorePending makes Plan ignore the pending orders.
	ignorePending
)

const (
	cycleMs = 2 * clock.Second
	// startUpMs is the start-up time of a server in the platform's list.
	startUpMs = 30 * clock.Second
	// maxOrderDelay is the maximum delay after which the platform executes an order,
	// without the up to one minute by which the simulated time may jump.
	maxOrderDelay = 40 * clock.Second
	// listLagMs is the age of the platform's list.
	listLagMs = 10 * clock.Second
	poolName  = "assistant"
)

var errLost = errors.New("simulated loss of an answer")

// delayed is a record, order or list with its time of origin.
type delayed[T any] struct {
	atMs clock.Millis
	v    T
}

// simulation is the clock, log, platform and leases of a Reconciler, which runs in a
// single goroutine through many tenures. Simulated time advances only in Sleep.
type simulation struct {
	fault          fault // the disabled mechanism
	rand           *rand.Rand
	faultless      bool // calls neither fail nor are delayed
	desired        int  // number of servers
	now            clock.Millis
	log            []logservice.Record
	delayedRecords []delayed[[]byte]
	servers        []platform.Server
	lists          []delayed[[]platform.Server] // the list after each Sleep
	delayedOrders  []delayed[platform.Order]
	serverByOrder  map[string]string // server by ID of an executed order
	requests       int               // number of calls of Order
	term           int64
	steps          int             // number of calls of Sleep in this tenure
	drained        map[string]bool // by server name
	cancel         context.CancelFunc
	err            error
}

func newSimulation(seed uint64, f fault, desired int) *simulation {
	return &simulation{
		fault: f, rand: rand.New(rand.NewPCG(seed, 4)), desired: desired, now: clock.Hour,
		serverByOrder: map[string]string{}, drained: map[string]bool{},
	}
}

func (sim *simulation) Now() clock.Millis  { return sim.now }
func (sim *simulation) Wall() clock.Millis { return sim.now }

// Sleep advances the time, adds delayed records to the log, executes delayed orders
// and may end the tenure.
func (sim *simulation) Sleep(ctx context.Context, d clock.Millis) error {
	sim.now += d
	if sim.oneIn(20) {
		sim.now += clock.Millis(sim.rand.IntN(60)) * clock.Second
	}
	for i := 0; i < len(sim.delayedRecords); i++ {
		if sim.faultless || sim.oneIn(4) {
			sim.record(sim.delayedRecords[i].v)
			sim.delayedRecords = slices.Delete(sim.delayedRecords, i, i+1)
			i--
		}
	}
	for i := 0; i < len(sim.delayedOrders); i++ {
		if sim.faultless || sim.oneIn(20) || sim.now-sim.delayedOrders[i].atMs > maxOrderDelay-cycleMs {
			sim.execute(sim.delayedOrders[i].v)
			sim.delayedOrders = slices.Delete(sim.delayedOrders, i, i+1)
			i--
		}
	}
	sim.updateList()
	sim.steps++
	if sim.err != nil || sim.steps%200 == 0 || !sim.faultless && sim.oneIn(15) {
		sim.cancel()
	}
	return ctx.Err()
}

// oneIn returns true with the probability 1/n.
func (sim *simulation) oneIn(n int) bool { return sim.rand.IntN(n) == 0 }

// injectFault reports whether the present call fails.
func (sim *simulation) injectFault() bool { return !sim.faultless && sim.oneIn(6) }

// updateList makes some starting servers live and adds the present list to the history.
func (sim *simulation) updateList() {
	for i, s := range sim.servers {
		if s.State == platform.StateStarting && sim.oneIn(5) {
			sim.servers[i].State = platform.StateLive
		}
	}
	sim.lists = append(sim.lists, delayed[[]platform.Server]{sim.now, slices.Clone(sim.servers)})
}

func (sim *simulation) Append(_ context.Context, _ string, data []byte) (int64, error) {
	switch {
	case sim.injectFault():
		sim.delayedRecords = append(sim.delayedRecords, delayed[[]byte]{sim.now, data})
		return 0, errLost
	case sim.injectFault():
		sim.record(data)
		return 0, errLost
	}
	sim.record(data)
	return int64(len(sim.log)), nil
}

// record adds a record to the log.
func (sim *simulation) record(data []byte) {
	if sim.fault == staleRecords {
		var rec order.Record
		_ = json.Unmarshal(data, &rec)
		f := sim.fold()
		rec.Term = max(rec.Term, f.Term())
		rec.Seq = f.NextSeq(rec.Term)
		data, _ = json.Marshal(rec)
	}
	sim.log = append(sim.log, logservice.Record{Offset: int64(len(sim.log) + 1), AtMs: sim.now, Data: data})
}

// fold returns the state of the log.
func (sim *simulation) fold() *order.Fold {
	f := order.New()
	for _, r := range sim.log {
		f.Apply(r.Offset, r.AtMs, r.Data)
	}
	return f
}

func (sim *simulation) Read(_ context.Context, _ string, from int64, _ int, _ clock.Millis) (logservice.Page, error) {
	if sim.injectFault() {
		return logservice.Page{}, errLost
	}
	page := logservice.Page{FirstOffset: 1, NextOffset: int64(len(sim.log) + 1)}
	if from <= int64(len(sim.log)) {
		page.Records = slices.Clone(sim.log[from-1:])
	}
	return page, nil
}

// List returns the servers as of listLagMs ago.
func (sim *simulation) List(context.Context) (platform.Listing, error) {
	if sim.injectFault() {
		return platform.Listing{}, errLost
	}
	out := platform.Listing{StartUpMs: startUpMs, Prices: []platform.Price{{Zone: "a", Pool: poolName, PerHour: 1}}}
	for _, h := range sim.lists {
		if h.atMs <= sim.now-listLagMs {
			out.Servers = h.v
		}
	}
	return out, nil
}

func (sim *simulation) Order(_ context.Context, o platform.Order, g fenced.Guard) (string, error) {
	if g.Remaining() <= 0 {
		return "", &fenced.LapsedError{}
	}
	sim.requests++
	if sim.fault == newOrderIDs {
		o.OrderID = fmt.Sprint(o.OrderID, "/", sim.requests)
	}
	switch {
	case sim.injectFault():
		sim.delayedOrders = append(sim.delayedOrders, delayed[platform.Order]{sim.now, o})
		return "", errLost
	case sim.injectFault():
		sim.execute(o)
		return "", errLost
	case sim.injectFault():
		return "", &fenced.StatusError{Status: http.StatusConflict, Message: "no capacity"}
	}
	return sim.execute(o), nil
}

// execute executes an order unless one with the same ID was executed before, and
// returns the server that it affects.
func (sim *simulation) execute(o platform.Order) string {
	if name, ok := sim.serverByOrder[o.OrderID]; ok {
		return name
	}
	name := o.Server
	if o.Action == platform.ActionStart {
		name = fmt.Sprint("m", len(sim.servers)+1)
		sim.servers = append(sim.servers, platform.Server{Name: name, Zone: o.Zone, Pool: o.Pool, State: platform.StateStarting, OrderID: o.OrderID})
	}
	for i, s := range sim.servers {
		if s.Name == o.Server {
			sim.servers[i].State = platform.StateLeaving
			if !sim.drained[s.Name] {
				sim.err = fmt.Errorf("server %s stopped before it was drained", s.Name)
			}
		}
	}
	sim.serverByOrder[o.OrderID] = name
	if n := sim.running(); n > max(sim.desired, 4) || n < min(sim.desired, 4) && o.Action == platform.ActionStop {
		sim.err = fmt.Errorf("%d servers after order %s, want %d", n, o.OrderID, sim.desired)
	}
	return name
}

// running returns the number of servers that are not leaving.
func (sim *simulation) running() int {
	n := 0
	for _, s := range sim.servers {
		if s.State != platform.StateLeaving {
			n++
		}
	}
	return n
}

func (sim *simulation) Drain(_ context.Context, server string) (bool, error) {
	if sim.injectFault() || sim.oneIn(3) {
		return false, nil
	}
	sim.drained[server] = true
	return true, nil
}

func (sim *simulation) Pools(context.Context) []capacity.Pool {
	return []capacity.Pool{{Name: poolName, Decider: sim}}
}

// Plan orders the difference between the present and the desired number of servers.
func (sim *simulation) Plan(_ clock.Millis, o policy.Observed) policy.Plan {
	if sim.fault == ignorePending {
		o.Pending = nil
	}
	var live []string
	n := 0
	for _, s := range o.Servers {
		stopping := slices.ContainsFunc(o.Pending, func(p policy.Order) bool { return p.Server == s.Name })
		if s.State != policy.StateLeaving && !stopping {
			n++
			live = append(live, s.Name)
		}
	}
	for _, p := range o.Pending {
		if p.Action == policy.ActionStart {
			n++
		}
	}
	var plan policy.Plan
	for ; n < sim.desired; n++ {
		plan.Orders = append(plan.Orders, policy.Order{Action: policy.ActionStart, Pool: poolName, Zone: "a"})
	}
	for ; n > sim.desired && len(live) > 0; n-- {
		plan.Orders = append(plan.Orders, policy.Order{Action: policy.ActionStop, Pool: poolName, Zone: "a", Server: live[0]})
		live = live[1:]
	}
	return plan
}

// Keep runs twelve tenures one after the other, the last one without faults.
func (sim *simulation) Keep(ctx context.Context, name string, run func(context.Context, *lease.Tenure) error) error {
	for i := 1; i <= 12 && sim.err == nil; i++ {
		sim.faultless = i == 12
		sim.term++
		sim.steps = 0
		tctx, cancel := context.WithCancel(ctx)
		sim.cancel = cancel
		err := run(tctx, lease.NewTenure(name, sim.term, sim.now+clock.Hour*1000, sim))
		cancel()
		if err != nil {
			return err
		}
	}
	return sim.err
}

// run runs a Reconciler through all tenures and checks the number of servers at the end.
func (sim *simulation) run() error {
	cfg := capacity.Config{Author: "e1", CycleMs: cycleMs, TimeoutMs: clock.Second, RetentionMs: clock.Hour, DrainMs: 24 * clock.Hour}
	r := capacity.New(cfg, sim, sim, sim, sim, sim, sim, logging.Discard())
	if err := r.Run(context.Background()); err != nil {
		return err
	}
	if n := sim.running(); n != sim.desired {
		return fmt.Errorf("%d servers after the last tenure, want %d", n, sim.desired)
	}
	return nil
}
