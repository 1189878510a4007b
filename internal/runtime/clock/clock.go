// Package clock provides clocks that read time in milliseconds.
//
// Code that decides by time takes the current time as a Millis argument, so that tests can
// set it; only supervised tasks read a Clock.
package clock

import (
	"context"
	"math"
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

// FromSeconds converts s seconds to Millis, rounding to the nearest: most decimal numbers of seconds have no
// exact float64, and rounding down would make 2.01 s of 2,010 ms 2,009 ms.
func FromSeconds(s float64) Millis {
	return Millis(math.Round(s * float64(Second)))
}

// AddFull returns the end of a period of d that began at a moment at which a clock read m. Readings are
// rounded down, so that m+d may come up to 1 ms before the period is over; AddFull never does.
func (m Millis) AddFull(d Millis) Millis {
	return m + d + 1
}

// Clock is a source of monotonic and wall-clock time.
type Clock interface {
	// Now returns the monotonic time, which includes time that the machine was suspended.
	// Its origin is unspecified.
	Now() Millis
	// Wall returns the time since the Unix epoch, which may jump in both directions.
	Wall() Millis
	// Sleep waits for d and returns nil; if ctx ends first, it returns the error of ctx.
	Sleep(ctx context.Context, d Millis) error
}

// System is the Clock of the operating system.
type System struct{}

// Now returns the time since boot, including time that the machine was suspended. Where the
// system has no such clock, it returns the time since the process started.
func (System) Now() Millis {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return FromDuration(time.Since(processStart))
	}
	return Millis(ts.Nano() / int64(time.Millisecond))
}

// Wall returns the time since the Unix epoch. Builds with the tag clockskew add the skew that
// a test sets.
func (System) Wall() Millis {
	return Millis(time.Now().UnixMilli()) + skew()
}

// Sleep waits for d and returns nil; if ctx ends first, it returns the error of ctx.
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
