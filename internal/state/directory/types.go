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
	// FloorPercent is the share of dispatch turns kept for the class while it
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
	// availability zone.
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
	// Digest is the lower-case hexadecimal SHA-256 of the key's secret part.
	Digest    string `json:"digest"`
	Withdrawn bool   `json:"withdrawn,omitempty"`
}

// FieldError reports a value that a wire type does not accept.
type FieldError struct {
	Field  string
	Value  any
	Reason string
}

// Error names the field, the value and what would be right.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %v: %s", e.Field, e.Value, e.Reason)
}

// Validate checks the account on its own.
func (a Account) Validate() error {
	if a.Name == "" {
		return &FieldError{"account.name", `""`, "must not be empty"}
	}
	if a.Share < 1 {
		return &FieldError{"account.share", a.Share, "must be at least 1"}
	}
	if len(a.Classes) == 0 {
		return &FieldError{"account.classes", "[]", "must name at least one class"}
	}
	return nil
}

// Validate checks the class on its own.
func (c Class) Validate() error {
	if c.Name == "" {
		return &FieldError{"class.name", `""`, "must not be empty"}
	}
	if c.Tier < 0 || c.Tier >= Tiers {
		return &FieldError{"class.tier", c.Tier, fmt.Sprintf("must be from 0 to %d", Tiers-1)}
	}
	if c.FirstTokenMs < 0 || c.TokenMs < 0 || c.AnswerMs < 0 {
		return &FieldError{"class.targets", c.Name, "must not be negative"}
	}
	if c.FloorPercent < 0 || c.FloorPercent > 20 {
		return &FieldError{"class.floorPercent", c.FloorPercent, "must be from 0 to 20"}
	}
	if len(c.Pools) == 0 {
		return &FieldError{"class.pools", "[]", "must name at least one pool"}
	}
	return nil
}

// Validate checks the pool on its own.
func (p Pool) Validate() error {
	if p.Name == "" {
		return &FieldError{"pool.name", `""`, "must not be empty"}
	}
	if p.Kind != PoolModel && p.Kind != PoolService {
		return &FieldError{"pool.kind", p.Kind, `must be "model" or "service"`}
	}
	if p.Kind == PoolModel && p.Model == "" {
		return &FieldError{"pool.model", `""`, "must name the model of a model pool"}
	}
	if p.Slots < 1 {
		return &FieldError{"pool.slots", p.Slots, "must be at least 1"}
	}
	if p.MinServers < 0 || p.MaxServers < p.MinServers {
		return &FieldError{"pool.maxServers", p.MaxServers, "must be at least minServers, which must not be negative"}
	}
	return nil
}

// Validate checks the route on its own.
func (r Route) Validate() error {
	if len(r.PathPrefix) < 2 || r.PathPrefix[0] != '/' {
		return &FieldError{"route.pathPrefix", r.PathPrefix, "must start with / and not be empty"}
	}
	if r.Pool == "" {
		return &FieldError{"route.pool", `""`, "must name a pool"}
	}
	return nil
}

// Validate checks the key on its own.
func (k Key) Validate() error {
	if k.ID == "" {
		return &FieldError{"key.id", `""`, "must not be empty"}
	}
	if k.Account == "" {
		return &FieldError{"key.account", `""`, "must name a client account"}
	}
	if len(k.Digest) != 64 {
		return &FieldError{"key.digest", k.Digest, "must be 64 hexadecimal digits"}
	}
	return nil
}
