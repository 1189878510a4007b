// Package config holds a process's copy of the configuration and keeps it up to date
// with the platform's log and with other processes.
//
// The version of a Store never decreases. Records may arrive from several sources,
// in any order and more than once. If a Store lacks records that the log no longer
// retains, it continues from a snapshot record: the record at offset o carries the
// state as of a version v below o, and the Store adopts that state once it has all
// records from v+1 up to o.
package config

import "fmt"

// Version identifies a state of the configuration.
type Version struct {
	// Number is the offset of the last record folded into the state.
	Number int64 `json:"version"`
	// Digest is a hash over all records up to Number: processes with the same Number
	// and different digests have diverged.
	Digest uint64 `json:"digest"`
}

// Relation is the relation of another process's version to that of a Store.
type Relation int

// Relations of versions.
const (
	Equal Relation = iota
	PeerBehind
	PeerAhead
	Diverged // the histories differ: another digest at the same version
	Unknown  // the peer is older than the records kept, so its digest cannot be compared
)

// String returns the relation's name.
func (r Relation) String() string {
	switch r {
	case Equal:
		return "equal"
	case PeerBehind:
		return "peerBehind"
	case PeerAhead:
		return "peerAhead"
	case Diverged:
		return "diverged"
	default:
		return "unknown"
	}
}

// DivergenceError reports that two histories of the configuration differ.
type DivergenceError struct {
	// Version is the version at which the difference was detected.
	Version int64
	// Have is the local digest at Version, 0 if unknown.
	Have uint64
	// Got is the other digest, 0 if a record differed instead.
	Got uint64
}

// Error returns the version and both digests.
func (e *DivergenceError) Error() string {
	return fmt.Sprintf("configuration diverged at version %d: digest %016x here, %016x there", e.Version, e.Have, e.Got)
}

// TruncatedError reports that the log ends before a record that was read from it
// earlier.
type TruncatedError struct {
	// NextOffset is the end of the log: the offset of the next append.
	NextOffset int64
	// Have is the highest offset read.
	Have int64
}

// Error returns both offsets.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("config stream ends before offset %d, but record %d was read earlier", e.NextOffset, e.Have)
}

// GapError reports that records were dropped from the log before they were read, and
// that no snapshot in the log replaces them. Another process may still have them.
type GapError struct {
	// Version is the current version: the missing records start after it.
	Version int64
	// FirstOffset is the offset of the first record in the log.
	FirstOffset int64
}

// Error returns the range of the missing records.
func (e *GapError) Error() string {
	return fmt.Sprintf("config records %d to %d are past retention and no snapshot is in the log", e.Version+1, e.FirstOffset-1)
}
