package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/backend/direct"
	"github.com/damaskport/damaskport/internal/peer/enginequeue"
	"github.com/damaskport/damaskport/internal/policy/place"
	"github.com/damaskport/damaskport/internal/policy/ratelimit"
	"github.com/damaskport/damaskport/internal/policy/retry"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/tcp"
	"github.com/damaskport/damaskport/internal/state/routing"
	"github.com/damaskport/damaskport/internal/state/servers"
	"github.com/damaskport/damaskport/internal/state/speed"
	"github.com/damaskport/damaskport/internal/state/versions"
)

// fleetView is this gateway's view of the configuration and of the backend servers.
// It is safe for concurrent use.
type fleetView struct {
	zone  string
	clock clock.Clock
	log   logrus.FieldLogger
	cfg   atomic.Pointer[routing.Config]
	// configReadMs is when the configuration was last confirmed to be the newest, by a
	// read of the store or an update from a store reader (steady clock).
	configReadMs atomic.Int64
	// listed is set once the list of servers was read; dialed is called for each new
	// connection to a server.
	listed atomic.Bool
	dialed func()
	// evacuated reports whether a zone is evacuated: its servers take no requests.
	evacuated func(zone string) bool
	// gateways returns the number of known gateways, including this one.
	gateways func() int
	// buffers gives the connections to servers the sizes of their buffers.
	buffers *tcp.Buffers
	// startsAsOfMs is when the list was last known to show the starts of all running servers:
	// it does not shortly after an outage or a restore of the store (steady clock).
	startsAsOfMs atomic.Int64
	// listChanged has an element after the list of servers has changed, and traceAsked once its gaps are to be traced.
	listChanged, traceAsked chan struct{}

	mu    sync.Mutex
	pools map[string]*pool
	list  []servers.Server
	// knownStarts are the starts of servers, also of those that are not in list.
	knownStarts servers.Starts
	retryLimit  retry.WindowLimit

	// notices holds the notices that servers sent about themselves; it is guarded by
	// noticeMu. noticeMu is the last lock to be taken.
	noticeMu sync.Mutex
	notices  *servers.Notices
	// limits holds the limits that servers have named; it is guarded by noticeMu.
	limits *ratelimit.Known
	// warmUps holds which servers warm up; it is guarded by noticeMu.
	warmUps *servers.WarmUps
}

// pool is this gateway's view of one pool of servers.
type pool struct {
	name string

	// warmUpRate is the requests a second, as the bits of a float64, that a server accepts
	// while it warms up; 0 for no limit.
	warmUpRate atomic.Uint64

	mu     sync.Mutex
	engine bool
	// sensitiveITLMs is the largest ITL target with which a route of the pool counts as
	// latency-sensitive; 0 if none does.
	sensitiveITLMs clock.Millis
	// leastUrgent is the least urgent priority of the requests received so far; 0 is the
	// most urgent one.
	leastUrgent int
	table       *place.ServerTable
	conns       map[servers.Key]*direct.Pool
	engines     map[string]enginequeue.Engine // all servers that may take requests, by ID
	addrs       map[string]string
	versions    map[string]string // software versions, by ID
	// listed holds the servers that do not drain, also those of evacuated zones.
	listed  map[servers.Key]bool
	retries *retry.WindowBudget
	// returns assigns the times at which callers return that were refused because all
	// servers are at their limits.
	returns ratelimit.Returns
	rnd     *rand.Rand
	// windows holds the servers with a window at the last sweep, by ID.
	windows map[string]bool
	// lengths predicts the length of the pool's streams.
	lengths speed.Lengths
}

func newFleetView(zone string, c clock.Clock, log logrus.FieldLogger, limit retry.WindowLimit) *fleetView {
	return &fleetView{
		zone: zone, clock: c, log: log, retryLimit: limit, pools: map[string]*pool{}, notices: servers.NewNotices(), limits: ratelimit.NewKnown(),
		warmUps: servers.NewWarmUps(), listChanged: make(chan struct{}, 1), traceAsked: make(chan struct{}, 1), evacuated: func(string) bool { return false }, gateways: func() int { return 1 },
	}
}

func (v *fleetView) config() *routing.Config { return v.cfg.Load() }

// configAge returns the time since the configuration was last confirmed to be the
// newest.
func (v *fleetView) configAge() clock.Millis {
	return v.clock.Now() - clock.Millis(v.configReadMs.Load())
}

// pool returns the named pool, which is created without servers if it is not known.
func (v *fleetView) pool(name string) *pool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.poolLocked(name)
}

func (v *fleetView) poolLocked(name string) *pool {
	p, ok := v.pools[name]
	if !ok {
		p = &pool{
			name: name, table: place.NewServerTable(v.zone), conns: map[servers.Key]*direct.Pool{}, engines: map[string]enginequeue.Engine{},
			retries: retry.NewWindowBudget(v.retryLimit), rnd: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		}
		v.pools[name] = p
	}
	return p
}

// setConfig puts a configuration in force.
func (v *fleetView) setConfig(cfg *routing.Config) {
	v.cfg.Store(cfg)
	v.refresh()
}

// setStarts sets the known starts of all servers.
func (v *fleetView) setStarts(starts servers.Starts) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.knownStarts = starts
}

// setServers sets the servers that may take requests, and the known starts of all.
func (v *fleetView) setServers(list []servers.Server, starts servers.Starts) {
	v.mu.Lock()
	v.list, v.knownStarts = list, starts
	v.mu.Unlock()
	v.listed.Store(true)
	v.refresh()
	select {
	case v.listChanged <- struct{}{}:
	default:
	}
}

// setRetryLimit changes the limit on retries.
func (v *fleetView) setRetryLimit(limit retry.WindowLimit) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.retryLimit = limit
	for _, p := range v.pools {
		p.mu.Lock()
		p.retries.SetLimit(limit)
		p.mu.Unlock()
	}
}

// refresh applies the configuration and the list of servers to all pools. Servers
// that sent a draining notice, and those of evacuated zones, are left out. It does nothing
// before there is a configuration.
func (v *fleetView) refresh() {
	cfg := v.cfg.Load()
	if cfg == nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	byPool := map[string][]servers.Server{}
	for _, s := range v.list {
		if v.draining(s.Key()) {
			v.poolLocked(s.Pool)
			continue
		}
		byPool[s.Pool] = append(byPool[s.Pool], s)
		v.poolLocked(s.Pool)
	}
	for name, p := range v.pools {
		p.update(v, cfg.Pool(name), sensitiveITLTarget(cfg, name), byPool[name])
	}
}

// engines returns the sorted IDs of all model engines.
func (v *fleetView) engines() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []string
	for _, p := range v.pools {
		p.mu.Lock()
		if p.engine {
			for id := range p.engines {
				out = append(out, id)
			}
		}
		p.mu.Unlock()
	}
	slices.Sort(out)
	return out
}

// sensitiveITLTarget returns the largest ITL target with which a route of the pool
// counts as latency-sensitive; 0 if the ITL targets of its routes are too close to
// tell them apart.
func sensitiveITLTarget(cfg *routing.Config, name string) clock.Millis {
	var itlTargets []clock.Millis
	for _, r := range cfg.Routes {
		if r.Engine && slices.ContainsFunc(r.Split, func(s routing.Share) bool { return s.Pool == name }) {
			itlTargets = append(itlTargets, r.ITLTargetMs)
		}
	}
	return place.ITLBound(itlTargets)
}

// update applies the configuration and the servers of the pool, and closes the
// connections to servers that are no longer listed. Servers of evacuated zones keep
// theirs, but take no requests. cfg is nil if the configuration lacks the pool.
func (p *pool) update(v *fleetView, cfg *routing.Pool, sensitiveITLMs clock.Millis, list []servers.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sensitiveITLMs = sensitiveITLMs
	p.engine = cfg != nil && cfg.Engine
	p.setWarmUp(cfg)
	out := make([]place.Server, 0, len(list))
	live, listed := map[servers.Key]bool{}, map[servers.Key]bool{}
	engines := map[string]enginequeue.Engine{}
	addrs, byVersion := map[string]string{}, map[string]string{}
	for _, s := range list {
		listed[s.Key()] = true
		if v.evacuated(s.Zone) {
			continue
		}
		ps := place.Server{ID: s.ID, Start: s.Start, Zone: s.Zone, Slots: s.Slots}
		if p.engine {
			ps.CacheTokens = cfg.CacheTokens
		}
		out = append(out, ps)
		live[s.Key()] = true
		engines[s.ID] = enginequeue.Engine{ID: s.ID, Start: s.Start, Slots: s.Slots, MemoryTokens: ps.CacheTokens}
		addrs[s.ID], byVersion[s.ID] = s.Addr, s.Version
		if p.conns[s.Key()] == nil {
			c := direct.NewPool(s.Addr, v.clock)
			c.Dialed, c.Buffers = v.dialed, v.buffers
			p.conns[s.Key()] = c
		}
	}
	p.table.SetGateways(v.gateways(), p.engine)
	p.table.SetServers(out)
	for k := range live {
		p.table.Exclude(k.ID, v.backOffUntil(k))
		_, limited := v.permitNeed(v.clock.Now(), p, k)
		p.table.SetPaced(k.ID, limited)
	}
	for k, c := range p.conns {
		if !listed[k] {
			c.Close()
			delete(p.conns, k)
		}
	}
	p.engines, p.addrs, p.versions, p.listed = engines, addrs, byVersion, listed
}

// choose selects a server for r, except those in exclude, and records that r is sent
// to it. It returns false if no server may take the request.
func (p *pool) choose(now clock.Millis, r place.Request, exclude []string) (target, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.table.Choose(now, r, exclude, p.rnd)
	if !ok {
		return target{}, false
	}
	p.table.Sent(c, r)
	e := p.engines[c.ID]
	return target{Choice: c, engine: e, conns: p.conns[servers.Key{ID: e.ID, Start: e.Start}], copyFromAddr: p.addrs[c.CopyFrom], version: p.versions[c.ID], noAlternative: !p.table.HasOther(r, c.ID, exclude)}, true
}

// copySource returns the address of the server from which cached prompt blocks are copied for to; empty if
// that server may no longer take requests.
func (p *pool) copySource(to target) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.addrs[to.CopyFrom] != to.copyFromAddr {
		return ""
	}
	return to.copyFromAddr
}

// hasOther reports whether r may run at another server than one, and those in exclude.
func (p *pool) hasOther(r place.Request, id string, exclude []string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.HasOther(r, id, exclude)
}

// versionList returns the software versions of the servers of the pool, sorted.
func (p *pool) versionList() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Compact(slices.Sorted(maps.Values(p.versions)))
}

// idsOf returns the servers of the pool whose software version is one for which match is
// true.
func (p *pool) idsOf(match func(version string) bool) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for id, v := range p.versions {
		if match(v) {
			out = append(out, id)
		}
	}
	return out
}

// listedVersions returns the software versions of the listed servers by pool.
func (v *fleetView) listedVersions() map[string][]string {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := map[string][]string{}
	for _, s := range v.list {
		if !slices.Contains(out[s.Pool], s.Version) {
			out[s.Pool] = append(out[s.Pool], s.Version)
		}
	}
	return out
}

// versionCounts returns the number of listed servers by pool and software version.
func (v *fleetView) versionCounts() map[string]map[string]int {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := map[string]map[string]int{}
	for _, s := range v.list {
		if out[s.Pool] == nil {
			out[s.Pool] = map[string]int{}
		}
		out[s.Pool][s.Version]++
	}
	return out
}

// starts returns when the current process of each listed server started, by server id.
func (v *fleetView) starts() map[string]int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make(map[string]int64, len(v.list))
	for _, s := range v.list {
		out[s.ID] = s.Start
	}
	return out
}

// allStarts returns the known starts of all servers, also of those that drain or are gone.
func (v *fleetView) allStarts() servers.Starts {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.knownStarts
}

// askTrace asks the task that follows the list to trace its gaps; see listGap.
func (v *fleetView) askTrace() {
	select {
	case v.traceAsked <- struct{}{}:
	default:
	}
}

// prove returns which start of a server a contact led to, by the list of servers. If that depends on a gap of the list, it
// waits until the gap was traced, for at most listWait.
func (v *fleetView) prove(ctx context.Context, c versions.Contact) versions.Proof {
	for until := v.clock.Now() + listWait; ; {
		asOf := v.startsAsOf()
		proof := c.Prove(asOf, v.allStarts())
		if proof != versions.Untraced {
			return proof
		}
		v.askTrace()
		if v.clock.Now() >= until || v.clock.Sleep(ctx, listPoll) != nil {
			return proof
		}
	}
}

// startsAsOf returns when the list was last known to show the starts of all running servers,
// by the steady clock.
func (v *fleetView) startsAsOf() clock.Millis { return clock.Millis(v.startsAsOfMs.Load()) }

// awaitListSince waits for a list that shows the starts of all servers that ran at a time, and
// reports whether it came within most.
func (v *fleetView) awaitListSince(ctx context.Context, at, most clock.Millis) bool {
	for until := v.clock.Now() + most; v.startsAsOf() < at; {
		if v.clock.Now() >= until || v.clock.Sleep(ctx, listPoll) != nil {
			return false
		}
	}
	return true
}

// awaitList waits until the list of servers changes, for at most d.
func (v *fleetView) awaitList(ctx context.Context, d clock.Millis) {
	wait, cancel := context.WithTimeout(ctx, d.Duration())
	defer cancel()
	select {
	case <-v.listChanged:
	case <-wait.Done():
	}
}

// target is the server chosen for a request.
type target struct {
	place.Choice
	engine enginequeue.Engine
	conns  *direct.Pool
	// version is the software version of the server.
	version string
	// noAlternative is set if the pool has no other server that was not excluded.
	noAlternative bool
	// permit is the permit for the request if the server has a limit.
	permit permit
	// copyFromAddr is the address of the server from which cached prompt blocks are copied;
	// empty for none.
	copyFromAddr string
}

// accepts reports whether a server may still take requests: its entry is unchanged,
// so that it has not restarted, and it has not asked for a back-off.
func (p *pool) accepts(now clock.Millis, e enginequeue.Engine) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.engines[e.ID] == e && !p.table.Excluded(now, e.ID)
}

// lists reports whether the pool has this start of a server, and it does not drain.
func (p *pool) lists(e enginequeue.Engine) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listed[e.Key()]
}

// withTable runs f on the pool's server table, with the pool locked.
func (p *pool) withTable(f func(t *place.ServerTable)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.table)
}

// retriesLeft returns how many retries this gateway may still send, by pool. gateways
// is the number of gateways that share the limit.
func (v *fleetView) retriesLeft(now clock.Millis, gateways int) map[string]int {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make(map[string]int, len(v.pools))
	for name, p := range v.pools {
		p.mu.Lock()
		out[name] = p.retries.Left(now, gateways)
		p.mu.Unlock()
	}
	return out
}

// sweep drops expired notices, and closes idle connections to servers that have timed
// out.
func (v *fleetView) sweep() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.sweepNotices()
	for _, p := range v.pools {
		p.mu.Lock()
		p.paceWarmUps(v)
		p.logWindows(v)
		for _, c := range p.conns {
			c.Sweep()
		}
		p.mu.Unlock()
	}
}
