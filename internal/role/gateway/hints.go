package gateway

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	// readers is the number of gateways that follow the store closely and tell
	// the others of changes; the others read when there is one.
	readers = 3
	// hintAge is how long a hint counts: readers send one with each read.
	hintAge = 1300 * clock.Millisecond
	// uncheckedMost is the most time between two reads of a gateway that is told
	// of changes.
	uncheckedMost = 4 * clock.Second
)

// hint tells what a reader of the store knows.
type hint struct {
	// Config is the version in force.
	Config int64 `json:"config"`
	// Servers is the offset of the last record that changed the list of servers.
	Servers int64 `json:"servers"`
}

// hints are the last ones of other gateways. It is safe for concurrent use.
type hints struct {
	clock clock.Clock

	mu      sync.Mutex
	newest  hint
	atMs    clock.Millis
	changed chan struct{}
}

func newHints(c clock.Clock) *hints {
	return &hints{clock: c, changed: make(chan struct{})}
}

// take takes in another gateway's hint.
func (h *hints) take(data json.RawMessage) error {
	var m hint
	if err := json.Unmarshal(data, &m); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.atMs = h.clock.Now()
	if m.Config > h.newest.Config || m.Servers > h.newest.Servers {
		h.newest.Config = max(h.newest.Config, m.Config)
		h.newest.Servers = max(h.newest.Servers, m.Servers)
		close(h.changed)
		h.changed = make(chan struct{})
	}
	return nil
}

// current returns what is known; ok is false when no reader told anything
// lately. The channel is closed with the next change.
func (h *hints) current() (newest hint, changed <-chan struct{}, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.newest, h.changed, h.atMs != 0 && h.clock.Now()-h.atMs < hintAge
}

// unchanged waits while readers tell that there is nothing new, for d at most,
// and reports whether that is so. A gateway that is a reader itself, or is told
// nothing, must read the store.
func (g *Gateway) unchanged(ctx context.Context, d clock.Millis, lastRead clock.Millis, news func(h hint) bool) bool {
	h, changed, told := g.hints.current()
	if !told || g.board.among(subjectReaders, readers) || news(h) || g.clock.Now()-lastRead > uncheckedMost {
		return false
	}
	wait, cancel := context.WithTimeout(ctx, d.Duration())
	defer cancel()
	select {
	case <-changed:
	case <-wait.Done():
	}
	return true
}
