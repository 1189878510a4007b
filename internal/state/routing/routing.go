// Package routing holds one version of the operator's configuration: routes, the
// pools of backend servers that they send requests to, and client accounts with their
// API keys. It finds the route and the pool for a request, and ranks requests by
// urgency.
package routing

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strings"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// Kind says whether the requests of a route may run more than once.
type Kind int

// Kinds of routes.
const (
	// KindProtected requests run at most once.
	KindProtected Kind = iota
	// KindSafe requests may be retried after they have run.
	KindSafe
	// KindStream requests are answered by a stream of events. They are retried only if
	// the route is resumable, to resume the stream after the last delivered event.
	KindStream
)

// String returns the kind's name in logs.
func (k Kind) String() string {
	return [...]string{"protected", "safe", "stream"}[k]
}

// Share is the fraction of a route's requests that goes to a pool: its weight divided by
// the sum of the positive weights in the route. Without a positive weight a pool gets none, unless it
// is the only one.
type Share struct {
	Pool   string
	Weight float64
}

// Route sends the requests for a host and a path prefix to pools.
type Route struct {
	Name        string
	Host        string // compared without regard to case; may include a port
	PathPrefix  string // begins and ends with a slash
	Kind        Kind
	TimeoutMs   clock.Millis // time limit until the final answer; 0 means none
	TargetMs    clock.Millis // latency target from the request to the answer or its first event
	ITLTargetMs clock.Millis // target for the inter-token latency
	Priority    int          // 0 is the most urgent
	Split       []Share      // pools, with the weights by which requests are spread
	Attempts    int          // maximum number of servers that one request is sent to
	Public      bool         // no API key needed
	Resumable   bool         // an interrupted stream can resume on another server
	Engine      bool         // requests are for model engines
	Homes       []string     // regions to which requests are bound; empty for none
}

// Nowhere returns homes that are in no region, so that requests bound to them can't run.
func Nowhere() []string { return []string{""} }

// Pool is a set of interchangeable backend servers.
type Pool struct {
	Name        string
	MaxConns    int  // maximum number of connections to one server, from all its clients together
	Engine      bool // the servers are model engines; the fields below apply only to these
	Slots       int  // number of requests that one server runs concurrently
	CacheTokens int  // capacity of the KV cache of one server, in tokens
	EventTokens int  // number of tokens in one streamed event
	// WarmUpMs is how long a server warms up after a start. WarmUpPerSecond is the number of
	// requests a second that it accepts meanwhile, from all gateways together; 0 for no limit.
	WarmUpMs        clock.Millis
	WarmUpPerSecond float64
}

// Account is a client account.
type Account struct {
	Name     string
	Keys     []string // API keys; blank ones admit nobody
	Priority *int     // 0 is the most urgent; compared before the routes' priorities; nil ranks last
	Homes    []string // regions to which its requests are bound, beside those of the route; empty for none
}

// Config is one version of the configuration. It is immutable.
type Config struct {
	Version         int64
	Routes          []Route
	Pools           []Pool
	Accounts        []Account
	Anonymous       bool         // requests need no API key; only without accounts
	MaxBodyBytes    int64        // maximum size of a request body
	MaxHeaderBytes  int          // maximum size of a request header
	HeaderTimeoutMs clock.Millis // time limit for the request header
	IdleTimeoutMs   clock.Millis // time after which an idle connection is closed

	routesByHost  map[string][]*Route // longest prefix first
	poolsByName   map[string]*Pool
	accountsByKey map[string]*Account
	// priorityPairs holds all pairs of an account priority and a route priority in
	// use, sorted. The index of a pair is its urgency.
	priorityPairs   [][2]int
	defaultPriority int // priority of accounts without one: less urgent than all others
}

// FieldError reports an invalid field of the configuration.
type FieldError struct {
	Field  string
	Reason string
}

// Error returns the field and the reason.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// New returns c, validated and with its lookup indexes built. The error is a
// *FieldError.
func New(c Config) (*Config, error) {
	if c.Version <= 0 {
		return nil, &FieldError{"version", "must be positive"}
	}
	c.routesByHost, c.poolsByName, c.accountsByKey = map[string][]*Route{}, map[string]*Pool{}, map[string]*Account{}
	for i := range c.Pools {
		if p := c.Pools[i]; p.WarmUpMs < 0 || p.WarmUpPerSecond < 0 {
			return nil, &FieldError{fmt.Sprintf("pools[%d] %q: warm-up", i, p.Name), "must not be negative"}
		}
		if c.Pools[i].Name != "" {
			c.poolsByName[c.Pools[i].Name] = &c.Pools[i]
		}
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
			return nil, &FieldError{fmt.Sprintf("routes[%d] %q: path prefix %q", i, r.Name, r.PathPrefix), "must begin and end with a slash"}
		}
		for _, s := range r.Split {
			if c.poolsByName[s.Pool] == nil {
				return nil, &FieldError{fmt.Sprintf("routes[%d] %q: pool %q", i, r.Name, s.Pool), "is not configured"}
			}
		}
		host := strings.ToLower(r.Host)
		c.routesByHost[host] = append(c.routesByHost[host], r)
	}
	for _, rs := range c.routesByHost {
		slices.SortStableFunc(rs, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	c.indexPriorities()
	for i := range c.Accounts {
		for _, k := range c.Accounts[i].Keys {
			if !IsBlank(k) {
				c.accountsByKey[k] = &c.Accounts[i]
			}
		}
	}
	return &c, nil
}

// indexPriorities fills priorityPairs and defaultPriority.
func (c *Config) indexPriorities() {
	last := 0
	accounts := map[int]bool{}
	for _, a := range c.Accounts {
		if a.Priority != nil {
			accounts[*a.Priority] = true
			last = max(last, *a.Priority+1)
		}
	}
	c.defaultPriority = last
	accounts[last] = true
	seen := map[[2]int]bool{}
	for _, r := range c.Routes {
		for a := range accounts {
			seen[[2]int{a, r.Priority}] = true
		}
	}
	for pair := range seen {
		c.priorityPairs = append(c.priorityPairs, pair)
	}
	slices.SortFunc(c.priorityPairs, func(a, b [2]int) int { return slices.Compare(a[:], b[:]) })
}

// Urgency returns the rank of a request, from 0 (most urgent) to LeastUrgent, ordered
// by the account's priority and then by the route's. The account may be nil.
func (c *Config) Urgency(a *Account, r *Route) int {
	pair := [2]int{c.defaultPriority, r.Priority}
	if a != nil && a.Priority != nil {
		pair[0] = *a.Priority
	}
	n, _ := slices.BinarySearchFunc(c.priorityPairs, pair, func(x, y [2]int) int { return slices.Compare(x[:], y[:]) })
	return n
}

// LeastUrgent returns the largest value that Urgency returns.
func (c *Config) LeastUrgent() int { return max(len(c.priorityPairs)-1, 0) }

// Match returns the route for the host with the longest prefix of path, or nil. A port in
// host is ignored unless the Host of a route includes it.
func (c *Config) Match(host, path string) *Route {
	host = strings.ToLower(host)
	rs, ok := c.routesByHost[host]
	if !ok {
		if i := strings.LastIndexByte(host, ':'); i >= 0 {
			rs = c.routesByHost[host[:i]]
		}
	}
	for _, r := range rs {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// AccountByKey returns the account that has the API key, or nil.
func (c *Config) AccountByKey(key string) *Account { return c.accountsByKey[key] }

// KeysNeeded reports whether requests to non-public routes need an API key.
func (c *Config) KeysNeeded() bool { return !c.Anonymous || len(c.Accounts) > 0 }

// IsBlank reports whether an API key is one that callers without a key could be taken to send.
func IsBlank(key string) bool { return strings.TrimSpace(key) == "" }

// BlankKeys returns the names of the accounts that have a blank API key.
func (c *Config) BlankKeys() []string {
	var out []string
	for _, a := range c.Accounts {
		if slices.ContainsFunc(a.Keys, IsBlank) {
			out = append(out, a.Name)
		}
	}
	return out
}

// Pool returns the named pool, or nil.
func (c *Config) Pool(name string) *Pool { return c.poolsByName[name] }

// Choose returns the name of the pool for the request with the id. The same id always
// gets the same pool, and ids are spread over the pools in proportion to their weights. It is empty if
// no pool of several has a weight.
func (r *Route) Choose(id string) string {
	if len(r.Split) == 1 {
		return r.Split[0].Pool
	}
	sum := 0.0
	for _, s := range r.Split {
		sum += max(s.Weight, 0)
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	at := float64(h.Sum32()) / (1 << 32) * sum
	last := ""
	for _, s := range r.Split {
		if s.Weight <= 0 {
			continue
		}
		if at -= s.Weight; at < 0 {
			return s.Pool
		}
		last = s.Pool
	}
	return last
}

// MayRunAgain reports whether a request of the route may be sent again after it has run:
// one of kind KindSafe, or of KindStream if the stream can resume.
func (r *Route) MayRunAgain() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}
