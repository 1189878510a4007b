// Package servers maintains the list of backend servers from the entries that they
// register in the platform's store.
//
// A server that drains, or that was removed, is not used again before it restarts or
// registers anew. An entry that is missing after an outage of the store may only have
// lapsed, because a running server could not renew it. Such an entry is kept for
// LapseMs after the outage, in which the server can register again. An entry whose
// removal was observed without an outage, here or by another gateway, is dropped at
// once.
package servers

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// LapsedKeepMs is how long after an outage of the store a lapsed entry is kept: running
// servers register again within about two seconds.
const LapsedKeepMs = 2300 * clock.Millisecond

const (
	// placementMarginMs is how long before a draining server stops serving requests
	// are no longer placed on it, since they need time to arrive.
	placementMarginMs = 300 * clock.Millisecond
	// removedKeepMs is how long a removed entry is remembered: far longer than the
	// age of a backup from which the store may be restored.
	removedKeepMs = 10 * 60 * clock.Second
)

// Server is the entry that one backend server registered.
type Server struct {
	ID       string
	Pool     string
	Addr     string       // IP address and port
	Zone     string       // availability zone
	Slots    int          // requests that run concurrently
	Seq      int64        // sequence number of the entry since Start
	Start    int64        // when the server process started, Unix milliseconds; 0 if unknown
	WarmUpMs clock.Millis // warm-up time left when the entry was written
	Draining bool
}

// Key identifies one start (one process lifetime) of a server.
type Key struct {
	ID    string `json:"id"`
	Start int64  `json:"start"`
}

// UnmarshalJSON decodes and validates a key.
func (k *Key) UnmarshalJSON(data []byte) error {
	type plain Key
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return err
	}
	if p.ID == "" {
		return &FieldError{Field: "id", Reason: "must not be empty"}
	}
	*k = Key(p)
	return nil
}

// FieldError reports an invalid field of a message.
type FieldError struct{ Field, Reason string }

// Error returns the field and the reason.
func (e *FieldError) Error() string { return e.Field + " " + e.Reason }

// Key returns the key of the start in which the entry was registered.
func (s Server) Key() Key { return Key{s.ID, s.Start} }

type listed struct {
	Server
	// digestPart is the contribution of the entry to List.Digest.
	digestPart uint64
	// keepUntilMs is the time until which an entry missing from the store is kept; 0
	// while it is present in the store.
	keepUntilMs clock.Millis
}

// removed identifies the last entry of a server that was removed at atMs.
type removed struct {
	start, seq int64
	atMs       clock.Millis
}

// List is the list of backend servers as of the latest entries. It has a single owner
// and is not safe for concurrent use.
type List struct {
	// drainMs is how long a server continues to serve after it started to drain.
	drainMs clock.Millis
	servers map[string]*listed
	// drained holds the latest start in which a server drained, and removed the last
	// entry of each server whose entry was removed, by server id.
	drained map[string]int64
	removed map[string]removed
	// unreachable is set during an outage of the store; reachableSinceMs is the time
	// of the first answer after the last outage, 0 if there was none.
	unreachable      bool
	reachableSinceMs clock.Millis
	// readSentMs is when the latest answered read of the store was sent.
	readSentMs clock.Millis
}

// New returns an empty List. drain is how long servers continue to serve after they
// registered as draining.
func New(leave clock.Millis) *List {
	return &List{drainMs: leave, servers: map[string]*listed{}, drained: map[string]int64{}, removed: map[string]removed{}}
}

// SetDrainTime sets how long servers continue to serve after they registered as draining.
func (l *List) SetDrainTime(leave clock.Millis) { l.drainMs = leave }

// StoreUnreachable records that the store did not answer, or was restored from a backup. Entries
// that are missing in the next answer may only have lapsed.
func (l *List) StoreUnreachable() { l.unreachable = true }

// StoreAnswered records that the store's answer to a read sent at time sent was applied.
// It ends an outage.
func (l *List) StoreAnswered(now, sent clock.Millis) {
	if l.unreachable {
		l.unreachable, l.reachableSinceMs = false, now
		for _, k := range l.servers {
			if k.keepUntilMs != 0 {
				k.keepUntilMs = now + LapsedKeepMs
			}
		}
	}
	l.readSentMs = max(l.readSentMs, sent)
}

// ConfirmMissing records that another gateway has reached the store without an outage for at
// least LapseMs, so that missing entries were removed and have not just lapsed. The
// next call of DropExpired drops them.
func (l *List) ConfirmMissing(now clock.Millis) {
	l.unreachable, l.reachableSinceMs = false, 0
	for _, k := range l.servers {
		if k.keepUntilMs != 0 {
			k.keepUntilMs = now
		}
	}
}

// keepUntil returns the time until which an entry that is missing since now is kept;
// now itself if it is not kept.
func (l *List) keepUntil(now clock.Millis) clock.Millis {
	if l.unreachable {
		return now + LapsedKeepMs
	}
	if l.reachableSinceMs == 0 {
		return now
	}
	// The entry was present in the last answer: if it was removed rather than
	// lapsed, the server started to drain after that read was sent.
	return min(l.reachableSinceMs+LapsedKeepMs, l.readSentMs+l.drainMs-placementMarginMs)
}

// Put applies an entry and reports whether the list changed. Entries older than the
// known one are ignored, and so are those of a start that drained.
func (l *List) Put(s Server) bool {
	old, ok := l.servers[s.ID]
	if ok && (s.Start < old.Start || s.Start == old.Start && s.Seq < old.Seq) {
		return false
	}
	if start, left := l.drained[s.ID]; left && s.Start <= start {
		return false
	}
	if g, was := l.removed[s.ID]; was && s.Start != 0 && (s.Start < g.start || s.Start == g.start && s.Seq <= g.seq) {
		return false
	}
	delete(l.removed, s.ID)
	if s.Draining {
		l.drained[s.ID] = s.Start
	}
	k := &listed{Server: s}
	if ok && !differ(old.Server, s) {
		k.digestPart = old.digestPart
	} else {
		k.digestPart = digestOf(s)
	}
	l.servers[s.ID] = k
	return !ok || old.keepUntilMs != 0 || differ(old.Server, s)
}

// digestOf returns the contribution of an entry to List.Digest.
func digestOf(s Server) uint64 {
	if s.Draining {
		return 0
	}
	s.Seq, s.WarmUpMs = 0, 0
	return xxhash.Sum64String(fmt.Sprint(s))
}

// differ reports whether a and b differ in more than sequence number and warm-up time.
func differ(a, b Server) bool {
	a.Seq, b.Seq, a.WarmUpMs, b.WarmUpMs = 0, 0, 0, 0
	return a != b
}

// Remove applies the removal of an entry from the store and reports whether the list
// changed. During an outage and shortly after it, the entry is kept for some time.
func (l *List) Remove(now clock.Millis, id string) bool {
	k, ok := l.servers[id]
	if !ok || k.keepUntilMs != 0 {
		return false
	}
	if until := l.keepUntil(now); until > now && !k.Draining {
		k.keepUntilMs = until
		return false
	}
	return l.Drop(now, id)
}

// Drop removes a server whose removal is certain and reports whether the list changed.
func (l *List) Drop(now clock.Millis, id string) bool {
	k, ok := l.servers[id]
	if !ok {
		return false
	}
	delete(l.servers, id)
	l.removed[id] = removed{k.Start, k.Seq, now}
	return true
}

// Replace applies a complete list of entries and reports whether the list changed.
// Entries missing from it are treated as removed.
func (l *List) Replace(now clock.Millis, all []Server) bool {
	listed := map[string]bool{}
	diff := false
	for _, s := range all {
		listed[s.ID] = true
		diff = l.Put(s) || diff
	}
	for id := range maps.Clone(l.servers) {
		if !listed[id] {
			diff = l.Remove(now, id) || diff
		}
	}
	return diff
}

// DropExpired drops the missing entries whose time to register again is over, and reports
// whether the list changed. During an outage it drops none.
func (l *List) DropExpired(now clock.Millis) bool {
	maps.DeleteFunc(l.removed, func(_ string, g removed) bool { return now-g.atMs > removedKeepMs })
	if l.unreachable {
		return false
	}
	diff := false
	for id, k := range l.servers {
		if k.keepUntilMs != 0 && now >= k.keepUntilMs {
			diff = l.Drop(now, id) || diff
		}
	}
	return diff
}

// Usable returns the servers that requests may be placed on, sorted by id.
func (l *List) Usable() []Server {
	var out []Server
	for _, id := range slices.Sorted(maps.Keys(l.servers)) {
		if k := l.servers[id]; !k.Draining {
			out = append(out, k.Server)
		}
	}
	return out
}

// Digest returns an order-independent hash of the servers that are present in the
// store and not draining.
func (l *List) Digest() uint64 {
	var sum uint64
	for _, k := range l.servers {
		if k.keepUntilMs == 0 {
			sum += k.digestPart
		}
	}
	return sum
}

// Drained returns the latest start in which each server drained, by server id. No
// requests may be placed on a server in that start or an earlier one.
func (l *List) Drained() map[string]int64 { return maps.Clone(l.drained) }
