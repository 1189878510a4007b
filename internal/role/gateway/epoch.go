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

// epochLogEvery is the minimum time between two log lines about answers that report a
// malformed or an earlier epoch.
const epochLogEvery = 60 * clock.Second

// sourceAnswer is the source of an epoch that was first reported by an answer of the
// store. Otherwise the source is the name of the gateway that reported it.
const sourceAnswer = "answer"

// EpochMismatchError reports a call for a position of another epoch than the store was
// in when it answered. A record that the call was to append may have been appended.
type EpochMismatchError struct {
	Requested epoch.Position
	Epoch     epoch.Epoch
}

// Error returns the epoch of the store and the requested position.
func (e *EpochMismatchError) Error() string {
	return fmt.Sprintf("store is in epoch %v, but the requested position is %v", e.Epoch, e.Requested)
}

// UnknownEpochError reports an answer whose epoch is malformed, or earlier than both
// the current epoch and the one in which the call was sent.
type UnknownEpochError struct{ Reported epoch.Reported }

// Error returns the epoch as reported by the answer.
func (e *UnknownEpochError) Error() string {
	if e.Reported.Malformed != "" {
		return fmt.Sprintf("store reported malformed epoch %q", e.Reported.Malformed)
	}
	return fmt.Sprintf("store reported epoch %v, which is earlier than the current one", e.Reported.Epoch)
}

// StaleEpochError reports an answer that is, or may be, of an epoch that ended before
// the answer arrived.
type StaleEpochError struct{ Reported epoch.Reported }

// Error returns the epoch as reported by the delayed answer.
func (e *StaleEpochError) Error() string {
	return fmt.Sprintf("delayed answer of an earlier epoch (reported epoch: %v)", e.Reported.Epoch)
}

// MixedEpochError reports a snapshot whose pages were read in two epochs.
type MixedEpochError struct{ First, Reported epoch.Reported }

// Error returns both epochs.
func (e *MixedEpochError) Error() string {
	return fmt.Sprintf("snapshot has pages of epoch %v and of epoch %v", e.First.Epoch, e.Reported.Epoch)
}

// ReportedEpoch returns the epoch that the last answer reported.
func (e *MixedEpochError) ReportedEpoch() epoch.Reported { return e.Reported }

// epochStore passes calls on to a Store and learns the store epoch from each answer.
// Results are always of the current epoch: a delayed answer of an earlier epoch is an
// error, and so is the answer to a call for a position of another epoch. From an answer
// of an unknown epoch only those records can be used that carry an order of their own,
// such as a version or a sequence number.
type epochStore struct {
	inner Store
	log   logrus.FieldLogger
	clock clock.Clock
	// onNewEpoch is called with each new epoch and its source: sourceAnswer, or the name of
	// the gateway that reported it first.
	onNewEpoch func(before, now epoch.Epoch, source string)

	mu       sync.Mutex
	epoch    epoch.Epoch
	changed  chan struct{}
	logged   bool
	loggedMs clock.Millis
}

func newEpochStore(s Store, log logrus.FieldLogger, c clock.Clock) *epochStore {
	return &epochStore{inner: s, log: log, clock: c, onNewEpoch: func(_, _ epoch.Epoch, _ string) {}, changed: make(chan struct{})}
}

// epochAndChange returns the current store epoch, and a channel that is closed when a
// later one is learned.
func (s *epochStore) epochAndChange() (epoch.Epoch, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch, s.changed
}

// currentEpoch returns the current store epoch.
func (s *epochStore) currentEpoch() epoch.Epoch {
	e, _ := s.epochAndChange()
	return e
}

// learn applies the report that the store is in epoch e. An epoch that is not later
// than the current one is ignored. source is as for onNewEpoch.
func (s *epochStore) learn(e epoch.Epoch, source string) {
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
	s.onNewEpoch(before, e, source)
}

// epochOf returns the epoch of an answer that reported r, to a call that was sent in
// epoch sent. The error is an *UnknownEpochError or a *StaleEpochError.
func (s *epochStore) epochOf(sent epoch.Epoch, r epoch.Reported) (epoch.Epoch, error) {
	if r.Epoch.Known() {
		s.learn(r.Epoch, sourceAnswer)
	}
	current := s.currentEpoch()
	switch {
	case r.Malformed != "":
		s.logUnknownEpoch(r)
		return epoch.Epoch{}, &UnknownEpochError{r}
	case !r.Epoch.Known() && sent != current:
		// The answer may be of the epoch in which the call was sent.
		return epoch.Epoch{}, &StaleEpochError{r}
	case !r.Epoch.Known() || r.Epoch == current:
		return current, nil
	case r.Epoch == sent:
		return epoch.Epoch{}, &StaleEpochError{r}
	}
	s.logUnknownEpoch(r)
	return epoch.Epoch{}, &UnknownEpochError{r}
}

// logUnknownEpoch logs an answer that reported a malformed or an earlier epoch, at most
// once per epochLogEvery.
func (s *epochStore) logUnknownEpoch(r epoch.Reported) {
	s.mu.Lock()
	now := s.clock.Now()
	suppressed := s.logged && now-s.loggedMs < epochLogEvery
	if !suppressed {
		s.logged, s.loggedMs = true, now
	}
	s.mu.Unlock()
	if !suppressed {
		s.log.WithFields(logrus.Fields{"event": "storeEraUnknown", "told": r.Epoch.String(), "malformed": r.Malformed[:min(len(r.Malformed), maxLoggedValueBytes)]}).Warn("store reported a malformed or an earlier epoch; keeping all data of the current epoch")
	}
}

// checkError checks the epoch of an error answer and returns the error for the caller.
// requested is the position that the call was for, or the unknown position.
func (s *epochStore) checkError(sent epoch.Epoch, requested epoch.Position, err error) error {
	var reporter interface{ ReportedEpoch() epoch.Reported }
	if !errors.As(err, &reporter) {
		return err
	}
	e, epochErr := s.epochOf(sent, reporter.ReportedEpoch())
	switch {
	case epochErr != nil:
		return errors.Wrap(epochErr, err.Error())
	case requested.Known() && requested.Epoch() != e:
		return &EpochMismatchError{requested, e}
	}
	return err
}

// withEpoch returns the snapshot with epoch e in all its positions that have no epoch.
func (snap Snapshot) withEpoch(e epoch.Epoch) Snapshot {
	snap.Next = snap.Next.In(e)
	for i := range snap.Records {
		snap.Records[i].At = snap.Records[i].At.In(e)
	}
	return snap
}

// Redial makes the next call use a new connection.
func (s *epochStore) Redial() { s.inner.Redial() }

// Newest returns the newest record of each key. If the epoch of the answer is unknown,
// Snapshot.Next is the unknown position, and keys that are missing from the snapshot
// may exist.
func (s *epochStore) Newest(ctx context.Context, t Topic) (Snapshot, error) {
	sent := s.currentEpoch()
	snap, err := s.inner.Newest(ctx, t)
	if err != nil {
		return snap, s.checkError(sent, epoch.Position{}, err)
	}
	e, err := s.epochOf(sent, snap.Reported)
	if unknownEpoch := (*UnknownEpochError)(nil); errors.As(err, &unknownEpoch) {
		snap.Next = epoch.Position{}
		return snap, nil
	}
	return snap.withEpoch(e), err
}

// Read returns the records from a position on. The error is an *EpochMismatchError if
// the store is in another epoch.
func (s *epochStore) Read(ctx context.Context, t Topic, from epoch.Position, wait clock.Millis) (Snapshot, error) {
	sent := s.currentEpoch()
	snap, err := s.inner.Read(ctx, t, from, wait)
	if err != nil {
		return snap, s.checkError(sent, from, err)
	}
	e, err := s.epochOf(sent, snap.Reported)
	if err == nil && e != from.Epoch() {
		err = &EpochMismatchError{from, e}
	}
	return snap.withEpoch(e), err
}

// Append adds a record, whatever the epoch of the store.
func (s *epochStore) Append(ctx context.Context, t Topic, key string, value []byte) error {
	sent := s.currentEpoch()
	reported, err := s.inner.Append(ctx, t, key, value)
	if err != nil {
		return s.checkError(sent, epoch.Position{}, err)
	}
	_, err = s.epochOf(sent, reported)
	return err
}

// AppendAt adds a record on condition that the topic ends at a position of the current
// epoch. The error is an *EpochMismatchError if the store is in another epoch.
func (s *epochStore) AppendAt(ctx context.Context, t Topic, key string, value []byte, at epoch.Position) error {
	sent := s.currentEpoch()
	if !at.Known() || at.Epoch() != sent {
		return &EpochMismatchError{at, sent}
	}
	reported, err := s.inner.AppendAt(ctx, t, key, value, at)
	if err != nil {
		return s.checkError(sent, at, err)
	}
	e, err := s.epochOf(sent, reported)
	if err == nil && e != at.Epoch() {
		err = &EpochMismatchError{at, e}
	}
	return err
}

// epochChanged logs a new store epoch and wakes the tasks that must read the store
// again. A new epoch means that the store was restored from a backup, unless before is
// unknown: then the store has reported its epoch for the first time. source is where
// the new epoch was reported.
func (g *Gateway) epochChanged(before, now epoch.Epoch, source string) {
	f := logrus.Fields{"event": "storeEra", "era": now.String(), "before": before.String(), "by": source}
	if before.Known() {
		g.metrics.countRestore()
		g.log.WithFields(f).Warn("store was restored from a backup; reading all topics again")
	} else {
		g.log.WithFields(f).Info()
	}
	g.updates.wake()
}
