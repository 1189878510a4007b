package window

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/digest"
)

// countsPerPart bounds one part of a digest well below the log's largest record.
const countsPerPart = 10000

// NotWholeError reports a reader that may not know all of its shard.
type NotWholeError struct {
	// First is the offset at which the reader started.
	First int64
}

// Error names the offset at which the reader started.
func (e *NotWholeError) Error() string {
	return fmt.Sprintf("usage from before offset %d is not known", e.First)
}

// hold keeps a record until the earlier state is known, and then folds all
// that are held. Without a digest the state is known when every window that
// began before the first record is closed; what was owed then is lost.
func (f *Fold) hold(r heldRecord) {
	if f.startMs == 0 {
		f.startMs = r.atMs
	}
	f.held = append(f.held, r)
	if d := r.rec.Digest; d != nil && f.mine(d) && d.UpTo >= f.first-1 {
		if entries, ok := f.digests.Add(r.offset, d.Head, d.Entries); ok {
			f.adopt(d.Head, entries)
			return
		}
	}
	if f.atMs >= f.startMs+maxLength+KeepMs {
		f.adopt(digest.Head{UpTo: f.first - 1, AtMs: f.startMs}, nil)
	}
}

// adopt starts from a whole digest and replays the records after it.
func (f *Fold) adopt(h digest.Head, entries []Entry) {
	clear(f.accounts)
	for _, e := range entries {
		f.restore(e)
	}
	held := f.held
	f.held = nil
	f.missed = false
	f.digestMs = h.AtMs
	f.atMs = h.AtMs
	for _, r := range held {
		f.atMs = max(f.atMs, r.atMs)
		if r.offset > h.UpTo {
			f.fold(r.rec)
		}
	}
}

// restore adds a part of an account's state.
func (f *Fold) restore(e Entry) {
	a := f.account(e.Account)
	a.owed += e.Owed
	for _, st := range e.Windows {
		s := a.span(st.Window)
		for _, c := range st.Counts {
			s.counts[c.Incarnation] = c.Figures
			s.total = s.total.Plus(c.Figures)
		}
		s.seal, s.confirmed = st.Seal, st.Confirmed
	}
}

// Entries returns the whole state, by account.
func (f *Fold) Entries() []Entry {
	out := make([]Entry, 0, len(f.accounts))
	for _, name := range slices.Sorted(maps.Keys(f.accounts)) {
		a := f.accounts[name]
		e := Entry{Account: name, Owed: a.owed}
		for w, s := range a.windows {
			e.Windows = append(e.Windows, s.state(w))
		}
		slices.SortFunc(e.Windows, func(x, y State) int { return compare(x.Window, y.Window) })
		out = append(out, e)
	}
	return out
}

func (s *span) state(w Window) State {
	st := State{Window: w, Seal: s.seal, Confirmed: s.confirmed}
	for incarnation, c := range s.counts {
		st.Counts = append(st.Counts, Count{incarnation, c})
	}
	slices.SortFunc(st.Counts, func(x, y Count) int { return cmp.Compare(x.Incarnation, y.Incarnation) })
	return st
}

// Digest returns records that state the whole shard. The id must be unique.
// It returns a NotWholeError when not all is known.
func (f *Fold) Digest(id, incarnation string) ([]Record, error) {
	if !f.Whole() {
		return nil, &NotWholeError{First: f.first}
	}
	chunks := split(f.Entries())
	out := make([]Record, len(chunks))
	for i, h := range digest.Heads(id, f.next-1, f.atMs, len(chunks)) {
		out[i] = Record{
			Incarnation: incarnation,
			Digest:      &Digest{Head: h, Shard: f.shard, Shards: f.shards, Entries: chunks[i]},
		}
	}
	return out, nil
}

// split divides entries into parts; an account whose windows do not fit into
// one goes on in the next, where nothing more is owed to it.
func split(entries []Entry) [][]Entry {
	parts := [][]Entry{nil}
	room := countsPerPart
	for _, e := range entries {
		rest := e.Windows
		e.Windows = nil
		for {
			n := fitting(rest, room)
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

// fitting returns the number of states for which there is room; the first one
// always goes into an empty part.
func fitting(states []State, room int) int {
	whole := room == countsPerPart
	for i, s := range states {
		room -= len(s.Counts) + 1
		if room < 0 && (i > 0 || !whole) {
			return i
		}
	}
	return len(states)
}

// DigestDue reports whether a digest must be written at nowMs in the log's time.
func (f *Fold) DigestDue(nowMs, retention clock.Millis, incarnation string) bool {
	if !f.Whole() || f.next == 1 {
		return false
	}
	return max(nowMs, f.atMs) >= digest.DueMs(f.digestMs, retention, incarnation)
}
