package servers

import (
	"cmp"
	"maps"
	"slices"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	// MaxPause bounds the time for which a server is left alone on its own word: a
	// longer one is more likely a fault than meant.
	MaxPause = 10 * 60 * clock.Second
	// unlistedMs is how long the word of a server is kept that no list names: far
	// longer than a lapsed entry may be missing.
	unlistedMs = 10 * 60 * clock.Second
)

// Notices are what servers said of themselves in their answers, or other
// gateways heard from them: that they leave, and that they want nothing for a
// while. They hold for one start of a server, whatever a list says of that
// start; a later start knows nothing of them.
//
// Notices has a single owner and is not safe for concurrent use.
type Notices struct {
	left   map[string]leftAt
	pauses map[Key]clock.Millis
}

type leftAt struct {
	start  int64
	seenMs clock.Millis // when it was noted or listed last
}

// NewNotices returns Notices of no server.
func NewNotices() *Notices {
	return &Notices{left: map[string]leftAt{}, pauses: map[Key]clock.Millis{}}
}

// Leave notes that a server leaves, and reports whether that is new.
func (n *Notices) Leave(now clock.Millis, k Key) bool {
	old, ok := n.left[k.ID]
	if ok && k.Start <= old.start {
		return false
	}
	n.left[k.ID] = leftAt{k.Start, now}
	return true
}

// Left reports whether the server leaves under this start or left before.
func (n *Notices) Left(k Key) bool {
	l, ok := n.left[k.ID]
	return ok && k.Start <= l.start
}

// Leaving returns the servers that leave, the ones that were seen last first.
func (n *Notices) Leaving() []Key {
	ids := slices.SortedFunc(maps.Keys(n.left), func(a, b string) int {
		return cmp.Or(cmp.Compare(n.left[b].seenMs, n.left[a].seenMs), cmp.Compare(a, b))
	})
	out := make([]Key, 0, len(ids))
	for _, id := range ids {
		out = append(out, Key{id, n.left[id].start})
	}
	return out
}

// Pause notes that a server wants nothing for d, and returns until when. A
// later word never shortens an earlier one.
func (n *Notices) Pause(now clock.Millis, k Key, d clock.Millis) clock.Millis {
	n.pauses[k] = max(n.pauses[k], now+min(d, MaxPause))
	return n.pauses[k]
}

// PausedUntil returns when the server takes requests again; 0 or a time that is
// over for one that does now.
func (n *Notices) PausedUntil(k Key) clock.Millis { return n.pauses[k] }

// Sweep drops what is over, and the word of servers that were not listed for long.
func (n *Notices) Sweep(now clock.Millis, listed func(id string) bool) {
	for k, until := range n.pauses {
		if now >= until {
			delete(n.pauses, k)
		}
	}
	for id, l := range n.left {
		switch {
		case listed(id):
			l.seenMs = now
			n.left[id] = l
		case now-l.seenMs > unlistedMs:
			delete(n.left, id)
		}
	}
}
