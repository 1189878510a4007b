package servers

import (
	"maps"
	"slices"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// End is how a start of a server ceased to be the one in the list.
type End struct {
	// Start is the start that ended, and Next the next later one that is known; 0 if none is.
	Start, Next int64
	// ShownMs is as of when the list was last known to show the start, by the monotonic clock.
	ShownMs clock.Millis
	// Gap is the number of the read of the whole list that showed the end; 0 if each record was read. Of starts that
	// came and went between that read and the one before it, such a list shows nothing.
	Gap int
	// Lost is set if the records of the gap can't be read.
	Lost bool
	// atMs is when the end was noted.
	atMs clock.Millis
}

// Starts are the starts of all known servers. The value is immutable.
type Starts struct {
	latest   map[string]int64
	ends     map[string][]End
	switched map[PoolVersion]int64
}

// PoolVersion is a pool and a software version of its servers.
type PoolVersion struct{ Pool, Version string }

// Switched returns the latest start of a server that started anew in place as another version, by that version.
func (s Starts) Switched() map[PoolVersion]int64 { return s.switched }

// Latest returns the latest known start of a server, also if it drained or was removed in it; 0 if none is known.
func (s Starts) Latest(id string) int64 { return s.latest[id] }

// End returns how a start ended; ok is false if it is listed, or not known.
func (s Starts) End(k Key) (e End, ok bool) {
	for _, e := range s.ends[k.ID] {
		if e.Start == k.Start {
			return e, true
		}
	}
	return End{}, false
}

// Starts returns the starts of all known servers.
func (l *List) Starts() Starts {
	latest := maps.Clone(l.drained)
	for id, r := range l.removed {
		latest[id] = max(latest[id], r.start)
	}
	for id, e := range l.servers {
		latest[id] = max(latest[id], e.Start)
	}
	return Starts{latest, maps.Clone(l.ends), maps.Clone(l.switched)}
}

// Revision changes whenever a start ends, and when a gap is traced.
func (l *List) Revision() int { return l.revision }

// Shown records that the list shows the starts of all running servers as of a time.
func (l *List) Shown(asOf clock.Millis) { l.shownMs = max(l.shownMs, asOf) }

// LastGap returns the number of the last read of the whole list that ended a start; 0 if none has.
func (l *List) LastGap() int { return l.lastGap }

// end notes that a start of a server is no longer listed. The last end of a server is kept if it is of that start.
func (l *List) end(id string, start int64) {
	all := l.ends[id]
	if n := len(all); n > 0 && all[n-1].Start >= start {
		return
	}
	e := End{Start: start, ShownMs: l.shownMs, Gap: l.gap, atMs: l.nowMs}
	l.ends[id] = append(slices.Clip(all), e)
	l.noteGap()
}

// noteVersion notes that a server is listed in a start whose version may be another one than that of the start before.
func (l *List) noteVersion(old string, s Server) {
	if old != s.Version {
		k := PoolVersion{s.Pool, s.Version}
		l.switched[k] = max(l.switched[k], s.Start)
		l.revision++
	}
}

// begun notes that a start of a server is listed, which the ends of earlier ones precede.
func (l *List) begun(id string, start int64) {
	all := l.ends[id]
	n := len(all)
	if n == 0 {
		return
	}
	switch last := all[n-1]; {
	case last.Start == start:
		// The server registered again, so it ran all the while.
		l.setEnds(id, all[:n-1])
	case last.Start < start && last.Next == 0:
		all = slices.Clone(all)
		all[n-1].Next = start
		if last.Gap == 0 {
			all[n-1].Gap = l.gap
		}
		l.setEnds(id, all)
		l.noteGap()
	}
}

func (l *List) setEnds(id string, all []End) {
	l.revision++
	if len(all) == 0 {
		delete(l.ends, id)
		return
	}
	l.ends[id] = slices.Clip(all)
}

func (l *List) noteGap() {
	l.revision++
	if l.gap != 0 {
		l.lastGap = l.gap
	}
}

// Trace applies the records of the gaps from the number first on: the starts of each server, in the order in which
// they registered. If whole is false, the records can't be read, and the gaps are lost.
func (l *List) Trace(first int, registered map[string][]int64, whole bool) {
	for id, all := range l.ends {
		if !slices.ContainsFunc(all, func(e End) bool { return e.Gap >= first }) {
			continue
		}
		all = slices.Clone(all)
		for i, e := range all {
			switch {
			case e.Gap < first:
			case !whole:
				all[i].Lost = true
			default:
				all[i].Gap, all[i].Next = 0, nextStart(registered[id], e)
			}
		}
		l.setEnds(id, all)
	}
}

// nextStart returns the first of the registered starts that is later than that of e, or e.Next without one.
func nextStart(registered []int64, e End) int64 {
	if i := slices.IndexFunc(registered, func(start int64) bool { return start > e.Start }); i >= 0 {
		return registered[i]
	}
	return e.Next
}

// forgetEnds drops the ends that are older than removedKeepMs.
func (l *List) forgetEnds() {
	for id, all := range l.ends {
		if l.nowMs-all[len(all)-1].atMs > removedKeepMs {
			delete(l.ends, id)
		}
	}
}
