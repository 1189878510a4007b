package gateway

import (
	"context"
	"fmt"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/routing"
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
	// TopicDuty holds who has the duties of one holder, and what was agreed on.
	TopicDuty
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
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Offset int64  `json:"offset"`
}

// Snapshot is the newest record of each key, or records in their order.
type Snapshot struct {
	Records []Record
	// Next is the offset of the next record to read.
	Next int64
}

// TrimmedError reports records that the store no longer keeps.
type TrimmedError struct{ Offset int64 }

// Error returns the offset.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("records from %d are no longer kept", e.Offset)
}

// ConflictError reports a conditional append to a topic that had grown.
type ConflictError struct{ AsOf int64 }

// Error returns the offset of the condition.
func (e *ConflictError) Error() string { return fmt.Sprintf("the topic no longer ends at %d", e.AsOf) }

// Store is the platform's store.
type Store interface {
	Newest(ctx context.Context, t Topic) (Snapshot, error)
	// Read returns records from an offset on, waiting up to wait for one. The
	// error is a *TrimmedError when they are no longer kept.
	Read(ctx context.Context, t Topic, from int64, wait clock.Millis) (Snapshot, error)
	// Append adds a record and returns its offset. With asOf at 0 or more the
	// topic must end there, else the error is a *ConflictError. After another
	// error the record may have been added, now or later.
	Append(ctx context.Context, t Topic, key string, value []byte, asOf int64) (int64, error)
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
type Usage struct {
	Window int64            `json:"window"`
	Counts map[string]int64 `json:"counts"`
}

// Duties is the platform's API for duties of one holder.
type Duties interface {
	// ReportUsage sends one report. After an error it may have been accepted.
	ReportUsage(ctx context.Context, term int64, u Usage) error
}
