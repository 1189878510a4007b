package clock_test

import (
	"testing"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// jumpingClock is a clock whose wall-clock time is off by jump, which a test changes to make
// it jump.
type jumpingClock struct {
	*clock.Manual
	jump clock.Millis
}

func (c *jumpingClock) Wall() clock.Millis { return c.Manual.Wall() + c.jump }

// TestWallIgnoresJumpOfSystemClock sets the system's wall clock forward after the start. Wall
// must not follow it.
func TestWallIgnoresJumpOfSystemClock(t *testing.T) {
	base := &jumpingClock{Manual: clock.NewManual(100, 50000)}
	c := clock.NewVoted(base)
	base.jump = 2000
	base.Advance(10)
	if got := c.Wall(); got != 50010 {
		t.Errorf("Wall = %d after the wall clock jumped, want 50010", got)
	}
}

// TestMedianCorrectsWrongClockAtStart starts a process while its machine's wall clock is wrong.
// The reports of two other processes must correct it; one report, or reports that have expired,
// must not.
func TestMedianCorrectsWrongClockAtStart(t *testing.T) {
	base := &jumpingClock{Manual: clock.NewManual(100, 50000), jump: 2000}
	c := clock.NewVoted(base)
	c.Vote("b", 50000)
	if got := c.Wall(); got != 52000 {
		t.Errorf("Wall = %d with one report, want the local time 52000", got)
	}
	c.Vote("c", 50001)
	if got := c.Wall(); got != 50001 {
		t.Errorf("Wall = %d with two reports, want their median with the local time, 50001", got)
	}
	base.Advance(5001)
	if got := c.Wall(); got != 57001 {
		t.Errorf("Wall = %d after all reports expired, want the local time 57001", got)
	}
}
