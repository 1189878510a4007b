// Package sidecar is the role that stands beside one backend server and is
// the only way to it.
//
// The core task owns the server's slots; the control task serves the entries'
// connections; the data task carries out attempts.
package sidecar

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/backend/engine"
	"github.com/damaskport/damaskport/internal/backend/service"
	"github.com/damaskport/damaskport/internal/operator/settings"
	"github.com/damaskport/damaskport/internal/peer/config"
	"github.com/damaskport/damaskport/internal/peer/dispatch"
	"github.com/damaskport/damaskport/internal/policy/slots"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/metrics"
	"github.com/damaskport/damaskport/internal/runtime/supervise"
)

const (
	dialTimeout = 2 * time.Second
	// leastIdle is the number of connections kept to an engine at the least.
	leastIdle      = 16
	offerTimeout   = 500 * clock.Millisecond
	drainPoll      = 20 * clock.Millisecond
	drainGrace     = 500 * clock.Millisecond
	headerTimeout  = 5 * time.Second
	maxHeaderBytes = 256 << 10
)

// Claimer decides whether a protected request may be handed over.
type Claimer interface {
	// Claim returns ok when the attempt must now be handed over, once.
	Claim(ctx context.Context, account, route, key, attempt string) (refusal dispatch.Refusal, ok bool)
	// Finish, NotRun and Unknown record the outcome of a claimed attempt.
	Finish(attempt string, status int)
	NotRun(attempt string)
	Unknown(attempt string)
	// SetPeers tells the number of sidecars that share the append budget.
	SetPeers(n int)
}

// Meter counts what the server generated.
type Meter interface {
	Add(account string, promptTokens, outputTokens int)
	// SetPeers tells the number of sidecars that share the append budget.
	SetPeers(n int)
}

// Deps are the parts that a Sidecar uses.
type Deps struct {
	Log         logrus.FieldLogger
	Clock       clock.Clock
	Store       *config.Store
	Claims      Claimer
	Meter       Meter
	Incarnation string
	// Duties run in the sidecar's tree beside its own.
	Duties []supervise.Task
}

// Sidecar is the role. Create it with New and start it with Run.
type Sidecar struct {
	name        string
	zone        string
	cfg         settings.Sidecar
	incarnation string
	log         logrus.FieldLogger
	clock       clock.Clock
	claims      Claimer
	meter       Meter
	store       *config.Store
	exchange    *dispatch.Exchange
	engine      *engine.Client
	service     *service.Client
	core        *core
	coreDone    chan struct{}
	control     *control
	controlLn   net.Listener
	dataLn      net.Listener
	duties      []supervise.Task
	data        *http.Server
	metrics     *metrics.Root
	adminLn     net.Listener
	// term is the fencing number that goes to the backend server.
	term atomic.Int64
}

// New opens the sidecar's addresses.
func New(f settings.File, d Deps) (*Sidecar, error) {
	cfg := *f.Sidecar
	s := &Sidecar{
		name: f.Name, zone: f.Zone, cfg: cfg, incarnation: d.Incarnation,
		log: d.Log.WithField("instance", f.Name), clock: d.Clock, claims: d.Claims, meter: d.Meter, store: d.Store,
		engine:   engine.New(cfg.ServerURL, dialTimeout, max(cfg.Slots*2, leastIdle)),
		service:  service.New(cfg.ServerURL, dialTimeout),
		coreDone: make(chan struct{}),
		duties:   d.Duties,
	}
	s.metrics = metrics.New()
	s.data = s.dataServer()
	s.exchange = dispatch.NewExchange(d.Store, s.log)
	s.core = newCore(slots.New(slotsConfig(cfg, f.Policy)), d.Clock, s.log, d.Store, s.metrics)
	s.control = &control{s: s, links: map[*dispatch.Link]string{}}
	var err error
	if s.controlLn, err = net.Listen("tcp", cfg.ControlAddr); err != nil {
		return nil, errors.Wrap(err, "sidecar.controlAddr")
	}
	if s.dataLn, err = net.Listen("tcp", cfg.DataAddr); err != nil {
		_ = s.controlLn.Close()
		return nil, errors.Wrap(err, "sidecar.dataAddr")
	}
	if cfg.AdminAddr == "" {
		return s, nil
	}
	if s.adminLn, err = net.Listen("tcp", cfg.AdminAddr); err != nil {
		_ = s.controlLn.Close()
		_ = s.dataLn.Close()
		return nil, errors.Wrap(err, "sidecar.adminAddr")
	}
	return s, nil
}

func slotsConfig(cfg settings.Sidecar, p settings.Policy) slots.Config {
	return slots.Config{
		Slots: cfg.Slots, OfferTimeoutMs: offerTimeout, Order: string(p.Order),
		NoShares: p.NoShares, NoFloors: p.NoFloors, NoShedding: p.NoShedding, NoPreemption: p.NoPreemption,
	}
}

// ControlAddr returns the address of the control connections.
func (s *Sidecar) ControlAddr() string { return s.controlLn.Addr().String() }

// Run serves until ctx ends, then drains: what runs is finished within the
// configured time, and nothing new is taken.
func (s *Sidecar) Run(ctx context.Context) error {
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	cancelDrain := context.AfterFunc(ctx, func() {
		s.drain()
		stop()
	})
	defer cancelDrain()
	s.log.WithFields(logrus.Fields{"event": "start", "role": "sidecar", "control": s.ControlAddr(), "data": s.DataURL()}).Info("sidecar started")
	duties := append([]supervise.Task{
		{Name: "core", Run: s.runCore},
		{Name: "control", Run: func(ctx context.Context) error { return s.control.serve(ctx, s.controlLn) }},
		{Name: "data", Run: func(ctx context.Context) error { return supervise.Serve(ctx, s.data, s.dataLn) }},
		{Name: "config", Run: s.watchConfig},
		{Name: "admin", Run: s.serveAdmin},
	}, s.duties...)
	err := supervise.New(s.name, s.log, s.clock).Run(run, duties...)
	_ = s.metrics.Close()
	s.log.WithFields(logrus.Fields{"event": "stop", "role": "sidecar"}).Info("sidecar stopped")
	return err
}

func (s *Sidecar) runCore(ctx context.Context) error {
	defer close(s.coreDone)
	return s.core.Run(ctx)
}

// put passes an event to the core; it is dropped when the core has stopped.
func (s *Sidecar) put(e event) {
	select {
	case s.core.events.In() <- e:
	case <-s.coreDone:
	}
}

func (s *Sidecar) dataServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run/{id}", s.serveRun)
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// watchConfig applies withdrawn keys and tells entries the new version.
func (s *Sidecar) watchConfig(ctx context.Context) error {
	changed := s.store.Subscribe()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			s.put(configEvent{})
			s.control.broadcast()
		}
	}
}

// Leave makes the sidecar refuse new work, as when its server is leaving.
func (s *Sidecar) Leave() {
	done := make(chan struct{})
	s.put(drainEvent{done})
	select {
	case <-done:
		s.control.broadcast()
	case <-s.coreDone:
	}
}

// drain refuses new work and waits for what runs. The data address answers
// with refusals for a while longer, since entries may have sent requests
// before they heard.
func (s *Sidecar) drain() {
	s.log.WithField("event", "drain").Info("no new work is taken")
	s.Leave()
	ctx, cancel := context.WithTimeout(context.Background(), s.cfg.DrainMs.Duration())
	defer cancel()
	heard := s.clock.Now() + drainGrace
	for ctx.Err() == nil && (s.running() > 0 || s.clock.Now() < heard) {
		_ = s.clock.Sleep(ctx, drainPoll)
	}
	if err := s.data.Shutdown(ctx); err != nil {
		s.log.WithField("event", "drainTimeout").Warn(err)
	}
}

func (s *Sidecar) running() int {
	reply := make(chan int, 1)
	s.put(idleEvent{reply})
	select {
	case n := <-reply:
		return n
	case <-s.coreDone:
		return 0
	}
}

// raiseTerm takes in the platform's start time of this instance.
func (s *Sidecar) raiseTerm(term int64) {
	for {
		have := s.term.Load()
		if term <= have || s.term.CompareAndSwap(have, term) {
			return
		}
	}
}

// fencing returns the number to send to the backend server, 0 if it checks none.
func (s *Sidecar) fencing() int64 {
	if !s.cfg.ChecksFencing {
		return 0
	}
	return s.term.Load()
}

// observe takes in what an entry told of its state.
func (s *Sidecar) observe(l *dispatch.Link, st dispatch.State) {
	s.exchange.Observe(l, st)
	if st.Services > 0 {
		s.claims.SetPeers(st.Services)
	}
	if st.Servers > 0 {
		s.meter.SetPeers(st.Servers)
	}
	if st.Leaving {
		s.put(drainEvent{make(chan struct{})})
	}
}

// DataURL returns the base URL of the data connections.
func (s *Sidecar) DataURL() string { return "http://" + s.dataLn.Addr().String() }

func (s *Sidecar) greeting(load dispatch.Load) dispatch.HelloReply {
	return dispatch.HelloReply{
		Name: s.name, Incarnation: s.incarnation, Pool: s.cfg.Pool, Zone: s.zone,
		DataURL: s.DataURL(), Slots: s.cfg.Slots, Load: load,
		ProgressTimeoutMs: s.cfg.ProgressTimeoutMs,
		State:             dispatch.State{Config: s.store.Version()},
	}
}
