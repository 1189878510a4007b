package clock

import (
	"context"
	"slices"
	"sync"
)

// maxReportAge is how long a wall-clock time reported by another process is used. Processes
// report it with each heartbeat, about once a second on an active connection.
const maxReportAge = 5 * Second

// Voted is a Clock whose wall-clock time does not follow jumps of the system's wall clock. It
// reads the system's wall clock once, at the start, and advances that time by the monotonic
// clock. Wall returns the median of this local time and the times that other processes report,
// which corrects a machine whose time was wrong at the start. It is safe for concurrent use.
type Voted struct {
	base Clock

	mu          sync.Mutex
	localOffset Millis // wall-clock time minus monotonic time, at the start
	reports     map[string]report
}

// report is the wall-clock time reported by another process.
type report struct {
	offset     Millis // reported wall-clock time minus local monotonic time
	receivedMs Millis // local monotonic time at which the report arrived
}

// NewVoted returns a Voted clock that starts at the current time of base.
func NewVoted(base Clock) *Voted {
	return &Voted{base: base, localOffset: base.Wall() - base.Now(), reports: map[string]report{}}
}

// Now returns the monotonic time of the base clock.
func (v *Voted) Now() Millis { return v.base.Now() }

// Sleep waits for d and returns nil; if ctx ends first, it returns the error of ctx.
func (v *Voted) Sleep(ctx context.Context, d Millis) error { return v.base.Sleep(ctx, d) }

// Own returns the local wall-clock time, without regard to other processes' reports. It is
// the time that this process reports to the others.
func (v *Voted) Own() Millis {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.base.Now() + v.localOffset
}

// Vote records the wall-clock time that the named process reports now. It replaces that
// process's earlier report.
func (v *Voted) Vote(name string, wall Millis) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.base.Now()
	v.reports[name] = report{wall - now, now}
}

// Wall returns the time since the Unix epoch: the median of the local time and the reports
// of the last maxReportAge. With only one such report, it returns the local time, as there is no
// majority to tell which of the two processes is wrong.
func (v *Voted) Wall() Millis {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.base.Now()
	offsets := []Millis{v.localOffset}
	for name, received := range v.reports {
		if now-received.receivedMs > maxReportAge {
			delete(v.reports, name)
			continue
		}
		offsets = append(offsets, received.offset)
	}
	if len(offsets) == 2 {
		return now + v.localOffset
	}
	slices.Sort(offsets)
	return now + offsets[len(offsets)/2]
}
