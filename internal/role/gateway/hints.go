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
	// hintAge is how long a hint counts: readers send one with each read.
	hintAge = 1300 * clock.Millisecond
	// uncheckedEach is what each gateway adds to the time between two reads of a
	// topic by one that is told of changes, so that all of them together read once
	// in that time, and leastUnchecked that time at the least.
	uncheckedEach  = 1500 * clock.Millisecond
	leastUnchecked = 20 * clock.Second
	// maxHintBytes bounds the changes in a hint: of more, each gateway reads them
	// itself, once instead of from each reader.
	maxHintBytes = 6000
	// maxPendingHints bounds the hints that wait to be applied.
	maxPendingHints = 64
)

// hint tells what a reader of the store knows.
type hint struct {
	// Era is the one that the store is in.
	Era epoch.Epoch `json:"era"`
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

// toldList is what a reader told of its list: the digest, the time as of which it is
// the store's, by the own clock, and for how long the store had answered it.
type toldList struct {
	list         uint64
	asOf, steady clock.Millis
}

// newHint returns what a reader tells of the servers: the changes behind since,
// or, when there are too many, only that there are some.
func newHint(since, upTo epoch.Position, changes []Record) hint {
	size := 0
	for _, r := range changes {
		size += len(r.Key) + len(r.Value)
	}
	if size > maxHintBytes {
		return hint{Servers: upTo, Since: upTo}
	}
	return hint{Servers: upTo, Since: since, Changes: changes}
}

// hints are the last ones of other gateways. It is safe for concurrent use.
type hints struct {
	clock clock.Clock

	mu      sync.Mutex
	newest  hint // without changes
	pending []hint
	told    []toldList
	// remotes are the clocks of the others.
	remotes map[string]*clock.Remote
	atMs    clock.Millis
	// configMs is when a hint with a configuration came last.
	configMs clock.Millis
	// changed is closed with the next hint that tells something new, and came with
	// the next one of any kind.
	changed, came chan struct{}
}

func newHints(c clock.Clock) *hints {
	return &hints{clock: c, remotes: map[string]*clock.Remote{}, changed: make(chan struct{}), came: make(chan struct{})}
}

// greeted notes that a gateway has connected anew: its clock may be another one.
func (h *hints) greeted(from string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.remotes[from] = &clock.Remote{}
}

// place notes the list of a hint, if its age is known; mu is held.
func (h *hints) place(now clock.Millis, from string, m hint) {
	r := h.remotes[from]
	if r == nil || m.ReadMs == 0 {
		return
	}
	if m.Echo.GotMs != 0 {
		r.Echo(now, m.Echo.SentMs, m.Echo.GotMs)
	}
	if asOf, ok := r.Own(now, m.ReadMs); ok && len(h.told) < maxPendingHints {
		h.told = append(h.told, toldList{list: m.List, asOf: asOf, steady: m.SteadyMs})
	}
}

// lists takes what was told of lists since the last call.
func (h *hints) lists() []toldList {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := h.told
	h.told = nil
	return out
}

// next returns a channel that is closed with the next hint.
func (h *hints) next() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.came
}

// take takes in another gateway's hint.
func (h *hints) take(from string, m hint) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	h.place(now, from, m)
	close(h.came)
	h.came = make(chan struct{})
	first := h.atMs == 0 || now-h.atMs >= hintAge
	h.atMs = now
	if m.Config > 0 {
		h.configMs = now
	}
	if len(m.Changes) > 0 && len(h.pending) < maxPendingHints {
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
	h.newest.Era, h.newest.Gateways, h.newest.List = m.Era, m.Gateways, m.List
	if news {
		h.wakeLocked()
	}
}

// current returns what is known; ok is false when no reader told anything
// lately. The channel is closed with the next change.
func (h *hints) current() (newest hint, changed <-chan struct{}, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.newest, h.changed, h.atMs != 0 && h.clock.Now()-h.atMs < hintAge
}

// age returns how long ago a reader told something.
func (h *hints) age() clock.Millis {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.clock.Now() - h.atMs
}

// configAge returns how long ago a reader told the configuration in force.
func (h *hints) configAge() clock.Millis {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.clock.Now() - h.configMs
}

// serverChanges takes the changes that go on from a list as of a position, and
// returns the position that the list is at with them.
func (h *hints) serverChanges(asOf epoch.Position) ([]Record, epoch.Position) {
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
func (h *hints) wake() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wakeLocked()
}

func (h *hints) wakeLocked() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// patienceForHints is how long this gateway bears that no reader tells anything:
// the next reader is to take over before all others read by themselves.
func (g *Gateway) patienceForHints() clock.Millis {
	rank := g.board.rank(subjectReaders)
	if rank >= readers {
		return hintAge
	}
	return min(g.followTimes().ReadInterval*3/2+clock.Millis(rank)*standbyStep, hintAge)
}

// unchanged waits while readers tell that there is nothing new, for d at most,
// and reports whether that is so. The first reader, and a gateway that is told
// nothing or did not read for long, must read the store.
func (g *Gateway) unchanged(ctx context.Context, d, sinceRead clock.Millis, news func(h hint) bool) bool {
	h, changed, told := g.hints.current()
	age, patience := g.hints.age(), g.patienceForHints()
	unchecked := max(leastUnchecked, clock.Millis(g.live.Load())*uncheckedEach)
	if !told || g.board.rank(subjectReaders) == 0 || age > patience || news(h) || sinceRead > unchecked {
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
