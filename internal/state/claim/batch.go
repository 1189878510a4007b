package claim

import (
	"strconv"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// flush appends the next part of a digest if there is one, else the queued claims
// and outcomes. It does nothing before nextAppendMs.
func (a *Author) flush(now clock.Millis) []Action {
	if now < a.nextAppendMs {
		return nil
	}
	if len(a.snapshotParts) > 0 {
		next := a.snapshotParts[0]
		a.snapshotParts = a.snapshotParts[1:]
		return a.append(now, next, batch{})
	}
	rec, b := a.nextBatch()
	if len(rec.Claims)+len(rec.Outcomes) == 0 {
		return nil
	}
	return a.append(now, rec, b)
}

// append returns the action that appends rec, and sets the time of the next append.
func (a *Author) append(now clock.Millis, rec Record, b batch) []Action {
	a.lastBatch++
	a.batches[a.lastBatch] = b
	a.nextAppendMs = now + a.Interval()
	if a.failures >= outageThreshold {
		a.nextAppendMs = now + probeInterval
	}
	return []Action{Append{a.lastBatch, encode(rec)}}
}

// nextBatch moves queued claims and outcomes into a batch, at most maxClaims of each.
func (a *Author) nextBatch() (Record, batch) {
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

// Appended reports that a batch was recorded. Its claims are decided once the
// stream has been read up to them.
func (a *Author) Appended(now clock.Millis, id int64) []Action {
	delete(a.batches, id)
	a.failures = 0
	a.backoff /= 2
	return a.flush(now)
}

// AppendFailed reports that a batch was not recorded and never will be. Its
// claims are retried until their deadlines.
func (a *Author) AppendFailed(now clock.Millis, id int64) []Action {
	b := a.dropBatch(id)
	a.backoff = min(maxAppendInterval, max(minAppendInterval, 2*a.backoff))
	a.nextAppendMs = max(a.nextAppendMs, now+a.Interval())
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

// AppendUnknown reports that the result of appending a batch is unknown: the batch
// may have been recorded, or may be recorded later. Its claims are not retried,
// since reading the stream shows whether they were recorded. During an outage all
// claims with unknown results are abandoned and refused at once.
func (a *Author) AppendUnknown(now clock.Millis, id int64) []Action {
	for _, at := range a.dropBatch(id).claims {
		at.resultUnknown = true
	}
	if a.failures < outageThreshold {
		return a.flush(now)
	}
	var out []Action
	for _, at := range a.notHandedOver() {
		if at.stage == sent && at.resultUnknown {
			at.stage = abandoned
			out = append(out, Refuse{at.req, ReasonLog})
		}
	}
	a.nextAppendMs = max(a.nextAppendMs, now+probeInterval)
	return append(out, a.flush(now)...)
}

// dropBatch removes and returns a batch whose append did not succeed, counts the
// failure and queues the outcomes of the batch again. Recording an outcome twice
// has no further effect.
func (a *Author) dropBatch(id int64) batch {
	b := a.batches[id]
	delete(a.batches, id)
	a.outcomes = append(a.outcomes, b.outcomes...)
	a.failures++
	return b
}

// Maintain starts to write a digest (a snapshot of the live claims, in parts) if one
// is due at wall-clock time nowWall. While live claims are unknown, it appends empty
// records instead: they advance the log time until all claims that the Fold may have
// missed have expired. Call it regularly.
func (a *Author) Maintain(now, nowWall clock.Millis) []Action {
	if a.stopping || now < a.nextMaintenanceMs {
		return nil
	}
	if !a.fold.Complete() {
		a.nextMaintenanceMs = now + maintenanceInterval
		return a.append(now, Record{Incarnation: a.cfg.Incarnation}, batch{})
	}
	if len(a.snapshotParts) > 0 || !a.fold.DigestDue(nowWall, a.cfg.RetentionMs, a.cfg.Incarnation) {
		return nil
	}
	id := a.cfg.Incarnation + "-" + strconv.FormatInt(int64(now), 10)
	recs, err := a.fold.Digest(id, a.cfg.Incarnation)
	if err != nil {
		return nil
	}
	a.nextMaintenanceMs = now + maintenanceInterval
	a.snapshotParts = recs
	return a.flush(now)
}
