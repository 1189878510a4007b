package claim

import (
	"slices"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/digest"
)

// entriesPerPart keeps a part of a digest well below the log's largest record.
const entriesPerPart = 10000

// hold keeps a record until the earlier state is known, and then decides all
// that are held.
func (f *Fold) hold(r heldRecord) []Decision {
	if f.quietMs == 0 || len(r.rec.Claims) > 0 {
		f.quietMs = f.atMs
	}
	f.heldRecs = append(f.heldRecs, r)
	if f.atMs >= f.quietMs+maxLife {
		f.missed = false
		f.heldRecs = nil
		return nil
	}
	if r.rec.Digest == nil || r.rec.Digest.UpTo < f.first-1 {
		return nil
	}
	head := r.rec.Digest.Head
	entries, ok := f.digests.Add(r.offset, head, r.rec.Digest.Entries)
	if !ok {
		return nil
	}
	return f.adopt(head, entries)
}

// adopt starts from a whole digest and replays the records after it.
func (f *Fold) adopt(d digest.Head, entries []Entry) []Decision {
	clear(f.entries)
	names := map[string]string{}
	for _, e := range entries {
		e.Incarnation = intern(names, e.Incarnation)
		f.entries[e.Key] = e
	}
	held := f.heldRecs
	f.heldRecs = nil
	f.missed = false
	f.digestMs = d.AtMs
	f.atMs = d.AtMs
	var out []Decision
	for _, r := range held {
		if r.offset <= d.UpTo {
			out = append(out, f.decided(r)...)
			continue
		}
		f.atMs = max(f.atMs, r.atMs)
		out = append(out, f.decide(r.offset, r.rec)...)
	}
	return out
}

// decided returns the decisions on a held record that the digest covers.
func (f *Fold) decided(r heldRecord) []Decision {
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

func intern(names map[string]string, s string) string {
	if t, ok := names[s]; ok {
		return t
	}
	names[s] = s
	return s
}

// Digest returns records that state all live claims. The id must be unique.
// It returns a NotWholeError when they are not all known.
func (f *Fold) Digest(id, incarnation string) ([]Record, error) {
	if !f.Whole() {
		return nil, &NotWholeError{First: f.first}
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

// DigestDue reports whether a digest must be written, at nowMs in the log's
// time, so that retention does not pass the last one. The time is spread over
// the readers by incarnation, so that mostly one of them writes it.
func (f *Fold) DigestDue(nowMs, retention clock.Millis, incarnation string) bool {
	if !f.Whole() || f.next == 1 {
		return false
	}
	return max(nowMs, f.atMs) >= digest.DueMs(f.digestMs, retention, incarnation)
}
