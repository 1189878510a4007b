// Package capacity is a client of the platform's interface that starts and stops
// backend servers.
//
//	GET  {base}/v1/capacity         -> a Listing
//	POST {base}/v1/capacity/orders  an Order -> {"server":"m10"}
//
// The platform executes only one order with a given orderId. It may reject an order
// with an outdated term with status 409, or ignore terms.
package capacity

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/damaskport/damaskport/internal/platform/fenced"
	"github.com/damaskport/damaskport/internal/platform/listing"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// State is the lifecycle state of a backend server.
type State string

// States of backend servers.
const (
	StateStarting State = "starting"
	StateLive     State = "live"
	StateLeaving  State = "leaving"
)

// Action is what an order does to a server.
type Action string

// Actions of orders.
const (
	ActionStart Action = "start"
	ActionStop  Action = "stop"
)

// Server is a listed backend server.
type Server struct {
	Name  string `json:"name"`
	Zone  string `json:"zone"`
	Pool  string `json:"pool"`
	State State  `json:"state"`
	// OrderID is the ID of the order that started the server; empty if it was not
	// started by an order.
	OrderID string `json:"orderId"`
}

// Price is the price per hour of one server of a pool in an availability zone.
type Price struct {
	Zone    string  `json:"zone"`
	Pool    string  `json:"pool"`
	PerHour float64 `json:"perHour"`
}

// Listing is the platform's list of all backend servers, with their prices and the
// time that a server takes to start.
type Listing struct {
	Servers   []Server     `json:"servers"`
	Prices    []Price      `json:"prices"`
	StartUpMs clock.Millis `json:"startUpMs"`
}

// Order is a request to start or stop one server.
type Order struct {
	OrderID string `json:"orderId"`
	// Term is the fencing number of the sender's lease, and Author identifies the
	// sender.
	Term   int64  `json:"term"`
	Author string `json:"author"`
	Action Action `json:"action"`
	Zone   string `json:"zone"`
	Pool   string `json:"pool"`
	// Server is the server to stop; empty in an order to start one.
	Server string `json:"server"`
}

// Client reads the list of servers and sends orders. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a Client of the interface at the URL base. It reads lists with h; each
// order has a connection of its own.
func New(base string, h *http.Client) *Client {
	return &Client{base: base, http: h}
}

// List reads the list of all backend servers.
func (c *Client) List(ctx context.Context) (Listing, error) {
	var out Listing
	err := listing.Get(ctx, c.http, c.base+"/v1/capacity", &out)
	return out, err
}

// Order sends one order while the guard permits it, and returns the name of the
// server that is started or stopped. After an error the order may have been executed,
// unless the error is a *fenced.StatusError that reports a rejection, or a
// *fenced.LapsedError whose Sent is false.
func (c *Client) Order(ctx context.Context, o Order, g fenced.Guard) (string, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return "", err
	}
	answer, err := fenced.Post(ctx, c.base+"/v1/capacity/orders", body, g)
	if err != nil {
		return "", err
	}
	var out struct {
		Server string `json:"server"`
	}
	err = json.Unmarshal(answer, &out)
	return out.Server, err
}
