// Package window computes, from the usage stream of a shared log, the usage to
// report to the platform for each client account and time window.
//
// An increment is the running total of a sidecar process for one account and
// window. Only the greatest total counts, so duplicated and reordered
// increments are harmless. The first seal recorded for an account's window
// fixes its figures, and every report of the window repeats them, whichever
// process sends it. The difference between the tokens counted for a window and those
// in its seal is owed: the next seal of the account adds it as a correction, which
// may be negative. So the reports add up to the usage counted, in whatever order
// seals and increments are recorded, even if two processes seal the same window.
//
// From AcceptIncrementsMs after the end of a window, in log time (the time that the log
// gives to records), increments for it are ignored, and so are seals if no
// increment or seal of the window was recorded before. The window is closed from then
// on.
//
// Records that exceed the log's retention period are removed, so from time to time a
// process writes a digest: a snapshot of the state of a shard of accounts, in parts of
// one record each. A reader that missed records restores the state from it.
package window

import (
	"cmp"
	"maps"
	"slices"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/digest"
)

// AcceptIncrementsMs is how long after its end a window accepts increments, in log time.
const AcceptIncrementsMs = 6 * clock.Hour

// maxLength is the maximum length of a window.
const maxLength = 48 * clock.Hour

// sweepRecords is the number of records between two sweeps, which remove closed windows.
const sweepRecords = 256

// windowState is the state of one window of an account.
type windowState struct {
	counts    map[string]Figures // by incarnation of the sidecar process
	total     Figures            // sum of counts
	seal      *Seal
	confirmed bool
}

// account is the state of one client account.
type account struct {
	owed    int64 // tokens counted for sealed windows but in no seal yet; may be negative
	windows map[Window]*windowState
}

// Fold is the state of one shard of client accounts, computed from the records of the
// usage stream in order. It is not safe for concurrent use.
type Fold struct {
	shard, shards int
	next          int64        // offset of the next record
	atMs          clock.Millis // log time of the latest record
	accounts      map[string]*account
	tooLate       int64 // number of tokens in increments for closed windows
	invalid       int   // number of records that could not be decoded
	untilSweep    int   // number of records until the next sweep

	snapshots digest.Collector[Entry]
	// snapshotMs is the log time of the snapshot in the last digest of which all parts
	// were read; before that, of the first record.
	snapshotMs clock.Millis
	// incomplete is set while the effects of records before offset first may be
	// unknown. Until they are known, records from first on are kept in buffered.
	incomplete bool
	first      int64
	startMs    clock.Millis // log time of the first buffered record
	buffered   []bufferedRecord
}

// bufferedRecord is a record that was read but not applied yet.
type bufferedRecord struct {
	offset int64
	atMs   clock.Millis
	rec    Record
}

// New returns the state of one shard, numbered from 0, before the first record of the
// stream.
func New(shard, shards int) *Fold {
	return &Fold{shard: shard, shards: max(1, shards), next: 1, accounts: map[string]*account{}}
}

// Next returns the offset of the next record to apply.
func (f *Fold) Next() int64 { return f.next }

// AtMs returns the log time of the latest record; 0 before the first.
func (f *Fold) AtMs() clock.Millis { return f.atMs }

// Complete reports whether the state after the record before Next is completely
// known. Until then, DueSeals and UnconfirmedSeals return nothing.
func (f *Fold) Complete() bool { return !f.incomplete }

// TooLate returns the number of tokens in increments that were recorded after
// their window had closed.
func (f *Fold) TooLate() int64 { return f.tooLate }

// Invalid returns the number of records that could not be decoded. They
// change nothing.
func (f *Fold) Invalid() int { return f.invalid }

// SetOldest reports that the oldest record that the log retains is at offset first.
// If records before it were not applied, the state becomes incomplete.
func (f *Fold) SetOldest(first int64) {
	if first <= f.next {
		return
	}
	f.next = first
	f.incomplete = true
	f.first = first
	f.startMs = 0
	f.buffered = nil
	f.snapshots = digest.Collector[Entry]{}
	clear(f.accounts)
}

// Apply applies one record. It ignores a record that was applied before.
func (f *Fold) Apply(offset int64, atMs clock.Millis, data []byte) {
	if offset < f.next {
		return
	}
	f.SetOldest(offset)
	f.next = offset + 1
	f.atMs = max(f.atMs, atMs)
	if offset == 1 {
		f.snapshotMs = atMs
	}
	rec, err := decode(data)
	if err != nil {
		f.invalid++
		rec = Record{}
	}
	if f.incomplete {
		f.bufferRecord(bufferedRecord{offset, atMs, rec})
		return
	}
	if d := rec.Digest; d != nil && f.ownShard(d) {
		if _, ok := f.snapshots.Add(offset, d.Head, nil); ok {
			f.snapshotMs = d.AtMs
		}
	}
	f.applyRecord(rec)
}

// ownShard reports whether d is a digest of this shard.
func (f *Fold) ownShard(d *Digest) bool { return d.Shard == f.shard && d.Shards == f.shards }

func (f *Fold) applyRecord(rec Record) {
	for _, in := range rec.Increments {
		f.applyIncrement(rec.Incarnation, in)
	}
	for _, s := range rec.Seals {
		f.applySeal(s)
	}
	for _, c := range rec.Confirms {
		if a := f.accounts[c.Account]; a != nil {
			if s := a.windows[c.Window]; s != nil && s.seal != nil {
				s.confirmed = true
			}
		}
	}
	f.removeClosed()
}

// applyIncrement applies an increment of the sidecar process incarnation.
func (f *Fold) applyIncrement(incarnation string, in Increment) {
	if ShardOf(in.Account, f.shards) != f.shard {
		return
	}
	if f.closed(in.Window) {
		f.tooLate += in.Tokens()
		return
	}
	a := f.account(in.Account)
	s := a.window(in.Window)
	old := s.counts[incarnation]
	now := old.Max(in.Figures)
	s.counts[incarnation] = now
	s.total = s.total.Plus(now.Minus(old))
	if s.seal != nil {
		a.owed += now.Tokens() - old.Tokens()
	}
}

// applySeal applies a seal. Only the first seal of a window has an effect.
func (f *Fold) applySeal(s Seal) {
	if ShardOf(s.Account, f.shards) != f.shard {
		return
	}
	a := f.account(s.Account)
	if f.closed(s.Window) && a.windows[s.Window] == nil {
		return
	}
	w := a.window(s.Window)
	if w.seal != nil {
		return
	}
	w.seal = &s
	a.owed += w.total.Tokens() - s.Tokens() - s.CorrectionTokens
}

// closed reports whether increments for a window are ignored: it ended too long
// ago, or is longer than allowed.
func (f *Fold) closed(w Window) bool {
	return w.EndMs+AcceptIncrementsMs <= f.atMs || w.EndMs-w.StartMs > maxLength
}

// account returns the state of a client account, which it creates if there is none.
func (f *Fold) account(name string) *account {
	a, ok := f.accounts[name]
	if !ok {
		a = &account{windows: map[Window]*windowState{}}
		f.accounts[name] = a
	}
	return a
}

// window returns the state of a window, which it creates if there is none.
func (a *account) window(w Window) *windowState {
	s, ok := a.windows[w]
	if !ok {
		s = &windowState{counts: map[string]Figures{}}
		a.windows[w] = s
	}
	return s
}

// removeClosed removes, once every sweepRecords records, closed windows whose reports
// were confirmed, and accounts without windows that are owed no correction.
func (f *Fold) removeClosed() {
	f.untilSweep--
	if f.untilSweep > 0 {
		return
	}
	f.untilSweep = sweepRecords
	for name, a := range f.accounts {
		for w, s := range a.windows {
			if s.confirmed && f.closed(w) {
				delete(a.windows, w)
			}
		}
		if len(a.windows) == 0 && a.owed == 0 {
			delete(f.accounts, name)
		}
	}
}

// DueSeals returns the seals to write at wall-clock time nowMs, ordered by account
// and window: those of all unsealed windows that ended at least grace earlier.
// An account that is owed a correction but has no such window gets an empty
// seal for its latest window of the given length.
func (f *Fold) DueSeals(nowMs, grace, length clock.Millis) []Seal {
	var out []Seal
	if !f.Complete() {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(f.accounts)) {
		out = append(out, f.accounts[name].dueSeals(name, nowMs-grace, length)...)
	}
	return out
}

// dueSeals returns the seals to write for the unsealed windows of the account that end
// at time before or earlier. If there are none and a correction is owed, it returns an
// empty seal with the correction. name is the account's name.
func (a *account) dueSeals(name string, before, length clock.Millis) []Seal {
	var out []Seal
	for w, s := range a.windows {
		if s.seal == nil && w.EndMs <= before {
			out = append(out, Seal{Account: name, Window: w, Figures: s.total})
		}
	}
	if last := Containing(before-length, length); len(out) == 0 && a.owed != 0 && a.windows[last] == nil {
		out = append(out, Seal{Account: name, Window: last})
	}
	slices.SortFunc(out, func(x, y Seal) int { return compareWindows(x.Window, y.Window) })
	if len(out) > 0 {
		out[0].CorrectionTokens = a.owed
	}
	return out
}

// UnconfirmedSeals returns the recorded seals whose reports the platform has not
// confirmed, ordered by window and account.
func (f *Fold) UnconfirmedSeals() []Seal {
	var out []Seal
	if !f.Complete() {
		return nil
	}
	for _, a := range f.accounts {
		for _, s := range a.windows {
			if s.seal != nil && !s.confirmed {
				out = append(out, *s.seal)
			}
		}
	}
	slices.SortFunc(out, func(x, y Seal) int {
		return cmp.Or(compareWindows(x.Window, y.Window), cmp.Compare(x.Account, y.Account))
	})
	return out
}

// Owed returns the correction, in tokens, that the next seal of the account must
// carry; it may be negative.
func (f *Fold) Owed(name string) int64 {
	if a := f.accounts[name]; a != nil {
		return a.owed
	}
	return 0
}

// compareWindows orders windows by start, then by end.
func compareWindows(x, y Window) int {
	return cmp.Or(cmp.Compare(x.StartMs, y.StartMs), cmp.Compare(x.EndMs, y.EndMs))
}
