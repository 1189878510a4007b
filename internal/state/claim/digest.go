package claim

import (
	"github.com/cespare/xxhash/v2"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	// entriesPerPart keeps a part of a digest well below the log's largest record.
	entriesPerPart = 10000
	// digestsPerRetention is the number of digests in one retention time.
	digestsPerRetention = 4
	// openDigests bounds the digests of which only some parts were read.
	openDigests = 16
)

// digests collects the parts of digests until one is complete.
type digests struct {
	open []openDigest
}

type openDigest struct {
	head    Digest
	have    map[int]bool
	entries []Entry
}

// add returns the whole digest once its last part was added. With keep it
// holds the entries.
func (ds *digests) add(d *Digest, offset int64, keep bool) *Digest {
	if d.UpTo >= offset {
		return nil
	}
	i := ds.find(d)
	o := &ds.open[i]
	if o.have[d.Part] || o.head.Parts != d.Parts || o.head.UpTo != d.UpTo {
		return nil
	}
	o.have[d.Part] = true
	if keep {
		o.entries = append(o.entries, d.Entries...)
	}
	if len(o.have) < o.head.Parts {
		return nil
	}
	whole := o.head
	whole.Entries = o.entries
	ds.open = append(ds.open[:i], ds.open[i+1:]...)
	return &whole
}

func (ds *digests) find(d *Digest) int {
	for i, o := range ds.open {
		if o.head.ID == d.ID {
			return i
		}
	}
	if len(ds.open) == openDigests {
		ds.open = ds.open[1:]
	}
	head := *d
	head.Entries = nil
	ds.open = append(ds.open, openDigest{head: head, have: map[int]bool{}})
	return len(ds.open) - 1
}

// hold keeps a record until the earlier state is known, and then decides all
// that are held.
func (f *Fold) hold(r heldRecord) []Decision {
	if f.quietMs == 0 || len(r.rec.Claims) > 0 {
		f.quietMs = f.atMs
	}
	f.heldRecs = append(f.heldRecs, r)
	if f.atMs >= f.quietMs+MaxWindow {
		f.missed = false
		f.heldRecs = nil
		return nil
	}
	if r.rec.Digest == nil || r.rec.Digest.UpTo < f.first-1 {
		return nil
	}
	d := f.digests.add(r.rec.Digest, r.offset, true)
	if d == nil {
		return nil
	}
	return f.adopt(d)
}

// adopt starts from a whole digest and replays the records after it.
func (f *Fold) adopt(d *Digest) []Decision {
	clear(f.entries)
	names := map[string]string{}
	for _, e := range d.Entries {
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
	live := f.Live(f.atMs)
	parts := max(1, (len(live)+entriesPerPart-1)/entriesPerPart)
	out := make([]Record, parts)
	for i := range out {
		n := min(entriesPerPart, len(live))
		out[i] = Record{Incarnation: incarnation, Digest: &Digest{
			ID:      id,
			UpTo:    f.next - 1,
			AtMs:    f.atMs,
			Part:    i,
			Parts:   parts,
			Entries: live[:n],
		}}
		live = live[n:]
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
	period := retention / digestsPerRetention
	spread := clock.Millis(xxhash.Sum64String(incarnation) % uint64(period/2+1))
	return max(nowMs, f.atMs) >= f.digestMs+period+spread
}
