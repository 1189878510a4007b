package entry

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/platform/membership"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/supervise"
	"github.com/damaskport/damaskport/internal/state/directory"
)

const (
	listEvery    = 500 * clock.Millisecond
	maxListEvery = 2 * clock.Second
	// listPerInstance is added to the time between two reads for each instance.
	listPerInstance = clock.Millisecond
	minHeartbeat    = 500 * clock.Millisecond
	maxHeartbeat    = 8 * clock.Second
	// heartbeatBytes is the size of a heartbeat and its answer with a load.
	heartbeatBytes = 192
	// heartbeatBudget is the rate at which an entry's heartbeats may use the
	// network, in bytes per second.
	heartbeatBudget = 1536
	// forgetAfter is how long an instance must be missing from the list
	// before its connection is closed.
	forgetAfter = 10 * clock.Second
)

// InstanceLister reads the platform's list of instances.
type InstanceLister interface {
	List(ctx context.Context) (membership.List, error)
}

// peers keeps connections to the sidecars that the platform lists.
type peers struct {
	e      *Entry
	lister InstanceLister
	// mu is taken inside the router's lock, never around it.
	mu     sync.RWMutex
	byName map[string]*member
	// pools holds the connected sidecars by pool.
	pools map[string][]*peer
	// wanted is the subset of list, at a configuration version, to which the
	// entry connects. Only reconcile uses these.
	list    []membership.Instance
	version int64
	wanted  []membership.Instance
	// services is the number of plain services in the list.
	services atomic.Int64
	// servers is the number of all backend servers in the list.
	servers atomic.Int64
}

type member struct {
	peer   *peer
	stop   context.CancelFunc
	seenAt clock.Millis
}

func newPeers(e *Entry, l InstanceLister) *peers {
	return &peers{e: e, lister: l, byName: map[string]*member{}, pools: map[string][]*peer{}}
}

// listPause returns the time until the next read of a list of n instances.
func listPause(n int) clock.Millis {
	return min(max(clock.Millis(n)*listPerInstance, listEvery), maxListEvery)
}

// Run follows the list until ctx ends.
func (ps *peers) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		list, err := ps.lister.List(ctx)
		switch {
		case err == nil:
			ps.reconcile(ctx, list, &wg)
		case ctx.Err() == nil:
			ps.e.log.WithField("event", "listUnavailable").Warn(err)
		}
		_ = ps.e.clock.Sleep(ctx, listPause(len(list.Instances)))
	}
	return nil
}

// reconcile starts and stops connections so that they match the list.
func (ps *peers) reconcile(ctx context.Context, list membership.List, wg *sync.WaitGroup) {
	now := ps.e.clock.Now()
	// Which pools hold plain services is read from the configuration.
	version := ps.e.store.Current().Version()
	if version != ps.version || !slices.Equal(ps.list, list.Instances) {
		ps.version, ps.list = version, list.Instances
		ps.wanted = ps.subset(list)
	}
	for _, p := range ps.connect(ctx, now, wg) {
		p.report()
		p.beatNow()
	}
	ps.changed()
}

// connect starts and stops connections, and returns the peers that the list
// now calls leaving, or no longer does. They are told of it without mu, which
// the router takes inside its own lock.
func (ps *peers) connect(ctx context.Context, now clock.Millis, wg *sync.WaitGroup) []*peer {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	var changed []*peer
	for _, in := range ps.wanted {
		m := ps.byName[in.Name]
		if m != nil && m.peer.instance.Address != in.Address {
			m.stop()
			m = nil
		}
		if m == nil {
			m = ps.start(ctx, in, wg)
		}
		m.seenAt = now
		if m.peer.markLeaving(in.State == membership.StateLeaving) {
			changed = append(changed, m.peer)
		}
	}
	for name, m := range ps.byName {
		if now-m.seenAt > forgetAfter {
			m.stop()
			delete(ps.byName, name)
		}
	}
	return changed
}

// markLeaving notes what the list says and reports whether it is new.
func (p *peer) markLeaving(leaving bool) bool {
	if p.listedLeaving.Swap(leaving) == leaving {
		return false
	}
	p.e.log.WithFields(logrus.Fields{"event": "listedLeaving", "peer": p.instance.Name, "leaving": leaving}).Info("list changed")
	return true
}

func (ps *peers) start(ctx context.Context, in membership.Instance, wg *sync.WaitGroup) *member {
	ctx, stop := context.WithCancel(ctx)
	p := &peer{e: ps.e, instance: in}
	m := &member{peer: p, stop: stop}
	ps.byName[in.Name] = m
	tree := supervise.New("peer/"+in.Name, ps.e.log, ps.e.clock)
	wg.Go(func() { _ = tree.Run(ctx, supervise.Task{Name: "connection", Run: p.run}) })
	return m
}

// subset returns the instances to which this entry connects.
func (ps *peers) subset(list membership.List) []membership.Instance {
	byPool := map[string][]membership.Instance{}
	services, servers := 0, 0
	entries := []string{ps.e.name}
	for _, in := range list.Instances {
		if in.Role == membership.RoleBackend {
			byPool[in.Pool] = append(byPool[in.Pool], in)
			servers++
			if p, ok := ps.e.store.Current().Pool(in.Pool); ok && p.Kind == directory.PoolService {
				services++
			}
		} else if in.Name != ps.e.name {
			entries = append(entries, in.Name)
		}
	}
	ps.services.Store(int64(services))
	ps.servers.Store(int64(servers))
	var out []membership.Instance
	for _, members := range byPool {
		out = append(out, ps.e.router.subset(entries, members)...)
	}
	return out
}

// changed rebuilds the views of connected sidecars.
func (ps *peers) changed() {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	pools := map[string][]*peer{}
	for _, m := range ps.byName {
		p := m.peer
		p.mu.Lock()
		usable := p.usable()
		pool := p.hello.Pool
		p.mu.Unlock()
		if usable {
			pools[pool] = append(pools[pool], p)
		}
	}
	ps.pools = pools
}

// pool returns the connected sidecars of a pool.
func (ps *peers) pool(name string) []*peer {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	return ps.pools[name]
}

// all returns the sidecars to which the entry connects.
func (ps *peers) all() []*peer {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	out := make([]*peer, 0, len(ps.byName))
	for _, m := range ps.byName {
		out = append(out, m.peer)
	}
	return out
}

// heartbeatEvery returns the time between heartbeats on one connection: it
// grows with the number of connections, so that the entry stays in its budget.
func (ps *peers) heartbeatEvery() clock.Millis {
	ps.mu.RLock()
	n := len(ps.byName)
	ps.mu.RUnlock()
	byBudget := clock.Millis(n*heartbeatBytes) * clock.Second / heartbeatBudget
	return min(max(byBudget, minHeartbeat), maxHeartbeat)
}

// Connected returns the number of sidecars that can be used.
func (e *Entry) Connected() int {
	e.peers.mu.RLock()
	defer e.peers.mu.RUnlock()
	n := 0
	for _, ps := range e.peers.pools {
		n += len(ps)
	}
	return n
}
