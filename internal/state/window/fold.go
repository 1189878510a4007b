// Package window folds the usage stream into the figures that are reported
// for each client account and window.
//
// Increments are cumulative for a sidecar process, a window and an account,
// and the greatest one counts, so that repeats and late ones are harmless. The
// first seal of an account's window fixes its figures; every report of it, by
// whichever process, repeats them. What a seal left out, or had too much, is
// owed to the account, and goes to the correction of its next seal. So the sum
// of all reports comes to what was counted, in whichever order seals and
// increments were recorded, and also when two processes sealed at once.
//
// Increments and seals for a window that ended KeepMs before, in the log's
// time, come too late and change nothing.
package window

import (
	"cmp"
	"maps"
	"slices"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/digest"
)

// KeepMs is the time after its end for which increments of a window are taken.
const KeepMs = 6 * clock.Hour

// maxLength is the longest window.
const maxLength = 48 * clock.Hour

// minSweep is the least number of records between two removals of old windows.
const minSweep = 256

type span struct {
	counts    map[string]Figures
	total     Figures
	seal      *Seal
	confirmed bool
}

type account struct {
	owed    int64
	windows map[Window]*span
}

// Fold is the state of one shard of client accounts. It has a single owner.
type Fold struct {
	shard, shards int
	next          int64
	atMs          clock.Millis
	accounts      map[string]*account
	tooLate       int64
	invalid       int
	toSweep       int

	digests  digest.Collector[Entry]
	digestMs clock.Millis
	// missed is set while earlier records may be unknown. The records since
	// then are held.
	missed  bool
	first   int64
	startMs clock.Millis
	held    []heldRecord
}

type heldRecord struct {
	offset int64
	atMs   clock.Millis
	rec    Record
}

// New returns the Fold of one of a number of shards before the first record.
func New(shard, shards int) *Fold {
	return &Fold{shard: shard, shards: max(1, shards), next: 1, accounts: map[string]*account{}}
}

// Next returns the offset of the next record to apply.
func (f *Fold) Next() int64 { return f.next }

// AtMs returns the log's time of the latest record.
func (f *Fold) AtMs() clock.Millis { return f.atMs }

// Whole reports whether all that precedes Next is known. Due and Unconfirmed
// return nothing before.
func (f *Fold) Whole() bool { return !f.missed }

// TooLate returns the tokens of increments that came too late.
func (f *Fold) TooLate() int64 { return f.tooLate }

// Invalid returns the number of records that could not be decoded. They
// change nothing.
func (f *Fold) Invalid() int { return f.invalid }

// Begin tells the Fold that the stream retains records from first on only.
func (f *Fold) Begin(first int64) {
	if first <= f.next {
		return
	}
	f.next = first
	f.missed = true
	f.first = first
	f.startMs = 0
	f.held = nil
	f.digests = digest.Collector[Entry]{}
	clear(f.accounts)
}

// Apply folds one record. A record that was applied before changes nothing.
func (f *Fold) Apply(offset int64, atMs clock.Millis, data []byte) {
	if offset < f.next {
		return
	}
	f.Begin(offset)
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
	if f.missed {
		f.hold(heldRecord{offset, atMs, rec})
		return
	}
	if d := rec.Digest; d != nil && f.mine(d) {
		if _, ok := f.digests.Add(offset, d.Head, nil); ok {
			f.digestMs = d.AtMs
		}
	}
	f.fold(rec)
}

func (f *Fold) mine(d *Digest) bool { return d.Shard == f.shard && d.Shards == f.shards }

func (f *Fold) fold(rec Record) {
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
	f.sweep()
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
	s := a.span(in.Window)
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
	w := a.span(s.Window)
	if w.seal != nil {
		return
	}
	w.seal = &s
	a.owed += w.total.Tokens() - s.Tokens() - s.CorrectionTokens
}

// closed reports whether a window takes no more increments.
func (f *Fold) closed(w Window) bool {
	return w.EndMs+KeepMs <= f.atMs || w.EndMs-w.StartMs > maxLength
}

func (f *Fold) account(name string) *account {
	a, ok := f.accounts[name]
	if !ok {
		a = &account{windows: map[Window]*span{}}
		f.accounts[name] = a
	}
	return a
}

func (a *account) span(w Window) *span {
	s, ok := a.windows[w]
	if !ok {
		s = &span{counts: map[string]Figures{}}
		a.windows[w] = s
	}
	return s
}

// sweep removes confirmed windows that are closed and accounts without any.
func (f *Fold) sweep() {
	f.toSweep--
	if f.toSweep > 0 {
		return
	}
	f.toSweep = minSweep
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

// Due returns the seals to be written at the wall-clock time nowMs, with the
// windows that ended grace before it, of the given length where an account is
// owed a correction only. They are ordered by account and window.
func (f *Fold) Due(nowMs, grace, length clock.Millis) []Seal {
	var out []Seal
	if !f.Whole() {
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
	if last := At(before-length, length); len(out) == 0 && a.owed != 0 && a.windows[last] == nil {
		out = append(out, Seal{Account: name, Window: last})
	}
	slices.SortFunc(out, func(x, y Seal) int { return compare(x.Window, y.Window) })
	if len(out) > 0 {
		out[0].CorrectionTokens = a.owed
	}
	return out
}

// Unconfirmed returns the accepted seals whose reports were not confirmed, by
// window and account.
func (f *Fold) Unconfirmed() []Seal {
	var out []Seal
	if !f.Whole() {
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

// Owed returns what is owed to the account beside its seals, in tokens.
func (f *Fold) Owed(name string) int64 {
	if a := f.accounts[name]; a != nil {
		return a.owed
	}
	return 0
}

func compare(x, y Window) int {
	return cmp.Or(cmp.Compare(x.StartMs, y.StartMs), cmp.Compare(x.EndMs, y.EndMs))
}
