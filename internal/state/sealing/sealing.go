// Package sealing decides which usage windows a holder of the duties may seal, and
// which sealed figures it reports.
//
// A window is reported with one set of figures, whoever reports it and however often.
// So figures are sealed in the store before they are sent, each seal on condition that
// no other one was added: a holder that has read the newest seal knows all of them.
//
// When the store comes back from a copy, the last seals may be gone though they were
// reported. Those that know better are the holder that held all the while, and the
// gateways that it told. A holder that finds no seal of the present era, and did not
// hold all the while, can tell three kinds of windows apart: one whose seal somebody
// knows is sent again with the figures that it had; one that ended after the era was
// known cannot have been sealed before; and any other may have been reported, and is
// left out.
//
// The package is a pure state machine with a single owner: time is an argument.
package sealing

import (
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/era"
)

// skewMs is by how much longer than the time between a window's end and its seal the
// time of day of two gateways may differ: windows end by that of each.
const skewMs = 200 * clock.Millisecond

// Usage is what client accounts used in one window.
type Usage struct {
	Window int64            `json:"window"`
	Counts map[string]int64 `json:"counts"`
}

// Seals is the state machine.
type Seals struct {
	windowMs clock.Millis
	era      era.Era
	// sinceMs is when the era was known, by the steady clock.
	sinceMs clock.Millis
	// seal is the newest one that is known, of any era.
	seal *Usage
	// whole tells that no seal is unknown.
	whole bool
	// reported is the newest window that this process has reported.
	reported int64
}

// New returns Seals of windows of a length, in no era yet.
func New(now, window clock.Millis) *Seals {
	return &Seals{windowMs: window, sinceMs: now}
}

// Enter tells that the store is in era e, and whether this process held the duties
// all the while since it knew all seals.
func (s *Seals) Enter(now clock.Millis, e era.Era, held bool) {
	if e == s.era {
		return
	}
	s.era, s.sinceMs = e, now
	s.whole = s.whole && held
}

// Lost tells that the duties are no longer held: others may seal.
func (s *Seals) Lost() { s.whole = false }

// Read applies the newest seal of the present era, or none: another one is added only
// by who has read this. A store that tells no era never loses any.
func (s *Seals) Read(u *Usage) {
	if u != nil {
		s.know(*u)
	}
	s.whole = s.whole || u != nil || !s.era.Known()
}

// Sealed notes that this process has sealed u.
func (s *Seals) Sealed(u Usage) { s.Read(&u) }

// Told applies a seal that another gateway knows, or that the store has of an earlier
// era.
func (s *Seals) Told(u Usage) { s.know(u) }

func (s *Seals) know(u Usage) {
	if s.seal == nil || u.Window > s.seal.Window {
		s.seal = &u
	}
}

// Whole reports whether all seals are known.
func (s *Seals) Whole() bool { return s.whole }

// Newest returns the newest seal that is known; ok is false for none.
func (s *Seals) Newest() (u Usage, ok bool) {
	if s.seal == nil {
		return Usage{}, false
	}
	return *s.seal, true
}

// Next returns the first window that may be sealed. oldest is the first one whose
// counts are still known, and wall the time of day.
func (s *Seals) Next(now, wall clock.Millis, oldest int64) int64 {
	since := wall - (now - s.sinceMs)
	switch {
	case s.seal == nil && s.whole:
		// Nothing was ever sealed.
		return max(oldest, int64(since/s.windowMs)-1)
	case s.seal != nil:
		oldest = max(oldest, s.seal.Window+1)
	}
	if s.whole {
		return oldest
	}
	return max(oldest, int64((since+skewMs)/s.windowMs))
}

// Pending returns the seal that this process has not reported yet.
func (s *Seals) Pending() (u Usage, ok bool) {
	if s.seal == nil || s.seal.Window <= s.reported {
		return Usage{}, false
	}
	return *s.seal, true
}

// Reported notes that a window was reported, or is given up.
func (s *Seals) Reported(window int64) { s.reported = max(s.reported, window) }
