package batch

import (
	"slices"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/speed"
)

const (
	// firstEventTokens is the work before a first event, beside the prompts to prefill, as
	// prompt tokens: a decode step and the way there and back.
	firstEventTokens = 512
	// minOverdue is the number of requests whose first event is overdue by which an engine
	// counts as slow: a single one may concern only that request or its entry.
	minOverdue = 2
	// maxProgressEvents bounds the events that an entry reports since its last report.
	maxProgressEvents = 1 << 20
)

// Inherit begins the model of the engine's speed with what an entry was told before.
func (s *Scheduler) Inherit(now clock.Millis, f speed.Figures) { s.speed.Inherit(now, f) }

// Progress records that a running request has made events of its answer since its last
// report or, if there was none, since its first event. The last ones of them, recent, took
// recentMs; without any, all count.
func (s *Scheduler) Progress(now clock.Millis, id string, events, recent int, recentMs clock.Millis) {
	r, ok := s.running[id]
	if !ok || !r.begun || events <= 0 || events > maxProgressEvents {
		return
	}
	if recent <= 0 || recent > events || recentMs <= 0 {
		recent, recentMs = events, now-r.progressMs
	}
	s.speed.Add(now, speed.Decode, float64(recent), recentMs)
	r.progressMs = now
}

// Says records the slowness that the engine itself reported; 1 is as usual.
func (s *Scheduler) Says(now clock.Millis, slowness float64) { s.speed.Says(now, slowness) }

// Slowness is what is believed of an engine's speed, and what it rests on.
type Slowness struct {
	// Slow is set if the engine counts as slow, Changed if it did not at the last check, or the
	// other way round.
	Slow, Changed bool
	// Times is how many times as long as usual work takes, AgeMs the age of the last sample.
	Times float64
	AgeMs clock.Millis
	// Said is how many times as long as usual work takes as the engine itself says; 1 if it does
	// not say, or not lately.
	Said float64
}

// CheckSpeed looks, at most every checkInterval, whether the engine has turned slow or has
// recovered.
func (s *Scheduler) CheckSpeed(now clock.Millis) Slowness {
	if now-s.speedCheckMs < checkInterval {
		return Slowness{}
	}
	s.speedCheckMs = now
	s.checkOverdue(now)
	slow, changed := s.speed.Turned(now)
	return Slowness{Slow: slow, Changed: changed, Times: max(s.speed.Slowness(now), s.overdue), AgeMs: s.speed.AgeMs(now), Said: s.speed.Said(now)}
}

// addFirstEvent learns from the time that r took to its first event.
func (s *Scheduler) addFirstEvent(now clock.Millis, r *grantedRequest) {
	if !r.adopted {
		s.speed.Add(now, speed.Prefill, r.firstTokens, now-r.grantedMs)
	}
}

// checkOverdue finds how many times as long as usual the first events of the running
// requests take that have none yet: the minOverdue-th largest value counts.
func (s *Scheduler) checkOverdue(now clock.Millis) {
	s.overdue = 0
	usual, ok := s.speed.Usual(speed.Prefill)
	if !ok || usual <= 0 {
		return
	}
	var all []float64
	for _, r := range s.running {
		if !r.begun && !r.adopted && r.firstTokens > 0 {
			all = append(all, float64(now-r.grantedMs)/(r.firstTokens*usual))
		}
	}
	if len(all) < minOverdue {
		return
	}
	slices.Sort(all)
	if x := all[len(all)-minOverdue]; x >= overdueFactor {
		s.overdue = x
	}
}

// overdueFactor is how many times as long as usual a first event takes that is overdue.
const overdueFactor = 3.0

// figures returns the engine's speed as it is told to the entries.
func (s *Scheduler) figures(now clock.Millis) speed.Figures {
	f := s.speed.Figures(now)
	if s.overdue > f.Slowness {
		f.Slowness = s.overdue
	}
	return f
}

// answerMs returns how long the answer of w takes from its first event, at the engine's
// present speed or, while that isn't known, as its entry expects.
func (s *Scheduler) answerMs(now clock.Millis, w *queuedRequest) clock.Millis {
	if perEvent, ok := s.speed.PerUnit(now, speed.Decode); ok && w.AnswerEvents > 0 {
		return clock.Millis(perEvent * float64(w.AnswerEvents))
	}
	return w.AnswerMs
}

// feasible reports whether w is expected to meet its deadline if the queued requests
// that precede it are served first.
func (s *Scheduler) feasible(now clock.Millis, w *queuedRequest) bool {
	ahead := 0
	for _, o := range s.queue {
		if s.precedes(now, o, w) {
			ahead += o.UncachedTokens
		}
	}
	wait := clock.Millis(float64(ahead) / s.meanPrefillRate())
	if !s.bypassesQueue(w) {
		wait += max(s.nextGrantMs-now, 0)
	}
	answer := s.answerMs(now, w)
	if w.Resumed {
		answer = 0
	}
	return now+wait+s.prefillMs(w.UncachedTokens)+answer <= w.DeadlineMs
}
