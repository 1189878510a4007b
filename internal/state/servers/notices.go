package servers

import (
	"cmp"
	"maps"
	"slices"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	// MaxBackOff is the longest back-off that a server can request. A longer one is
	// more likely a fault than intended, and is shortened to MaxBackOff.
	MaxBackOff = 10 * 60 * clock.Second
	// unlistedKeepMs is how long the draining notice of a server is kept after the
	// server disappeared from the list: far longer than LapsedKeepMs.
	unlistedKeepMs = 10 * 60 * clock.Second
)

// Notices holds the notices that servers sent in their answers, to this gateway or
// to another one that forwarded them: draining (the server shuts down) and back-off
// (send no requests for some time). A notice applies to one start of a server and
// overrides the server list for it; after a restart of the server it is void.
//
// Notices has a single owner and is not safe for concurrent use.
type Notices struct {
	draining map[string]drainNotice
	backOffs map[Key]clock.Millis
}

type drainNotice struct {
	start  int64
	seenMs clock.Millis // when the notice arrived or the server was last listed
}

// NewNotices returns empty Notices.
func NewNotices() *Notices {
	return &Notices{draining: map[string]drainNotice{}, backOffs: map[Key]clock.Millis{}}
}

// MarkDraining records that a server drains, and reports whether that was not known yet.
func (n *Notices) MarkDraining(now clock.Millis, k Key) bool {
	old, ok := n.draining[k.ID]
	if ok && k.Start <= old.start {
		return false
	}
	n.draining[k.ID] = drainNotice{k.Start, now}
	return true
}

// Draining reports whether the server sent a draining notice in this start or a later one.
func (n *Notices) Draining(k Key) bool {
	l, ok := n.draining[k.ID]
	return ok && k.Start <= l.start
}

// DrainingServers returns the servers that sent a draining notice, most recently seen first.
func (n *Notices) DrainingServers() []Key {
	ids := slices.SortedFunc(maps.Keys(n.draining), func(a, b string) int {
		return cmp.Or(cmp.Compare(n.draining[b].seenMs, n.draining[a].seenMs), cmp.Compare(a, b))
	})
	out := make([]Key, 0, len(ids))
	for _, id := range ids {
		out = append(out, Key{id, n.draining[id].start})
	}
	return out
}

// BackOff records that a server asked for a back-off of d from now on, and returns
// when the back-off ends. A later notice never shortens an earlier one.
func (n *Notices) BackOff(now clock.Millis, k Key, d clock.Millis) clock.Millis {
	n.backOffs[k] = max(n.backOffs[k], now+min(d, MaxBackOff))
	return n.backOffs[k]
}

// BackOffUntil returns when the back-off of a server ends; 0 or a time in the past
// if there is none.
func (n *Notices) BackOffUntil(k Key) clock.Millis { return n.backOffs[k] }

// Sweep drops the back-offs that have ended, and the draining notices of servers
// that have not been listed for unlistedKeepMs.
func (n *Notices) Sweep(now clock.Millis, listed func(id string) bool) {
	for k, until := range n.backOffs {
		if now >= until {
			delete(n.backOffs, k)
		}
	}
	for id, l := range n.draining {
		switch {
		case listed(id):
			l.seenMs = now
			n.draining[id] = l
		case now-l.seenMs > unlistedKeepMs:
			delete(n.draining, id)
		}
	}
}
