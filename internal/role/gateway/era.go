package gateway

import (
	"context"
	"fmt"
	"sync"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/era"
)

// eraLogEvery is the least time between two log lines on answers whose era cannot be
// placed.
const eraLogEvery = 60 * clock.Second

// byAnswer names the store's own answers as what told of an era.
const byAnswer = "answer"

// RestoredError reports a call that meant a position of another era than the store
// was in when it answered. A record that it was to add may have been added.
type RestoredError struct {
	Meant era.Position
	Era   era.Era
}

// Error returns both eras.
func (e *RestoredError) Error() string {
	return fmt.Sprintf("the store is in era %v, meant was %v", e.Era, e.Meant)
}

// UnplacedError reports an answer that does not tell in which era the store was.
type UnplacedError struct{ Word era.Word }

// Error returns what the answer says instead.
func (e *UnplacedError) Error() string {
	if e.Word.Malformed != "" {
		return fmt.Sprintf("the store tells %q for its era", e.Word.Malformed)
	}
	return fmt.Sprintf("the store went back to era %v", e.Word.Era)
}

// LateError reports an answer that came after the store's era had ended.
type LateError struct{ Word era.Word }

// Error returns the era.
func (e *LateError) Error() string { return fmt.Sprintf("a late answer of era %v", e.Word.Era) }

// MixedError reports a snapshot whose pages are of two eras.
type MixedError struct{ First, Word era.Word }

// Error returns both eras.
func (e *MixedError) Error() string {
	return fmt.Sprintf("pages of era %v and of era %v", e.First.Era, e.Word.Era)
}

// EraWord returns what the last answer says of the store's era.
func (e *MixedError) EraWord() era.Word { return e.Word }

// eraStore passes calls on to the store and learns its era from each answer. What
// callers get is of the present era: late answers of an earlier one are errors, and so
// are all that meant a position of another one. Of an answer without a known era only
// records count that order themselves.
type eraStore struct {
	inner Store
	log   logrus.FieldLogger
	clock clock.Clock
	// learned is told of each new era that an answer or another gateway told first.
	learned func(before, now era.Era, by string)

	mu       sync.Mutex
	era      era.Era
	changed  chan struct{}
	logged   bool
	loggedMs clock.Millis
}

func newEraStore(s Store, log logrus.FieldLogger, c clock.Clock) *eraStore {
	return &eraStore{inner: s, log: log, clock: c, learned: func(_, _ era.Era, _ string) {}, changed: make(chan struct{})}
}

// current returns the era that the store is in, and a channel that is closed with the
// next one.
func (s *eraStore) current() (era.Era, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era, s.changed
}

// present returns the era that the store is in.
func (s *eraStore) present() era.Era {
	e, _ := s.current()
	return e
}

// learn takes in that the store is in era e, or a later one.
func (s *eraStore) learn(e era.Era, by string) {
	s.mu.Lock()
	before := s.era
	if !e.After(before) {
		s.mu.Unlock()
		return
	}
	s.era = e
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
	s.learned(before, e, by)
}

// judge returns the era of an answer to a call that was sent in era sent.
func (s *eraStore) judge(sent era.Era, w era.Word) (era.Era, error) {
	if w.Era.Known() {
		s.learn(w.Era, byAnswer)
	}
	present := s.present()
	switch {
	case w.Malformed != "":
		s.unplaced(w)
		return era.Era{}, &UnplacedError{w}
	case !w.Era.Known() && sent != present:
		// It may be of the era before.
		return era.Era{}, &LateError{w}
	case !w.Era.Known() || w.Era == present:
		return present, nil
	case w.Era == sent:
		return era.Era{}, &LateError{w}
	}
	s.unplaced(w)
	return era.Era{}, &UnplacedError{w}
}

// unplaced logs an answer whose era is none.
func (s *eraStore) unplaced(w era.Word) {
	s.mu.Lock()
	now := s.clock.Now()
	quiet := s.logged && now-s.loggedMs < eraLogEvery
	if !quiet {
		s.logged, s.loggedMs = true, now
	}
	s.mu.Unlock()
	if !quiet {
		s.log.WithFields(logrus.Fields{"event": "storeEraUnknown", "told": w.Era.String(), "malformed": w.Malformed[:min(len(w.Malformed), malformedBytes)]}).Warn("the store tells no era that can be; nothing is forgotten for it")
	}
}

// judgeError judges an answer that is an error. It returns what to tell the caller.
func (s *eraStore) judgeError(sent era.Era, meant era.Position, err error) error {
	var teller interface{ EraWord() era.Word }
	if !errors.As(err, &teller) {
		return err
	}
	e, eraErr := s.judge(sent, teller.EraWord())
	switch {
	case eraErr != nil:
		return errors.Wrap(eraErr, err.Error())
	case meant.Known() && meant.Era() != e:
		return &RestoredError{meant, e}
	}
	return err
}

// in places a snapshot in an era.
func (snap Snapshot) in(e era.Era) Snapshot {
	snap.Next = snap.Next.In(e)
	for i := range snap.Records {
		snap.Records[i].At = snap.Records[i].At.In(e)
	}
	return snap
}

// Redial has the next call use a new connection.
func (s *eraStore) Redial() { s.inner.Redial() }

// Newest returns the newest record of each key. A snapshot without a next position is
// of an unknown era: nothing follows from what it lacks.
func (s *eraStore) Newest(ctx context.Context, t Topic) (Snapshot, error) {
	sent := s.present()
	snap, err := s.inner.Newest(ctx, t)
	if err != nil {
		return snap, s.judgeError(sent, era.Position{}, err)
	}
	e, err := s.judge(sent, snap.Word)
	if unplaced := (*UnplacedError)(nil); errors.As(err, &unplaced) {
		snap.Next = era.Position{}
		return snap, nil
	}
	return snap.in(e), err
}

// Read returns records from a position on. The error is a *RestoredError when the
// store is in another era.
func (s *eraStore) Read(ctx context.Context, t Topic, from era.Position, wait clock.Millis) (Snapshot, error) {
	sent := s.present()
	snap, err := s.inner.Read(ctx, t, from, wait)
	if err != nil {
		return snap, s.judgeError(sent, from, err)
	}
	e, err := s.judge(sent, snap.Word)
	if err == nil && e != from.Era() {
		err = &RestoredError{from, e}
	}
	return snap.in(e), err
}

// Append adds a record in whichever era the store is.
func (s *eraStore) Append(ctx context.Context, t Topic, key string, value []byte) error {
	sent := s.present()
	word, err := s.inner.Append(ctx, t, key, value)
	if err != nil {
		return s.judgeError(sent, era.Position{}, err)
	}
	_, err = s.judge(sent, word)
	return err
}

// AppendAt adds a record if the topic ends at a position of the present era. The error
// is a *RestoredError when the store is in another one.
func (s *eraStore) AppendAt(ctx context.Context, t Topic, key string, value []byte, at era.Position) error {
	sent := s.present()
	if !at.Known() || at.Era() != sent {
		return &RestoredError{at, sent}
	}
	word, err := s.inner.AppendAt(ctx, t, key, value, at)
	if err != nil {
		return s.judgeError(sent, at, err)
	}
	e, err := s.judge(sent, word)
	if err == nil && e != at.Era() {
		err = &RestoredError{at, e}
	}
	return err
}

// restored has all duties look at the store anew: it came back from a copy. before is
// none when the store tells its era for the first time.
func (g *Gateway) restored(before, now era.Era, by string) {
	f := logrus.Fields{"event": "storeEra", "era": now.String(), "before": before.String(), "by": by}
	if before.Known() {
		g.metrics.restored()
		g.log.WithFields(f).Warn("the store came back from a copy: all topics are read anew")
	} else {
		g.log.WithFields(f).Info()
	}
	g.hints.wake()
}
