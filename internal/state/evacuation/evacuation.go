// Package evacuation holds which availability zones an operator has evacuated: no request
// may be sent to their backend servers until the zone is given back. It performs no
// input or output, and times are arguments.
//
// An evacuation is a record of the operator in the store; removing the record gives the zone
// back. Gateways read the records or receive a View from one that has. Of two statements about
// a zone, the one with the later position counts. A zone that a complete view lacks, although the
// view is as of a later position of the same store epoch, was given back.
//
// A store that was restored from a backup may lack the record of an evacuation. The evacuation is
// then held until the new epoch has a record for the zone, written or removed, and for at most
// HoldMs: an operator writes again what the restored store has lost.
package evacuation

import (
	"slices"
	"strings"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/epoch"
)

const (
	// HoldMs is how long an evacuation is held that the store lacks after it was restored from a
	// backup, from the first view of the new epoch on: the time for an operator to see what the
	// store has lost. A zone that was forgotten in the store would otherwise stay empty for good.
	HoldMs = 60 * clock.Second
	// keepEndedMs is how long the end of an evacuation is kept and told to others: longer than any
	// of them holds an evacuation of an earlier epoch.
	keepEndedMs = 2 * HoldMs
	// MaxZones bounds the zones that are known, evacuated or given back; further ones are ignored.
	MaxZones = 1024
)

// Zone is a statement about one zone: its evacuation began or ended at a position of the topic
// that holds the operator's records.
type Zone struct {
	Name  string         `json:"zone"`
	At    epoch.Position `json:"at"`
	Ended bool           `json:"ended,omitempty"`
}

// View is all that is known of the evacuations as of a position, which is the end of the topic that
// was read. It names all zones that are evacuated, and those that were given back lately.
type View struct {
	AsOf  epoch.Position `json:"asOf"`
	Zones []Zone         `json:"zones,omitempty"`
}

// Change is the beginning or the end of an evacuation, as this gateway sees it.
type Change struct {
	Zone  string
	Began bool
	// At is the position of the record that shows the change, or as of which the record is missing.
	At epoch.Position
	// Unconfirmed is set if the evacuation ends because a restored store lacked its record for
	// HoldMs.
	Unconfirmed bool
}

// State is what one gateway knows of the evacuations. It is not safe for concurrent use. The zero
// value is not valid; use New.
type State struct {
	asOf  epoch.Position
	zones map[string]*entry
}

type entry struct {
	at    epoch.Position
	ended bool
	// endedMs is when the evacuation ended here. heldMs is since when a view of a later epoch lacks
	// the record of the evacuation; 0 if none does.
	endedMs, heldMs clock.Millis
}

// New returns a State that knows no evacuation.
func New() *State { return &State{zones: map[string]*entry{}} }

// Known reports whether the operator's records were ever read, here or by another gateway whose
// view was merged.
func (s *State) Known() bool { return s.asOf.Known() }

// Evacuated reports whether no request may be sent to the servers of a zone.
func (s *State) Evacuated(zone string) bool {
	e := s.zones[zone]
	return e != nil && !e.ended
}

// Zones returns the evacuated zones, sorted.
func (s *State) Zones() []string {
	var out []string
	for name, e := range s.zones {
		if !e.ended {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Returned returns when the evacuations that ended lately have ended, by zone: their servers may have
// become cold meanwhile.
func (s *State) Returned() map[string]clock.Millis {
	out := map[string]clock.Millis{}
	for name, e := range s.zones {
		if e.ended && e.endedMs > 0 {
			out[name] = e.endedMs
		}
	}
	return out
}

// View returns what is known, for other gateways. Its AsOf is unknown as long as Known is false.
func (s *State) View() View {
	v := View{AsOf: s.asOf}
	for name, e := range s.zones {
		v.Zones = append(v.Zones, Zone{Name: name, At: e.at, Ended: e.ended})
	}
	slices.SortFunc(v.Zones, func(a, b Zone) int { return strings.Compare(a.Name, b.Name) })
	return v
}

// Apply applies records that were added to the topic, up to its end. The end is the unknown
// position if the epoch of the records is not known.
func (s *State) Apply(now clock.Millis, added []Zone, end epoch.Position) []Change {
	return s.change(func() { s.put(now, added, end, false) })
}

// Merge applies a complete view: one that was read as a whole, or that another gateway sent.
func (s *State) Merge(now clock.Millis, v View) []Change {
	return s.change(func() {
		s.put(now, v.Zones, v.AsOf, true)
		named := map[string]bool{}
		for _, z := range v.Zones {
			named[z.Name] = true
		}
		for name, e := range s.zones {
			if !e.ended && !named[name] && v.AsOf.Comparable(e.at) && v.AsOf.After(e.at) {
				e.end(now, v.AsOf.Before())
			}
		}
	})
}

// Expire ends the evacuations that a restored store has lacked for HoldMs, and forgets what is no
// longer needed.
func (s *State) Expire(now clock.Millis) []Change {
	out := s.change(func() {
		for name, e := range s.zones {
			switch {
			case !e.ended && e.heldMs > 0 && now-e.heldMs >= HoldMs:
				e.end(now, s.asOf.Before())
			case e.ended && now-e.endedMs >= keepEndedMs:
				delete(s.zones, name)
			}
		}
	})
	for i := range out {
		out[i].Unconfirmed = true
	}
	return out
}

func (e *entry) end(now clock.Millis, at epoch.Position) {
	e.ended, e.at, e.endedMs, e.heldMs = true, at, now, 0
}

// put takes over the statements that are later than the known ones. complete is set if they are all
// that the topic held at end.
func (s *State) put(now clock.Millis, zones []Zone, end epoch.Position, complete bool) {
	authoritative := complete && !s.asOf.After(end)
	for _, z := range zones {
		e := s.zones[z.Name]
		if e != nil && !z.At.After(e.at) || z.Name == "" {
			continue
		}
		if e == nil {
			// What is older than the known end of the topic was known, and has ended. The end of what
			// is not known is forgotten, as otherwise gateways would remind each other of it for good.
			forgotten := s.asOf.Comparable(z.At) && s.asOf.After(z.At) && !authoritative
			if z.Ended || forgotten || len(s.zones) >= MaxZones {
				continue
			}
			e = &entry{}
			s.zones[z.Name] = e
		}
		switch {
		case !z.Ended:
			*e = entry{at: z.At}
		case e.ended:
			e.at = z.At
		default:
			e.end(now, z.At)
		}
	}
	if end.After(s.asOf) {
		s.asOf = end
	}
	for _, e := range s.zones {
		if !e.ended && e.heldMs == 0 && s.asOf.Epoch().After(e.at.Epoch()) {
			e.heldMs = now
		}
	}
}

// change runs f and returns what it changed, sorted by zone.
func (s *State) change(f func()) []Change {
	evacuated := map[string]bool{}
	for name, e := range s.zones {
		evacuated[name] = !e.ended
	}
	f()
	var out []Change
	for name, e := range s.zones {
		if evacuated[name] == e.ended {
			out = append(out, Change{Zone: name, Began: !e.ended, At: e.at})
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return strings.Compare(a.Zone, b.Zone) })
	return out
}
