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

// Snapshotter writes a snapshot into the config stream before the last one is
// past retention. It runs only while the process holds the lease for it; a
// second writer costs space and nothing else.
type Snapshotter struct {
	Log    Appender
	Store  *Store
	Clock  clock.Clock
	Logger logrus.FieldLogger
	// Author names the process in the records.
	Author string
	// MaxAgeMs is the age of the last snapshot at which a new one is due. It
	// must be well below the log's retention.
	MaxAgeMs clock.Millis
	// MaxRecords is the number of records after the last snapshot at which a
	// new one is due.
	MaxRecords int64
	// CheckMs is the time between two checks, and the least time between two
	// snapshots.
	CheckMs clock.Millis

	// seen is the offset of the last snapshot at the last check, looked tells
	// that there was one, and writtenAt is when the snapshot was written.
	seen      int64
	looked    bool
	writtenAt clock.Millis
}

// Run writes snapshots until ctx ends. A failed append is logged and tried
// again at the next check.
func (s *Snapshotter) Run(ctx context.Context) error {
	s.seen, s.looked = 0, false
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

func (s *Snapshotter) due() bool {
	version := s.Store.Current().Version()
	if version == 0 || !s.Store.Ready() {
		return false
	}
	last := s.Store.LastSnapshot()
	age := s.age(last)
	return last.Offset == 0 || version-last.Offset >= s.MaxRecords || age >= s.MaxAgeMs
}

// age returns the age of the last snapshot. The log's clock counts only for
// the first one that Run finds; if it is ahead, the age is taken as MaxAgeMs.
func (s *Snapshotter) age(last SnapshotPlace) clock.Millis {
	now := s.Clock.Now()
	if last.Offset != s.seen {
		s.writtenAt = now - s.CheckMs
		if !s.looked {
			s.writtenAt = now - s.ageByLog(last)
		}
	}
	s.seen, s.looked = last.Offset, true
	return now - s.writtenAt
}

func (s *Snapshotter) ageByLog(last SnapshotPlace) clock.Millis {
	age := s.Clock.Wall() - last.AtMs
	if age < 0 {
		return s.MaxAgeMs
	}
	return age
}

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
