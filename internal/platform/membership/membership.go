// Package membership reads the platform's list of live and leaving instances.
//
//	GET {base}/v1/instances -> {"atMs":0,"instances":[...]}
//
// The list may be outdated: it lags behind the state of the instances.
package membership

import (
	"context"
	"net/http"

	"github.com/damaskport/damaskport/internal/platform/listing"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// Role is the role of a listed instance.
type Role string

// Roles of instances.
const (
	RoleEntry   Role = "entry"
	RoleBackend Role = "backend"
)

// State is the lifecycle state of a listed instance.
type State string

// States of instances.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Instance is a listed instance of the router: an entry, or a backend server with its
// sidecar.
type Instance struct {
	Name string `json:"name"`
	Role Role   `json:"role"`
	Pool string `json:"pool,omitempty"`
	Zone string `json:"zone"`
	// Address is the control address of a backend server's sidecar, or the admin
	// address of an entry.
	Address   string       `json:"address"`
	State     State        `json:"state"`
	StartedMs clock.Millis `json:"startedMs"`
}

// List is the platform's list of instances as of AtMs, in Unix milliseconds.
type List struct {
	AtMs      clock.Millis `json:"atMs"`
	Instances []Instance   `json:"instances"`
}

// Client reads the list of instances. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a Client of the interface at the URL base.
func New(base string, h *http.Client) *Client {
	return &Client{base: base, http: h}
}

// List reads the list of instances.
func (c *Client) List(ctx context.Context) (List, error) {
	var out List
	err := listing.Get(ctx, c.http, c.base+"/v1/instances", &out)
	return out, err
}
