package gateway

import (
	"context"
	"fmt"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/era"
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
	Key   string       `json:"key"`
	Value []byte       `json:"value,omitempty"`
	At    era.Position `json:"at"`
}

// Snapshot is the newest record of each key, or records in their order.
type Snapshot struct {
	Records []Record
	// Next is the position of the next record to read.
	Next era.Position
	// Word is what the answer says of the store's era.
	Word era.Word
}

// TrimmedError reports records that the store no longer keeps.
type TrimmedError struct {
	From era.Position
	Word era.Word
}

// Error returns the position.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("records from %v are no longer kept", e.From)
}

// EraWord returns what the answer says of the store's era.
func (e *TrimmedError) EraWord() era.Word { return e.Word }

// ConflictError reports a conditional append to a topic that had grown.
type ConflictError struct {
	AsOf era.Position
	Word era.Word
}

// Error returns the position of the condition.
func (e *ConflictError) Error() string { return fmt.Sprintf("the topic no longer ends at %v", e.AsOf) }

// EraWord returns what the answer says of the store's era.
func (e *ConflictError) EraWord() era.Word { return e.Word }

// Store is the platform's store. Errors that its answers caused tell what they say of
// the era by a method EraWord.
type Store interface {
	Newest(ctx context.Context, t Topic) (Snapshot, error)
	// Read returns records from a position on, waiting up to wait for one. The
	// error is a *TrimmedError when they are no longer kept.
	Read(ctx context.Context, t Topic, from era.Position, wait clock.Millis) (Snapshot, error)
	// Append adds a record. After an error it may have been added, now or later.
	Append(ctx context.Context, t Topic, key string, value []byte) (era.Word, error)
	// AppendAt adds a record if the topic ends at a position, else the error is a
	// *ConflictError. The store compares offsets alone: the answer tells whether they
	// were of the era meant. After another error the record may have been added, now
	// or later.
	AppendAt(ctx context.Context, t Topic, key string, value []byte, at era.Position) (era.Word, error)
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

// Duties is the platform's API for duties of one holder.
type Duties interface {
	// ReportUsage sends one report. After an error it may have been accepted.
	ReportUsage(ctx context.Context, term int64, u Usage) error
}
