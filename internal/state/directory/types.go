// Package directory folds the configuration stream into the fleet's
// directory: client accounts, keys, request classes, pools of backend servers
// and routes.
//
// A Directory is immutable. Its version is the offset of the last record that
// was folded, so that two processes with the same version hold the same state.
package directory

import (
	"fmt"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// Tiers is the number of service tiers; tier 0 is the highest.
const Tiers = 3

// Account is a client account.
type Account struct {
	Name string `json:"name"`
	// Share is the account's weight within a tier, at least 1.
	Share int `json:"share"`
	// Classes lists the request classes that the account may use; the first
	// is the default.
	Classes []string `json:"classes"`
}

// Class is a request class with its targets.
type Class struct {
	Name string `json:"name"`
	Tier int    `json:"tier"`
	// FirstTokenMs is the target from arrival to the first token; 0 is none.
	FirstTokenMs clock.Millis `json:"firstTokenMs,omitempty"`
	// TokenMs is the target between tokens; 0 is none.
	TokenMs clock.Millis `json:"tokenMs,omitempty"`
	// AnswerMs is the target from arrival to the end of the answer; 0 is none.
	AnswerMs clock.Millis `json:"answerMs,omitempty"`
	// FloorPercent is the share of the charged tokens kept for the class while it
	// has waiting work.
	FloorPercent int `json:"floorPercent,omitempty"`
	// Pools lists the pools of backend servers that the class may use.
	Pools []string `json:"pools"`
	// Resume allows an interrupted stream to continue on another server.
	Resume bool `json:"resume,omitempty"`
}

// PoolKind tells model engines from plain services.
type PoolKind string

// Kinds of pools.
const (
	PoolModel   PoolKind = "model"
	PoolService PoolKind = "service"
)

// Pool is a named set of backend servers that serve the same thing.
type Pool struct {
	Name string   `json:"name"`
	Kind PoolKind `json:"kind"`
	// Model is the model's name towards callers, for PoolModel.
	Model string `json:"model,omitempty"`
	// MinServers and MaxServers bound what the capacity duty orders, by
	// availability zone. MaxServers 0 leaves the pool's servers as they are.
	MinServers int `json:"minServers,omitempty"`
	MaxServers int `json:"maxServers,omitempty"`
	// Slots is the number of requests that one server runs at a time.
	Slots int `json:"slots"`
}

// Route maps a path prefix to a pool of plain services.
type Route struct {
	PathPrefix string `json:"pathPrefix"`
	Pool       string `json:"pool"`
	// ProtectedMethods lists the HTTP methods whose requests may not be repeated.
	ProtectedMethods []string `json:"protectedMethods,omitempty"`
	// Accounts restricts the route; empty opens it to all client accounts.
	Accounts []string `json:"accounts,omitempty"`
}

// Key is a caller's key, of which only the digest is stored.
type Key struct {
	ID      string `json:"id"`
	Account string `json:"account"`
	// Digest is the lower-case hexadecimal SHA-256 of the key's secret part;
	// it is dropped when the key is withdrawn.
	Digest    string `json:"digest"`
	Withdrawn bool   `json:"withdrawn,omitempty"`
	// WithdrawnAt is the version at which the key was withdrawn.
	WithdrawnAt int64 `json:"withdrawnAt,omitempty"`
}

// FieldError reports a value that a wire type does not accept.
type FieldError struct {
	Field  string
	Value  any
	Reason string
}

// Error names the field, the value and what would be right.
func (e *FieldError) Error() string {
	if s, ok := e.Value.(string); ok {
		return fmt.Sprintf("%s: %q: %s", e.Field, s, e.Reason)
	}
	return fmt.Sprintf("%s: %v: %s", e.Field, e.Value, e.Reason)
}
