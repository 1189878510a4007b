package entry

import (
	"math/rand/v2"
	"sync"

	"github.com/damaskport/damaskport/internal/platform/membership"
	"github.com/damaskport/damaskport/internal/policy/route"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// router chooses sidecars for requests. It wraps route.Router for concurrent use.
type router struct {
	e          *Entry
	candidates int
	perPool    int
	mu         sync.Mutex
	route      *route.Router
	rnd        *rand.Rand
	byName     map[string]*peer
}

func newRouter(e *Entry) *router {
	return &router{
		e: e, candidates: e.cfg.Candidates, perPool: e.cfg.PeersPerPool,
		route: route.New(route.Config{
			Zone: e.zone, Routing: string(e.policy.Routing), Candidates: e.cfg.Candidates,
			NoStragglers: e.policy.NoStragglers, NoReportAging: e.policy.NoDiscount,
		}),
		rnd:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		byName: map[string]*peer{},
	}
}

// choice is where to send a job: to startAt at once, if it is not nil, or else
// reservations to candidates.
type choice struct {
	startAt    *peer
	candidates []*peer
}

// choose returns the choice for a job among the sidecars that are not in j.tried.
func (r *router) choose(j *job) choice {
	r.mu.Lock()
	defer r.mu.Unlock()
	if j.request.Protected {
		return r.chooseByKey(j)
	}
	q := route.Request{Pool: j.pool.Name, Tier: j.class.Tier, Prefixes: j.prefixes}
	for p := range j.tried {
		q.Exclude = append(q.Exclude, p.instance.Name)
	}
	c := r.route.Choose(r.e.clock.Now(), q, r.rnd)
	out := choice{startAt: r.byName[c.StartAt]}
	for _, name := range c.Candidates {
		if p := r.byName[name]; p != nil {
			out.candidates = append(out.candidates, p)
		}
	}
	return out
}

// chooseByKey chooses the same sidecars, by rendezvous hashing, for all requests
// with the same idempotency key, so that the first of them knows the earlier
// requests without reading the log. The caller must hold mu.
func (r *router) chooseByKey(j *job) choice {
	var names []string
	for _, p := range r.e.peers.pool(j.pool.Name) {
		if !j.tried[p] {
			names = append(names, p.instance.Name)
		}
	}
	key := j.account.Name + "\x00" + j.request.Route + "\x00" + j.request.IdempotencyKey
	var out choice
	for _, name := range route.Rendezvous(key, names, r.candidates) {
		if p := r.byName[name]; p != nil {
			out.candidates = append(out.candidates, p)
		}
	}
	if len(out.candidates) > 0 && out.candidates[0].freeSlots() > 0 {
		out.startAt = out.candidates[0]
	}
	return out
}

// report updates the routing data of a sidecar.
func (r *router) report(p *peer, v route.Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byName[v.Name] = p
	r.route.SetPeer(v)
}

// remove withdraws a sidecar whose connection has ended from routing.
func (r *router) remove(p *peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byName[p.instance.Name] == p {
		delete(r.byName, p.instance.Name)
		r.route.RemovePeer(p.instance.Name)
	}
}

// recordSent records that j was sent to p, which will have its prompt cached.
func (r *router) recordSent(j *job, p *peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.route.RecordSent(p.instance.Name, j.prefixes)
}

// recordDone records that an attempt at p has ended.
func (r *router) recordDone(p *peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.route.RecordDone(p.instance.Name)
}

// recordTokenMs records the mean time per output token, in ms, of an attempt at p. The
// routing policy detects stragglers, which are unusually slow servers, by these times.
func (r *router) recordTokenMs(p *peer, tokenMs float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.route.ObserveToken(r.e.clock.Now(), p.instance.Name, tokenMs)
}

// subset returns the backend servers, out of the members of one pool, to which this
// entry connects.
func (r *router) subset(entries []string, members []membership.Instance) []membership.Instance {
	byName := map[string]membership.Instance{}
	var all []route.Sidecar
	for _, in := range members {
		byName[in.Name] = in
		all = append(all, route.Sidecar{Name: in.Name, Zone: in.Zone})
	}
	var out []membership.Instance
	for _, name := range route.SidecarSubset(r.e.name, entries, all, r.perPool) {
		out = append(out, byName[name])
	}
	return out
}

// routingData returns the routing data of the sidecar. The caller must hold p.mu.
func (p *peer) routingData(now clock.Millis) route.Peer {
	return route.Peer{
		Name: p.instance.Name, Zone: p.hello.Zone, Pool: p.hello.Pool, Slots: p.hello.Slots,
		Free: p.load.Free, WaitingByTier: p.load.Waiting, PreemptibleByTier: p.load.Preemptible, TokenMs: p.load.TokenMs, ReportMs: now,
		Leaving: !p.usable(),
	}
}
