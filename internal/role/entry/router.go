package entry

import (
	"math/rand/v2"
	"sync"

	"github.com/damaskport/damaskport/internal/platform/membership"
	"github.com/damaskport/damaskport/internal/policy/route"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// router chooses sidecars for requests: route.Router for concurrent use.
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

// choice is where a job may run: at once, or by reservation.
type choice struct {
	direct     *peer
	candidates []*peer
}

// choose returns the choice for a job among the sidecars not tried yet.
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
	out := choice{direct: r.byName[c.StartAt]}
	for _, name := range c.Candidates {
		if p := r.byName[name]; p != nil {
			out.candidates = append(out.candidates, p)
		}
	}
	return out
}

// chooseByKey sends the requests of one idempotency key to the same sidecars,
// so that the first of them knows of the earlier ones without the log.
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
	if len(out.candidates) > 0 && out.candidates[0].free() > 0 {
		out.direct = out.candidates[0]
	}
	return out
}

// report takes in a sidecar's report of its load.
func (r *router) report(p *peer, v route.Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byName[v.Name] = p
	r.route.SetPeer(v)
}

// remove forgets a sidecar whose connection has ended.
func (r *router) remove(p *peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byName[p.instance.Name] == p {
		delete(r.byName, p.instance.Name)
		r.route.RemovePeer(p.instance.Name)
	}
}

func (r *router) sent(j *job, p *peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.route.RecordSent(p.instance.Name, j.prefixes)
}

func (r *router) done(p *peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.route.RecordDone(p.instance.Name)
}

// observe notes the time per token of an answer.
func (r *router) observe(p *peer, tokenMs float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.route.ObserveToken(r.e.clock.Now(), p.instance.Name, tokenMs)
}

// subset returns the members of a pool to which this entry connects.
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

// view returns what the router must know of the sidecar.
func (p *peer) view(now clock.Millis) route.Peer {
	return route.Peer{
		Name: p.instance.Name, Zone: p.hello.Zone, Pool: p.hello.Pool, Slots: p.hello.Slots,
		Free: p.load.Free, WaitingByTier: p.load.Waiting, PreemptibleByTier: p.load.Preemptible, TokenMs: p.load.TokenMs, ReportMs: now,
		Leaving: !p.usable(),
	}
}
