// Package capacity speaks to the platform's interface that starts and stops
// backend servers.
//
//	GET  {base}/v1/capacity         -> a Listing
//	POST {base}/v1/capacity/orders  an Order -> {"server":"m10"}
//
// An order whose orderId is known is not carried out again. The platform may
// refuse an order of an old term with 409, or ignore terms.
package capacity

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/damaskport/damaskport/internal/platform/fenced"
	"github.com/damaskport/damaskport/internal/platform/listing"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// State of a backend server.
type State string

// States of backend servers.
const (
	StateStarting State = "starting"
	StateLive     State = "live"
	StateLeaving  State = "leaving"
)

// Action of an order.
type Action string

// Actions of orders.
const (
	ActionStart Action = "start"
	ActionStop  Action = "stop"
)

// Server is a backend server in the list.
type Server struct {
	Name  string `json:"name"`
	Zone  string `json:"zone"`
	Pool  string `json:"pool"`
	State State  `json:"state"`
	// OrderID is that of the order which started the server, if any.
	OrderID string `json:"orderId"`
}

// Price is what a server of a pool costs in an availability zone.
type Price struct {
	Zone    string  `json:"zone"`
	Pool    string  `json:"pool"`
	PerHour float64 `json:"perHour"`
}

// Listing is the state of all backend servers.
type Listing struct {
	Servers   []Server     `json:"servers"`
	Prices    []Price      `json:"prices"`
	StartUpMs clock.Millis `json:"startUpMs"`
}

// Order asks for one server to be started or stopped.
type Order struct {
	OrderID string `json:"orderId"`
	// Term is the fencing number, and Author the sender.
	Term   int64  `json:"term"`
	Author string `json:"author"`
	Action Action `json:"action"`
	Zone   string `json:"zone"`
	Pool   string `json:"pool"`
	// Server names the server to be stopped.
	Server string `json:"server"`
}

// Client reads the list and sends orders. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a Client of the interface at base. Lists are read with h.
func New(base string, h *http.Client) *Client {
	return &Client{base: base, http: h}
}

// List reads the state of all backend servers.
func (c *Client) List(ctx context.Context) (Listing, error) {
	var out Listing
	err := listing.Get(ctx, c.http, c.base+"/v1/capacity", &out)
	return out, err
}

// Order sends one order while the guard allows it, and returns the server
// that it is about. After an error other than a refusing fenced.StatusError,
// or a fenced.LapsedError with nothing sent, it may have been carried out.
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
