package place

import (
	"github.com/damaskport/damaskport/internal/policy/batch"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

func (b *Book) engineCost(now clock.Millis, s *state, r Request, home, holder *state) (cost float64, unread int, fetch string) {
	kept, all := s.cache.kept(r.Parts), shared(r.Parts)
	again := 0.0
	switch {
	case kept >= all:
	case s == home && holder == nil:
		// Another entry's request has read the shared parts, or will soon.
		kept = all
	case holder != nil:
		again = float64(all-kept) * fetchCost
		kept, fetch = all, holder.ID
	case home != nil:
		// The home may hold the parts, or not yet.
		again, fetch = float64(all-kept)*rereadCost, home.ID
	default:
		again = float64(all-kept) * rereadCost
	}
	unread = max(r.Prompt-kept, 0)
	l := s.load(now)
	cost = (float64(unread) + again) / l.Speed
	if r.Tight {
		cost += tightCost(l)
	} else {
		cost += longCost(l, unread, r.Urgent)
	}
	if s.Zone != b.zone {
		cost += engineZoneMs + float64(r.Prompt)*engineZoneTokenMs
	}
	return cost, unread, fetch
}

// tightCost is the cost of a tight request beside what a server has to do.
func tightCost(l batch.Load) float64 {
	cost := float64(l.ReadMs) + float64(l.Running)*tightRunningMs
	if l.Waiting > 0 {
		cost += queuedMs
	}
	return cost
}

// longCost is the cost of any other request there. One that starts at once waits
// for what is being read, not for its turn.
func longCost(l batch.Load, unread int, urgent bool) float64 {
	wait := l.FreeMs
	if batch.AtOnce(unread, urgent, l.Speed) {
		wait = l.ReadMs
	}
	cost := float64(wait) + float64(l.Running)*runningMs
	if float64(unread)/l.Speed > longMs {
		return cost + float64(l.Tight)*stallMs
	}
	return cost + float64(l.Tight)*mixMs
}

func (s *state) toldAge(now clock.Millis) clock.Millis {
	if s.toldMs == 0 {
		return -1
	}
	return now - s.toldMs
}

// load returns a server's load: what its host told and the own requests
// since then, or what the own requests and answers show.
func (s *state) load(now clock.Millis) batch.Load {
	if age := now - s.toldMs; s.toldMs > 0 && age < toldAgeMs {
		l := s.told.After(age)
		l.FreeMs += clock.Millis(float64(s.since) / l.Rate)
		l.ReadMs += clock.Millis(float64(s.since) / l.Speed)
		l.Running, l.Tight = max(l.Running, s.inFlight), max(l.Tight, s.tight)
		return l
	}
	l := batch.Load{
		FreeMs: clock.Millis(float64(s.unread) / assumedRate), ReadMs: clock.Millis(float64(s.unread) / assumedSpeed),
		Running: s.inFlight, Tight: s.tight, Speed: assumedSpeed, Rate: assumedRate,
	}
	if now-s.loadMs < loadAgeMs {
		l.Running = max(s.running+s.inFlight-s.atLoad, s.inFlight)
		l.Waiting = s.waiting
	}
	return l
}

// shared returns the tokens of all parts but the request's own.
func shared(parts []Part) int {
	n := 0
	for i := 0; i+1 < len(parts); i++ {
		n += parts[i].Tokens
	}
	return n
}

func (b *Book) plainCost(now clock.Millis, s *state) float64 {
	load := s.inFlight
	if now-s.loadMs < loadAgeMs {
		load = max(load, s.running+s.waiting+s.inFlight-s.atLoad)
	}
	queued := float64(max(load+1-max(s.Slots, 1), 0)) / float64(max(s.Slots, 1))
	// A server that is nearly full may be slower; the load orders the others.
	cost := s.timeMs * (1 + queued + 0.1*float64(load)/float64(max(s.Slots, 1)))
	if s.Zone != b.zone {
		cost += zoneCost
	}
	return cost
}
