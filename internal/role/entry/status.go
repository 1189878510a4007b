package entry

import (
	"context"
	"slices"
	"sync"

	"github.com/damaskport/damaskport/internal/operator/admin"
	"github.com/damaskport/damaskport/internal/peer/config"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// confirmTimeout bounds the wait for sidecars to confirm a configuration.
const confirmTimeout = clock.Second

// changeNotifier wakes all waiting goroutines when something has changed.
type changeNotifier struct {
	mu sync.Mutex
	ch chan struct{}
}

func newChangeNotifier() *changeNotifier { return &changeNotifier{ch: make(chan struct{})} }

// wait returns a channel that is closed at the next change.
func (n *changeNotifier) wait() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ch
}

// signal wakes all goroutines that wait for a change.
func (n *changeNotifier) signal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.ch)
	n.ch = make(chan struct{})
}

// Spread waits until all connected sidecars have reported the configuration version
// or a later one, at most confirmTimeout, and returns the number of those that
// have.
func (e *Entry) Spread(ctx context.Context, version int64) int {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout.Duration())
	defer cancel()
	for {
		changed := e.configReported.wait()
		confirmed, connected := 0, 0
		for _, p := range e.peers.all() {
			p.mu.Lock()
			if p.link != nil {
				connected++
				if p.config.Number >= version {
					confirmed++
				}
			}
			p.mu.Unlock()
		}
		if confirmed == connected {
			return confirmed
		}
		select {
		case <-ctx.Done():
			return confirmed
		case <-changed:
		}
	}
}

// Status returns the entry's own status and its view of the sidecars to which it
// connects.
func (e *Entry) Status() admin.Status {
	st := admin.Status{Name: e.name, Zone: e.zone, Config: e.store.Version(), Ready: true, LogAgeMs: -1}
	if err := e.Ready(); err != nil {
		st.Ready, st.Reason = false, err.Error()
	}
	if at := e.logRead(); at > 0 {
		st.LogAgeMs = e.clock.Now() - at
	}
	st.Instances = append(st.Instances, admin.InstanceStatus{
		Name: e.name, Role: "entry", Zone: e.zone, State: e.lifecycle(), Version: st.Config.Number,
	})
	for _, p := range e.peers.all() {
		in, server := p.status()
		st.Instances = append(st.Instances, in)
		st.Servers = append(st.Servers, server)
	}
	markStragglers(st.Servers)
	if e.leaseStatus != nil {
		st.Leases = e.leaseStatus()
	}
	depths := e.waitQueue.depths()
	for _, c := range e.store.Current().Classes() {
		k := e.metrics.class(c.Name)
		st.Classes = append(st.Classes, admin.ClassStatus{
			Name: c.Name, Tier: c.Tier, Waiting: depths[c.Tier], Running: int(k.running.Load()),
			Shed: k.shed.Load(), Attainment: k.attainment(),
		})
	}
	return st
}

// ShowLeases sets the function from which Status reads the leases of the control
// tasks. It must be called before Run.
func (e *Entry) ShowLeases(read func() []admin.LeaseStatus) { e.leaseStatus = read }

// stragglerRatio is the time per token, relative to the median of the pool, above
// which Status marks a server as a straggler.
const stragglerRatio = 1.5

// markStragglers sets Straggler by comparing the time per token of each server with
// the median of its pool.
func markStragglers(servers []admin.ServerStatus) {
	tokenMsByPool := map[string][]float64{}
	for _, s := range servers {
		tokenMsByPool[s.Pool] = append(tokenMsByPool[s.Pool], s.TokenMs)
	}
	for _, p := range tokenMsByPool {
		slices.Sort(p)
	}
	for i, s := range servers {
		p := tokenMsByPool[s.Pool]
		servers[i].Straggler = s.TokenMs > stragglerRatio*p[len(p)/2]
	}
}

// lifecycle returns the state of the entry as Status reports it.
func (e *Entry) lifecycle() string {
	if e.draining.Load() {
		return "leaving"
	}
	return "live"
}

// status returns the status of the sidecar and of its backend server.
func (p *peer) status() (admin.InstanceStatus, admin.ServerStatus) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := "live"
	switch {
	case p.link == nil:
		state = "unreachable"
	case p.leaving || p.listedLeaving.Load():
		state = "leaving"
	}
	waiting := 0
	for _, n := range p.load.Waiting {
		waiting += n
	}
	return admin.InstanceStatus{Name: p.instance.Name, Role: "sidecar", Zone: p.instance.Zone, State: state, Version: p.config.Number,
			Diverged: p.e.store.Compare(p.config) == config.Diverged},
		admin.ServerStatus{
			Name: p.instance.Name, Pool: p.instance.Pool, Zone: p.instance.Zone, State: state,
			Slots: p.hello.Slots, Running: p.load.Running, Waiting: waiting, TokenMs: p.load.TokenMs,
		}
}
