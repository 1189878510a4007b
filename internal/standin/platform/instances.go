package platform

import (
	"cmp"
	"maps"
	"net/http"
	"slices"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// States of instances and servers.
const (
	StateStarting = "starting"
	StateLive     = "live"
	StateLeaving  = "leaving"
)

const roleBackend = "backend"

// Instance is one entry of the list of instances.
type Instance struct {
	Name      string       `json:"name"`
	Role      string       `json:"role"`
	Pool      string       `json:"pool,omitempty"`
	Zone      string       `json:"zone"`
	Address   string       `json:"address"`
	State     string       `json:"state"`
	StartedMs clock.Millis `json:"startedMs"`
}

// InstanceList is the answer of GET /v1/instances.
type InstanceList struct {
	AtMs      clock.Millis `json:"atMs"`
	Instances []Instance   `json:"instances"`
}

// instances keeps the versions of the list that a lagging reader may see.
type instances struct {
	versions []listVersion
}

type listVersion struct {
	at   clock.Millis
	wall clock.Millis
	list map[string]Instance
}

func (in *instances) current() []Instance {
	if len(in.versions) == 0 {
		return []Instance{}
	}
	return sortedInstances(in.versions[len(in.versions)-1].list)
}

// change adds a version of the list.
func (in *instances) change(c clock.Clock, lag clock.Millis, f func(map[string]Instance)) {
	list := map[string]Instance{}
	if n := len(in.versions); n > 0 {
		list = maps.Clone(in.versions[n-1].list)
	}
	f(list)
	in.versions = append(in.versions, listVersion{c.Now(), c.Wall(), list})
	for len(in.versions) > 1 && in.versions[1].at <= c.Now()-lag {
		in.versions = in.versions[1:]
	}
}

// seen returns the list as it was lag ago.
func (in *instances) seen(c clock.Clock, lag clock.Millis) InstanceList {
	out := InstanceList{AtMs: c.Wall() - lag, Instances: []Instance{}}
	for _, v := range in.versions {
		if v.at <= c.Now()-lag {
			out.Instances = sortedInstances(v.list)
		}
	}
	return out
}

func sortedInstances(list map[string]Instance) []Instance {
	return slices.SortedFunc(maps.Values(list), func(a, b Instance) int { return cmp.Compare(a.Name, b.Name) })
}

// PutInstance lists in under its name. A backend instance becomes a server
// of the capacity interface as well.
func (p *Platform) PutInstance(in Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if in.State == "" {
		in.State = StateLive
	}
	p.instances.change(p.clock, p.cfg.ListLagMs, func(list map[string]Instance) {
		if in.StartedMs == 0 {
			in.StartedMs = p.clock.Wall()
		}
		list[in.Name] = in
	})
	if in.Role == roleBackend {
		p.capacity.put(in)
	}
}

// DeleteInstance ends the named instance.
func (p *Platform) DeleteInstance(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances.change(p.clock, p.cfg.ListLagMs, func(list map[string]Instance) { delete(list, name) })
	p.capacity.remove(name)
}

func (p *Platform) serveInstances(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	list := p.instances.seen(p.clock, p.cfg.ListLagMs)
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, list)
}

func (p *Platform) servePutInstance(w http.ResponseWriter, r *http.Request) {
	var in Instance
	if !readJSON(w, r, &in) {
		return
	}
	in.Name = r.PathValue("name")
	p.PutInstance(in)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveDeleteInstance(w http.ResponseWriter, r *http.Request) {
	p.DeleteInstance(r.PathValue("name"))
	w.WriteHeader(http.StatusNoContent)
}
