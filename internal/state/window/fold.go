// Package window computes, from the usage stream of a shared log, the usage to
// report to the platform for each client account and time window.
//
// An increment is the running total of a sidecar process for one account and
// window. Only the greatest total counts, so duplicated and reordered
// increments are harmless. The first seal recorded for an account's window
// fixes its figures, and every report of the window repeats them, whichever
// process sends it. The difference between what was counted and what was
// sealed is owed: the next seal of the account adds it as a correction, which
// may be negative. So the reports add up to the usage counted, in whatever
// order seals and increments are recorded, even if two processes seal the same
// window.
//
// From AcceptIncrementsMs after the end of a window, in log time (the time that the log
// gives to records), increments for it are ignored, and so are seals if no
// increment or seal of the window was recorded before.
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

// sweepRecords is the number of records between two removals of old windows.
const sweepRecords = 256

// windowState is the state of one window of an account.
type windowState struct {
	counts    map[string]Figures // by incarnation of the sidecar process
	total     Figures            // sum of counts
	seal      *Seal
	confirmed bool
}

type account struct {
	owed    int64 // tokens counted for sealed windows but not sealed; may be negative
	windows map[Window]*windowState
}

// Fold is the state of one shard of client accounts. It is not safe for
// concurrent use.
type Fold struct {
	shard, shards int
	next          int64
	atMs          clock.Millis
	accounts      map[string]*account
	tooLate       int64 // tokens
	invalid       int   // records
	untilSweep    int   // records until old windows are removed

	digests digest.Collector[Entry]
	// digestMs is the log time of the state in the last complete digest.
	digestMs clock.Millis
	// incomplete is set while the state before offset first may be unknown.
	// Records from first on are kept in buffered until it is known.
	incomplete bool
	first      int64
	startMs    clock.Millis // log time of the first buffered record
	buffered   []bufferedRecord
}

type bufferedRecord struct {
	offset int64
	atMs   clock.Millis
	rec    Record
}

// New returns the Fold of one shard, numbered from 0, of which no record has
// been applied.
func New(shard, shards int) *Fold {
	return &Fold{shard: shard, shards: max(1, shards), next: 1, accounts: map[string]*account{}}
}

// Next returns the offset of the next record to apply.
func (f *Fold) Next() int64 { return f.next }

// AtMs returns the log time of the latest record.
func (f *Fold) AtMs() clock.Millis { return f.atMs }

// Complete reports whether the state as of the record before Next is completely
// known. Until then, DueSeals and UnconfirmedSeals return nothing.
func (f *Fold) Complete() bool { return !f.incomplete }

// TooLate returns the number of tokens in increments that were recorded after
// their window had closed.
func (f *Fold) TooLate() int64 { return f.tooLate }

// Invalid returns the number of records that could not be decoded. They
// change nothing.
func (f *Fold) Invalid() int { return f.invalid }

// SetOldest reports that first is the offset of the oldest retained record.
func (f *Fold) SetOldest(first int64) {
	if first <= f.next {
		return
	}
	f.next = first
	f.incomplete = true
	f.first = first
	f.startMs = 0
	f.buffered = nil
	f.digests = digest.Collector[Entry]{}
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
		f.digestMs = atMs
	}
	rec, err := decode(data)
	if err != nil {
		f.invalid++
		rec = Record{}
	}
	if f.incomplete {
		f.buffer(bufferedRecord{offset, atMs, rec})
		return
	}
	if d := rec.Digest; d != nil && f.ownShard(d) {
		if _, ok := f.digests.Add(offset, d.Head, nil); ok {
			f.digestMs = d.AtMs
		}
	}
	f.applyRecord(rec)
}

// ownShard reports whether d is a digest of this shard.
func (f *Fold) ownShard(d *Digest) bool { return d.Shard == f.shard && d.Shards == f.shards }

func (f *Fold) applyRecord(rec Record) {
	for _, in := range rec.Increments {
		f.count(rec.Incarnation, in)
	}
	for _, s := range rec.Seals {
		f.seal(s)
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

func (f *Fold) count(incarnation string, in Increment) {
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

func (f *Fold) seal(s Seal) {
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

func (f *Fold) account(name string) *account {
	a, ok := f.accounts[name]
	if !ok {
		a = &account{windows: map[Window]*windowState{}}
		f.accounts[name] = a
	}
	return a
}

func (a *account) window(w Window) *windowState {
	s, ok := a.windows[w]
	if !ok {
		s = &windowState{counts: map[string]Figures{}}
		a.windows[w] = s
	}
	return s
}

// removeClosed removes closed windows whose reports were confirmed, and accounts
// without windows that are owed nothing.
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
		out = append(out, f.accounts[name].due(name, nowMs-grace, length)...)
	}
	return out
}

func (a *account) due(name string, before, length clock.Millis) []Seal {
	var out []Seal
	for w, s := range a.windows {
		if s.seal == nil && w.EndMs <= before {
			out = append(out, Seal{Account: name, Window: w, Figures: s.total})
		}
	}
	if last := Containing(before-length, length); len(out) == 0 && a.owed != 0 && a.windows[last] == nil {
		out = append(out, Seal{Account: name, Window: last})
	}
	slices.SortFunc(out, func(x, y Seal) int { return compare(x.Window, y.Window) })
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
		return cmp.Or(compare(x.Window, y.Window), cmp.Compare(x.Account, y.Account))
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

func compare(x, y Window) int {
	return cmp.Or(cmp.Compare(x.StartMs, y.StartMs), cmp.Compare(x.EndMs, y.EndMs))
}
