package window

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/digest"
)

// countsPerPart is the maximum number of counts and windows, added up, in one part of
// a digest, unless a single window exceeds it. It keeps a part well below the log's
// maximum record size.
const countsPerPart = 10000

// IncompleteStateError reports a reader that may not know the complete state of its
// shard, since it missed records and has not read all parts of a digest.
type IncompleteStateError struct {
	// First is the offset of the first record that the reader could read.
	First int64
}

// Error returns a text with the offset First.
func (e *IncompleteStateError) Error() string {
	return fmt.Sprintf("usage from before offset %d is not known", e.First)
}

// bufferRecord stores a record that cannot be applied yet, because earlier records
// were missed. Once all parts of a digest are read, bufferRecord restores the state
// from it and applies the stored records after it. Without a digest, it applies all
// stored records once every window that began before the first of them is closed;
// corrections owed from those windows are lost.
func (f *Fold) bufferRecord(r bufferedRecord) {
	if f.startMs == 0 {
		f.startMs = r.atMs
	}
	f.buffered = append(f.buffered, r)
	if d := r.rec.Digest; d != nil && f.ownShard(d) && d.LastOffset >= f.first-1 {
		if entries, ok := f.snapshots.Add(r.offset, d.Head, d.Entries); ok {
			f.restoreSnapshot(d.Head, entries)
			return
		}
	}
	if f.atMs >= f.startMs+maxLength+AcceptIncrementsMs {
		f.restoreSnapshot(digest.Head{LastOffset: f.first - 1, AtMs: f.startMs}, nil)
	}
}

// restoreSnapshot replaces the state by the snapshot in a digest, whose parts have all
// been read, and applies the buffered records that follow the snapshot.
func (f *Fold) restoreSnapshot(h digest.Head, entries []Entry) {
	clear(f.accounts)
	for _, e := range entries {
		f.restoreEntry(e)
	}
	buffered := f.buffered
	f.buffered = nil
	f.incomplete = false
	f.snapshotMs = h.AtMs
	f.atMs = h.AtMs
	for _, r := range buffered {
		f.atMs = max(f.atMs, r.atMs)
		if r.offset > h.LastOffset {
			f.applyRecord(r.rec)
		}
	}
}

// restoreEntry adds one digest entry to the state; an account may have several.
func (f *Fold) restoreEntry(e Entry) {
	a := f.account(e.Account)
	a.owed += e.Owed
	for _, st := range e.Windows {
		s := a.window(st.Window)
		for _, c := range st.Counts {
			s.counts[c.Incarnation] = c.Figures
			s.total = s.total.Plus(c.Figures)
		}
		s.seal, s.confirmed = st.Seal, st.Confirmed
	}
}

// Entries returns the complete state, ordered by account.
func (f *Fold) Entries() []Entry {
	out := make([]Entry, 0, len(f.accounts))
	for _, name := range slices.Sorted(maps.Keys(f.accounts)) {
		a := f.accounts[name]
		e := Entry{Account: name, Owed: a.owed}
		for w, s := range a.windows {
			e.Windows = append(e.Windows, s.digestState(w))
		}
		slices.SortFunc(e.Windows, func(x, y State) int { return compareWindows(x.Window, y.Window) })
		out = append(out, e)
	}
	return out
}

// digestState returns the state of window w as it is written to a digest.
func (s *windowState) digestState(w Window) State {
	st := State{Window: w, Seal: s.seal, Confirmed: s.confirmed}
	for incarnation, c := range s.counts {
		st.Counts = append(st.Counts, Count{incarnation, c})
	}
	slices.SortFunc(st.Counts, func(x, y Count) int { return cmp.Compare(x.Incarnation, y.Incarnation) })
	return st
}

// Digest returns the records of a digest: a snapshot of the complete state of the
// shard, in parts. The id must be unique. The error is an IncompleteStateError if the
// state is not completely known.
func (f *Fold) Digest(id, incarnation string) ([]Record, error) {
	if !f.Complete() {
		return nil, &IncompleteStateError{First: f.first}
	}
	chunks := splitIntoParts(f.Entries())
	out := make([]Record, len(chunks))
	for i, h := range digest.Heads(id, f.next-1, f.atMs, len(chunks)) {
		out[i] = Record{
			Incarnation: incarnation,
			Digest:      &Digest{Head: h, Shard: f.shard, Shards: f.shards, Entries: chunks[i]},
		}
	}
	return out, nil
}

// splitIntoParts divides entries into the parts of a digest. An account whose windows
// do not fit into one part continues in the next one with Owed 0, since restoreEntry
// adds up the values of Owed.
func splitIntoParts(entries []Entry) [][]Entry {
	parts := [][]Entry{nil}
	room := countsPerPart
	for _, e := range entries {
		rest := e.Windows
		e.Windows = nil
		for {
			n := fitCount(rest, room)
			e.Windows = rest[:n]
			rest = rest[n:]
			for _, s := range e.Windows {
				room -= len(s.Counts) + 1
			}
			last := len(parts) - 1
			parts[last] = append(parts[last], e)
			if len(rest) == 0 {
				break
			}
			parts = append(parts, nil)
			room = countsPerPart
			e.Owed = 0
		}
		room--
	}
	return parts
}

// fitCount returns how many of the states fit into a part that has room for so many
// counts and windows. The first one always fits into an empty part, whatever its size.
func fitCount(states []State, room int) int {
	emptyPart := room == countsPerPart
	for i, s := range states {
		room -= len(s.Counts) + 1
		if room < 0 && (i > 0 || !emptyPart) {
			return i
		}
	}
	return len(states)
}

// DigestDue reports whether a new digest is due at log time nowMs, so that the log
// always retains one. The due time varies with the incarnation, so that usually only
// one of the processes writes it.
func (f *Fold) DigestDue(nowMs, retention clock.Millis, incarnation string) bool {
	if !f.Complete() || f.next == 1 {
		return false
	}
	return max(nowMs, f.atMs) >= digest.DueMs(f.snapshotMs, retention, incarnation)
}
