// Package directory builds the fleet's configuration from the records of the
// configuration stream: client accounts, their API keys, request classes,
// pools of backend servers and routes.
//
// A Directory is immutable. Its version is the stream offset of the last
// record applied, so processes at the same version have the same configuration.
// Its digest is a hash of all records applied, which shows whether two processes
// have applied the same ones.
package directory

import (
	"fmt"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// Tiers is the number of service tiers; tier 0 is the highest.
const Tiers = 3

// Account is a client account. It has API keys and a share of the fleet's capacity.
type Account struct {
	Name string `json:"name"`
	// Share is the account's weight within a tier, at least 1.
	Share int `json:"share"`
	// Classes lists the request classes that the account may use; the first
	// is the default.
	Classes []string `json:"classes"`
}

// Class is a request class: its tier, latency targets and pools.
type Class struct {
	Name string `json:"name"`
	// Tier is the service tier, from 0 (highest) to Tiers-1.
	Tier int `json:"tier"`
	// FirstTokenMs is the target for the time from arrival to the first token;
	// 0 means no target.
	FirstTokenMs clock.Millis `json:"firstTokenMs,omitempty"`
	// TokenMs is the target for the inter-token latency; 0 means no target.
	TokenMs clock.Millis `json:"tokenMs,omitempty"`
	// AnswerMs is the target for the time from arrival to the end of the
	// answer; 0 means no target.
	AnswerMs clock.Millis `json:"answerMs,omitempty"`
	// FloorPercent is the percentage of the tokens charged at a server that is
	// reserved for the class while it has waiting requests.
	FloorPercent int `json:"floorPercent,omitempty"`
	// Pools lists the pools of backend servers that the class may use.
	Pools []string `json:"pools"`
	// Resume allows a stream that was interrupted to continue on another server.
	Resume bool `json:"resume,omitempty"`
}

// PoolKind says whether a pool runs model engines or plain HTTP services.
type PoolKind string

// Kinds of pools.
const (
	PoolModel   PoolKind = "model"
	PoolService PoolKind = "service"
)

// Pool is a named set of interchangeable backend servers.
type Pool struct {
	Name string   `json:"name"`
	Kind PoolKind `json:"kind"`
	// Model is the model name that callers request; empty unless Kind is
	// PoolModel.
	Model string `json:"model,omitempty"`
	// MinServers and MaxServers are the limits within which servers are started
	// and stopped automatically, per availability zone. With MaxServers 0 none
	// are started or stopped.
	MinServers int `json:"minServers,omitempty"`
	MaxServers int `json:"maxServers,omitempty"`
	// Slots is the number of requests that one server runs concurrently.
	Slots int `json:"slots"`
}

// Route maps a path prefix to a pool of plain services.
type Route struct {
	PathPrefix string `json:"pathPrefix"`
	Pool       string `json:"pool"`
	// ProtectedMethods lists the HTTP methods whose requests must not run more
	// than once.
	ProtectedMethods []string `json:"protectedMethods,omitempty"`
	// Accounts lists the client accounts that may use the route; nil allows all, and an empty list is not valid.
	Accounts []string `json:"accounts,omitzero"`
}

// Key is an API key of a client account. Its secret part is stored only as a hash.
type Key struct {
	ID      string `json:"id"`
	Account string `json:"account"`
	// Digest is the lower-case hexadecimal SHA-256 of the key's secret part;
	// empty for a withdrawn key.
	Digest    string `json:"digest"`
	Withdrawn bool   `json:"withdrawn,omitempty"`
	// WithdrawnAt is the version at which the key was withdrawn; 0 if it is valid.
	WithdrawnAt int64 `json:"withdrawnAt,omitempty"`
}

// FieldError reports a field of a message or record whose value is invalid.
type FieldError struct {
	Field  string
	Value  any
	Reason string
}

// Error returns the field, its value and the reason.
func (e *FieldError) Error() string {
	if s, ok := e.Value.(string); ok {
		return fmt.Sprintf("%s: %q: %s", e.Field, s, e.Reason)
	}
	return fmt.Sprintf("%s: %v: %s", e.Field, e.Value, e.Reason)
}
