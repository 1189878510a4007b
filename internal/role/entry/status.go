package entry

import (
	"context"
	"slices"
	"sync"

	"github.com/damaskport/damaskport/internal/operator/admin"
	"github.com/damaskport/damaskport/internal/peer/config"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// spreadTimeout bounds the wait for sidecars to confirm a configuration.
const spreadTimeout = clock.Second

// notice wakes everyone who waits for a change.
type notice struct {
	mu sync.Mutex
	ch chan struct{}
}

func newNotice() *notice { return &notice{ch: make(chan struct{})} }

// wait returns a channel that is closed at the next change.
func (n *notice) wait() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ch
}

func (n *notice) signal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.ch)
	n.ch = make(chan struct{})
}

// Spread tells every connected sidecar of the configuration and returns the
// number of those that confirmed at least the version in time.
func (e *Entry) Spread(ctx context.Context, version int64) int {
	ctx, cancel := context.WithTimeout(ctx, spreadTimeout.Duration())
	defer cancel()
	for {
		changed := e.confirmed.wait()
		have, of := 0, 0
		for _, p := range e.peers.all() {
			p.mu.Lock()
			if p.link != nil {
				of++
				if p.config.Number >= version {
					have++
				}
			}
			p.mu.Unlock()
		}
		if have == of {
			return have
		}
		select {
		case <-ctx.Done():
			return have
		case <-changed:
		}
	}
}

// Status returns the entry's view of itself and of the sidecars.
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

// ShowLeases sets where Status reads the leases of control duties. It must be
// called before Run.
func (e *Entry) ShowLeases(read func() []admin.LeaseStatus) { e.leaseStatus = read }

// stragglerRatio is the time per token against the pool's median from which a
// server is shown as a straggler.
const stragglerRatio = 1.5

// markStragglers compares each server's time per token with its pool's median.
func markStragglers(servers []admin.ServerStatus) {
	paces := map[string][]float64{}
	for _, s := range servers {
		paces[s.Pool] = append(paces[s.Pool], s.TokenMs)
	}
	for _, p := range paces {
		slices.Sort(p)
	}
	for i, s := range servers {
		p := paces[s.Pool]
		servers[i].Straggler = s.TokenMs > stragglerRatio*p[len(p)/2]
	}
}

func (e *Entry) lifecycle() string {
	if e.draining.Load() {
		return "leaving"
	}
	return "live"
}

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
