package clock

import (
	"context"
	"slices"
	"sync"
)

// voteAge is how long the time that another process told counts: processes
// tell it about twice a second.
const voteAge = 5 * Second

// Voted is a clock whose wall time stays put when the system's time of day
// jumps: it goes on from the time at the start, and follows the median of what
// the other processes tell. It is safe for concurrent use.
type Voted struct {
	base Clock

	mu    sync.Mutex
	own   Millis // wall time minus Now, at the start
	votes map[string]vote
}

type vote struct {
	offset Millis
	atMs   Millis
}

// NewVoted returns a Voted clock on top of base.
func NewVoted(base Clock) *Voted {
	return &Voted{base: base, own: base.Wall() - base.Now(), votes: map[string]vote{}}
}

// Now returns the monotonic time.
func (v *Voted) Now() Millis { return v.base.Now() }

// Sleep waits for d or until ctx ends.
func (v *Voted) Sleep(ctx context.Context, d Millis) error { return v.base.Sleep(ctx, d) }

// Own returns the wall time by this process alone, which it tells the others.
func (v *Voted) Own() Millis {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.base.Now() + v.own
}

// Vote takes in the wall time that another process tells.
func (v *Voted) Vote(name string, wall Millis) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.base.Now()
	v.votes[name] = vote{wall - now, now}
}

// Wall returns the time since the Unix epoch: the median of all that is told.
// Of two processes that differ, each keeps its own.
func (v *Voted) Wall() Millis {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.base.Now()
	offsets := []Millis{v.own}
	for name, o := range v.votes {
		if now-o.atMs > voteAge {
			delete(v.votes, name)
			continue
		}
		offsets = append(offsets, o.offset)
	}
	if len(offsets) == 2 {
		return now + v.own
	}
	slices.Sort(offsets)
	return now + offsets[len(offsets)/2]
}
