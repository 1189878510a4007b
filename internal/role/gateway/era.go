package gateway

import (
	"context"
	"fmt"
	"sync"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/epoch"
)

// epochLogEvery is the least time between two log lines on answers whose era cannot be
// placed.
const epochLogEvery = 60 * clock.Second

// byAnswer names the store's own answers as what told of an era.
const byAnswer = "answer"

// EpochMismatchError reports a call that meant a position of another era than the store
// was in when it answered. A record that it was to add may have been added.
type EpochMismatchError struct {
	Requested epoch.Position
	Epoch     epoch.Epoch
}

// Error returns both eras.
func (e *EpochMismatchError) Error() string {
	return fmt.Sprintf("the store is in era %v, meant was %v", e.Epoch, e.Requested)
}

// UnknownEpochError reports an answer that does not tell in which era the store was.
type UnknownEpochError struct{ Reported epoch.Reported }

// Error returns what the answer says instead.
func (e *UnknownEpochError) Error() string {
	if e.Reported.Malformed != "" {
		return fmt.Sprintf("the store tells %q for its era", e.Reported.Malformed)
	}
	return fmt.Sprintf("the store went back to era %v", e.Reported.Epoch)
}

// StaleEpochError reports an answer that came after the store's era had ended.
type StaleEpochError struct{ Reported epoch.Reported }

// Error returns the era.
func (e *StaleEpochError) Error() string {
	return fmt.Sprintf("a late answer of era %v", e.Reported.Epoch)
}

// MixedEpochError reports a snapshot whose pages are of two eras.
type MixedEpochError struct{ First, Reported epoch.Reported }

// Error returns both eras.
func (e *MixedEpochError) Error() string {
	return fmt.Sprintf("pages of era %v and of era %v", e.First.Epoch, e.Reported.Epoch)
}

// ReportedEpoch returns what the last answer says of the store's era.
func (e *MixedEpochError) ReportedEpoch() epoch.Reported { return e.Reported }

// epochStore passes calls on to the store and learns its era from each answer. What
// callers get is of the present era: late answers of an earlier one are errors, and so
// are all that meant a position of another one. Of an answer without a known era only
// records count that order themselves.
type epochStore struct {
	inner Store
	log   logrus.FieldLogger
	clock clock.Clock
	// learned is told of each new era that an answer or another gateway told first.
	learned func(before, now epoch.Epoch, by string)

	mu       sync.Mutex
	epoch    epoch.Epoch
	changed  chan struct{}
	logged   bool
	loggedMs clock.Millis
}

func newEpochStore(s Store, log logrus.FieldLogger, c clock.Clock) *epochStore {
	return &epochStore{inner: s, log: log, clock: c, learned: func(_, _ epoch.Epoch, _ string) {}, changed: make(chan struct{})}
}

// current returns the era that the store is in, and a channel that is closed with the
// next one.
func (s *epochStore) current() (epoch.Epoch, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch, s.changed
}

// present returns the era that the store is in.
func (s *epochStore) present() epoch.Epoch {
	e, _ := s.current()
	return e
}

// learn takes in that the store is in era e, or a later one.
func (s *epochStore) learn(e epoch.Epoch, by string) {
	s.mu.Lock()
	before := s.epoch
	if !e.After(before) {
		s.mu.Unlock()
		return
	}
	s.epoch = e
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
	s.learned(before, e, by)
}

// epochOf returns the era of an answer to a call that was sent in era sent.
func (s *epochStore) epochOf(sent epoch.Epoch, w epoch.Reported) (epoch.Epoch, error) {
	if w.Epoch.Known() {
		s.learn(w.Epoch, byAnswer)
	}
	present := s.present()
	switch {
	case w.Malformed != "":
		s.logUnknownEpoch(w)
		return epoch.Epoch{}, &UnknownEpochError{w}
	case !w.Epoch.Known() && sent != present:
		// It may be of the era before.
		return epoch.Epoch{}, &StaleEpochError{w}
	case !w.Epoch.Known() || w.Epoch == present:
		return present, nil
	case w.Epoch == sent:
		return epoch.Epoch{}, &StaleEpochError{w}
	}
	s.logUnknownEpoch(w)
	return epoch.Epoch{}, &UnknownEpochError{w}
}

// logUnknownEpoch logs an answer whose era is none.
func (s *epochStore) logUnknownEpoch(w epoch.Reported) {
	s.mu.Lock()
	now := s.clock.Now()
	quiet := s.logged && now-s.loggedMs < epochLogEvery
	if !quiet {
		s.logged, s.loggedMs = true, now
	}
	s.mu.Unlock()
	if !quiet {
		s.log.WithFields(logrus.Fields{"event": "storeEraUnknown", "told": w.Epoch.String(), "malformed": w.Malformed[:min(len(w.Malformed), malformedBytes)]}).Warn("the store tells no era that can be; nothing is forgotten for it")
	}
}

// checkError judges an answer that is an error. It returns what to tell the caller.
func (s *epochStore) checkError(sent epoch.Epoch, meant epoch.Position, err error) error {
	var teller interface{ ReportedEpoch() epoch.Reported }
	if !errors.As(err, &teller) {
		return err
	}
	e, epochErr := s.epochOf(sent, teller.ReportedEpoch())
	switch {
	case epochErr != nil:
		return errors.Wrap(epochErr, err.Error())
	case meant.Known() && meant.Epoch() != e:
		return &EpochMismatchError{meant, e}
	}
	return err
}

// in places a snapshot in an era.
func (snap Snapshot) in(e epoch.Epoch) Snapshot {
	snap.Next = snap.Next.In(e)
	for i := range snap.Records {
		snap.Records[i].At = snap.Records[i].At.In(e)
	}
	return snap
}

// Redial has the next call use a new connection.
func (s *epochStore) Redial() { s.inner.Redial() }

// Newest returns the newest record of each key. A snapshot without a next position is
// of an unknown era: nothing follows from what it lacks.
func (s *epochStore) Newest(ctx context.Context, t Topic) (Snapshot, error) {
	sent := s.present()
	snap, err := s.inner.Newest(ctx, t)
	if err != nil {
		return snap, s.checkError(sent, epoch.Position{}, err)
	}
	e, err := s.epochOf(sent, snap.Reported)
	if unplaced := (*UnknownEpochError)(nil); errors.As(err, &unplaced) {
		snap.Next = epoch.Position{}
		return snap, nil
	}
	return snap.in(e), err
}

// Read returns records from a position on. The error is an *EpochMismatchError when the
// store is in another era.
func (s *epochStore) Read(ctx context.Context, t Topic, from epoch.Position, wait clock.Millis) (Snapshot, error) {
	sent := s.present()
	snap, err := s.inner.Read(ctx, t, from, wait)
	if err != nil {
		return snap, s.checkError(sent, from, err)
	}
	e, err := s.epochOf(sent, snap.Reported)
	if err == nil && e != from.Epoch() {
		err = &EpochMismatchError{from, e}
	}
	return snap.in(e), err
}

// Append adds a record in whichever era the store is.
func (s *epochStore) Append(ctx context.Context, t Topic, key string, value []byte) error {
	sent := s.present()
	word, err := s.inner.Append(ctx, t, key, value)
	if err != nil {
		return s.checkError(sent, epoch.Position{}, err)
	}
	_, err = s.epochOf(sent, word)
	return err
}

// AppendAt adds a record if the topic ends at a position of the present era. The error
// is an *EpochMismatchError when the store is in another one.
func (s *epochStore) AppendAt(ctx context.Context, t Topic, key string, value []byte, at epoch.Position) error {
	sent := s.present()
	if !at.Known() || at.Epoch() != sent {
		return &EpochMismatchError{at, sent}
	}
	word, err := s.inner.AppendAt(ctx, t, key, value, at)
	if err != nil {
		return s.checkError(sent, at, err)
	}
	e, err := s.epochOf(sent, word)
	if err == nil && e != at.Epoch() {
		err = &EpochMismatchError{at, e}
	}
	return err
}

// restored has all duties look at the store anew: it came back from a copy. before is
// none when the store tells its era for the first time.
func (g *Gateway) restored(before, now epoch.Epoch, by string) {
	f := logrus.Fields{"event": "storeEra", "era": now.String(), "before": before.String(), "by": by}
	if before.Known() {
		g.metrics.restored()
		g.log.WithFields(f).Warn("the store came back from a copy: all topics are read anew")
	} else {
		g.log.WithFields(f).Info()
	}
	g.updates.wake()
}
