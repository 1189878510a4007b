// Package platform is a stand-in for the platform: the append-only log, the
// capacity and usage interfaces and the list of instances, as docs/DESIGN.md
// describes them.
//
// Its state is set and read under /admin/:
//
//	PUT    /admin/instances/{name}  an Instance
//	DELETE /admin/instances/{name}
//	GET    /admin/state             a State
//	PUT    /admin/readLag           {"ms":800}: reads show records only at that age
//	POST   /admin/faults            see package fault
package platform

import (
	"encoding/json"
	"net/http"
	"sync"

	"golang.org/x/time/rate"

	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/standin/fault"
)

// Config holds the settings of a Platform. Zero values switch a limit off.
type Config struct {
	// AppendsPerSecond bounds the appends to all streams together.
	AppendsPerSecond int
	// RetentionMs and RetentionRecords bound what each stream keeps.
	RetentionMs      clock.Millis
	RetentionRecords int
	// ListLagMs is the age of the list of instances.
	ListLagMs clock.Millis
	// StartUpMs is the time that a server takes to become live.
	StartUpMs clock.Millis
	// CheckFencing refuses orders with an older term than the highest seen.
	CheckFencing bool
	Prices       []Price
	// OnOrder is called for each order that is carried out, if set.
	OnOrder func(Order)
	// Clock reads time; the system's clock by default.
	Clock clock.Clock
}

// Platform is the stand-in. It is safe for concurrent use.
type Platform struct {
	cfg     Config
	clock   clock.Clock
	limiter *rate.Limiter
	faults  *fault.Set
	handler http.Handler

	mu        sync.Mutex
	streams   map[string]*stream
	readLag   clock.Millis
	capacity  capacity
	usage     []UsageReport
	instances instances
}

// State is all that the platform recorded.
type State struct {
	Streams map[string]StreamState `json:"streams"`
	// Orders holds every order in the order of arrival.
	Orders    []OrderRecord `json:"orders"`
	Servers   []Server      `json:"servers"`
	Usage     []UsageReport `json:"usage"`
	Instances []Instance    `json:"instances"`
}

// New returns a Platform.
func New(cfg Config) *Platform {
	p := &Platform{cfg: cfg, clock: cfg.Clock, faults: fault.NewSet(), streams: map[string]*stream{}}
	if p.clock == nil {
		p.clock = clock.System{}
	}
	if cfg.AppendsPerSecond > 0 {
		p.limiter = rate.NewLimiter(rate.Limit(cfg.AppendsPerSecond), cfg.AppendsPerSecond)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", p.serveAppend)
	mux.HandleFunc("GET /v1/streams/{stream}/records", p.serveRead)
	mux.HandleFunc("PUT /admin/readLag", p.serveReadLag)
	mux.HandleFunc("GET /v1/instances", p.serveInstances)
	mux.HandleFunc("PUT /admin/instances/{name}", p.servePutInstance)
	mux.HandleFunc("DELETE /admin/instances/{name}", p.serveDeleteInstance)
	mux.HandleFunc("GET /v1/capacity", p.serveCapacity)
	mux.HandleFunc("POST /v1/capacity/orders", p.serveOrder)
	mux.HandleFunc("GET /v1/usage", p.serveUsage)
	mux.HandleFunc("POST /v1/usage", p.serveReport)
	mux.HandleFunc("GET /admin/state", p.serveState)
	p.handler = p.faults.Wrap(mux)
	return p
}

// Handler returns the HTTP interface.
func (p *Platform) Handler() http.Handler { return p.handler }

// Faults returns the faults in force.
func (p *Platform) Faults() *fault.Set { return p.faults }

// State returns all that the platform recorded.
func (p *Platform) State() State {
	p.mu.Lock()
	defer p.mu.Unlock()
	st := State{Streams: map[string]StreamState{}}
	for name, s := range p.streams {
		s.retain(p.cfg, p.clock.Wall())
		st.Streams[name] = s.state()
	}
	st.Orders = append(st.Orders, p.capacity.orders...)
	st.Servers = p.capacity.list(p.clock.Now())
	st.Usage = append(st.Usage, p.usage...)
	st.Instances = p.instances.current()
	return st
}

func (p *Platform) serveState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, p.State())
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// readJSON decodes the body into v, or answers with 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRecordBytes)).Decode(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}
