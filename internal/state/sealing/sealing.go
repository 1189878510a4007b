// Package sealing decides which usage windows the leader may seal, and which sealed
// figures it reports.
//
// A window must always be reported with the same figures, by any leader and any number
// of times. The figures are therefore sealed (written to the store) before they are
// reported. Each seal is appended on condition that no other was appended since the
// leader's last read, so a leader that has read the newest seal knows all of them.
//
// When the store is restored from a backup, its last seals may be lost although their
// windows were reported. They are still known to a leader that stayed leader, and to
// the gateways that it sent them to. A new leader that finds no seal in the present
// epoch distinguishes three cases: a window whose seal any gateway knows is reported
// again with the sealed figures; a window that ended after this leader learned of the epoch
// cannot have been sealed before; any other window may have been reported and is
// skipped.
//
// The package is a pure state machine with a single owner: time is an argument.
package sealing

import (
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/epoch"
)

// skewMs is how far the difference between the wall clocks of two gateways may exceed
// the time between a window's end and its seal. Each gateway ends windows by its own
// wall clock.
const skewMs = 200 * clock.Millisecond

// Usage holds the usage of each client account in one window. Window is the number of
// window lengths since the Unix epoch.
type Usage struct {
	Window int64            `json:"window"`
	Counts map[string]int64 `json:"counts"`
}

// Seals is the state machine.
type Seals struct {
	windowMs clock.Millis
	era      epoch.Epoch
	// sinceMs is when this process learned of the epoch, by the monotonic clock.
	sinceMs clock.Millis
	// seal is the newest known seal of any epoch.
	seal *Usage
	// whole is set if all seals are known.
	whole bool
	// reported is the newest window that this process reported or skipped.
	reported int64
}

// New returns Seals for windows of the given length, in an unknown epoch.
func New(now, window clock.Millis) *Seals {
	return &Seals{windowMs: window, sinceMs: now}
}

// SetEpoch records that the store is in epoch e. held says whether this process has been
// leader without interruption since it knew all seals.
func (s *Seals) SetEpoch(now clock.Millis, e epoch.Epoch, held bool) {
	if e == s.era {
		return
	}
	s.era, s.sinceMs = e, now
	s.whole = s.whole && held
}

// LeadershipLost records that this process is no longer leader, so that others may seal.
func (s *Seals) LeadershipLost() { s.whole = false }

// Read applies the newest seal of the present epoch as read from the store; nil if
// there is none. A store that reports no epoch is never restored and loses no seals.
func (s *Seals) Read(u *Usage) {
	if u != nil {
		s.know(*u)
	}
	s.whole = s.whole || u != nil || !s.era.Known()
}

// Sealed records that this process has sealed u.
func (s *Seals) Sealed(u Usage) { s.Read(&u) }

// Received applies a seal received from another gateway, or read from an earlier epoch of
// the store.
func (s *Seals) Received(u Usage) { s.know(u) }

func (s *Seals) know(u Usage) {
	if s.seal == nil || u.Window > s.seal.Window {
		s.seal = &u
	}
}

// Complete reports whether all seals are known.
func (s *Seals) Complete() bool { return s.whole }

// Newest returns the newest known seal; ok is false if there is none.
func (s *Seals) Newest() (u Usage, ok bool) {
	if s.seal == nil {
		return Usage{}, false
	}
	return *s.seal, true
}

// NextWindow returns the first window that may be sealed. oldest is the first window whose
// counts are still kept, and wall is the wall-clock time.
func (s *Seals) NextWindow(now, wall clock.Millis, oldest int64) int64 {
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

// Pending returns the newest known seal if this process has not reported it yet.
func (s *Seals) Pending() (u Usage, ok bool) {
	if s.seal == nil || s.seal.Window <= s.reported {
		return Usage{}, false
	}
	return *s.seal, true
}

// Reported records that a window was reported, or that its report was abandoned.
func (s *Seals) Reported(window int64) { s.reported = max(s.reported, window) }
