// Package sealing decides which usage windows the leader may seal, and which sealed
// figures it reports to the platform.
//
// A window must be reported with the same figures each time, whichever leader reports
// it. The leader therefore seals the figures of a window, that is, writes them to the
// store, before it reports them. A seal is appended only if no other seal was appended
// since the leader last read the store, so a leader that has read the newest seal has
// missed none.
//
// Restoring the store from a backup can lose the last seals although their windows
// were reported. A leader that remains leader during the restore still knows these
// seals, and so do the gateways that it sent them to. A new leader that finds no seal
// in the current epoch of the store treats windows as follows:
//   - A window whose seal was received from another gateway is reported again, with the
//     sealed figures.
//   - A window that ended after the leader learned of the epoch cannot have been sealed
//     in an earlier epoch. It is sealed and reported.
//   - Any other window may have been reported already and is skipped.
//
// The package is a pure state machine with a single owner; the current time is passed
// as an argument.
package sealing

import (
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/epoch"
)

// clockSkewMs is how far the difference between the wall clocks of two gateways may
// exceed the delay between the end of a window and its seal. Each gateway determines
// the end of a window by its own wall clock, so a gateway whose clock is ahead seals a
// window early by the clocks of the others.
const clockSkewMs = 200 * clock.Millisecond

// Usage holds the number of requests of each client account in one window, by account
// name. Window number n starts n window lengths after the Unix epoch.
type Usage struct {
	Window int64            `json:"window"`
	Counts map[string]int64 `json:"counts"`
}

// maxAhead is how far in the future the window of a seal may begin, as clocks differ.
const maxAhead = 60 * clock.Second

// FieldError reports an invalid field of a seal.
type FieldError struct{ Field, Reason string }

// Error returns the name of the field and the reason.
func (e *FieldError) Error() string { return "seal field " + e.Field + " " + e.Reason }

// Check returns a *FieldError if u cannot be a seal at time wall: all windows up to that of a
// seal count as sealed.
func (u Usage) Check(wall, windowMs clock.Millis) error {
	if u.Window < 0 || u.Window > int64((wall+maxAhead)/windowMs) {
		return &FieldError{"window", "is not one of the past"}
	}
	return nil
}

// Seals tracks the newest seal that a gateway knows of and the windows that it has
// reported. It has a single owner and is not safe for concurrent use.
type Seals struct {
	windowMs clock.Millis
	epoch    epoch.Epoch
	// epochSinceMs is when this process learned of the current epoch, or started if the
	// epoch is unknown, by the monotonic clock.
	epochSinceMs clock.Millis
	// newest is the newest known seal of any epoch; nil if none is known.
	newest *Usage
	// complete is set if no seal can be newer than the newest known one.
	complete bool
	// reported is the newest window that this process reported, or whose report it
	// abandoned.
	reported int64
}

// New returns Seals for windows of the given length. The epoch of the store is unknown
// until SetEpoch is called.
func New(now, window clock.Millis) *Seals {
	return &Seals{windowMs: window, epochSinceMs: now}
}

// SetEpoch records that this process learned at the monotonic time now that the store
// is in epoch e. stillLeader tells whether the process has been leader without
// interruption since its seals were complete; if so, they remain complete.
func (s *Seals) SetEpoch(now clock.Millis, e epoch.Epoch, stillLeader bool) {
	if e == s.epoch {
		return
	}
	s.epoch, s.epochSinceMs = e, now
	s.complete = s.complete && stillLeader
}

// LeadershipLost records that this process is no longer leader: another gateway may
// append seals that this one does not know.
func (s *Seals) LeadershipLost() { s.complete = false }

// Read applies the newest seal of the current epoch as read from the store; u is nil if
// the epoch has no seal yet. Seals of earlier epochs may then have been lost, except in
// a store that reports no epoch, since it is never restored from a backup.
func (s *Seals) Read(u *Usage) {
	if u != nil {
		s.keepNewest(*u)
	}
	s.complete = s.complete || u != nil || !s.epoch.Known()
}

// Sealed records that this process has written u to the store as a seal.
func (s *Seals) Sealed(u Usage) { s.Read(&u) }

// Received applies a seal received from another gateway, or read from an earlier epoch
// of the store. A newer seal may exist.
func (s *Seals) Received(u Usage) { s.keepNewest(u) }

func (s *Seals) keepNewest(u Usage) {
	if s.newest == nil || u.Window > s.newest.Window {
		s.newest = &u
	}
}

// Complete reports whether no seal can be newer than the one that Newest returns.
func (s *Seals) Complete() bool { return s.complete }

// Newest returns the newest known seal; ok is false if none is known.
func (s *Seals) Newest() (u Usage, ok bool) {
	if s.newest == nil {
		return Usage{}, false
	}
	return *s.newest, true
}

// NextWindow returns the number of the first window that may be sealed. now is the
// monotonic time and wall the wall-clock time. oldest is the first window whose request
// counts the gateways still keep.
func (s *Seals) NextWindow(now, wall clock.Millis, oldest int64) int64 {
	epochSinceWall := wall - (now - s.epochSinceMs)
	switch {
	case s.newest == nil && s.complete:
		// No window was ever sealed: begin with the last one that ended before
		// epochSinceMs.
		return max(oldest, int64(epochSinceWall/s.windowMs)-1)
	case s.newest != nil:
		oldest = max(oldest, s.newest.Window+1)
	}
	if s.complete {
		return oldest
	}
	return max(oldest, int64((epochSinceWall+clockSkewMs)/s.windowMs))
}

// Pending returns the newest known seal if this process has not reported it yet.
func (s *Seals) Pending() (u Usage, ok bool) {
	if s.newest == nil || s.newest.Window <= s.reported {
		return Usage{}, false
	}
	return *s.newest, true
}

// Reported records that the figures of a window were reported to the platform, or that
// this process abandoned the report after failed attempts.
func (s *Seals) Reported(window int64) { s.reported = max(s.reported, window) }
