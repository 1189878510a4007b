package claim

import (
	"strconv"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// flush appends what is queued when the interval allows it.
func (a *Author) flush(now clock.Millis) []Action {
	if now < a.nextMs {
		return nil
	}
	if len(a.digests) > 0 {
		next := a.digests[0]
		a.digests = a.digests[1:]
		return a.append(now, next, batch{})
	}
	rec, b := a.take()
	if len(rec.Claims)+len(rec.Outcomes) == 0 {
		return nil
	}
	return a.append(now, rec, b)
}

func (a *Author) append(now clock.Millis, rec Record, b batch) []Action {
	a.lastID++
	a.batches[a.lastID] = b
	a.nextMs = now + a.Interval()
	if a.failures >= outageAfter {
		a.nextMs = now + probeAfter
	}
	return []Action{Append{a.lastID, encode(rec)}}
}

// take moves queued claims and outcomes into a batch.
func (a *Author) take() (Record, batch) {
	rec := Record{Incarnation: a.cfg.Incarnation}
	var b batch
	n := 0
	for _, at := range a.queue {
		if len(b.claims) == maxClaims {
			break
		}
		n++
		if at.stage != queued {
			continue
		}
		at.stage = sent
		b.claims = append(b.claims, at)
		rec.Claims = append(rec.Claims, Claim{Key: at.req.Key, Attempt: at.req.Attempt, ExpiresMs: at.req.ExpiresMs})
	}
	a.queue = a.queue[n:]
	m := min(maxClaims, len(a.outcomes))
	b.outcomes = a.outcomes[:m:m]
	a.outcomes = a.outcomes[m:]
	rec.Outcomes = b.outcomes
	return rec, b
}

// Appended tells that a batch was recorded. Its claims are decided when the
// stream has been read up to them.
func (a *Author) Appended(now clock.Millis, id int64) []Action {
	delete(a.batches, id)
	a.failures = 0
	a.slowdown /= 2
	return a.flush(now)
}

// AppendFailed tells that a batch was not and will not be recorded. Its
// claims are sent again until their deadlines.
func (a *Author) AppendFailed(now clock.Millis, id int64) []Action {
	b := a.failed(id)
	a.slowdown = min(maxInterval, max(minInterval, 2*a.slowdown))
	a.nextMs = max(a.nextMs, now+a.Interval())
	var out []Action
	for _, at := range b.claims {
		switch at.stage {
		case sent:
			at.stage = queued
			a.queue = append(a.queue, at)
		case abandoned:
			delete(a.attempts, at.req.Attempt)
		}
	}
	return append(out, a.flush(now)...)
}

// AppendUnknown tells that a batch may or may not be recorded, now or later.
// Its claims are looked for in the stream and not sent again. In an outage
// they are abandoned at once.
func (a *Author) AppendUnknown(now clock.Millis, id int64) []Action {
	for _, at := range a.failed(id).claims {
		at.doubtful = true
	}
	if a.failures < outageAfter {
		return a.flush(now)
	}
	var out []Action
	for _, at := range a.sorted() {
		if at.stage == sent && at.doubtful {
			at.stage = abandoned
			out = append(out, Refuse{at.req, ReasonLog})
		}
	}
	a.nextMs = max(a.nextMs, now+probeAfter)
	return append(out, a.flush(now)...)
}

// failed removes a batch and queues its outcomes again, which is harmless
// when they were recorded.
func (a *Author) failed(id int64) batch {
	b := a.batches[id]
	delete(a.batches, id)
	a.outcomes = append(a.outcomes, b.outcomes...)
	a.failures++
	return b
}

// Maintain writes a digest when one is due at nowWall, the wall-clock time.
// While live claims are unknown it marks the log's time, so that the Fold can
// tell when none is left.
func (a *Author) Maintain(now, nowWall clock.Millis) []Action {
	if a.stopping || now < a.markMs {
		return nil
	}
	if !a.fold.Whole() {
		a.markMs = now + markAfter
		return a.append(now, Record{Incarnation: a.cfg.Incarnation}, batch{})
	}
	if len(a.digests) > 0 || !a.fold.DigestDue(nowWall, a.cfg.RetentionMs, a.cfg.Incarnation) {
		return nil
	}
	id := a.cfg.Incarnation + "-" + strconv.FormatInt(int64(now), 10)
	recs, err := a.fold.Digest(id, a.cfg.Incarnation)
	if err != nil {
		return nil
	}
	a.markMs = now + markAfter
	a.digests = recs
	return a.flush(now)
}
