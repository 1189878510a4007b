package gateway

import (
	"context"
	"sync"

	"github.com/damaskport/damaskport/internal/peer/enginequeue"
	"github.com/damaskport/damaskport/internal/policy/listrefresh"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/epoch"
	"github.com/damaskport/damaskport/internal/state/servers"
)

const (
	// readers is the number of gateways that tell the others of the store: the
	// first one follows it closely, the next ones take over when it tells nothing.
	readers = listrefresh.Readers
	// standbyStep is by how much longer each further reader bears silence.
	standbyStep = 150 * clock.Millisecond
	// updateLifetime is how long a hint counts: readers send one with each read.
	updateLifetime = 1300 * clock.Millisecond
	// maxUnreadPerGateway is what each gateway adds to the time between two reads of a
	// topic by one that is told of changes, so that all of them together read once
	// in that time, and minMaxUnread that time at the least.
	maxUnreadPerGateway = 1500 * clock.Millisecond
	minMaxUnread        = 20 * clock.Second
	// maxUpdateBytes bounds the changes in a hint: of more, each gateway reads them
	// itself, once instead of from each reader.
	maxUpdateBytes = 6000
	// maxPendingUpdates bounds the hints that wait to be applied.
	maxPendingUpdates = 64
)

// storeUpdate tells what a reader of the store knows.
type storeUpdate struct {
	// Epoch is the one that the store is in.
	Epoch epoch.Epoch `json:"era"`
	// Config is the version in force; 0 if the store did not confirm it lately.
	// ConfigAt is where it stands.
	Config   int64          `json:"config"`
	ConfigAt epoch.Position `json:"configAt"`
	// Servers is the position of the last record that changed the list of servers.
	Servers epoch.Position `json:"servers"`
	// Changes are the records behind Since, up to Servers, that changed it.
	Since   epoch.Position `json:"since"`
	Changes []Record       `json:"changes,omitempty"`
	// List is the digest of the servers that may take requests.
	List uint64 `json:"list"`
	// Gateways is the digest of the gateways and their addresses.
	Gateways uint64 `json:"gateways"`
	// Leaving are servers that said of late that they leave.
	Leaving []servers.Key `json:"leaving,omitempty"`
	// ReadMs is when the read was sent whose answer List is, by the reader's clock,
	// and SteadyMs for how long the store has answered each one.
	ReadMs   clock.Millis `json:"read"`
	SteadyMs clock.Millis `json:"steady,omitempty"`
	// Echo is the last beat that the reader had of the gateway that it tells.
	Echo enginequeue.Echo `json:"echo"`
}

// reportedList is what a reader told of its list: the digest, the time as of which it is
// the store's, by the own clock, and for how long the store had answered it.
type reportedList struct {
	list         uint64
	asOf, steady clock.Millis
}

// newStoreUpdate returns what a reader tells of the servers: the changes behind since,
// or, when there are too many, only that there are some.
func newStoreUpdate(since, upTo epoch.Position, changes []Record) storeUpdate {
	size := 0
	for _, r := range changes {
		size += len(r.Key) + len(r.Value)
	}
	if size > maxUpdateBytes {
		return storeUpdate{Servers: upTo, Since: upTo}
	}
	return storeUpdate{Servers: upTo, Since: since, Changes: changes}
}

// storeUpdates are the last ones of other gateways. It is safe for concurrent use.
type storeUpdates struct {
	clock clock.Clock

	mu       sync.Mutex
	newest   storeUpdate // without changes
	pending  []storeUpdate
	reported []reportedList
	// remotes are the clocks of the others.
	remotes map[string]*clock.Remote
	atMs    clock.Millis
	// configMs is when a hint with a configuration came last.
	configMs clock.Millis
	// changed is closed with the next hint that tells something new, and came with
	// the next one of any kind.
	changed, arrived chan struct{}
}

func newStoreUpdates(c clock.Clock) *storeUpdates {
	return &storeUpdates{clock: c, remotes: map[string]*clock.Remote{}, changed: make(chan struct{}), arrived: make(chan struct{})}
}

// resetClock notes that a gateway has connected anew: its clock may be another one.
func (h *storeUpdates) resetClock(from string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.remotes[from] = &clock.Remote{}
}

// recordListLocked notes the list of a hint, if its age is known; mu is held.
func (h *storeUpdates) recordListLocked(now clock.Millis, from string, m storeUpdate) {
	r := h.remotes[from]
	if r == nil || m.ReadMs == 0 {
		return
	}
	if m.Echo.GotMs != 0 {
		r.Echo(now, m.Echo.SentMs, m.Echo.GotMs)
	}
	if asOf, ok := r.Own(now, m.ReadMs); ok && len(h.reported) < maxPendingUpdates {
		h.reported = append(h.reported, reportedList{list: m.List, asOf: asOf, steady: m.SteadyMs})
	}
}

// takeLists takes what was told of lists since the last call.
func (h *storeUpdates) takeLists() []reportedList {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := h.reported
	h.reported = nil
	return out
}

// next returns a channel that is closed with the next hint.
func (h *storeUpdates) next() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.arrived
}

// receive takes in another gateway's hint.
func (h *storeUpdates) receive(from string, m storeUpdate) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	h.recordListLocked(now, from, m)
	close(h.arrived)
	h.arrived = make(chan struct{})
	first := h.atMs == 0 || now-h.atMs >= updateLifetime
	h.atMs = now
	if m.Config > 0 {
		h.configMs = now
	}
	if len(m.Changes) > 0 && len(h.pending) < maxPendingUpdates {
		h.pending = append(h.pending, m)
	}
	config := m.Config > h.newest.Config || m.Config == h.newest.Config && m.ConfigAt.After(h.newest.ConfigAt)
	servers := m.Servers.After(h.newest.Servers)
	news := first || config || servers || m.Gateways != h.newest.Gateways
	if config {
		h.newest.Config, h.newest.ConfigAt = m.Config, m.ConfigAt
	}
	if servers {
		h.newest.Servers = m.Servers
	}
	h.newest.Epoch, h.newest.Gateways, h.newest.List = m.Epoch, m.Gateways, m.List
	if news {
		h.wakeLocked()
	}
}

// current returns what is known; ok is false when no reader told anything
// lately. The channel is closed with the next change.
func (h *storeUpdates) current() (newest storeUpdate, changed <-chan struct{}, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.newest, h.changed, h.atMs != 0 && h.clock.Now()-h.atMs < updateLifetime
}

// age returns how long ago a reader told something.
func (h *storeUpdates) age() clock.Millis {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.clock.Now() - h.atMs
}

// configAge returns how long ago a reader told the configuration in force.
func (h *storeUpdates) configAge() clock.Millis {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.clock.Now() - h.configMs
}

// serverChanges takes the changes that go on from a list as of a position, and
// returns the position that the list is at with them.
func (h *storeUpdates) serverChanges(asOf epoch.Position) ([]Record, epoch.Position) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []Record
	for _, p := range h.pending {
		if asOf.Reaches(p.Since) && p.Servers.Comparable(asOf) && p.Servers.After(asOf) {
			out = append(out, p.Changes...)
			asOf = p.Servers
		}
	}
	h.pending = nil
	return out, asOf
}

// wake has all that wait for hints look again.
func (h *storeUpdates) wake() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wakeLocked()
}

func (h *storeUpdates) wakeLocked() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// updateTimeout is how long this gateway bears that no reader tells anything:
// the next reader is to take over before all others read by themselves.
func (g *Gateway) updateTimeout() clock.Millis {
	rank := g.peers.rank(subjectReaders)
	if rank >= readers {
		return updateLifetime
	}
	return min(g.followTimes().ReadInterval*3/2+clock.Millis(rank)*standbyStep, updateLifetime)
}

// waitUnchanged waits while readers tell that there is nothing new, for d at most,
// and reports whether that is so. The first reader, and a gateway that is told
// nothing or did not read for long, must read the store.
func (g *Gateway) waitUnchanged(ctx context.Context, d, sinceRead clock.Millis, news func(h storeUpdate) bool) bool {
	h, changed, told := g.updates.current()
	age, patience := g.updates.age(), g.updateTimeout()
	unchecked := max(minMaxUnread, clock.Millis(g.gatewayCount.Load())*maxUnreadPerGateway)
	if !told || g.peers.rank(subjectReaders) == 0 || age > patience || news(h) || sinceRead > unchecked {
		return false
	}
	wait, cancel := context.WithTimeout(ctx, min(d, patience-age+1).Duration())
	defer cancel()
	select {
	case <-changed:
	case <-wait.Done():
	}
	return true
}
