package config

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/platform/logservice"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/directory"
)

// Appender adds records to a stream; see logservice.Client.Append.
type Appender interface {
	Append(ctx context.Context, stream string, data []byte) (int64, error)
}

// Snapshotter writes snapshots of the configuration to the config stream, so that
// the stream always retains one. It runs only while the process holds the lease for
// this task; a second writer at the same time does no harm except for the space
// that its snapshots take.
type Snapshotter struct {
	Log    Appender
	Store  *Store
	Clock  clock.Clock
	Logger logrus.FieldLogger
	// Author is the name of the process, written into the records.
	Author string
	// MaxAgeMs is the age of the last snapshot from which on a new one is due. It
	// must be well below the retention time of the log.
	MaxAgeMs clock.Millis
	// MaxRecords is the number of records after the last snapshot from which on a
	// new one is due.
	MaxRecords int64
	// CheckMs is the interval between checks whether a snapshot is due, and thereby
	// the minimum time between two snapshots.
	CheckMs clock.Millis

	// lastOffset is the offset of the last snapshot in the stream as of the previous
	// check.
	lastOffset int64
	// checked is set once Run has made a check.
	checked bool
	// writtenAt is the time at which the snapshot at lastOffset was written, on Clock.
	writtenAt clock.Millis
}

// Run checks every CheckMs whether a snapshot is due and writes it, until ctx ends.
// A failed append is logged and retried at the next check.
func (s *Snapshotter) Run(ctx context.Context) error {
	s.lastOffset, s.checked = 0, false
	for {
		if s.due() {
			if err := s.write(ctx); err != nil && ctx.Err() == nil {
				s.Logger.WithField("event", "configSnapshotFailed").Warn(err)
			}
		}
		if err := s.Clock.Sleep(ctx, s.CheckMs); err != nil {
			return err
		}
	}
}

// due reports whether a snapshot is due: there is none in the stream yet, or the last
// one is older than MaxAgeMs or is followed by MaxRecords records. Nothing is due
// before the Store is ready.
func (s *Snapshotter) due() bool {
	version := s.Store.Current().Version()
	if version == 0 || !s.Store.Ready() {
		return false
	}
	last := s.Store.LastSnapshot()
	age := s.age(last)
	return last.Offset == 0 || version-last.Offset >= s.MaxRecords || age >= s.MaxAgeMs
}

// age returns the age of the last snapshot. A snapshot that appears between two
// checks is taken to be as old as the previous check. For the first one that Run
// finds, the age is computed from the log's timestamp; later ones do not use it,
// since the clocks of log and process may differ.
func (s *Snapshotter) age(last SnapshotPlace) clock.Millis {
	now := s.Clock.Now()
	if last.Offset != s.lastOffset {
		s.writtenAt = now - s.CheckMs
		if !s.checked {
			s.writtenAt = now - s.ageByLog(last)
		}
	}
	s.lastOffset, s.checked = last.Offset, true
	return now - s.writtenAt
}

// ageByLog returns the age of a snapshot by the log's timestamp. If the log's clock
// is ahead of the local one, it returns MaxAgeMs.
func (s *Snapshotter) ageByLog(last SnapshotPlace) clock.Millis {
	age := s.Clock.Wall() - last.AtMs
	if age < 0 {
		return s.MaxAgeMs
	}
	return age
}

// write appends a snapshot of the current state to the config stream.
func (s *Snapshotter) write(ctx context.Context) error {
	snap := s.Store.Current().ToSnapshot()
	c := directory.Change{
		ID:       fmt.Sprintf("snapshot-%d-%s", snap.Version, s.Author),
		Author:   s.Author,
		BasedOn:  snap.Version,
		Snapshot: &snap,
	}
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	offset, err := s.Log.Append(ctx, logservice.StreamConfig, data)
	if err != nil {
		return errors.Wrapf(err, "append a snapshot of %d bytes", len(data))
	}
	s.Logger.WithFields(logrus.Fields{"event": "configSnapshot", "version": snap.Version, "offset": offset, "bytes": len(data)}).Info()
	return nil
}
