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
	// maxVersions bounds the versions that are kept of one pool.
	maxVersions = 16
)

// Span is the time in which servers of a version were listed.
type Span struct {
	// GoneMs is when the last one was no longer listed; 0 if one is.
	GoneMs clock.Millis `json:"gone,omitempty"`
	// AtMs is when the span was last changed.
	AtMs clock.Millis `json:"at"`
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
	// stored is set once the store holds it.
	stored bool
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
			if s.AtMs > v.AtMs && (s.GoneMs == 0 || !slices.Contains(h.listed[pool], name)) {
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
		for _, name := range names {
			v := h.pools[pool][name]
			switch {
			case v == nil || now-v.GoneMs > StreamLifetime && v.GoneMs != 0:
				v = &version{Span: Span{AtMs: now}, seenMs: now}
				if first {
					v.seenMs = 0
				}
				h.put(pool, name, v)
				changed = true
			case v.GoneMs != 0:
				v.Span = Span{AtMs: now}
				changed = true
			}
		}
	}
	for pool, all := range h.pools {
		for name, v := range all {
			if v.GoneMs == 0 && !slices.Contains(listed[pool], name) {
				v.Span = Span{GoneMs: now, AtMs: now}
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
				h.put(pool, name, &version{Span: Span{GoneMs: now, AtMs: now}, seenMs: now})
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

// Established reports whether streams may begin at servers of a version: the store holds it,
// so that gateways that start know it too. Before the records of the store are known all may.
func (h *History) Established(now clock.Millis, pool, name string) bool {
	if !h.loaded {
		return true
	}
	v := h.pools[pool][name]
	if v == nil {
		return false
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
