// Package versions knows which software versions the servers of a pool have had, and at
// which version streams began, so that a stream goes on only where it began.
//
// History holds the versions. A pool with one version for longer than any stream lasts
// proves the version of every stream without a record of it. While there are more, Index
// holds the version of each stream, from the records that gateways keep in the store. The
// package is pure: the current time is an argument, in Unix milliseconds.
package versions

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	// StreamLifetime is the longest time from the first event of a stream to the last time at
	// which its caller takes it up again.
	StreamLifetime = 120 * clock.Second
	// StoreWait is the time after which a version is used although the store did not confirm
	// the record of it.
	StoreWait = 2 * clock.Second
	// HoldBack is how long after it was first listed streams do not begin at a further version of a pool: by then the
	// gateways know of it, and have recorded the streams that they began before.
	HoldBack = clock.Second
	// switchMargin is the time around the start of a server in place as another version in which a gateway may take it
	// for the start before.
	switchMargin = 2 * clock.Second
	// maxListDelay is the longest time after its start at which a server is listed first, also after an outage of the store.
	maxListDelay = 10 * clock.Second
	// maxVersions bounds the versions that are kept of one pool.
	maxVersions = 16
)

// Span is the time in which servers of a version were listed.
type Span struct {
	// GoneMs is when the last one was no longer listed; 0 if one is.
	GoneMs clock.Millis `json:"gone,omitempty"`
	// AtMs is when the span was last changed.
	AtMs clock.Millis `json:"at"`
	// Further is set for a version that came while its pool had another. Streams begin at it only at gateways whose
	// record of streams names it.
	Further bool `json:"further,omitempty"`
	// SwitchedMs is when the last server started anew in place as this version; 0 if none has.
	SwitchedMs clock.Millis `json:"switched,omitempty"`
}

// Spans are the versions by pool.
type Spans map[string]map[string]Span

// FieldError reports an invalid field of a record.
type FieldError struct{ Field, Reason string }

// Error returns the name of the field and the reason.
func (e *FieldError) Error() string {
	return fmt.Sprintf("version record field %s: %s", e.Field, e.Reason)
}

// UnmarshalJSON decodes and checks spans. The error is a *FieldError if a pool has too many.
func (s *Spans) UnmarshalJSON(data []byte) error {
	var p map[string]map[string]Span
	if err := json.Unmarshal(data, &p); err != nil {
		return err
	}
	for pool, all := range p {
		if len(all) > maxVersions {
			return &FieldError{pool, "too many versions"}
		}
	}
	*s = p
	return nil
}

// version is what one gateway knows of a version of a pool.
type version struct {
	Span
	// seenMs is when this gateway first listed it; 0 if it may be used at once.
	seenMs clock.Millis
	// stored is set once the store holds it, and named once this gateway's record of streams names it.
	stored, named bool
}

// History holds the versions of all pools. It is not safe for concurrent use.
type History struct {
	pools map[string]map[string]*version
	// listed are the versions of the last call of Observe.
	listed map[string][]string
	loaded bool
}

// NewHistory returns a History without versions.
func NewHistory() *History { return &History{pools: map[string]map[string]*version{}} }

// Loaded reports whether the records of the store were merged.
func (h *History) Loaded() bool { return h.loaded }

// SetLoaded records that the records of the store were merged.
func (h *History) SetLoaded() { h.loaded = true }

// Merge adds spans of another gateway or of the store, and reports whether they changed
// anything. stored is set if the store holds them.
func (h *History) Merge(now clock.Millis, all Spans, stored bool) (changed bool) {
	for pool, spans := range all {
		for name, s := range spans {
			s.AtMs, s.GoneMs = min(s.AtMs, now), min(s.GoneMs, now)
			v := h.pools[pool][name]
			if v == nil {
				v = &version{}
				h.put(pool, name, v)
			}
			if s.SwitchedMs = min(s.SwitchedMs, now); s.SwitchedMs > v.SwitchedMs {
				v.SwitchedMs, changed = s.SwitchedMs, true
			}
			if s.AtMs > v.AtMs && (s.GoneMs == 0 || !slices.Contains(h.listed[pool], name)) {
				s.SwitchedMs = v.SwitchedMs
				v.Span = s
				changed = true
			}
			v.stored = v.stored || stored
		}
	}
	return changed
}

func (h *History) put(pool, name string, v *version) {
	if h.pools[pool] == nil {
		h.pools[pool] = map[string]*version{}
	}
	h.pools[pool][name] = v
}

// Observe applies the versions that are listed now, by pool, and reports whether they are
// others than before. The first versions of a pool, if the store knows none, may be used at
// once: no stream began before them.
func (h *History) Observe(now clock.Millis, listed map[string][]string) (changed bool) {
	h.listed = listed
	for pool, names := range listed {
		first := len(h.pools[pool]) == 0
		if only := h.Possible(now, pool); len(only) == 1 {
			h.pools[pool][only[0]].Further = false
		}
		hasOther := len(h.Possible(now, pool)) > 0
		for _, name := range names {
			v := h.pools[pool][name]
			switch {
			case v == nil || now-v.GoneMs > StreamLifetime && v.GoneMs != 0:
				v = &version{Span: Span{AtMs: now, Further: hasOther}, seenMs: now}
				if first {
					v.seenMs = 0
				}
				h.put(pool, name, v)
				changed = true
			case v.GoneMs != 0:
				v.GoneMs, v.AtMs = 0, now
				changed = true
			case v.Further && v.seenMs == 0:
				v.seenMs = now
			}
		}
	}
	for pool, all := range h.pools {
		for name, v := range all {
			if v.GoneMs == 0 && !slices.Contains(listed[pool], name) {
				v.GoneMs, v.AtMs = now, now
				changed = true
			}
		}
		h.dropOld(now, all)
	}
	return changed
}

// Passed records versions of servers that came and went between two reads of the list, by pool, and reports whether one
// was not known.
func (h *History) Passed(now clock.Millis, all map[string][]string) (changed bool) {
	for pool, names := range all {
		for _, name := range names {
			if v := h.pools[pool][name]; v == nil || v.GoneMs != 0 && now-v.GoneMs > StreamLifetime {
				h.put(pool, name, &version{Span: Span{GoneMs: now, AtMs: now, Further: true, SwitchedMs: now}, seenMs: now})
				changed = true
			}
		}
	}
	return changed
}

// dropOld forgets versions of a pool that no stream can have, and the oldest ones beyond
// maxVersions.
func (h *History) dropOld(now clock.Millis, all map[string]*version) {
	gone := slices.DeleteFunc(slices.Sorted(maps.Keys(all)), func(name string) bool { return all[name].GoneMs == 0 })
	slices.SortStableFunc(gone, func(a, b string) int { return int(all[a].GoneMs - all[b].GoneMs) })
	for _, name := range gone {
		if len(all) > maxVersions || len(all) > 1 && now-all[name].GoneMs > 2*StreamLifetime {
			delete(all, name)
		}
	}
}

// Possible returns the versions that streams of a pool may have that can still go on, sorted.
func (h *History) Possible(now clock.Millis, pool string) []string {
	var out []string
	for name, v := range h.pools[pool] {
		if v.GoneMs == 0 || now-v.GoneMs <= StreamLifetime {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Only returns the one version that all streams of a pool have that began before the store
// was last asked for the list of servers. ok is false if there may be another one: several
// are possible, or the versions that the store holds were not read.
func (h *History) Only(now clock.Millis, pool string) (name string, ok bool) {
	all := h.Possible(now, pool)
	if !h.loaded || len(all) != 1 {
		return "", false
	}
	return all[0], true
}

// Base returns the version at which streams of a pool begin without a record: the one that all of its gateways knew
// before the further ones came. ok is false if there is none, or several.
func (h *History) Base(now clock.Millis, pool string) (name string, ok bool) {
	var all []string
	for _, name := range h.Possible(now, pool) {
		if !h.pools[pool][name].Further {
			all = append(all, name)
		}
	}
	if !h.loaded || len(all) != 1 {
		return "", false
	}
	return all[0], true
}

// Switched records that a server of a pool is listed that started anew in place as a version, and reports whether the
// version is known. A start that lies in the future or far from the list, by another clock, counts as just now.
func (h *History) Switched(now, startMs clock.Millis, pool, name string) bool {
	v := h.pools[pool][name]
	if v == nil {
		return false
	}
	if startMs > now || startMs < now-maxListDelay {
		startMs = now
	}
	v.SwitchedMs = max(v.SwitchedMs, startMs)
	return true
}

// Period is a span of time, in Unix ms.
type Period struct{ FromMs, ToMs clock.Millis }

// SwitchedWithin reports whether a server of a pool may have started anew in place as another version within one of some
// periods: a gateway that ended in one may have begun streams there as at the start before.
func (h *History) SwitchedWithin(now clock.Millis, pool string, periods ...Period) bool {
	for _, v := range h.pools[pool] {
		if v.SwitchedMs == 0 || now-v.SwitchedMs > StreamLifetime {
			continue
		}
		if slices.ContainsFunc(periods, func(p Period) bool { return p.FromMs <= v.SwitchedMs+switchMargin && v.SwitchedMs <= p.ToMs }) {
			return true
		}
	}
	return false
}

// HasFurther reports whether a pool has a further version.
func (h *History) HasFurther() bool {
	for _, all := range h.pools {
		for _, v := range all {
			if v.Further {
				return true
			}
		}
	}
	return false
}

// ToName returns the further versions, by pool, that the gateway's record of streams is to name, so that streams may
// begin at them. servers is the number of listed servers by pool and version. HoldBack does not apply where fewer than
// half of the servers are of other versions.
func (h *History) ToName(now clock.Millis, servers map[string]map[string]int) map[string][]string {
	out := map[string][]string{}
	for pool, all := range servers {
		total, others := 0, 0
		for name, n := range all {
			total += n
			if v := h.pools[pool][name]; v != nil && (!v.Further || v.named) {
				others += n
			}
		}
		for _, name := range slices.Sorted(maps.Keys(all)) {
			v := h.pools[pool][name]
			if v == nil || !v.Further || !v.stored && now-v.seenMs < StoreWait {
				continue
			}
			if v.named || now-v.AtMs >= HoldBack || 2*others < total {
				out[pool] = append(out[pool], name)
			}
		}
	}
	return out
}

// Named records that the gateway's record of streams names versions, by pool, and no others.
func (h *History) Named(all map[string][]string) {
	for pool, versions := range h.pools {
		for name, v := range versions {
			v.named = slices.Contains(all[pool], name)
		}
	}
}

// Unnamed reports whether a version of a pool is a further one that the gateway's record does not name.
func (h *History) Unnamed(pool, name string) bool {
	v := h.pools[pool][name]
	return v != nil && v.Further && !v.named
}

// Overdue reports whether a version was to be established long ago.
func (h *History) Overdue(now clock.Millis, pool, name string) bool {
	v := h.pools[pool][name]
	return v != nil && now-v.seenMs >= StoreWait
}

// Established reports whether streams may begin at servers of a version: the store holds it,
// so that gateways that start know it too, and the gateway's record of streams names it if that is
// needed. Before the records of the store are known all may.
func (h *History) Established(now clock.Millis, pool, name string) bool {
	if !h.loaded {
		return true
	}
	v := h.pools[pool][name]
	if v == nil {
		return false
	}
	if v.Further {
		return v.named
	}
	return v.seenMs == 0 || v.stored || now-v.seenMs >= StoreWait
}

// Spans returns all versions, as they are kept in the store.
func (h *History) Spans() Spans {
	out := Spans{}
	for pool, all := range h.pools {
		out[pool] = map[string]Span{}
		for name, v := range all {
			out[pool][name] = v.Span
		}
	}
	return out
}
