package gateway

import (
	"context"
	"maps"
	"slices"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/epoch"
)

const (
	// maxGaps bounds the gaps that are remembered, and maxGapPages the pages of the store that are read to trace them.
	maxGaps     = 8
	maxGapPages = 16
	// gapTimeout bounds the read of the records of the gaps, and minTraceInterval the time between two tries.
	gapTimeout       = 1200 * clock.Millisecond
	minTraceInterval = 300 * clock.Millisecond
)

// listGap is the gap in front of a read of the whole list. Such a read returns the newest entry of each server, not the
// records that were written since the read before it: a start of a server that registered and was removed meanwhile is in
// neither list. To trace a gap is to read these records, from a position on.
type listGap struct {
	// number is that of the read; see servers.End.
	number int
	from   epoch.Position
}

// errNoGapPosition reports that it is not known where a gap begins, as after a restore of the store.
var errNoGapPosition = errors.New("the position of the list is not known")

// errGapTooLong reports that a gap has more records than are read.
var errGapTooLong = errors.New("too many records between two reads of the list")

// noteGap records that the last read of the whole list ended starts. Before it, the list included all changes up to
// asOf, and unread was the first record that was not read; the gap begins at the later of the two. The first store
// reader traces each gap, since a version that came and went within it concerns all gateways; the others trace one
// when the version of a stream depends on it.
func (l *serverList) noteGap(asOf, unread epoch.Position) {
	from := asOf.Next()
	if unread.Comparable(asOf) && unread.After(from) {
		from = unread
	}
	if !asOf.Known() {
		from = epoch.Position{}
	}
	l.gaps = append(l.gaps, listGap{l.LastGap(), from})
	if len(l.gaps) > maxGaps {
		l.Trace(l.gaps[0].number, nil, false)
		l.gaps = nil
	}
	if l.g.peers.rank(subjectReaders) == 0 {
		l.g.fleet.askTrace()
	}
}

// trace reads the records of the gaps, which show each start that came and went unseen. While the store can't be read it
// is to be called again.
func (l *serverList) trace(ctx context.Context) {
	if now := l.g.clock.Now(); len(l.gaps) == 0 || now-l.tracedMs < minTraceInterval {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, gapTimeout.Duration())
	defer cancel()
	first := l.gaps[0]
	registered, passed, err := l.readGap(ctx, first.from)
	l.tracedMs = l.g.clock.Now()
	f := logrus.Fields{"event": "serverListTraced", "from": first.from.Offset(), "servers": len(registered)}
	if err != nil {
		l.g.log.WithFields(f).Warn(err)
	} else {
		l.g.log.WithFields(f).Info()
	}
	if err != nil && !isLost(err) {
		return
	}
	l.gaps = nil
	l.Trace(first.number, registered, err == nil)
	l.g.streams.passed(passed)
}

// isLost reports whether an error means that the records of a gap can't be read later either.
func isLost(err error) bool {
	return errors.Is(err, errNoGapPosition) || errors.Is(err, errGapTooLong) || errors.As(err, new(*TrimmedError)) || errors.As(err, new(*EpochMismatchError))
}

// readGap reads the records from a position to that of the list. It returns the starts of each server in the order in which
// they registered, and the versions of the servers by pool.
func (l *serverList) readGap(ctx context.Context, from epoch.Position) (registered map[string][]int64, passed map[string][]string, err error) {
	registered, versions := map[string][]int64{}, map[string]map[string]bool{}
	for range maxGapPages {
		if !from.Known() {
			return nil, nil, errNoGapPosition
		}
		snap, err := l.g.store.Read(ctx, TopicServers, from, 0)
		if err != nil {
			return nil, nil, err
		}
		for _, r := range snap.Records {
			if len(r.Value) == 0 {
				continue
			}
			s, ok := l.decode(r)
			if !ok {
				continue
			}
			if !slices.Contains(registered[s.ID], s.Start) {
				registered[s.ID] = append(registered[s.ID], s.Start)
			}
			if versions[s.Pool] == nil {
				versions[s.Pool] = map[string]bool{}
			}
			versions[s.Pool][s.Version] = true
		}
		if len(snap.Records) == 0 || snap.Next.Before().Reaches(l.asOf) {
			passed = map[string][]string{}
			for pool, all := range versions {
				passed[pool] = slices.Sorted(maps.Keys(all))
			}
			return registered, passed, nil
		}
		from = snap.Next
	}
	return nil, nil, errGapTooLong
}
