// Package claim folds a claims stream and decides which attempt of a
// protected request may be handed over to a backend server.
//
// The first claim on a key wins, by offset; it holds the key until its
// outcome is notRun or its idempotency window ends in the log's time. Claims
// in between are lost for good. Only the process that wrote the accepted claim
// hands the attempt over, at most once. Since a process takes its decision
// to abandon an attempt before it answers notRun, and never goes back on it,
// that answer is true even when the abandoned claim is accepted later.
//
// A Fold's decisions depend only on the records. A reader that started behind
// the first record decides nothing until it has read a complete digest, or
// until no claim from before its start can still be live.
package claim

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/digest"
)

// minSweep is the least number of records between two removals of expired entries.
const minSweep = 1024

// Verdict is the fold's decision on a claim.
type Verdict int

// Verdicts on claims.
const (
	// Won accepts the claim.
	Won Verdict = iota + 1
	// Lost refuses the claim because another one holds the key.
	Lost
	// Late refuses the claim because its window had ended when it was recorded,
	// or lies too far ahead for the author's clock to be right.
	Late
)

// Decision is the verdict on one claim.
type Decision struct {
	Offset      int64
	Key         Key
	Attempt     string
	Incarnation string
	Verdict     Verdict
	// Holder is the entry that holds the key. It is empty when the verdict is
	// Late, or when the key was free again before the Fold became whole.
	Holder Entry
}

// NotWholeError reports a reader that cannot know all live claims, since it
// has seen neither the start of the stream nor a complete digest.
type NotWholeError struct {
	// First is the offset at which the reader started.
	First int64
}

// Error names the offset at which the reader started.
func (e *NotWholeError) Error() string {
	return fmt.Sprintf("live claims from before offset %d are not known", e.First)
}

// Fold is the state of one claims stream. It has a single owner.
type Fold struct {
	next    int64
	atMs    clock.Millis
	entries map[Key]Entry
	toSweep int
	invalid int

	digests digest.Collector[Entry]
	// digestMs is the log's time as of the last complete digest.
	digestMs clock.Millis

	// missed is set while earlier claims may be unknown. The records since
	// then are held and decided once the earlier state is known.
	missed   bool
	first    int64
	quietMs  clock.Millis
	heldRecs []heldRecord
}

type heldRecord struct {
	offset int64
	atMs   clock.Millis
	rec    Record
}

// New returns the Fold of a stream before its first record.
func New() *Fold {
	return &Fold{next: 1, entries: map[Key]Entry{}}
}

// Next returns the offset of the next record to apply.
func (f *Fold) Next() int64 { return f.next }

// AtMs returns the log's time of the latest record.
func (f *Fold) AtMs() clock.Millis { return f.atMs }

// Whole reports whether all live claims up to Next are known.
func (f *Fold) Whole() bool { return !f.missed }

// Invalid returns the number of records that could not be decoded. They
// change nothing.
func (f *Fold) Invalid() int { return f.invalid }

// Begin tells the Fold that the stream retains records from first on only. It
// is needed where no record is retained; Apply finds gaps by itself.
func (f *Fold) Begin(first int64) {
	if first <= f.next {
		return
	}
	f.next = first
	f.missed = true
	f.first = first
	f.quietMs = 0
	f.heldRecs = nil
	f.digests = digest.Collector[Entry]{}
	clear(f.entries)
}

// Apply folds one record and returns the decisions on its claims. A record
// that was applied before changes nothing. While the Fold is not whole there
// are no decisions; they follow with the record that makes it whole.
func (f *Fold) Apply(offset int64, atMs clock.Millis, data []byte) []Decision {
	if offset < f.next {
		return nil
	}
	f.Begin(offset)
	f.next = offset + 1
	f.atMs = max(f.atMs, atMs)
	rec, err := decode(data)
	if err != nil {
		f.invalid++
		rec = Record{}
	}
	if offset == 1 {
		f.digestMs = atMs
	}
	if f.missed {
		return f.hold(heldRecord{offset, atMs, rec})
	}
	if rec.Digest != nil {
		if _, ok := f.digests.Add(offset, rec.Digest.Head, nil); ok {
			f.digestMs = rec.Digest.AtMs
		}
	}
	return f.decide(offset, rec)
}

func (f *Fold) decide(offset int64, rec Record) []Decision {
	for _, o := range rec.Outcomes {
		f.end(o)
	}
	var out []Decision
	for _, c := range rec.Claims {
		out = append(out, f.claim(offset, rec.Incarnation, c))
	}
	f.sweep()
	return out
}

func (f *Fold) claim(offset int64, incarnation string, c Claim) Decision {
	d := Decision{Offset: offset, Key: c.Key, Attempt: c.Attempt, Incarnation: incarnation}
	if c.ExpiresMs <= f.atMs || c.ExpiresMs > f.atMs+maxLife {
		d.Verdict = Late
		return d
	}
	if e, ok := f.Lookup(c.Key); ok {
		d.Verdict, d.Holder = Lost, e
		return d
	}
	e := Entry{
		Key:         c.Key,
		Attempt:     c.Attempt,
		Incarnation: incarnation,
		Offset:      offset,
		AtMs:        f.atMs,
		ExpiresMs:   c.ExpiresMs,
	}
	f.entries[c.Key] = e
	d.Verdict, d.Holder = Won, e
	return d
}

func (f *Fold) end(o Outcome) {
	e, ok := f.entries[o.Key]
	if !ok || e.Offset != o.ClaimOffset || e.Attempt != o.Attempt || e.Result != "" {
		return
	}
	if o.Result == NotRun {
		delete(f.entries, o.Key)
		return
	}
	e.Result, e.Status = o.Result, o.Status
	f.entries[o.Key] = e
}

// sweep removes expired entries at a cost that is constant per record.
func (f *Fold) sweep() {
	f.toSweep--
	if f.toSweep > 0 {
		return
	}
	for k, e := range f.entries {
		if e.ExpiresMs <= f.atMs {
			delete(f.entries, k)
		}
	}
	f.toSweep = max(minSweep, len(f.entries))
}

// Lookup returns the entry that holds the key at the log's time.
func (f *Fold) Lookup(key Key) (Entry, bool) {
	e, ok := f.entries[key]
	if !ok || e.ExpiresMs <= f.atMs {
		return Entry{}, false
	}
	return e, true
}

// Live returns the entries whose windows have not ended at nowMs, by offset
// and key.
func (f *Fold) Live(nowMs clock.Millis) []Entry {
	out := make([]Entry, 0, len(f.entries))
	for _, e := range f.entries {
		if e.ExpiresMs > nowMs {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Offset, b.Offset), slices.Compare(a.Key[:], b.Key[:]))
	})
	return out
}
