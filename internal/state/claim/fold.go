// Package claim decides, from a stream of claims in a shared log, which attempt
// of a protected request may be handed over to a backend server.
//
// The first claim on a key, by offset, is accepted. It holds the key until an
// outcome of notRun is recorded for it, or until its idempotency window ends in
// log time, the time that the log gives to records. Other claims on the key
// recorded in between lose and are not reconsidered. Only the process that
// wrote the accepted claim hands the attempt over, at most once. A process
// marks an attempt as abandoned before it answers notRun, and never hands over
// an abandoned attempt; so the answer stays true even if the claim is accepted
// later.
//
// The decisions of a Fold depend only on the records. Records that exceed the log's
// retention period are removed, so from time to time an author writes a digest: a
// snapshot of the live claims, in parts of one record each. A reader that missed the
// first records of the stream decides nothing until it has read all parts of a
// digest, or until all claims that it may have missed have expired.
package claim

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/digest"
)

// minSweepRecords is the minimum number of records between two sweeps, which remove
// expired entries.
const minSweepRecords = 1024

// Verdict says whether a claim is accepted.
type Verdict int

// Verdicts on claims.
const (
	// Won accepts the claim.
	Won Verdict = iota + 1
	// Lost rejects the claim because another one holds the key.
	Lost
	// BadExpiry rejects the claim because its window had ended when it was recorded,
	// or ends so far in the future that its author's clock must be wrong.
	BadExpiry
)

// Decision is the verdict on one claim.
type Decision struct {
	Offset      int64
	Key         Key
	Attempt     string
	Incarnation string
	Verdict     Verdict
	// Holder is the entry of the claim that holds the key. It is empty if the
	// verdict is BadExpiry, or if the claim was decided from a digest without an
	// entry for the key, whose holder had expired or had not run.
	Holder Entry
}

// IncompleteStateError reports a reader that may not know all live claims, since it
// has read neither the start of the stream nor all parts of a digest.
type IncompleteStateError struct {
	// First is the offset of the first record that the reader could read.
	First int64
}

// Error returns a text with the offset First.
func (e *IncompleteStateError) Error() string {
	return fmt.Sprintf("live claims from before offset %d are not known", e.First)
}

// Fold is the state of one claims stream, computed from its records in order. It is
// not safe for concurrent use.
type Fold struct {
	next       int64        // offset of the next record
	atMs       clock.Millis // log time of the latest record
	entries    map[Key]Entry
	untilSweep int // number of records until the next sweep
	invalid    int // number of records that could not be decoded

	snapshots digest.Collector[Entry]
	// snapshotMs is the log time of the snapshot in the last digest of which all parts
	// were read; before that, of the first record.
	snapshotMs clock.Millis

	// incomplete is set while live claims recorded before offset first may be
	// unknown. Until they are known, records from first on are kept in buffered.
	incomplete bool
	first      int64
	// lastClaimMs is the log time of the last buffered record with claims, or of
	// the first buffered record if none has any.
	lastClaimMs clock.Millis
	buffered    []bufferedRecord
}

// bufferedRecord is a record that was read but not applied yet.
type bufferedRecord struct {
	offset int64
	atMs   clock.Millis
	rec    Record
}

// New returns the state of a stream before its first record.
func New() *Fold {
	return &Fold{next: 1, entries: map[Key]Entry{}}
}

// Next returns the offset of the next record to apply.
func (f *Fold) Next() int64 { return f.next }

// AtMs returns the log time of the latest record; 0 before the first.
func (f *Fold) AtMs() clock.Millis { return f.atMs }

// Complete reports whether all live claims recorded before Next are known.
func (f *Fold) Complete() bool { return !f.incomplete }

// Invalid returns the number of records that could not be decoded. They
// change nothing.
func (f *Fold) Invalid() int { return f.invalid }

// SetOldest reports that the oldest record that the log retains is at offset first.
// If records before it were not applied, the state becomes incomplete. Apply detects
// such a gap by itself, so SetOldest is needed only if the log retains no record.
func (f *Fold) SetOldest(first int64) {
	if first <= f.next {
		return
	}
	f.next = first
	f.incomplete = true
	f.first = first
	f.lastClaimMs = 0
	f.buffered = nil
	f.snapshots = digest.Collector[Entry]{}
	clear(f.entries)
}

// Apply applies one record and returns the decisions on its claims. It ignores
// a record that was applied before. While Complete is false, decisions are
// deferred; Apply returns them with the record that is the last missing part of a
// digest.
func (f *Fold) Apply(offset int64, atMs clock.Millis, data []byte) []Decision {
	if offset < f.next {
		return nil
	}
	f.SetOldest(offset)
	f.next = offset + 1
	f.atMs = max(f.atMs, atMs)
	rec, err := decode(data)
	if err != nil {
		f.invalid++
		rec = Record{}
	}
	if offset == 1 {
		f.snapshotMs = atMs
	}
	if f.incomplete {
		return f.bufferRecord(bufferedRecord{offset, atMs, rec})
	}
	if rec.Digest != nil {
		if _, ok := f.snapshots.Add(offset, rec.Digest.Head, nil); ok {
			f.snapshotMs = rec.Digest.AtMs
		}
	}
	return f.decide(offset, rec)
}

// decide applies the outcomes of a record, then decides its claims.
func (f *Fold) decide(offset int64, rec Record) []Decision {
	for _, o := range rec.Outcomes {
		f.applyOutcome(o)
	}
	var out []Decision
	for _, c := range rec.Claims {
		out = append(out, f.decideClaim(offset, rec.Incarnation, c))
	}
	f.removeExpired()
	return out
}

func (f *Fold) decideClaim(offset int64, incarnation string, c Claim) Decision {
	d := Decision{Offset: offset, Key: c.Key, Attempt: c.Attempt, Incarnation: incarnation}
	if c.ExpiresMs <= f.atMs || c.ExpiresMs > f.atMs+maxLifetime {
		d.Verdict = BadExpiry
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

// applyOutcome sets the result of the claim that o names, unless another claim holds
// the key or a result was set before. NotRun frees the key.
func (f *Fold) applyOutcome(o Outcome) {
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

// removeExpired removes expired entries. Its amortized cost per record is constant.
func (f *Fold) removeExpired() {
	f.untilSweep--
	if f.untilSweep > 0 {
		return
	}
	for k, e := range f.entries {
		if e.ExpiresMs <= f.atMs {
			delete(f.entries, k)
		}
	}
	f.untilSweep = max(minSweepRecords, len(f.entries))
}

// Lookup returns the entry that holds the key at log time AtMs.
func (f *Fold) Lookup(key Key) (Entry, bool) {
	e, ok := f.entries[key]
	if !ok || e.ExpiresMs <= f.atMs {
		return Entry{}, false
	}
	return e, true
}

// Live returns the entries whose windows have not ended at log time nowMs,
// ordered by offset and key.
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
