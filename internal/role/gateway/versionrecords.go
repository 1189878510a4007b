package gateway

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/peer/enginequeue"
	"github.com/damaskport/damaskport/internal/state/versions"
)

// keepVersions reads the versions that the store holds, follows those that are listed, and
// keeps the store's record of them, until ctx ends.
func (g *Gateway) keepVersions(ctx context.Context) error {
	s := g.streams
	reader := &topicReader{g: g, topic: TopicVersions}
	written, failures := 0, 0
	e := g.store.currentEpoch()
	for ctx.Err() == nil {
		if reader.readMs == 0 || g.clock.Now()-reader.readMs >= versionsReread && s.unstored() {
			if err := s.readVersions(ctx, reader); err != nil {
				reader.backOffAgain(ctx)
				continue
			}
		}
		s.observe()
		if current := g.store.currentEpoch(); current != e {
			e, written = current, 0
		}
		spans, change := s.spans()
		if change == written || !g.peers.ranksAmong(subjectVersions, versionWriters) {
			g.fleet.awaitList(ctx, observeInterval)
			continue
		}
		if err := s.writeSpans(ctx, spans); err != nil {
			failures++
			g.backOff(ctx, failures, false)
			continue
		}
		written, failures = change, 0
	}
	return nil
}

// spans returns all versions, and the number of changes so far.
func (s *streams) spans() (versions.Spans, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history.Spans(), s.change
}

// isLoaded reports whether the versions that the store holds are known.
func (s *streams) isLoaded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history.Loaded()
}

// unstored reports whether a listed version may not be used yet.
func (s *streams) unstored() bool {
	now, listed := s.g.clock.Wall(), s.g.fleet.listedVersions()
	s.mu.Lock()
	defer s.mu.Unlock()
	for pool, all := range listed {
		if slices.ContainsFunc(all, func(v string) bool { return !s.history.Established(now, pool, v) }) {
			return true
		}
	}
	return false
}

// readVersions merges the versions that the store holds.
func (s *streams) readVersions(ctx context.Context, reader *topicReader) error {
	snap, _, err := reader.read(ctx, 0)
	if err != nil {
		return err
	}
	for _, r := range snap.Records {
		if len(r.Value) == 0 {
			continue
		}
		var spans versions.Spans
		if err := json.Unmarshal(r.Value, &spans); err != nil {
			s.g.log.WithFields(logrus.Fields{"event": "versionsInvalid", "key": r.Key}).Warn(err)
			continue
		}
		s.mergeVersions(spans, true)
	}
	s.setLoaded()
	return nil
}

// writeSpans writes the versions to the store, and tells the other gateways that it holds
// them.
func (s *streams) writeSpans(ctx context.Context, spans versions.Spans) error {
	data, err := json.Marshal(spans)
	if err != nil {
		return err
	}
	err = s.g.store.Append(ctx, TopicVersions, s.g.name, data)
	s.g.metrics.storeWrite(TopicVersions, err)
	if err != nil {
		return err
	}
	s.mergeVersions(spans, true)
	s.g.peers.broadcast(enginequeue.MethodVersions, func(*peer) any { return enginequeue.Versions{Spans: spans, Stored: true} })
	return nil
}

// mergeVersions adds versions that another gateway or the store knows.
func (s *streams) mergeVersions(spans versions.Spans, stored bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.history.Merge(s.g.clock.Wall(), spans, stored) {
		s.change++
	}
}

// passed applies the versions of servers that came and went between two reads of the list, by pool.
func (s *streams) passed(all map[string][]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.history.Passed(s.g.clock.Wall(), all) {
		s.change++
		s.unrecorded = true
	}
}

func (s *streams) setLoaded() {
	s.mu.Lock()
	s.history.SetLoaded()
	s.mu.Unlock()
	s.observe()
}

// receiveVersions handles the versions that another gateway tells.
func (g *Gateway) receiveVersions(from string, data json.RawMessage) error {
	var m enginequeue.Versions
	if err := json.Unmarshal(data, &m); err != nil {
		g.log.WithFields(logrus.Fields{"event": "versionsInvalid", "key": from}).Warn(err)
		return nil
	}
	if m.Recorder != nil {
		g.streams.learnRecorder(*m.Recorder)
	}
	g.streams.mergeVersions(m.Spans, m.Stored)
	return nil
}
