package entry

import (
	"github.com/damaskport/damaskport/internal/platform/membership"
)

// router chooses sidecars for requests.
type router struct {
	e *Entry
}

func newRouter(e *Entry) *router { return &router{e} }

// subset returns the members of a pool to which an entry connects.
func (r *router) subset(_ string, members []membership.Instance) []membership.Instance {
	return members
}

// immediate returns a sidecar that is known to have a free slot, or nil.
func (r *router) immediate(j *job, ps []*peer) *peer {
	var best *peer
	bestLoad := int64(0)
	for _, p := range ps {
		if j.tried[p] {
			continue
		}
		p.mu.Lock()
		free := p.load.Free
		p.mu.Unlock()
		if n := p.inFlight.Load(); free > 0 && (best == nil || n < bestLoad) {
			best, bestLoad = p, n
		}
	}
	return best
}

// candidates returns up to n sidecars at which to reserve.
func (r *router) candidates(j *job, ps []*peer, n int) []*peer {
	var out []*peer
	for _, p := range ps {
		if len(out) < n && !j.tried[p] {
			out = append(out, p)
		}
	}
	return out
}
