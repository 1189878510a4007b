package place

import (
	"math"

	"github.com/damaskport/damaskport/internal/policy/batch"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// Outcome is how a send ended.
type Outcome int

// Sent tells that a request goes to the server of c.
func (b *Book) Sent(c Choice, r Request) {
	if s := b.all[c.ID]; s != nil {
		s.inFlight++
		s.unread += c.Unread
		s.since += c.Unread
		if r.Tight {
			s.tight++
		}
	}
}

// Begun tells that the first event of a send arrived.
func (b *Book) Begun(now clock.Millis, c Choice, r Request) {
	if s := b.all[c.ID]; s != nil {
		s.unread = max(s.unread-c.Unread, 0)
		s.cache.add(now, r.Parts)
	}
}

// Ended tells how a send ended. begun tells that Begun was called for it.
func (b *Book) Ended(now clock.Millis, c Choice, r Request, o Outcome, begun bool, tookMs clock.Millis) {
	s := b.all[c.ID]
	if s == nil {
		return
	}
	s.inFlight = max(s.inFlight-1, 0)
	if r.Tight {
		s.tight = max(s.tight-1, 0)
	}
	if !begun {
		s.unread = max(s.unread-c.Unread, 0)
	}
	s.fails, s.failsMs = s.failing(now), now
	switch o {
	case OutcomeOK:
		s.fails -= s.fails * okWeight
		s.pause, s.untilMs = 0, 0
		if !r.Engine {
			s.timeMs += (float64(tookMs) - s.timeMs) * slowWeight
		}
	case OutcomeFull:
		s.untilMs = max(s.untilMs, now+firstPause/2)
	case OutcomeFailed:
		s.fails += (1 - s.fails) * failWeight
	case OutcomeUnreached:
		s.fails += (1 - s.fails) * failWeight
		s.pause = min(max(2*s.pause, firstPause), lastPause)
		s.untilMs = now + s.pause
	}
}

// Told tells the load that a server's host tells.
func (b *Book) Told(now clock.Millis, id string, l batch.Load) {
	s := b.all[id]
	if s == nil {
		return
	}
	if l.Speed == 0 && l.Rate == 0 {
		l.Speed, l.Rate = s.told.Speed, s.told.Rate
	}
	l.Speed, l.Rate = max(l.Speed, 1), max(l.Rate, 1)
	s.toldMs, s.told, s.since = now, l, 0
}

// Holds tells that a server used shared parts.
func (b *Book) Holds(now clock.Millis, id string, parts []string) {
	if s := b.all[id]; s != nil {
		for _, p := range parts {
			s.cache.hold(now, p)
		}
	}
}

// Untold tells that a server has another host, which has told nothing yet.
func (b *Book) Untold(id string) {
	if s := b.all[id]; s != nil {
		s.toldMs = 0
	}
}

// Load tells the load that a server reported.
func (b *Book) Load(now clock.Millis, id string, running, waiting int) {
	if s := b.all[id]; s != nil {
		s.loadMs, s.running, s.waiting, s.atLoad = now, running, waiting, s.inFlight
	}
}

// failing returns the rate of failures, from 0 to 1; old ones fade.
func (s *state) failing(now clock.Millis) float64 {
	if s.fails == 0 || now <= s.failsMs {
		return s.fails
	}
	f := s.fails * math.Exp2(-float64(now-s.failsMs)/float64(failHalf))
	if f < forgotten {
		return 0
	}
	return f
}

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	return [...]string{"ok", "full", "failed", "unreached", "left"}[o]
}
