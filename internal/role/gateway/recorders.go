package gateway

import (
	"context"
	"maps"
	"slices"

	"github.com/damaskport/damaskport/internal/peer/enginequeue"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/versions"
)

const (
	// behindMargin is by how much longer than the interval between two records a stream waits for one before the
	// gateway says that it is behind.
	behindMargin = 250 * clock.Millisecond
	// behindPoll is the interval at which a gateway looks whether it is behind.
	behindPoll = 200 * clock.Millisecond
	// pingInterval is the shortest time between two heartbeats that ask one gateway for a sign of life.
	pingInterval = 300 * clock.Millisecond
)

// recorderOf returns what a record says of its author, whose key it has. Of a record of an earlier build, the streams
// in it tell at which versions its author begins some.
func recorderOf(key string, b versions.Batch) versions.Recorder {
	if b.Recorder.Process != "" {
		return b.Recorder
	}
	r := versions.Recorder{Process: key, Begins: map[string][]string{}}
	for _, begin := range b.Streams {
		if !slices.Contains(r.Begins[begin.Pool], begin.Version) {
			r.Begins[begin.Pool] = append(r.Begins[begin.Pool], begin.Version)
		}
	}
	return r
}

// recorderGone handles the deletion of the record of a process, which no stream needs.
func (s *streams) recorderGone(process string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recorders.Learn(s.g.clock.Wall(), versions.Recorder{Process: process})
}

// base returns the version at which a stream began that no record holds and j takes up. last is set if the records of
// running gateways have had the time to show it. ok is false if it may have begun at another one: where a gateway has
// not recorded what it began at a further version, or has ended since.
func (s *streams) base(j *job, id versions.ID, last bool) (name string, ok bool) {
	g := s.g
	now := g.clock.Wall()
	s.mu.Lock()
	defer s.mu.Unlock()
	name, ok = s.history.Base(now, j.pool.name)
	if !ok || s.open[id] != nil || s.index.Known(id) || g.epochAge.restoredSince(now-versions.StreamLifetime) {
		return "", false
	}
	if s.history.SwitchedWithin(now, j.pool.name, g.peers.lossesSince(now-versions.StreamLifetime, g.startMs)...) {
		return "", false
	}
	begun := s.recorders.Begun(g.processID, j.pool.name, name)
	if len(begun) == 0 && !s.history.SwitchedWithin(now, j.pool.name, versions.Period{ToMs: now}) {
		return name, true
	}
	for _, process := range begun {
		heard := g.peers.heardSince(process, j.arrivedMs)
		if !s.recorders.Complete(process) || !heard {
			return "", false
		}
	}
	return name, last
}

// namesDueLocked reports whether the record is to name versions that it does not. s.mu is held.
func (s *streams) namesDueLocked(now clock.Millis) bool {
	return !maps.EqualFunc(s.namesLocked(now), s.told.Begins, slices.Equal)
}

// namesLocked returns the further versions that the record is to name, by pool. s.mu is held.
func (s *streams) namesLocked(now clock.Millis) map[string][]string {
	if !s.history.HasFurther() {
		return nil
	}
	return s.history.ToName(now, s.g.fleet.versionCounts())
}

// recorded applies the record that the store holds now, and tells the other gateways which versions it names if these are
// others than before.
func (s *streams) recorded(r versions.Recorder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.Named(r.Begins)
	s.tellLocked(r.Begins)
}

// tellLocked tells the other gateways which versions the record names and whether it is behind, if these have changed.
// s.mu is held, so that they are told in the order of the changes.
func (s *streams) tellLocked(begins map[string][]string) {
	unnamed := s.unnamedMs != 0 && s.g.clock.Wall()-s.unnamedMs <= versions.StreamLifetime
	r := versions.Recorder{Process: s.g.processID, Begins: begins, Behind: s.behindLocked(), Unnamed: unnamed}
	changed := r.Behind != s.told.Behind || r.Unnamed != s.told.Unnamed || !maps.EqualFunc(r.Begins, s.told.Begins, slices.Equal)
	s.told = r
	if changed {
		s.g.peers.broadcast(enginequeue.MethodVersions, func(*peer) any { return enginequeue.Versions{Recorder: &r} })
	}
}

// behindLocked reports whether streams began here that the record should have by now. s.mu is held.
func (s *streams) behindLocked() bool {
	now := s.g.clock.Now()
	late := func(sinceMs clock.Millis) bool { return sinceMs != 0 && now-sinceMs > s.interval()+behindMargin }
	return late(s.waitingMs) || late(s.writingMs)
}

// reportBehind tells the other gateways while this one can't record its streams, until ctx ends.
func (g *Gateway) reportBehind(ctx context.Context) error {
	s := g.streams
	for g.clock.Sleep(ctx, behindPoll) == nil {
		s.mu.Lock()
		s.tellLocked(s.told.Begins)
		s.mu.Unlock()
	}
	return nil
}

// recorder returns what the other gateways were told last.
func (s *streams) recorder() versions.Recorder {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.told
	r.Process = s.g.processID
	return r
}

// learnRecorder applies what another gateway says of its record.
func (s *streams) learnRecorder(r versions.Recorder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recorders.Learn(s.g.clock.Wall(), r)
}
