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
	// minListInterval and maxListInterval bound the time between two reads of the
	// list.
	minListInterval = 500 * clock.Millisecond
	maxListInterval = 2 * clock.Second
	// listIntervalPerInstance times the number of listed instances is the time
	// between two reads, within these bounds, since longer lists cost more to read.
	listIntervalPerInstance = clock.Millisecond
	// minHeartbeatInterval and maxHeartbeatInterval bound the heartbeat interval.
	minHeartbeatInterval = 500 * clock.Millisecond
	maxHeartbeatInterval = 8 * clock.Second
	// heartbeatBytes is the size on the network of a heartbeat and its answer, which
	// carries a load.
	heartbeatBytes = 192
	// heartbeatBudget is the network bandwidth that all heartbeats of an entry may
	// use, in bytes per second.
	heartbeatBudget = 1536
	// missingTimeout is how long an instance must be missing from the list before the
	// connection to it is closed.
	missingTimeout = 10 * clock.Second
)

// InstanceLister reads the platform's list of instances.
type InstanceLister interface {
	// List returns the current list.
	List(ctx context.Context) (membership.List, error)
}

// peers keeps connections to a subset of the sidecars that the platform lists.
type peers struct {
	e      *Entry
	lister InstanceLister
	// mu guards byName and pools. It may be locked while the router's lock is held;
	// the reverse order would deadlock.
	mu     sync.RWMutex
	byName map[string]*member
	// pools holds the usable sidecars by pool; see peer.usable.
	pools map[string][]*peer
	// wanted is the part of list to which the entry connects, computed with the
	// configuration version. Only reconcile uses these three fields.
	list    []membership.Instance
	version int64
	wanted  []membership.Instance
	// services is the number of servers of plain services in the list.
	services atomic.Int64
	// servers is the number of all backend servers in the list.
	servers atomic.Int64
}

// member is a sidecar to which the entry connects; lastWantedMs is when it was last
// wanted.
type member struct {
	peer         *peer
	stop         context.CancelFunc
	lastWantedMs clock.Millis
}

func newPeers(e *Entry, l InstanceLister) *peers {
	return &peers{e: e, lister: l, byName: map[string]*member{}, pools: map[string][]*peer{}}
}

// listInterval returns the time to wait before reading a list of n instances again.
func listInterval(n int) clock.Millis {
	return min(max(clock.Millis(n)*listIntervalPerInstance, minListInterval), maxListInterval)
}

// Run reads the list periodically and adjusts the connections to it, until ctx ends.
// Connections stay as they are while the list cannot be read.
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
		_ = ps.e.clock.Sleep(ctx, listInterval(len(list.Instances)))
	}
	return nil
}

// reconcile starts and stops connections so that they match the list.
func (ps *peers) reconcile(ctx context.Context, list membership.List, wg *sync.WaitGroup) {
	now := ps.e.clock.Now()
	// The subset depends on the configuration too, which tells the pools of plain
	// services.
	version := ps.e.store.Current().Version()
	if version != ps.version || !slices.Equal(ps.list, list.Instances) {
		ps.version, ps.list = version, list.Instances
		ps.wanted = ps.subset(list)
	}
	for _, p := range ps.connect(ctx, now, wg) {
		p.updateRouter()
		p.sendHeartbeatNow()
	}
	ps.rebuildPools()
}

// connect starts connections to the wanted instances and stops those that have not
// been wanted for missingTimeout. It returns the peers whose leaving state in the
// list has changed; the caller reports them to the router after mu is unlocked,
// because the router locks mu while it holds its own lock.
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
		m.lastWantedMs = now
		if m.peer.markLeaving(in.State == membership.StateLeaving) {
			changed = append(changed, m.peer)
		}
	}
	for name, m := range ps.byName {
		if now-m.lastWantedMs > missingTimeout {
			m.stop()
			delete(ps.byName, name)
		}
	}
	return changed
}

// markLeaving stores whether the platform lists the server as leaving, and reports
// whether this has changed.
func (p *peer) markLeaving(leaving bool) bool {
	if p.listedLeaving.Swap(leaving) == leaving {
		return false
	}
	p.e.log.WithFields(logrus.Fields{"event": "listedLeaving", "peer": p.instance.Name, "leaving": leaving}).Info("leaving state of the server changed in the list of instances")
	return true
}

// start begins to connect to the sidecar of an instance. The caller must hold mu.
func (ps *peers) start(ctx context.Context, in membership.Instance, wg *sync.WaitGroup) *member {
	ctx, stop := context.WithCancel(ctx)
	p := &peer{e: ps.e, instance: in}
	m := &member{peer: p, stop: stop}
	ps.byName[in.Name] = m
	tree := supervise.New("peer/"+in.Name, ps.e.log, ps.e.clock)
	wg.Go(func() { _ = tree.Run(ctx, supervise.Task{Name: "connection", Run: p.run}) })
	return m
}

// subset returns the backend servers to which this entry connects, and counts all
// backend servers and those of plain services.
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

// rebuildPools rebuilds pools after a sidecar has become usable or unusable.
func (ps *peers) rebuildPools() {
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

// pool returns the usable sidecars of a pool. The caller must not modify the slice.
func (ps *peers) pool(name string) []*peer {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	return ps.pools[name]
}

// all returns the sidecars to which the entry connects, including those that are
// currently unreachable.
func (ps *peers) all() []*peer {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	out := make([]*peer, 0, len(ps.byName))
	for _, m := range ps.byName {
		out = append(out, m.peer)
	}
	return out
}

// heartbeatInterval returns the interval between heartbeats on one connection. It
// grows with the number of connections to keep all heartbeats within
// heartbeatBudget.
func (ps *peers) heartbeatInterval() clock.Millis {
	ps.mu.RLock()
	n := len(ps.byName)
	ps.mu.RUnlock()
	byBudget := clock.Millis(n*heartbeatBytes) * clock.Second / heartbeatBudget
	return min(max(byBudget, minHeartbeatInterval), maxHeartbeatInterval)
}

// Connected returns the number of usable sidecars; see peer.usable.
func (e *Entry) Connected() int {
	e.peers.mu.RLock()
	defer e.peers.mu.RUnlock()
	n := 0
	for _, ps := range e.peers.pools {
		n += len(ps)
	}
	return n
}
