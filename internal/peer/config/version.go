// Package config holds a process's copy of the configuration and keeps it
// current from the platform's log and from other processes.
//
// A Store only moves to higher versions. Records may arrive from several
// sources, in any order and more than once. A Store that lacks records that
// are past retention continues from a snapshot record: the record at offset o
// carries the state as of a version v below o, and the Store takes it once it
// has every record from v+1 on.
package config

import "fmt"

// Version names one state of the configuration.
type Version struct {
	// Number is the offset of the last record folded into the state.
	Number int64 `json:"version"`
	// Digest covers all records up to Number.
	Digest uint64 `json:"digest"`
}

// Relation tells how another process's version relates to a Store's.
type Relation int

// Relations of versions. Unknown means that the other version is older than
// the records kept, so that its digest cannot be compared.
const (
	Equal Relation = iota
	PeerBehind
	PeerAhead
	Diverged
	Unknown
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

// DivergenceError reports two different histories of the configuration.
type DivergenceError struct {
	Version int64
	Have    uint64
	Got     uint64
}

// Error names the version and the digests.
func (e *DivergenceError) Error() string {
	return fmt.Sprintf("configuration diverged at version %d: digest %016x here, %016x there", e.Version, e.Have, e.Got)
}

// TruncatedError reports a log that ends before records that it once held.
type TruncatedError struct {
	NextOffset int64
	Have       int64
}

// Error names the offsets.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("config stream ends before offset %d, but record %d was read earlier", e.NextOffset, e.Have)
}

// GapError reports records that are past retention before they were read, and
// no snapshot that stands in for them. Another process may still have them.
type GapError struct {
	Version     int64
	FirstOffset int64
}

// Error names the records that are missing.
func (e *GapError) Error() string {
	return fmt.Sprintf("config records %d to %d are past retention and no snapshot is in the log", e.Version+1, e.FirstOffset-1)
}
