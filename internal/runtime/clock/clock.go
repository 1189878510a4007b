// Package clock supplies time in milliseconds.
//
// All decisions take a Millis value as an argument; only tasks read a Clock.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Millis is a point in time or a duration, in milliseconds.
type Millis int64

// Units of Millis.
const (
	Millisecond Millis = 1
	Second             = 1000 * Millisecond
	Minute             = 60 * Second
	Hour               = 60 * Minute
)

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// FromDuration converts d to Millis, rounding down.
func FromDuration(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// Clock reads time. Now is monotonic and counts suspended time; its origin is
// unspecified. Wall is the time since the Unix epoch and may jump.
type Clock interface {
	Now() Millis
	Wall() Millis
	// Sleep waits for d or until ctx ends, and then returns the error of ctx.
	Sleep(ctx context.Context, d Millis) error
}

// System is the clock of the operating system.
type System struct{}

// Now returns the time since boot, with suspended time included.
func (System) Now() Millis {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return FromDuration(time.Since(processStart))
	}
	return Millis(ts.Nano() / int64(time.Millisecond))
}

// Wall returns the time since the Unix epoch.
func (System) Wall() Millis {
	return Millis(time.Now().UnixMilli()) + skew()
}

// Sleep waits for d or until ctx ends.
func (System) Sleep(ctx context.Context, d Millis) error {
	t := time.NewTimer(d.Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

var processStart = time.Now()
