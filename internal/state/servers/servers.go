// Package servers maintains the list of backend servers from the entries that they
// register in the platform's store.
//
// A draining server is not used again until it restarts, and a removed one not until it
// registers again. An entry that is missing after an outage of the store may only have
// lapsed because its server, although running, could not renew it. Such an entry is kept
// for LapsedKeepMs after the outage, so that the server has time to register again. An
// entry is dropped at once if its removal was observed without an outage, by this
// gateway or by another one.
package servers

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// LapsedKeepMs is how long after an outage of the store a lapsed entry is kept. Running
// servers register again within about two seconds of the end of the outage.
const LapsedKeepMs = 2300 * clock.Millisecond

const (
	// placementMarginMs is the last part of a server's drain time, in which no more
	// requests are placed on it because they might arrive after the drain time.
	placementMarginMs = 300 * clock.Millisecond
	// removedKeepMs is how long the removal of an entry is remembered, so that a store
	// restored from a backup does not bring the entry back: far longer than the age of
	// any such backup.
	removedKeepMs = 10 * 60 * clock.Second
)

// Server is the entry that one backend server registered. A start of a server is one
// lifetime of its process; a restart of the process begins the next start.
type Server struct {
	ID       string
	Pool     string       // name of the server pool
	Addr     string       // IP address and port
	Zone     string       // availability zone
	Slots    int          // maximum number of concurrent requests
	Seq      int64        // sequence number of the entry among those since Start
	Start    int64        // when the server process started, Unix milliseconds; 0 if unknown
	WarmUpMs clock.Millis // warm-up time left when the entry was written
	Draining bool         // the server shuts down and accepts no new requests
	Version  string       // version of the server's software; empty if it names none
}

// Key identifies one start of a server: one lifetime of the server process.
type Key struct {
	ID    string `json:"id"`
	Start int64  `json:"start"`
}

// UnmarshalJSON decodes a key. An empty id is a *FieldError.
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

// Error returns the name of the field and the reason.
func (e *FieldError) Error() string { return e.Field + " " + e.Reason }

// Key returns the key of the start in which the entry was registered.
func (s Server) Key() Key { return Key{s.ID, s.Start} }

// listed is an entry in the list.
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
	version    string
	atMs       clock.Millis
}

// List is the list of backend servers, by the latest known entry of each. It has a
// single owner and is not safe for concurrent use. The current time is passed as an
// argument, by the monotonic clock.
type List struct {
	// drainMs is how long a server continues to serve requests after it started to
	// drain.
	drainMs clock.Millis
	servers map[string]*listed
	// drained maps the id of each server that drained to the latest start in which it
	// drained.
	drained map[string]int64
	// removed maps the id of each removed server to its last entry.
	removed map[string]removed
	// unreachable is set during an outage of the store. reachableSinceMs is the time of
	// the first answer after the last outage; 0 if there was none.
	unreachable      bool
	reachableSinceMs clock.Millis
	// readSentMs is the time at which the last read that the store answered was sent.
	readSentMs clock.Millis
	// ends holds the ends of the starts of each server, by id and in their order. The slices are immutable.
	ends map[string][]End
	// gap is the number of the read of the whole list that is being applied; 0 while records are. reads counts such
	// reads, and lastGap is the last one that ended a start.
	gap, reads, lastGap int
	revision            int
	// switched are the latest starts of servers that started anew in place as another version, by that version.
	switched map[PoolVersion]int64
	// shownMs is as of when the list is known to show the starts of all running servers, and nowMs the latest time that
	// was passed to DropExpired.
	shownMs, nowMs clock.Millis
}

// New returns an empty List. drain is how long servers continue to serve requests after
// they registered as draining.
func New(drain clock.Millis) *List {
	return &List{drainMs: drain, servers: map[string]*listed{}, drained: map[string]int64{}, removed: map[string]removed{}, ends: map[string][]End{}, switched: map[PoolVersion]int64{}}
}

// SetDrainTime sets how long servers continue to serve requests after they registered
// as draining.
func (l *List) SetDrainTime(drain clock.Millis) { l.drainMs = drain }

// StoreUnreachable records that the store did not answer, or was restored from a backup.
// Entries that are missing from its next answer may only have lapsed.
func (l *List) StoreUnreachable() { l.unreachable = true }

// StoreAnswered records that the store answered a read sent at the time sent, and that
// the answer was applied to the list. It ends an outage, and then LapsedKeepMs begins
// for the missing entries.
func (l *List) StoreAnswered(now, sent clock.Millis) {
	if l.unreachable {
		l.unreachable, l.reachableSinceMs = false, now
		for _, e := range l.servers {
			if e.keepUntilMs != 0 {
				e.keepUntilMs = now + LapsedKeepMs
			}
		}
	}
	l.readSentMs = max(l.readSentMs, sent)
}

// ConfirmMissing records that another gateway has reached the store for at least
// LapsedKeepMs without an outage. The missing entries were therefore removed and did
// not lapse in an outage, and the next DropExpired drops them.
func (l *List) ConfirmMissing(now clock.Millis) {
	l.unreachable, l.reachableSinceMs = false, 0
	for _, e := range l.servers {
		if e.keepUntilMs != 0 {
			e.keepUntilMs = now
		}
	}
}

// keepUntil returns the time until which to keep an entry that was found missing now.
// The entry is not kept if that is now or earlier.
func (l *List) keepUntil(now clock.Millis) clock.Millis {
	if l.unreachable {
		return now + LapsedKeepMs
	}
	if l.reachableSinceMs == 0 {
		return now
	}
	// The entry was still present in the store's previous answer. If it was removed and
	// did not lapse, its server started to drain after the read for that answer was
	// sent, and serves requests for drainMs from then on.
	return min(l.reachableSinceMs+LapsedKeepMs, l.readSentMs+l.drainMs-placementMarginMs)
}

// Put applies an entry and reports whether the list changed. It ignores an entry that is
// older than the known one, that belongs to a start in which the server drained, or that
// is not newer than the last entry of a server that was removed.
func (l *List) Put(s Server) bool {
	old, ok := l.servers[s.ID]
	if ok && (s.Start < old.Start || s.Start == old.Start && s.Seq < old.Seq) {
		return false
	}
	if start, hasDrained := l.drained[s.ID]; hasDrained && s.Start <= start {
		return false
	}
	last, wasRemoved := l.removed[s.ID]
	if wasRemoved && s.Start != 0 && (s.Start < last.start || s.Start == last.start && s.Seq <= last.seq) {
		return false
	}
	if wasRemoved {
		l.noteVersion(last.version, s)
	}
	delete(l.removed, s.ID)
	if ok && s.Start > old.Start {
		l.end(s.ID, old.Start)
		l.noteVersion(old.Version, s)
	}
	l.begun(s.ID, s.Start)
	if s.Draining {
		l.drained[s.ID] = s.Start
	}
	e := &listed{Server: s}
	if ok && !differ(old.Server, s) {
		e.digestPart = old.digestPart
	} else {
		e.digestPart = digestOf(s)
	}
	l.servers[s.ID] = e
	return !ok || old.keepUntilMs != 0 || differ(old.Server, s)
}

// digested holds the fields of an entry that digestOf hashes. Gateways of earlier versions
// hash the same ones, so that their digests are equal.
type digested struct {
	ID, Pool, Addr, Zone string
	Slots                int
	Seq, Start           int64
	WarmUpMs             clock.Millis
	Draining             bool
}

// digestOf returns the contribution of an entry to List.Digest: a hash of its fields except
// sequence number, warm-up time and version, or 0 if the server drains. The version never
// changes without the start.
func digestOf(s Server) uint64 {
	if s.Draining {
		return 0
	}
	return xxhash.Sum64String(fmt.Sprint(digested{ID: s.ID, Pool: s.Pool, Addr: s.Addr, Zone: s.Zone, Slots: s.Slots, Start: s.Start}))
}

// differ reports whether a and b differ in any field except sequence number and warm-up
// time.
func differ(a, b Server) bool {
	a.Seq, b.Seq, a.WarmUpMs, b.WarmUpMs = 0, 0, 0, 0
	return a != b
}

// Remove records that an entry is missing from the store and reports whether the list
// changed. During an outage of the store and shortly after it, the entry of a server
// that does not drain is kept for some time.
func (l *List) Remove(now clock.Millis, id string) bool {
	e, ok := l.servers[id]
	if !ok || e.keepUntilMs != 0 {
		return false
	}
	l.end(id, e.Start)
	if until := l.keepUntil(now); until > now && !e.Draining {
		e.keepUntilMs = until
		return false
	}
	return l.Drop(now, id)
}

// Drop removes a server that is certain to have been removed from the store and not to
// have lapsed, and reports whether the list changed.
func (l *List) Drop(now clock.Millis, id string) bool {
	e, ok := l.servers[id]
	if !ok {
		return false
	}
	l.end(id, e.Start)
	delete(l.servers, id)
	l.removed[id] = removed{e.Start, e.Seq, e.Version, now}
	return true
}

// Replace applies a complete list of the entries in the store and reports whether the
// list changed. It calls Remove for each known server without an entry in all.
func (l *List) Replace(now clock.Millis, all []Server) bool {
	l.reads++
	l.gap = l.reads
	defer func() { l.gap = 0 }()
	present := map[string]bool{}
	changed := false
	for _, s := range all {
		present[s.ID] = true
		changed = l.Put(s) || changed
	}
	for id := range maps.Clone(l.servers) {
		if !present[id] {
			changed = l.Remove(now, id) || changed
		}
	}
	return changed
}

// DropExpired drops the missing entries whose servers did not register again in time,
// and reports whether the list changed. During an outage of the store it drops no entry.
// It also forgets removals that are older than removedKeepMs.
func (l *List) DropExpired(now clock.Millis) bool {
	maps.DeleteFunc(l.removed, func(_ string, r removed) bool { return now-r.atMs > removedKeepMs })
	l.nowMs = now
	l.forgetEnds()
	if l.unreachable {
		return false
	}
	changed := false
	for id, e := range l.servers {
		if e.keepUntilMs != 0 && now >= e.keepUntilMs {
			changed = l.Drop(now, id) || changed
		}
	}
	return changed
}

// Usable returns the servers on which requests may be placed: those that do not drain,
// sorted by id.
func (l *List) Usable() []Server {
	var out []Server
	for _, id := range slices.Sorted(maps.Keys(l.servers)) {
		if e := l.servers[id]; !e.Draining {
			out = append(out, e.Server)
		}
	}
	return out
}

// Digest returns a hash of the servers that are present in the store and not draining.
// Gateways with the same servers in their lists have the same digest, whatever the order
// in which they learned of them.
func (l *List) Digest() uint64 {
	var sum uint64
	for _, e := range l.servers {
		if e.keepUntilMs == 0 {
			sum += e.digestPart
		}
	}
	return sum
}

// Drained returns the latest start in which each server drained, by server id. No
// requests may be placed on a server in that start or an earlier one.
func (l *List) Drained() map[string]int64 { return maps.Clone(l.drained) }
