package platform

import (
	"fmt"
	"net/http"
	"slices"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// Actions of orders.
const (
	ActionStart = "start"
	ActionStop  = "stop"
)

// Results of orders.
const (
	ResultDone     = "done"
	ResultRepeated = "repeated"
	ResultRefused  = "refused"
)

// Server is a backend server as the capacity interface shows it.
type Server struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Pool    string `json:"pool"`
	State   string `json:"state"`
	OrderID string `json:"orderId"`
}

// Price is what a server of a pool costs in a zone, per hour.
type Price struct {
	Zone    string  `json:"zone"`
	Pool    string  `json:"pool"`
	PerHour float64 `json:"perHour"`
}

// Order asks for one server to start or stop.
type Order struct {
	OrderID string `json:"orderId"`
	Term    int64  `json:"term"`
	Author  string `json:"author"`
	Action  string `json:"action"`
	Zone    string `json:"zone"`
	Pool    string `json:"pool"`
	Server  string `json:"server"`
}

// OrderRecord is an order as it arrived, and what became of it.
type OrderRecord struct {
	Order
	AtMs   clock.Millis `json:"atMs"`
	Result string       `json:"result"`
}

type serverEntry struct {
	Server
	liveAt clock.Millis
}

type capacity struct {
	servers     []serverEntry
	orders      []OrderRecord
	done        map[string]string // order id -> server
	highestTerm int64
	started     int
}

func (c *capacity) index(name string) int {
	return slices.IndexFunc(c.servers, func(s serverEntry) bool { return s.Name == name })
}

// list returns the servers as of now.
func (c *capacity) list(now clock.Millis) []Server {
	out := make([]Server, 0, len(c.servers))
	for i, s := range c.servers {
		if s.State == StateStarting && now >= s.liveAt {
			c.servers[i].State = StateLive
		}
		out = append(out, c.servers[i].Server)
	}
	return out
}

func (c *capacity) put(in Instance) {
	i := c.index(in.Name)
	if i < 0 {
		c.servers = append(c.servers, serverEntry{})
		i = len(c.servers) - 1
	}
	c.servers[i].Server = Server{in.Name, in.Zone, in.Pool, in.State, c.servers[i].OrderID}
}

func (c *capacity) remove(name string) {
	c.servers = slices.DeleteFunc(c.servers, func(s serverEntry) bool { return s.Name == name })
}

// carryOut applies o and returns the server that it is about.
func (c *capacity) carryOut(o Order, now, startUp clock.Millis) (string, error) {
	if o.Action == ActionStart {
		c.started++
		name := fmt.Sprintf("%s-%s-%d", o.Pool, o.Zone, c.started)
		c.servers = append(c.servers, serverEntry{Server{name, o.Zone, o.Pool, StateStarting, o.OrderID}, now + startUp})
		return name, nil
	}
	i := c.index(o.Server)
	if o.Action != ActionStop || i < 0 {
		return "", fmt.Errorf("cannot %s server %q", o.Action, o.Server)
	}
	c.servers[i].State = StateLeaving
	return o.Server, nil
}

func (p *Platform) serveCapacity(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	servers := p.capacity.list(p.clock.Now())
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, struct {
		Servers   []Server     `json:"servers"`
		Prices    []Price      `json:"prices"`
		StartUpMs clock.Millis `json:"startUpMs"`
	}{servers, append([]Price{}, p.cfg.Prices...), p.cfg.StartUpMs})
}

func (p *Platform) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if !readJSON(w, r, &o) {
		return
	}
	server, result, err := p.order(o)
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	o.Server = server
	if result == ResultDone && p.cfg.OnOrder != nil {
		p.cfg.OnOrder(o)
	}
	writeJSON(w, http.StatusOK, struct {
		Server string `json:"server"`
	}{server})
}

// order records o and carries it out unless it is known or refused.
func (p *Platform) order(o Order) (server, result string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := &p.capacity
	if c.done == nil {
		c.done = map[string]string{}
	}
	known, repeated := c.done[o.OrderID]
	stale := p.cfg.CheckFencing && o.Term < c.highestTerm
	switch {
	case stale:
		result, err = ResultRefused, fmt.Errorf("term %d is below %d", o.Term, c.highestTerm)
	case repeated:
		server, result = known, ResultRepeated
	default:
		server, err = c.carryOut(o, p.clock.Now(), p.cfg.StartUpMs)
		result = ResultDone
		if err != nil {
			result = ResultRefused
		}
	}
	if result == ResultDone {
		c.done[o.OrderID] = server
		p.markLeaving(o)
	}
	c.highestTerm = max(c.highestTerm, o.Term)
	c.orders = append(c.orders, OrderRecord{o, p.clock.Wall(), result})
	return server, result, err
}

// markLeaving shows a server that is to stop as leaving. The caller holds p.mu.
func (p *Platform) markLeaving(o Order) {
	if o.Action != ActionStop {
		return
	}
	p.instances.change(p.clock, p.cfg.ListLagMs, func(list map[string]Instance) {
		if in, ok := list[o.Server]; ok {
			in.State = StateLeaving
			list[o.Server] = in
		}
	})
}
