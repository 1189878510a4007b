// Package admin speaks to operators: the HTTP handler of an entry's operators'
// address, and its client.
package admin

import (
	"fmt"
	"strings"

	"github.com/damaskport/damaskport/internal/operator/strictjson"
	"github.com/damaskport/damaskport/internal/peer/config"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// Result answers a change. Exactly one of these holds: the change was
// accepted; it was rejected and has no effect; or Unknown is true and it may
// still take effect.
type Result struct {
	// Offset is the change's place in the config stream; 0 means that it is
	// not known to be there.
	Offset   int64 `json:"offset"`
	Accepted bool  `json:"accepted"`
	// Unknown tells that the log did not confirm the append in time.
	Unknown bool `json:"unknown,omitempty"`
	// Reason says why the change was not accepted.
	Reason string `json:"reason"`
	// Peers is the number of processes that have confirmed the change.
	Peers int `json:"peers"`
	// Problems lists what is wrong with a change that cannot be decoded.
	Problems []strictjson.Problem `json:"problems,omitempty"`
}

// Status is an entry's view of itself and of the fleet.
type Status struct {
	Name   string         `json:"name"`
	Zone   string         `json:"zone"`
	Ready  bool           `json:"ready"`
	Reason string         `json:"reason,omitempty"`
	Config config.Version `json:"config"`
	// LogAgeMs is the time since the log was read last; -1 means never.
	LogAgeMs  clock.Millis     `json:"logAgeMs"`
	Instances []InstanceStatus `json:"instances"`
	Leases    []LeaseStatus    `json:"leases"`
	Servers   []ServerStatus   `json:"servers"`
	Classes   []ClassStatus    `json:"classes"`
}

// InstanceStatus is one process of the system.
type InstanceStatus struct {
	Name  string `json:"name"`
	Role  string `json:"role"`
	Zone  string `json:"zone"`
	State string `json:"state"`
	// Version is the configuration version that the process showed last.
	Version int64 `json:"version"`
	// Diverged tells that its digest at this version is another one.
	Diverged bool `json:"diverged,omitempty"`
}

// LeaseStatus is one lease of a control duty.
type LeaseStatus struct {
	Duty   string `json:"duty"`
	Holder string `json:"holder"`
	Term   int64  `json:"term"`
	// RemainingMs is the time until the lease lapses; not above 0 when it has.
	RemainingMs clock.Millis `json:"remainingMs"`
}

// ServerStatus is one backend server as its sidecar reports it.
type ServerStatus struct {
	Name    string `json:"name"`
	Pool    string `json:"pool"`
	Zone    string `json:"zone"`
	State   string `json:"state"`
	Slots   int    `json:"slots"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	// TokenMs is the observed time between tokens.
	TokenMs float64 `json:"tokenMs,omitempty"`
	// Straggler tells that work is shifted away from the server.
	Straggler bool `json:"straggler,omitempty"`
}

// ClassStatus is the queue of one request class in this entry.
type ClassStatus struct {
	Name    string `json:"name"`
	Tier    int    `json:"tier"`
	Waiting int    `json:"waiting"`
	Running int    `json:"running"`
	Shed    int64  `json:"shed"`
	// Attainment is the part of answered requests that met their targets.
	Attainment float64 `json:"attainment"`
}

// Error reports an answer of the operators' address that is no success.
type Error struct {
	Status int
	Result Result
}

// Error returns the reason and one line per problem.
func (e *Error) Error() string {
	lines := []string{fmt.Sprintf("entry answered %d: %s", e.Status, e.Result.Reason)}
	for _, p := range e.Result.Problems {
		lines = append(lines, "  "+p.String())
	}
	return strings.Join(lines, "\n")
}
