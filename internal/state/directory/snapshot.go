package directory

import (
	"fmt"
	"slices"
)

// Snapshot is the whole state as of a version.
type Snapshot struct {
	Version  int64            `json:"version"`
	Digest   uint64           `json:"digest"`
	Accounts []Account        `json:"accounts"`
	Classes  []Class          `json:"classes"`
	Pools    []Pool           `json:"pools"`
	Routes   []Route          `json:"routes"`
	Keys     []Key            `json:"keys"`
	Changed  map[string]int64 `json:"changed"`
	// ForgottenAt is the highest version at which a key was withdrawn that
	// is no longer in Keys.
	ForgottenAt int64 `json:"forgottenAt,omitempty"`
	// Omitted tells that only Version and Digest are given.
	Omitted bool `json:"omitted,omitempty"`
}

// WithoutState returns the snapshot's version and digest only. A record with
// it folds to the same digest as one with the whole snapshot.
func (s Snapshot) WithoutState() Snapshot {
	return Snapshot{Version: s.Version, Digest: s.Digest, Omitted: true}
}

// snapshotMark returns what the digest covers of a snapshot record.
func snapshotMark(c Change) []byte {
	return fmt.Appendf(nil, "snapshot %q %d %d", c.ID, c.Snapshot.Version, c.Snapshot.Digest)
}

// ToSnapshot returns the whole state.
func (d *Directory) ToSnapshot() Snapshot {
	return Snapshot{
		Version:     d.version,
		Digest:      d.digest,
		Accounts:    d.accounts.sorted(),
		Classes:     d.classes.sorted(),
		Pools:       d.pools.sorted(),
		Routes:      slices.Clone(d.routes),
		Keys:        d.keys.sorted(),
		Changed:     d.changed.all(),
		ForgottenAt: d.forgottenAt,
	}
}

// FromSnapshot returns the directory that s describes.
func FromSnapshot(s Snapshot) *Directory {
	d := New()
	d.version = s.Version
	d.digest = s.Digest
	d.forgottenAt = s.ForgottenAt
	for _, a := range s.Accounts {
		d.accounts.set(a.Name, a)
	}
	for _, c := range s.Classes {
		d.classes.set(c.Name, c)
	}
	for _, p := range s.Pools {
		d.pools.set(p.Name, p)
	}
	for _, k := range s.Keys {
		d.keys.set(k.ID, k)
		if k.Withdrawn {
			d.withdrawn++
		}
	}
	for subject, version := range s.Changed {
		d.changed.set(subject, version)
	}
	d.routes = slices.Clone(s.Routes)
	d.sortRoutes()
	return d
}
