package gateway

import (
	"context"
	"encoding/json"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/epoch"
	"github.com/damaskport/damaskport/internal/state/versions"
)

// interval returns the time between two records of this gateway.
func (s *streams) interval() clock.Millis {
	return minStreamInterval + clock.Millis(s.g.gatewayCount.Load())*streamIntervalPerGateway
}

// keepStreams keeps the record of the streams that began here while a pool has several
// versions, until ctx ends.
func (g *Gateway) keepStreams(ctx context.Context) error {
	s := g.streams
	e, sweptMs := g.store.currentEpoch(), g.clock.Now()
	for s.awaitDue(ctx) {
		if current := g.store.currentEpoch(); current != e {
			// The store may have come back from a backup without the record.
			e = current
			s.recordAgain()
		}
		s.observe()
		if err := s.write(ctx, false); err != nil {
			g.log.WithField("event", "streamsUnwritten").Warn(err)
			_ = g.clock.Sleep(ctx, s.interval())
		}
		if now := g.clock.Now(); now-sweptMs >= versions.StreamLifetime {
			sweptMs = now
			s.sweepRecords(ctx)
		}
	}
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalPublishTimeout.Duration())
	defer cancel()
	return s.write(last, true)
}

// awaitDue waits for the interval between two records, or until one is due at once. It returns false if ctx has ended.
func (s *streams) awaitDue(ctx context.Context) bool {
	wait, cancel := context.WithTimeout(ctx, s.interval().Duration())
	defer cancel()
	select {
	case <-s.due:
	case <-wait.Done():
	}
	return ctx.Err() == nil
}

func (s *streams) recordAgain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unrecorded = true
}

// record returns the streams to be recorded; due is false if the record in the store is as
// good. last is set if the process begins no more streams.
func (s *streams) record(now clock.Millis, last bool) (b versions.Batch, due bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !last && !s.unrecorded && (s.recordedMs == 0 || now-s.recordedMs < rerecordAfter) {
		return b, false
	}
	s.unrecorded = false
	s.waitingMs, s.writingMs = 0, s.waitingMs
	b = versions.Batch{AtMs: now, Streams: map[versions.ID]versions.Begin{}, Unproved: map[versions.ID]versions.Supposed{}}
	b.Recorder = versions.Recorder{Process: s.g.processID, Begins: s.namesLocked(now), Left: last}
	for id, o := range s.open {
		switch {
		case !s.recordedLocked(now, o.Pool):
		case o.proved:
			b.Streams[id] = o.Begin
		default:
			b.Unproved[id] = versions.Supposed{Pool: o.Pool, Version: o.Version, Server: o.Server, Start: o.Start, BeganMs: o.BeganMs}
		}
	}
	return b, needed(b) || s.recordedMs != 0
}

// needed reports whether a record says anything.
func needed(b versions.Batch) bool {
	return len(b.Streams)+len(b.Unproved)+len(b.Recorder.Begins) > 0
}

// write writes the record of the open streams if it is due, and deletes it if there is nothing to say. last is set if the
// process begins no more streams.
func (s *streams) write(ctx context.Context, last bool) error {
	b, due := s.record(s.g.clock.Wall(), last)
	if !due {
		return nil
	}
	var data []byte
	if needed(b) {
		var err error
		if data, err = json.Marshal(b); err != nil {
			return err
		}
	}
	err := s.g.store.Append(ctx, TopicStreams, s.g.processID, data)
	s.g.metrics.storeWrite(TopicStreams, err)
	if err == nil {
		defer s.recorded(b.Recorder)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err != nil:
		s.unrecorded = true
		if s.writingMs != 0 {
			s.waitingMs = s.writingMs
		}
	case len(data) == 0:
		s.recordedMs = 0
	default:
		s.recordedMs = b.AtMs
	}
	s.writingMs = 0
	return err
}

// sweepRecords deletes the records of gateways that are gone once no stream needs them. One
// gateway does it for all, while it has a record itself.
func (s *streams) sweepRecords(ctx context.Context) {
	s.mu.Lock()
	recorded := s.recordedMs != 0
	s.mu.Unlock()
	if !recorded || !s.g.peers.ranksAmong(subjectVersions, 1) {
		return
	}
	s.reading.Lock()
	s.reader.next = epoch.Position{}
	s.reading.Unlock()
	if err := s.refresh(ctx); err != nil {
		s.g.log.WithField("event", "streamsUnread").Warn(err)
		return
	}
	s.mu.Lock()
	outdated := s.outdated
	s.outdated = nil
	s.mu.Unlock()
	for _, key := range outdated {
		if err := s.g.store.Append(ctx, TopicStreams, key, nil); err != nil {
			s.g.log.WithField("event", "streamsUnwritten").Warn(err)
			return
		}
	}
}
