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

// fault switches one mechanism of the protocol off.
type fault int

const (
	noFault fault = iota
	// newIDs gives each sending of an order an id of its own.
	newIDs
	// unnumbered lets late records count whatever their numbers.
	unnumbered
	// oneEach has each tenure ignore the intents of earlier ones.
	oneEach
)

const (
	cycleMs = 2 * clock.Second
	startUp = 30 * clock.Second
	// orderLateMs is how late the platform carries out an order, beside the
	// minute by which time may jump.
	orderLateMs = 40 * clock.Second
	listLagMs   = 10 * clock.Second
	poolName    = "assistant"
)

var errLost = errors.New("answer lost")

type late[T any] struct {
	atMs clock.Millis
	v    T
}

// world is a clock, a log, a platform and the leases in which a Reconciler
// runs in one goroutine, tenure after tenure. Its Sleep lets the world go on.
type world struct {
	fault    fault
	rand     *rand.Rand
	calm     bool
	desired  int
	now      clock.Millis
	log      []logservice.Record
	lateRecs []late[[]byte]
	servers  []platform.Server
	history  []late[[]platform.Server]
	lateOrd  []late[platform.Order]
	done     map[string]string
	sends    int
	term     int64
	steps    int
	drained  map[string]bool
	cancel   context.CancelFunc
	err      error
}

func newWorld(seed uint64, f fault, desired int) *world {
	return &world{
		fault: f, rand: rand.New(rand.NewPCG(seed, 4)), desired: desired, now: clock.Hour,
		done: map[string]string{}, drained: map[string]bool{},
	}
}

func (w *world) Now() clock.Millis  { return w.now }
func (w *world) Wall() clock.Millis { return w.now }

// Sleep lets time pass, late records and orders land, and tenures end.
func (w *world) Sleep(ctx context.Context, d clock.Millis) error {
	w.now += d
	if w.chance(20) {
		w.now += clock.Millis(w.rand.IntN(60)) * clock.Second
	}
	for i := 0; i < len(w.lateRecs); i++ {
		if w.calm || w.chance(4) {
			w.record(w.lateRecs[i].v)
			w.lateRecs = slices.Delete(w.lateRecs, i, i+1)
			i--
		}
	}
	for i := 0; i < len(w.lateOrd); i++ {
		if w.calm || w.chance(20) || w.now-w.lateOrd[i].atMs > orderLateMs-cycleMs {
			w.carryOut(w.lateOrd[i].v)
			w.lateOrd = slices.Delete(w.lateOrd, i, i+1)
			i--
		}
	}
	w.snapshot()
	w.steps++
	if w.err != nil || w.steps%200 == 0 || !w.calm && w.chance(15) {
		w.cancel()
	}
	return ctx.Err()
}

func (w *world) chance(n int) bool { return w.rand.IntN(n) == 0 }

// trouble reports whether something goes wrong now.
func (w *world) trouble() bool { return !w.calm && w.chance(6) }

func (w *world) snapshot() {
	for i, s := range w.servers {
		if s.State == platform.StateStarting && w.chance(5) {
			w.servers[i].State = platform.StateLive
		}
	}
	w.history = append(w.history, late[[]platform.Server]{w.now, slices.Clone(w.servers)})
}

func (w *world) Append(_ context.Context, _ string, data []byte) (int64, error) {
	switch {
	case w.trouble():
		w.lateRecs = append(w.lateRecs, late[[]byte]{w.now, data})
		return 0, errLost
	case w.trouble():
		w.record(data)
		return 0, errLost
	}
	w.record(data)
	return int64(len(w.log)), nil
}

func (w *world) record(data []byte) {
	if w.fault == unnumbered {
		var rec order.Record
		_ = json.Unmarshal(data, &rec)
		f := w.fold()
		rec.Term = max(rec.Term, f.Term())
		rec.Seq = f.NextSeq(rec.Term)
		data, _ = json.Marshal(rec)
	}
	w.log = append(w.log, logservice.Record{Offset: int64(len(w.log) + 1), AtMs: w.now, Data: data})
}

func (w *world) fold() *order.Fold {
	f := order.New()
	for _, r := range w.log {
		f.Apply(r.Offset, r.AtMs, r.Data)
	}
	return f
}

func (w *world) Read(_ context.Context, _ string, from int64, _ int, _ clock.Millis) (logservice.Page, error) {
	if w.trouble() {
		return logservice.Page{}, errLost
	}
	page := logservice.Page{FirstOffset: 1, NextOffset: int64(len(w.log) + 1)}
	if from <= int64(len(w.log)) {
		page.Records = slices.Clone(w.log[from-1:])
	}
	return page, nil
}

// List returns the servers of some time ago.
func (w *world) List(context.Context) (platform.Listing, error) {
	if w.trouble() {
		return platform.Listing{}, errLost
	}
	out := platform.Listing{StartUpMs: startUp, Prices: []platform.Price{{Zone: "a", Pool: poolName, PerHour: 1}}}
	for _, h := range w.history {
		if h.atMs <= w.now-listLagMs {
			out.Servers = h.v
		}
	}
	return out, nil
}

func (w *world) Order(_ context.Context, o platform.Order, g fenced.Guard) (string, error) {
	if g.Remaining() <= 0 {
		return "", &fenced.LapsedError{}
	}
	w.sends++
	if w.fault == newIDs {
		o.OrderID = fmt.Sprint(o.OrderID, "/", w.sends)
	}
	switch {
	case w.trouble():
		w.lateOrd = append(w.lateOrd, late[platform.Order]{w.now, o})
		return "", errLost
	case w.trouble():
		w.carryOut(o)
		return "", errLost
	case w.trouble():
		return "", &fenced.StatusError{Status: http.StatusConflict, Message: "no room"}
	}
	return w.carryOut(o), nil
}

func (w *world) carryOut(o platform.Order) string {
	if name, ok := w.done[o.OrderID]; ok {
		return name
	}
	name := o.Server
	if o.Action == platform.ActionStart {
		name = fmt.Sprint("m", len(w.servers)+1)
		w.servers = append(w.servers, platform.Server{Name: name, Zone: o.Zone, Pool: o.Pool, State: platform.StateStarting, OrderID: o.OrderID})
	}
	for i, s := range w.servers {
		if s.Name == o.Server {
			w.servers[i].State = platform.StateLeaving
			if !w.drained[s.Name] {
				w.err = fmt.Errorf("server %s stopped before it was drained", s.Name)
			}
		}
	}
	w.done[o.OrderID] = name
	if n := w.running(); n > max(w.desired, 4) || n < min(w.desired, 4) && o.Action == platform.ActionStop {
		w.err = fmt.Errorf("%d servers after order %s, %d desired", n, o.OrderID, w.desired)
	}
	return name
}

func (w *world) running() int {
	n := 0
	for _, s := range w.servers {
		if s.State != platform.StateLeaving {
			n++
		}
	}
	return n
}

func (w *world) Drain(_ context.Context, server string) (bool, error) {
	if w.trouble() || w.chance(3) {
		return false, nil
	}
	w.drained[server] = true
	return true, nil
}

func (w *world) Pools(context.Context) []capacity.Pool {
	return []capacity.Pool{{Name: poolName, Decider: w}}
}

// Plan orders exactly the difference to the desired number.
func (w *world) Plan(_ clock.Millis, o policy.Observed) policy.Plan {
	if w.fault == oneEach {
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
	for ; n < w.desired; n++ {
		plan.Orders = append(plan.Orders, policy.Order{Action: policy.ActionStart, Pool: poolName, Zone: "a"})
	}
	for ; n > w.desired && len(live) > 0; n-- {
		plan.Orders = append(plan.Orders, policy.Order{Action: policy.ActionStop, Pool: poolName, Zone: "a", Server: live[0]})
		live = live[1:]
	}
	return plan
}

// Keep runs one tenure after the other.
func (w *world) Keep(ctx context.Context, name string, run func(context.Context, *lease.Tenure) error) error {
	for i := 1; i <= 12 && w.err == nil; i++ {
		w.calm = i == 12
		w.term++
		w.steps = 0
		tctx, cancel := context.WithCancel(ctx)
		w.cancel = cancel
		err := run(tctx, lease.NewTenure(name, w.term, w.now+clock.Hour*1000, w))
		cancel()
		if err != nil {
			return err
		}
	}
	return w.err
}

func (w *world) run() error {
	cfg := capacity.Config{Author: "e1", CycleMs: cycleMs, TimeoutMs: clock.Second, RetentionMs: clock.Hour, DrainMs: 24 * clock.Hour}
	r := capacity.New(cfg, w, w, w, w, w, w, logging.Discard())
	if err := r.Run(context.Background()); err != nil {
		return err
	}
	if n := w.running(); n != w.desired {
		return fmt.Errorf("%d servers in the end, %d desired", n, w.desired)
	}
	return nil
}
