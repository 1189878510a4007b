package gateway

import (
	"context"
	"sync"

	"github.com/damaskport/damaskport/internal/peer/enginequeue"
	"github.com/damaskport/damaskport/internal/policy/listrefresh"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/epoch"
	"github.com/damaskport/damaskport/internal/state/evacuation"
	"github.com/damaskport/damaskport/internal/state/servers"
)

const (
	// storeReaders is the number of store readers: gateways that read the store and send
	// updates to all others. The first one reads at short intervals; the next ones take
	// over when no updates come from it.
	storeReaders = listrefresh.Readers
	// standbyDelayStep is by how much longer each further store reader waits for updates
	// before it takes over.
	standbyDelayStep = 150 * clock.Millisecond
	// updateLifetime is the age up to which an update counts as recent: store readers
	// send one after each read.
	updateLifetime = 1300 * clock.Millisecond
	// Bounds on the time for which a gateway relies on updates alone before it reads a
	// topic itself: unreadLimitPerGateway times the number of gateways, so that all of
	// them together read once in unreadLimitPerGateway, and at least minUnreadLimit.
	unreadLimitPerGateway = 1500 * clock.Millisecond
	minUnreadLimit        = 20 * clock.Second
	// maxUpdateBytes bounds the changes in an update. If there are more, each gateway
	// reads them from the store: it then receives them once, instead of once from each
	// store reader.
	maxUpdateBytes = 6000
	// maxPendingUpdates bounds the updates with changes, and the reported lists, that
	// wait to be applied. Further ones are dropped.
	maxPendingUpdates = 64
)

// storeUpdate is the message by which a store reader reports the state of the store.
type storeUpdate struct {
	// Epoch is the current store epoch.
	Epoch epoch.Epoch `json:"era"`
	// Config is the version of the configuration in force; 0 if the store has not
	// confirmed it recently. ConfigAt is the position of its record.
	Config   int64          `json:"config"`
	ConfigAt epoch.Position `json:"configAt"`
	// Zones is what the reader knows of evacuated zones, on the same condition; nil from an earlier
	// build.
	Zones *evacuation.View `json:"zones,omitempty"`
	// Servers is the position of the last record that changed the list of servers.
	Servers epoch.Position `json:"servers"`
	// Changes are the records after Since, up to and including Servers, that changed the
	// list of servers.
	Since   epoch.Position `json:"since"`
	Changes []Record       `json:"changes,omitempty"`
	// Partial is set if changes were left out because they exceed maxUpdateBytes, and some of them
	// may be warm-ups, which List leaves out: the receiver is to read the list, also if its digest
	// is List.
	Partial bool `json:"partial,omitempty"`
	// List is the digest of the servers that may take requests.
	List uint64 `json:"list"`
	// Gateways is the digest of the gateways and their addresses.
	Gateways uint64 `json:"gateways"`
	// Draining are the servers that recently sent a draining notice.
	Draining []servers.Key `json:"leaving,omitempty"`
	// ReadMs is when the read that returned List was sent, by the reader's steady clock,
	// and ReachableMs for how long the store has answered every read of the list.
	ReadMs      clock.Millis `json:"read"`
	ReachableMs clock.Millis `json:"steady,omitempty"`
	// Echo is the last heartbeat that the reader received from the gateway to which it
	// sends the update.
	Echo enginequeue.Echo `json:"echo"`
}

// reportedList is the list of servers that a store reader reported: its digest, the
// time as of which it was the store's, by this gateway's clock, and for how long the
// store had answered every read of the list.
type reportedList struct {
	list               uint64
	asOf, reachableFor clock.Millis
	partial            bool // see storeUpdate.Partial
}

// newStoreUpdate returns an update with the changes of the list of servers after
// since, up to upTo. If they exceed maxUpdateBytes, it only reports that the list has
// changed.
func newStoreUpdate(since, upTo epoch.Position, changes []Record) storeUpdate {
	size := 0
	for _, r := range changes {
		size += len(r.Key) + len(r.Value)
	}
	if size > maxUpdateBytes {
		return storeUpdate{Servers: upTo, Since: upTo, Partial: true}
	}
	return storeUpdate{Servers: upTo, Since: since, Changes: changes}
}

// storeUpdates holds what the updates of other gateways reported. It is safe for
// concurrent use.
type storeUpdates struct {
	clock clock.Clock

	mu       sync.Mutex
	newest   storeUpdate // the newest values of all updates, without Changes
	pending  []storeUpdate
	reported []reportedList
	// remotes converts times of the other gateways' clocks to this gateway's, by gateway
	// name.
	remotes map[string]*clock.Remote
	// lastUpdateMs is when the last update arrived, by the steady clock; 0 if none has.
	lastUpdateMs clock.Millis
	// lastConfigMs is when the last update with a configuration version arrived.
	lastConfigMs clock.Millis
	// lastZonesMs is when the last update that told of evacuated zones arrived.
	lastZonesMs clock.Millis
	// changed is closed by the next update that differs from newest or ends a time
	// without updates, and by wake; arrived, by the next update of any kind. A new
	// channel then takes its place.
	changed, arrived chan struct{}
}

func newStoreUpdates(c clock.Clock) *storeUpdates {
	return &storeUpdates{clock: c, remotes: map[string]*clock.Remote{}, changed: make(chan struct{}), arrived: make(chan struct{})}
}

// resetClock drops what is known of the clock of a gateway that has connected anew:
// it may be a new process, with another clock.
func (u *storeUpdates) resetClock(from string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.remotes[from] = &clock.Remote{}
}

// recordListLocked records the list reported in an update, if its age can be derived
// from the reader's clock; u.mu is held.
func (u *storeUpdates) recordListLocked(now clock.Millis, from string, m storeUpdate) {
	r := u.remotes[from]
	if r == nil || m.ReadMs == 0 {
		return
	}
	if m.Echo.GotMs != 0 {
		r.Echo(now, m.Echo.SentMs, m.Echo.GotMs)
	}
	if asOf, ok := r.Own(now, m.ReadMs); ok && len(u.reported) < maxPendingUpdates {
		u.reported = append(u.reported, reportedList{list: m.List, asOf: asOf, reachableFor: m.ReachableMs, partial: m.Partial})
	}
}

// takeLists returns the lists reported since the last call.
func (u *storeUpdates) takeLists() []reportedList {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := u.reported
	u.reported = nil
	return out
}

// nextUpdate returns a channel that is closed when the next update arrives.
func (u *storeUpdates) nextUpdate() <-chan struct{} {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.arrived
}

// receive records an update from another gateway, and wakes the tasks that wait for
// it.
func (u *storeUpdates) receive(from string, m storeUpdate) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.clock.Now()
	u.recordListLocked(now, from, m)
	close(u.arrived)
	u.arrived = make(chan struct{})
	first := u.lastUpdateMs == 0 || now-u.lastUpdateMs >= updateLifetime
	u.lastUpdateMs = now
	if m.Config > 0 {
		u.lastConfigMs = now
	}
	if m.Zones != nil {
		u.lastZonesMs = now
	}
	if len(m.Changes) > 0 && len(u.pending) < maxPendingUpdates {
		u.pending = append(u.pending, m)
	}
	newConfig := m.Config > u.newest.Config || m.Config == u.newest.Config && m.ConfigAt.After(u.newest.ConfigAt)
	newServers := m.Servers.After(u.newest.Servers)
	differs := first || newConfig || newServers || m.Gateways != u.newest.Gateways
	if newConfig {
		u.newest.Config, u.newest.ConfigAt = m.Config, m.ConfigAt
	}
	if newServers {
		u.newest.Servers = m.Servers
	}
	u.newest.Epoch, u.newest.Gateways, u.newest.List = m.Epoch, m.Gateways, m.List
	if differs {
		u.wakeLocked()
	}
}

// current returns the newest values of all updates; ok is false if none arrived
// within updateLifetime. The channel is closed by the next update that differs.
func (u *storeUpdates) current() (newest storeUpdate, changed <-chan struct{}, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.newest, u.changed, u.lastUpdateMs != 0 && u.clock.Now()-u.lastUpdateMs < updateLifetime
}

// age returns the time since the last update.
func (u *storeUpdates) age() clock.Millis {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.clock.Now() - u.lastUpdateMs
}

// configAge returns the time since the last update with a configuration version.
func (u *storeUpdates) configAge() clock.Millis {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.clock.Now() - u.lastConfigMs
}

// zonesAge returns the time since the last update that told of evacuated zones.
func (u *storeUpdates) zonesAge() clock.Millis {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.clock.Now() - u.lastZonesMs
}

// serverChanges takes the changes received since the last call. It returns those that
// continue, without a gap, a list as of position asOf, and the position of the list
// after them. The others are dropped.
func (u *storeUpdates) serverChanges(asOf epoch.Position) ([]Record, epoch.Position) {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []Record
	for _, p := range u.pending {
		if asOf.Reaches(p.Since) && p.Servers.Comparable(asOf) && p.Servers.After(asOf) {
			out = append(out, p.Changes...)
			asOf = p.Servers
		}
	}
	u.pending = nil
	return out, asOf
}

// wake wakes all tasks that wait on the channel of current, so that they check again
// whether to read the store.
func (u *storeUpdates) wake() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.wakeLocked()
}

func (u *storeUpdates) wakeLocked() {
	close(u.changed)
	u.changed = make(chan struct{})
}

// updateTimeout returns how long this gateway waits for updates before it reads the
// store itself. Store readers wait less, by their rank: the next one takes over
// before all other gateways read the store.
func (g *Gateway) updateTimeout() clock.Millis {
	rank := g.peers.rank(subjectReaders)
	if rank >= storeReaders {
		return updateLifetime
	}
	return min(g.followTimes().ReadInterval*3/2+clock.Millis(rank)*standbyDelayStep, updateLifetime)
}

// waitUnchanged reports whether the caller can rely on updates instead of reading the
// store. If so, it first waits for an update that differs, for at most d; the caller
// is to call it again. It returns false at once for the first store reader, and if no
// update arrived within updateTimeout, needsRead reports that the last one requires a
// read, or the caller's last read, sinceRead ago, is too old.
func (g *Gateway) waitUnchanged(ctx context.Context, d, sinceRead clock.Millis, needsRead func(u storeUpdate) bool) bool {
	newest, changed, recent := g.updates.current()
	age, timeout := g.updates.age(), g.updateTimeout()
	unreadLimit := max(minUnreadLimit, clock.Millis(g.gatewayCount.Load())*unreadLimitPerGateway)
	if !recent || g.peers.rank(subjectReaders) == 0 || age > timeout || needsRead(newest) || sinceRead > unreadLimit {
		return false
	}
	wait, cancel := context.WithTimeout(ctx, min(d, timeout-age+1).Duration())
	defer cancel()
	select {
	case <-changed:
	case <-wait.Done():
	}
	return true
}
