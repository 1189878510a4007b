// Package routing holds one version of the operator's configuration: routes,
// the pools that they lead to, and client accounts with their keys.
package routing

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strings"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// Kind tells how often a request of a route may run.
type Kind int

// Kinds of routes.
const (
	// KindProtected requests run at most once.
	KindProtected Kind = iota
	// KindSafe requests may run again.
	KindSafe
	// KindStream requests are answered by events; they run again only to go on
	// behind the last delivered event, and only if the route is resumable.
	KindStream
)

// String returns the kind's name in logs.
func (k Kind) String() string {
	return [...]string{"protected", "safe", "stream"}[k]
}

// Share is a pool's share of a route's requests.
type Share struct {
	Pool   string
	Weight float64
}

// Route maps requests of a host below a path to pools.
type Route struct {
	Name       string
	Host       string
	PathPrefix string // begins and ends with a slash
	Kind       Kind
	TimeoutMs  clock.Millis // until the final answer; 0 for none
	TargetMs   clock.Millis // until the answer, or its first event
	PauseMs    clock.Millis // longest pause between events
	Priority   int          // 0 is the most urgent
	Split      []Share
	Attempts   int // most backend servers for one request
	Public     bool
	Resumable  bool
	Engine     bool
}

// Pool is a set of like backend servers.
type Pool struct {
	Name        string
	MaxConns    int // of one server, from all callers
	Engine      bool
	Slots       int
	CacheTokens int
	EventTokens int
}

// Account is a client account.
type Account struct {
	Name     string
	Keys     []string
	Priority *int // compared before the routes' priorities; nil ranks last
}

// Config is one version of the configuration. It is immutable.
type Config struct {
	Version      int64
	Routes       []Route
	Pools        []Pool
	Accounts     []Account
	MaxBodyBytes int64
	HeaderMs     clock.Millis
	IdleMs       clock.Millis

	hosts map[string][]*Route // longest prefix first
	pools map[string]*Pool
	keys  map[string]*Account
	// ranks are the pairs of an account's and a route's priority, in order.
	ranks [][2]int
	last  int // the account priority of accounts without one
}

// FieldError reports a field of the configuration that cannot be used.
type FieldError struct {
	Field  string
	Reason string
}

// Error returns the field and the reason.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// New checks and indexes a configuration. The error is a *FieldError.
func New(c Config) (*Config, error) {
	if c.Version <= 0 {
		return nil, &FieldError{"version", "must be positive"}
	}
	c.hosts, c.pools, c.keys = map[string][]*Route{}, map[string]*Pool{}, map[string]*Account{}
	for i := range c.Pools {
		c.pools[c.Pools[i].Name] = &c.Pools[i]
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
			return nil, &FieldError{fmt.Sprintf("routes[%d] %q: path prefix %q", i, r.Name, r.PathPrefix), "must begin and end with a slash"}
		}
		for _, s := range r.Split {
			if c.pools[s.Pool] == nil {
				return nil, &FieldError{fmt.Sprintf("routes[%d] %q: pool %q", i, r.Name, s.Pool), "is not configured"}
			}
		}
		host := strings.ToLower(r.Host)
		c.hosts[host] = append(c.hosts[host], r)
	}
	for _, rs := range c.hosts {
		slices.SortStableFunc(rs, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	c.rank()
	for i := range c.Accounts {
		for _, k := range c.Accounts[i].Keys {
			c.keys[k] = &c.Accounts[i]
		}
	}
	return &c, nil
}

// rank orders the pairs of priorities that occur.
func (c *Config) rank() {
	last := 0
	accounts := map[int]bool{}
	for _, a := range c.Accounts {
		if a.Priority != nil {
			accounts[*a.Priority] = true
			last = max(last, *a.Priority+1)
		}
	}
	c.last = last
	accounts[last] = true
	seen := map[[2]int]bool{}
	for _, r := range c.Routes {
		for a := range accounts {
			seen[[2]int{a, r.Priority}] = true
		}
	}
	for pair := range seen {
		c.ranks = append(c.ranks, pair)
	}
	slices.SortFunc(c.ranks, func(a, b [2]int) int { return slices.Compare(a[:], b[:]) })
}

// Urgency returns the rank of a request, 0 for the most urgent: by the
// account's priority, then by the route's. The account may be nil.
func (c *Config) Urgency(a *Account, r *Route) int {
	pair := [2]int{c.last, r.Priority}
	if a != nil && a.Priority != nil {
		pair[0] = *a.Priority
	}
	n, _ := slices.BinarySearchFunc(c.ranks, pair, func(x, y [2]int) int { return slices.Compare(x[:], y[:]) })
	return n
}

// LeastUrgent returns the largest value that Urgency can have.
func (c *Config) LeastUrgent() int { return max(len(c.ranks)-1, 0) }

// Match returns the route with the longest prefix of path, or nil.
func (c *Config) Match(host, path string) *Route {
	host = strings.ToLower(host)
	rs, ok := c.hosts[host]
	if !ok {
		if i := strings.LastIndexByte(host, ':'); i >= 0 {
			rs = c.hosts[host[:i]]
		}
	}
	for _, r := range rs {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// ByKey returns the account that holds key, or nil.
func (c *Config) ByKey(key string) *Account { return c.keys[key] }

// KeysNeeded reports whether requests of routes that are not public need a key.
func (c *Config) KeysNeeded() bool { return len(c.Accounts) > 0 }

// Pool returns the named pool, or nil.
func (c *Config) Pool(name string) *Pool { return c.pools[name] }

// Choose returns the pool for the request id: the same id always leads to the
// same pool, and ids spread by the weights.
func (r *Route) Choose(id string) string {
	if len(r.Split) == 1 {
		return r.Split[0].Pool
	}
	sum := 0.0
	for _, s := range r.Split {
		sum += s.Weight
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	at := float64(h.Sum32()) / (1 << 32) * sum
	for _, s := range r.Split {
		if at -= s.Weight; at < 0 {
			return s.Pool
		}
	}
	return r.Split[len(r.Split)-1].Pool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}
