package clock_test

import (
	"testing"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// stepped is a clock whose time of day jumps.
type stepped struct {
	*clock.Manual
	step clock.Millis
}

func (s *stepped) Wall() clock.Millis { return s.Manual.Wall() + s.step }

func TestStepOfTheTimeOfDayIsIgnored(t *testing.T) {
	base := &stepped{Manual: clock.NewManual(100, 50000)}
	c := clock.NewVoted(base)
	base.step = 2000
	base.Advance(10)
	if got := c.Wall(); got != 50010 {
		t.Errorf("Wall = %d after a step, want 50010", got)
	}
}

// TestStartWithinAStep starts a process while its machine's time is wrong.
func TestStartWithinAStep(t *testing.T) {
	base := &stepped{Manual: clock.NewManual(100, 50000), step: 2000}
	c := clock.NewVoted(base)
	c.Vote("b", 50000)
	if got := c.Wall(); got != 52000 {
		t.Errorf("Wall = %d with one other process, want the own 52000", got)
	}
	c.Vote("c", 50001)
	if got := c.Wall(); got != 50001 {
		t.Errorf("Wall = %d, want the median 50001", got)
	}
	base.Advance(5001)
	if got := c.Wall(); got != 57001 {
		t.Errorf("Wall = %d without recent votes, want the own 57001", got)
	}
}
