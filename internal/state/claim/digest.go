package claim

import (
	"slices"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/digest"
)

// entriesPerPart is the maximum number of entries in one part of a digest. It keeps
// a part well below the log's maximum record size.
const entriesPerPart = 10000

// bufferRecord stores a record whose claims cannot be decided yet, because earlier records
// were missed. If r is the last missing part of a digest, bufferRecord restores the state
// from it and returns the decisions on all stored records. Without a digest, the
// stored records are dropped once maxLifetime has passed in log time since the last
// claim: all claims have then expired.
func (f *Fold) bufferRecord(r bufferedRecord) []Decision {
	if f.lastClaimMs == 0 || len(r.rec.Claims) > 0 {
		f.lastClaimMs = f.atMs
	}
	f.buffered = append(f.buffered, r)
	if f.atMs >= f.lastClaimMs+maxLifetime {
		f.incomplete = false
		f.buffered = nil
		return nil
	}
	if r.rec.Digest == nil || r.rec.Digest.LastOffset < f.first-1 {
		return nil
	}
	head := r.rec.Digest.Head
	entries, ok := f.snapshots.Add(r.offset, head, r.rec.Digest.Entries)
	if !ok {
		return nil
	}
	return f.restoreSnapshot(head, entries)
}

// restoreSnapshot replaces the state by the snapshot in a digest, whose parts have all been
// read, and returns the decisions on the claims of the buffered records.
func (f *Fold) restoreSnapshot(d digest.Head, entries []Entry) []Decision {
	clear(f.entries)
	names := map[string]string{}
	for _, e := range entries {
		e.Incarnation = intern(names, e.Incarnation)
		f.entries[e.Key] = e
	}
	records := f.buffered
	f.buffered = nil
	f.incomplete = false
	f.snapshotMs = d.AtMs
	f.atMs = d.AtMs
	var out []Decision
	for _, r := range records {
		if r.offset <= d.LastOffset {
			out = append(out, f.decisionsFromSnapshot(r)...)
			continue
		}
		f.atMs = max(f.atMs, r.atMs)
		out = append(out, f.decide(r.offset, r.rec)...)
	}
	return out
}

// decisionsFromSnapshot returns the decisions on the claims of a buffered record whose
// effects the restored snapshot already includes.
func (f *Fold) decisionsFromSnapshot(r bufferedRecord) []Decision {
	var out []Decision
	for _, c := range r.rec.Claims {
		e := f.entries[c.Key]
		d := Decision{Offset: r.offset, Key: c.Key, Attempt: c.Attempt, Incarnation: r.rec.Incarnation, Verdict: Lost, Holder: e}
		if e.Offset == r.offset && e.Attempt == c.Attempt {
			d.Verdict = Won
		}
		out = append(out, d)
	}
	return out
}

// intern returns the copy of s in names, so that equal strings share memory.
func intern(names map[string]string, s string) string {
	if t, ok := names[s]; ok {
		return t
	}
	names[s] = s
	return s
}

// Digest returns the records of a digest: a snapshot of all live claims, in parts
// of at most entriesPerPart. The id must be unique. The error is an
// IncompleteStateError if not all live claims are known.
func (f *Fold) Digest(id, incarnation string) ([]Record, error) {
	if !f.Complete() {
		return nil, &IncompleteStateError{First: f.first}
	}
	chunks := slices.Collect(slices.Chunk(f.Live(f.atMs), entriesPerPart))
	if len(chunks) == 0 {
		chunks = [][]Entry{nil}
	}
	out := make([]Record, len(chunks))
	for i, h := range digest.Heads(id, f.next-1, f.atMs, len(chunks)) {
		out[i] = Record{Incarnation: incarnation, Digest: &Digest{Head: h, Entries: chunks[i]}}
	}
	return out, nil
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
