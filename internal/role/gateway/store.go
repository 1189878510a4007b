package gateway

import (
	"context"
	"fmt"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/epoch"
	"github.com/damaskport/damaskport/internal/state/routing"
	"github.com/damaskport/damaskport/internal/state/sealing"
	"github.com/damaskport/damaskport/internal/state/servers"
)

// Topic identifies a topic of the platform's store. A topic keeps the newest record of
// each key.
type Topic int

const (
	// TopicConfig holds the operator's configuration.
	TopicConfig Topic = iota
	// TopicServers holds the entry of each backend server.
	TopicServers
	// TopicLeader holds the record of the leader and the newest sealed usage window.
	TopicLeader
	// TopicUsage holds the request counts of each gateway process.
	TopicUsage
	// TopicMembers holds the addresses at which gateways reach each other.
	TopicMembers
	// TopicEvidence holds what the gateways know of servers that prompts have ended.
	TopicEvidence
	// TopicVersions holds the software versions that the servers of each pool have had.
	TopicVersions
	// TopicStreams holds at which version streams began while a pool had several.
	TopicStreams
)

// String returns the topic's name in logs and metrics.
func (t Topic) String() string {
	return [...]string{"config", "servers", "duty", "usage", "members", "evidence", "versions", "streams"}[t]
}

// Record is one record of a topic. A record without a value deletes its key.
type Record struct {
	Key   string         `json:"key"`
	Value []byte         `json:"value,omitempty"`
	At    epoch.Position `json:"at"`
}

// Snapshot is the result of a read: the newest record of each key, or the records from
// a position on in the order of their positions.
type Snapshot struct {
	Records []Record
	// Next is the position of the next record to read.
	Next epoch.Position
	// Reported is the store epoch that the answer reported.
	Reported epoch.Reported
}

// TrimmedError reports a read from a position at which the store no longer keeps the
// records.
type TrimmedError struct {
	From     epoch.Position
	Reported epoch.Reported
}

// Error returns a text with the position of the first requested record.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("store has trimmed records at or after the requested position %v", e.From)
}

// ReportedEpoch returns the store epoch that the answer reported.
func (e *TrimmedError) ReportedEpoch() epoch.Reported { return e.Reported }

// ConflictError reports a conditional append to a topic that no longer ends at the
// given position.
type ConflictError struct {
	AsOf     epoch.Position
	Reported epoch.Reported
}

// Error returns the position at which the topic was expected to end.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conditional append refused: topic no longer ends at position %v", e.AsOf)
}

// ReportedEpoch returns the store epoch that the answer reported.
func (e *ConflictError) ReportedEpoch() epoch.Reported { return e.Reported }

// Store is a client of the platform's store. An error that an answer caused returns the
// epoch that the answer reported by a method ReportedEpoch.
type Store interface {
	// Newest returns the newest record of each key.
	Newest(ctx context.Context, t Topic) (Snapshot, error)
	// Read returns the records from a position on. If there are none, it waits for one
	// for up to wait. The error is a *TrimmedError if the store no longer keeps them.
	Read(ctx context.Context, t Topic, from epoch.Position, wait clock.Millis) (Snapshot, error)
	// Append adds a record. After an error the record may have been added, or may still
	// be added later.
	Append(ctx context.Context, t Topic, key string, value []byte) (epoch.Reported, error)
	// AppendAt adds a record on condition that the topic ends at a position; else the
	// error is a *ConflictError. The store compares only offsets: the epoch that the
	// answer reports shows whether they were of the intended epoch. After another error
	// the record may have been added, or may still be added later.
	AppendAt(ctx context.Context, t Topic, key string, value []byte, at epoch.Position) (epoch.Reported, error)
	// Redial makes the next call use a new connection.
	Redial()
}

// Decoder decodes the records that the operator and the backend servers write.
type Decoder struct {
	// ConfigKey is the key of the configuration in TopicConfig.
	ConfigKey string
	// EvacuatePrefix begins the keys in TopicConfig of the records that evacuate a zone; the rest is the
	// zone. Empty if there are none.
	EvacuatePrefix string
	Config         func(data []byte) (*routing.Config, error)
	Server         func(id string, data []byte) (servers.Server, error)
}

// Usage holds the number of requests of each client account in one window.
type Usage = sealing.Usage

// Lease is a leader's lease, beyond which it may not act.
type Lease interface {
	// Remaining returns the time left in the lease; 0 or less if it has ended.
	Remaining() clock.Millis
}

// UsageReporter sends usage reports to the platform. Only the leader may send them.
type UsageReporter interface {
	// ReportUsage sends the report of one window while the lease lasts. term is the leader's
	// term and serves as fencing number. After an error the report may have been accepted, but
	// it may not arrive later.
	ReportUsage(ctx context.Context, term int64, lease Lease, u Usage) error
}
