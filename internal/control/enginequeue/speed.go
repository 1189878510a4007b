package enginequeue

import (
	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// logSpeed logs and counts a change of the belief that an engine is slow.
func (h *Host) logSpeed(now clock.Millis, e *engine) {
	b := e.batch.CheckSpeed(now)
	if !b.Changed {
		return
	}
	load := e.batch.Load(now)
	event := "engineRecovered"
	if b.Slow {
		event = "engineSlow"
		h.scope.Counter("engines_turned_slow").Inc(1)
	}
	h.log.WithFields(logrus.Fields{
		"event": event, "server": e.ID, "slowness": b.Times, "said": b.Said, "ageMs": int64(b.AgeMs), "decodeMs": load.DecodeMs, "usualDecodeMs": load.UsualDecodeMs,
		"prefillRate": load.PrefillRate, "running": load.Running,
	}).Info()
}
