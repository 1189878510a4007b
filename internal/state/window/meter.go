package window

import (
	"maps"
	"slices"
	"strings"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// maxIncrements bounds the increments of one record.
const maxIncrements = 10000

type meterKey struct {
	window  Window
	account string
}

// Meter counts what one sidecar process has generated, and states it in
// cumulative increments until they are recorded. It has a single owner.
type Meter struct {
	incarnation string
	lengthMs    clock.Millis
	counts      map[meterKey]Figures
	// dirty are the counts that no record states which was recorded.
	dirty map[meterKey]bool
	lost  int64
}

// NewMeter returns a Meter for windows of the given length. The incarnation
// must be unique to the process.
func NewMeter(incarnation string, length clock.Millis) *Meter {
	return &Meter{
		incarnation: incarnation,
		lengthMs:    min(length, maxLength),
		counts:      map[meterKey]Figures{},
		dirty:       map[meterKey]bool{},
	}
}

// Add counts what was generated at the wall-clock time at.
func (m *Meter) Add(at clock.Millis, account string, f Figures) {
	k := meterKey{At(at, m.lengthMs), account}
	m.counts[k] = m.counts[k].Plus(f)
	m.dirty[k] = true
}

// Take returns a record of increments that wait, the oldest first. They wait
// again after Failed.
func (m *Meter) Take() (Record, bool) {
	rec := Record{Incarnation: m.incarnation}
	keys := slices.SortedFunc(maps.Keys(m.dirty), func(a, b meterKey) int {
		if c := compare(a.window, b.window); c != 0 {
			return c
		}
		return strings.Compare(a.account, b.account)
	})
	for _, k := range keys[:min(len(keys), maxIncrements)] {
		delete(m.dirty, k)
		rec.Increments = append(rec.Increments, Increment{Account: k.account, Window: k.window, Figures: m.counts[k]})
	}
	return rec, len(rec.Increments) > 0
}

// Failed tells that a record was or may not have been recorded; stating its
// increments again is harmless.
func (m *Meter) Failed(rec Record) {
	for _, in := range rec.Increments {
		m.dirty[meterKey{in.Window, in.Account}] = true
	}
}

// Forget removes counts that need not be stated any more at the wall-clock
// time now, and those that would come too late.
func (m *Meter) Forget(now clock.Millis) {
	for k, f := range m.counts {
		if now >= k.window.EndMs+KeepMs {
			if m.dirty[k] {
				m.lost += f.Tokens()
			}
			delete(m.counts, k)
			delete(m.dirty, k)
		}
	}
}

// Waiting returns the number of counts that are not recorded.
func (m *Meter) Waiting() int { return len(m.dirty) }

// Lost returns the tokens of counts that were forgotten unrecorded.
func (m *Meter) Lost() int64 { return m.lost }
