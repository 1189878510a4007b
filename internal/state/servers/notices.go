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
	// server disappeared from the server list. It is far longer than LapsedKeepMs, the
	// time in which a running server registers again after an outage of the store.
	unlistedKeepMs = 10 * 60 * clock.Second
)

// Notices holds the notices that servers sent in their answers to requests, to this
// gateway or to another one that forwarded them. A draining notice means that the
// server shuts down, and a back-off notice that it wants no requests for some time. A
// notice applies to one start of a server and takes precedence over the server list; it
// is void after a restart of the server.
//
// Notices has a single owner and is not safe for concurrent use. The current time is
// passed as an argument, by the monotonic clock.
type Notices struct {
	draining map[string]drainNotice
	backOffs map[Key]clock.Millis
	// unproved are the notices by server of which it is not known which start sent them.
	unproved map[string][]Unproved
}

// Unproved is a notice on a connection that was opened after the list of servers was read: it may
// come from a later start than the listed one.
type Unproved struct {
	NeededMs clock.Millis // as of when a list shows which start sent the notice
	SentMs   clock.Millis // when the notice arrived, in Unix ms
	Draining bool
	// BackOffUntilMs is the end of the back-off that the server asked for; 0 for none.
	BackOffUntilMs clock.Millis
}

// mayBeOf reports whether a start, in Unix ms, may have sent u: a later one did not.
func (u Unproved) mayBeOf(start int64) bool { return start != 0 && clock.Millis(start) <= u.SentMs }

// implies reports whether u says all that the earlier notice of the same server says.
func (u Unproved) implies(earlier Unproved) bool {
	return u.SentMs >= earlier.SentMs && u.BackOffUntilMs >= earlier.BackOffUntilMs && (u.Draining || !earlier.Draining)
}

// drainNotice is the draining notice of the latest start in which a server sent one.
type drainNotice struct {
	start  int64        // start of the server, as in Key.Start
	seenMs clock.Millis // when the notice arrived or the server was last listed
}

// NewNotices returns empty Notices.
func NewNotices() *Notices {
	return &Notices{draining: map[string]drainNotice{}, backOffs: map[Key]clock.Millis{}, unproved: map[string][]Unproved{}}
}

// MarkDraining records that a server sent a draining notice in the start k.Start, and
// reports whether the notice is new: none from this start or a later one was known.
func (n *Notices) MarkDraining(now clock.Millis, k Key) bool {
	old, ok := n.draining[k.ID]
	if ok && k.Start <= old.start {
		return false
	}
	n.draining[k.ID] = drainNotice{k.Start, now}
	return true
}

// MarkUnproved records a notice of a server. A back-off in it applies to each start that may have sent it.
func (n *Notices) MarkUnproved(id string, u Unproved) {
	n.unproved[id] = append(slices.DeleteFunc(n.unproved[id], u.implies), u)
}

// Prove finds the starts that sent the unproved notices that a list as of a time proves, and returns
// those that drain. starts holds the listed starts by server id. The notice of a server that is not
// listed is kept, as those that Draining reports are.
func (n *Notices) Prove(asOf clock.Millis, starts map[string]int64) []Key {
	var out []Key
	for id, all := range n.unproved {
		k := Key{id, starts[id]}
		if k.Start == 0 {
			continue
		}
		drains := false
		n.keepUnproved(id, slices.DeleteFunc(all, func(u Unproved) bool {
			if asOf < u.NeededMs {
				return false
			}
			if u.mayBeOf(k.Start) {
				drains = drains || u.Draining
				n.backOffs[k] = max(n.backOffs[k], u.BackOffUntilMs)
			}
			return true
		}))
		if drains {
			out = append(out, k)
		}
	}
	return out
}

// keepUnproved replaces the unproved notices of a server.
func (n *Notices) keepUnproved(id string, left []Unproved) {
	if len(left) == 0 {
		delete(n.unproved, id)
		return
	}
	n.unproved[id] = left
}

// Draining reports whether a server sent a draining notice in the start k.Start or a
// later one. An unproved notice counts for each start that may have sent it.
func (n *Notices) Draining(k Key) bool {
	if notice, ok := n.draining[k.ID]; ok && k.Start <= notice.start {
		return true
	}
	return slices.ContainsFunc(n.unproved[k.ID], func(u Unproved) bool { return u.Draining && u.mayBeOf(k.Start) })
}

// DrainingServers returns the servers with a draining notice, most recently seen first.
// A server is seen when its notice arrives and whenever Sweep finds it listed.
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

// BackOffEnd returns the end of a back-off of d, at most MaxBackOff, that a server requested at now. The
// server counts it exactly, so that it ends late rather than early.
func BackOffEnd(now, d clock.Millis) clock.Millis { return now.AddFull(min(d, MaxBackOff)) }

// BackOff records that a server requested a back-off of d from now on, and returns the time at
// which its back-off ends; see BackOffEnd. A later notice never shortens an earlier back-off.
func (n *Notices) BackOff(now clock.Millis, k Key, d clock.Millis) clock.Millis {
	n.backOffs[k] = max(n.backOffs[k], BackOffEnd(now, d))
	return n.backOffs[k]
}

// BackOffUntil returns the time at which the back-off of a server ends; 0 or a time in
// the past if none applies.
func (n *Notices) BackOffUntil(k Key) clock.Millis {
	until := n.backOffs[k]
	for _, u := range n.unproved[k.ID] {
		if u.mayBeOf(k.Start) {
			until = max(until, u.BackOffUntilMs)
		}
	}
	return until
}

// Sweep drops the back-offs that have ended, and the draining and unproved notices of servers that
// have not been in the server list for more than unlistedKeepMs. The function listed
// reports whether a server is in the list.
func (n *Notices) Sweep(now clock.Millis, listed func(id string) bool) {
	for k, until := range n.backOffs {
		if now >= until {
			delete(n.backOffs, k)
		}
	}
	for id, all := range n.unproved {
		n.keepUnproved(id, slices.DeleteFunc(all, func(u Unproved) bool { return now-u.NeededMs > unlistedKeepMs }))
	}
	for id, notice := range n.draining {
		switch {
		case listed(id):
			notice.seenMs = now
			n.draining[id] = notice
		case now-notice.seenMs > unlistedKeepMs:
			delete(n.draining, id)
		}
	}
}
