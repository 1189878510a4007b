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

// Topic is a topic of the store that holds the newest record of each key.
type Topic int

// Topics.
const (
	// TopicConfig holds the operator's configuration.
	TopicConfig Topic = iota
	// TopicServers holds an entry for each backend server.
	TopicServers
	// TopicLeader holds who has the duties of one holder, and what was agreed on.
	TopicLeader
	// TopicUsage holds each entry's counts.
	TopicUsage
	// TopicMembers holds where the entries reach each other.
	TopicMembers
)

// String returns the topic's name in logs.
func (t Topic) String() string {
	return [...]string{"config", "servers", "duty", "usage", "members"}[t]
}

// Record is one record of a topic. Without a value it drops the key.
type Record struct {
	Key   string         `json:"key"`
	Value []byte         `json:"value,omitempty"`
	At    epoch.Position `json:"at"`
}

// Snapshot is the newest record of each key, or records in their order.
type Snapshot struct {
	Records []Record
	// Next is the position of the next record to read.
	Next epoch.Position
	// Reported is what the answer says of the store's era.
	Reported epoch.Reported
}

// TrimmedError reports records that the store no longer keeps.
type TrimmedError struct {
	From     epoch.Position
	Reported epoch.Reported
}

// Error returns the position.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("records from %v are no longer kept", e.From)
}

// ReportedEpoch returns what the answer says of the store's era.
func (e *TrimmedError) ReportedEpoch() epoch.Reported { return e.Reported }

// ConflictError reports a conditional append to a topic that had grown.
type ConflictError struct {
	AsOf     epoch.Position
	Reported epoch.Reported
}

// Error returns the position of the condition.
func (e *ConflictError) Error() string { return fmt.Sprintf("the topic no longer ends at %v", e.AsOf) }

// ReportedEpoch returns what the answer says of the store's era.
func (e *ConflictError) ReportedEpoch() epoch.Reported { return e.Reported }

// Store is the platform's store. Errors that its answers caused tell what they say of
// the era by a method ReportedEpoch.
type Store interface {
	Newest(ctx context.Context, t Topic) (Snapshot, error)
	// Read returns records from a position on, waiting up to wait for one. The
	// error is a *TrimmedError when they are no longer kept.
	Read(ctx context.Context, t Topic, from epoch.Position, wait clock.Millis) (Snapshot, error)
	// Append adds a record. After an error it may have been added, now or later.
	Append(ctx context.Context, t Topic, key string, value []byte) (epoch.Reported, error)
	// AppendAt adds a record if the topic ends at a position, else the error is a
	// *ConflictError. The store compares offsets alone: the answer tells whether they
	// were of the era meant. After another error the record may have been added, now
	// or later.
	AppendAt(ctx context.Context, t Topic, key string, value []byte, at epoch.Position) (epoch.Reported, error)
	// Redial has the next call use a new connection.
	Redial()
}

// Decoder decodes the records of other writers.
type Decoder struct {
	// ConfigKey is the key of the configuration.
	ConfigKey string
	Config    func(data []byte) (*routing.Config, error)
	Server    func(id string, data []byte) (servers.Server, error)
}

// Usage is what client accounts used in one window.
type Usage = sealing.Usage

// UsageReporter is the platform's API for duties of one holder.
type UsageReporter interface {
	// ReportUsage sends one report. After an error it may have been accepted.
	ReportUsage(ctx context.Context, term int64, u Usage) error
}
