package window

import (
	"maps"
	"slices"
	"strings"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// maxIncrements is the maximum number of increments in one record.
const maxIncrements = 10000

// meterKey identifies a running total of a Meter.
type meterKey struct {
	window  Window
	account string
}

// Meter counts the usage of the requests that one sidecar process served, by
// account and window, and returns it as increments, which are running totals, until
// they are recorded. It is not safe for concurrent use.
type Meter struct {
	incarnation string
	lengthMs    clock.Millis
	counts      map[meterKey]Figures
	// unrecorded holds the keys whose current count is not known to be recorded.
	unrecorded map[meterKey]bool
	lost       int64 // number of tokens in counts removed before they were recorded
}

// NewMeter returns a Meter for windows of the given length; the maximum is 48 hours.
// The incarnation identifies the process; a restarted process has a new one.
func NewMeter(incarnation string, length clock.Millis) *Meter {
	return &Meter{
		incarnation: incarnation,
		lengthMs:    min(length, maxLength),
		counts:      map[meterKey]Figures{},
		unrecorded:  map[meterKey]bool{},
	}
}

// Add counts usage of an account at wall-clock time at.
func (m *Meter) Add(at clock.Millis, account string, f Figures) {
	k := meterKey{Containing(at, m.lengthMs), account}
	m.counts[k] = m.counts[k].Plus(f)
	m.unrecorded[k] = true
}

// Take returns a record of increments that are not recorded yet, the oldest
// windows first, and whether there are any. The Meter assumes that they are recorded
// unless Requeue is called with the record.
func (m *Meter) Take() (Record, bool) {
	rec := Record{Incarnation: m.incarnation}
	keys := slices.SortedFunc(maps.Keys(m.unrecorded), func(a, b meterKey) int {
		if c := compareWindows(a.window, b.window); c != 0 {
			return c
		}
		return strings.Compare(a.account, b.account)
	})
	for _, k := range keys[:min(len(keys), maxIncrements)] {
		delete(m.unrecorded, k)
		rec.Increments = append(rec.Increments, Increment{Account: k.account, Window: k.window, Figures: m.counts[k]})
	}
	return rec, len(rec.Increments) > 0
}

// Requeue reports that a record from Take was not, or may not have been,
// recorded. Take then returns its increments again, which is harmless if they
// were recorded.
func (m *Meter) Requeue(rec Record) {
	for _, in := range rec.Increments {
		m.unrecorded[meterKey{in.Window, in.Account}] = true
	}
}

// Forget removes the counts of windows that accept no more increments at
// wall-clock time now. Counts that were not recorded by then are lost.
func (m *Meter) Forget(now clock.Millis) {
	for k, f := range m.counts {
		if now >= k.window.EndMs+AcceptIncrementsMs {
			if m.unrecorded[k] {
				m.lost += f.Tokens()
			}
			delete(m.counts, k)
			delete(m.unrecorded, k)
		}
	}
}

// Unrecorded returns the number of counts that Take has not returned since they
// changed or Requeue was called.
func (m *Meter) Unrecorded() int { return len(m.unrecorded) }

// Lost returns the number of tokens in counts that Forget removed before they
// were recorded.
func (m *Meter) Lost() int64 { return m.lost }
