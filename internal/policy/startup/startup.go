// Package startup decides how long a process that cannot serve yet keeps trying to start.
//
// A process starts from the moment at which it runs until it listens on all its addresses. What it
// lacks then is often on its way: the settings file is being written, or the process before still
// has an address in its grace period. What else has an address may have it for longer: a connection
// for as long as it lives and a minute after that, and nobody can tell when another process ends.
// An end would change none of this, as the platform only starts the process again. So a taken address,
// or a machine that is short of memory or descriptors, is waited for without end; other things are
// waited for for a bounded time, and a wrong setting ends the process at once.
package startup

import "github.com/damaskport/damaskport/internal/runtime/clock"

// Obstacle is what keeps a process from serving.
type Obstacle int

// The obstacles. Only Permanent does not go away by itself.
const (
	// Permanent is an obstacle that waiting does not remove, such as a wrong setting.
	Permanent Obstacle = iota
	// IncompleteSettings is a settings file that is absent, empty or ends early.
	IncompleteSettings
	// MissingAddress is an address that the machine does not have (yet).
	MissingAddress
	// TakenAddress is an address that another process or a connection has.
	TakenAddress
	// Shortage is something that the machine has for all its processes, such as memory or descriptors,
	// and that is used up.
	Shortage
)

// String returns the obstacle as it appears in the log.
func (o Obstacle) String() string {
	switch o {
	case IncompleteSettings:
		return "settings"
	case MissingAddress:
		return "missingAddress"
	case TakenAddress:
		return "address"
	case Shortage:
		return "machine"
	default:
		return "nothing"
	}
}

const (
	// retryEvery is the time between two attempts to start while the process before may be in its
	// way, and slowRetryEvery that after it.
	retryEvery     = 50 * clock.Millisecond
	slowRetryEvery = 500 * clock.Millisecond
	// settingsWait is the longest wait for a complete settings file.
	settingsWait = 5 * clock.Second
	// addressMargin is how long beyond the grace period of the process before an address that the
	// machine does not have is waited for.
	addressMargin = 3 * clock.Second
)

// State is the state of a process that starts. The zero value is that of its first attempt.
type State struct {
	waiting  bool
	obstacle Obstacle
	// sinceMs is when the process met the obstacle, firstMs when it met the first one, and lastMs the
	// time of the last attempt.
	sinceMs, firstMs, lastMs clock.Millis
	// boundedMs is the time spent at obstacles that are waited for for a bounded time.
	boundedMs clock.Millis
}

// Decision says what a process does after an attempt to start that failed.
type Decision struct {
	// GiveUp ends the process with the error of the attempt.
	GiveUp bool
	// RetryMs is the time to the next attempt otherwise.
	RetryMs clock.Millis
	// WaitedMs is the time since the first failure.
	WaitedMs clock.Millis
	// Endless is set if the process never gives up while the obstacle stays; otherwise LeftMs is the
	// time until it does.
	Endless bool
	LeftMs  clock.Millis
}

// WithFailure returns the state after an attempt at time now that met obstacle o, and what to do.
// grace is the longest time for which a process of this role goes on after its stop signal.
//
// Of obstacles that alternate, each stay has the bound of its obstacle, and all stays at bounded ones
// together have the sum of the bounds. The time at what is waited for without end counts for neither.
func (s State) WithFailure(now clock.Millis, o Obstacle, grace clock.Millis) (State, Decision) {
	if !s.waiting {
		s = State{waiting: true, obstacle: o, sinceMs: now, firstMs: now, lastMs: now}
	}
	if !s.obstacle.endless() {
		s.boundedMs += now - s.lastMs
	}
	s.lastMs = now
	if s.obstacle != o {
		s.obstacle, s.sinceMs = o, now
	}
	d := Decision{RetryMs: retryEvery, WaitedMs: now - s.firstMs}
	if d.WaitedMs >= grace+addressMargin {
		d.RetryMs = slowRetryEvery
	}
	if o.endless() {
		d.Endless = true
		return s, d
	}
	together := longestWait(IncompleteSettings, grace) + longestWait(MissingAddress, grace)
	d.LeftMs = max(min(longestWait(o, grace)-(now-s.sinceMs), together-s.boundedMs), 0)
	d.GiveUp = d.LeftMs == 0
	return s, d
}

// endless reports whether an obstacle is waited for without end: others cause it, for as long as they like.
func (o Obstacle) endless() bool { return o == TakenAddress || o == Shortage }

// longestWait returns the longest stay at an obstacle that is waited for for a bounded time.
func longestWait(o Obstacle, grace clock.Millis) clock.Millis {
	switch o {
	case IncompleteSettings:
		return settingsWait
	case MissingAddress:
		return grace + addressMargin
	default:
		return 0
	}
}

const (
	// tellEvery is the time after which a failure for the same reason is told again, and minTellEvery the
	// least time between two that are told.
	tellEvery    = 10 * clock.Second
	minTellEvery = 1 * clock.Second
)

// Told is what the log was told of failed attempts. The zero value is nothing.
type Told struct {
	reason string
	atMs   clock.Millis
}

// WithFailure returns what was told after an attempt at time now that failed for a reason, and whether
// it is to be told: the first one, one for another reason, and one now and then.
func (t Told) WithFailure(now clock.Millis, reason string) (Told, bool) {
	wait := tellEvery
	if reason != t.reason {
		wait = minTellEvery
	}
	if t != (Told{}) && now-t.atMs < wait {
		return t, false
	}
	return Told{reason: reason, atMs: now}, true
}
