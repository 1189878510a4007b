package directory

import (
	"fmt"
	"slices"
)

// Snapshot is the complete configuration at one version.
type Snapshot struct {
	Version  int64            `json:"version"`
	Digest   uint64           `json:"digest"`
	Accounts []Account        `json:"accounts"`
	Classes  []Class          `json:"classes"`
	Pools    []Pool           `json:"pools"`
	Routes   []Route          `json:"routes"`
	Keys     []Key            `json:"keys"`
	Changed  map[string]int64 `json:"changed"`
	// DroppedKeysUpTo is the highest version at which a key was withdrawn that has
	// since been dropped from Keys.
	DroppedKeysUpTo int64 `json:"forgottenAt,omitempty"`
	// Omitted is set if all other fields except Version and Digest were left out.
	Omitted bool `json:"omitted,omitempty"`
}

// WithoutState returns a snapshot with only the version and digest of s. A record with
// this snapshot leads to the same directory digest as one with s.
func (s Snapshot) WithoutState() Snapshot {
	return Snapshot{Version: s.Version, Digest: s.Digest, Omitted: true}
}

// snapshotDigestInput returns the data of a snapshot record that goes into the
// directory digest: the change's ID and the snapshot's version and digest.
func snapshotDigestInput(c Change) []byte {
	return fmt.Appendf(nil, "snapshot %q %d %d", c.ID, c.Snapshot.Version, c.Snapshot.Digest)
}

// ToSnapshot returns a snapshot of d.
func (d *Directory) ToSnapshot() Snapshot {
	return Snapshot{
		Version:         d.version,
		Digest:          d.digest,
		Accounts:        d.accounts.sorted(),
		Classes:         d.classes.sorted(),
		Pools:           d.pools.sorted(),
		Routes:          slices.Clone(d.routes),
		Keys:            d.keys.sorted(),
		Changed:         d.changed.all(),
		DroppedKeysUpTo: d.droppedKeysUpTo,
	}
}

// FromSnapshot returns the directory stored in s.
func FromSnapshot(s Snapshot) *Directory {
	d := New()
	d.version = s.Version
	d.digest = s.Digest
	d.droppedKeysUpTo = s.DroppedKeysUpTo
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
			d.withdrawnKeys++
		}
	}
	for subject, version := range s.Changed {
		d.changed.set(subject, version)
	}
	d.routes = slices.Clone(s.Routes)
	d.sortRoutes()
	return d
}
