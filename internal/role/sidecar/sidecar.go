// Package sidecar implements the sidecar role: a proxy in front of one backend
// server, through which all requests reach it. The server is a model engine or a plain
// service: an HTTP backend that is not a model engine.
//
// Entries reserve the server's slots over control connections and send attempts
// over data connections. The core task owns the slots, the control task serves the
// control connections, and the data task runs the attempts.
package sidecar

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/backend/engine"
	"github.com/damaskport/damaskport/internal/backend/service"
	"github.com/damaskport/damaskport/internal/operator/settings"
	"github.com/damaskport/damaskport/internal/peer/config"
	"github.com/damaskport/damaskport/internal/peer/dispatch"
	"github.com/damaskport/damaskport/internal/policy/budget"
	"github.com/damaskport/damaskport/internal/policy/slots"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/crowd"
	"github.com/damaskport/damaskport/internal/runtime/listen"
	"github.com/damaskport/damaskport/internal/runtime/metrics"
	"github.com/damaskport/damaskport/internal/runtime/supervise"
)

const (
	dialTimeout = 2 * time.Second
	// minIdleConns is the lower limit of the engine client's pool of idle
	// connections, which otherwise has two for each slot.
	minIdleConns = 16
	// offerTimeout is how long an offered slot is kept for the entry to accept.
	offerTimeout = 500 * clock.Millisecond
	// drainPollInterval is the interval at which a draining sidecar checks for
	// running attempts.
	drainPollInterval = 20 * clock.Millisecond
	// drainGrace is how long a draining sidecar keeps its data address open at
	// least, to refuse attempts sent before the entries learned of the drain.
	drainGrace     = 500 * clock.Millisecond
	headerTimeout  = 5 * time.Second
	maxHeaderBytes = 256 << 10
	// maxFields is the most fields of the head of an attempt: entries send a few, of which two have all of the
	// caller's.
	maxFields = 256
)

// Claimer decides whether a protected request may be sent to the plain service,
// which must run it at most once for each idempotency key.
type Claimer interface {
	// Claim claims the idempotency key for an attempt. ok means that the attempt
	// holds the claim and must now send the request, exactly once; otherwise
	// refusal says why not.
	Claim(ctx context.Context, account, route, key, attempt string) (refusal dispatch.Refusal, ok bool)
	// Finish records that the service answered with the HTTP status.
	Finish(attempt string, status int)
	// NotRun records that the request was not sent to the service.
	NotRun(attempt string)
	// Unknown records that the request may have run, but no answer arrived.
	Unknown(attempt string)
	// SetPeers sets the number of sidecars of plain services, which share the
	// append budget of the log.
	SetPeers(n int)
}

// Meter records the tokens to bill.
type Meter interface {
	// Add records the tokens of one attempt for an account.
	Add(account string, promptTokens, outputTokens int)
	// SetPeers sets the number of all sidecars, which share the append budget of
	// the log.
	SetPeers(n int)
}

// Deps are the dependencies of a Sidecar.
type Deps struct {
	Log    logrus.FieldLogger
	Clock  clock.Clock
	Store  *config.Store
	Claims Claimer
	Meter  Meter
	// Addresses keeps addresses over several calls of New; nil keeps none.
	Addresses *listen.Reserved
	// Incarnation is an id of this start of the process.
	Incarnation string
	// Duties are further tasks that run under the sidecar's supervisor.
	Duties []supervise.Task
	// Held bounds the memory held for events; nil for no bound.
	Held *budget.Held
}

// Sidecar is a running sidecar. Create it with New and start it with Run.
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
	coreDone    chan struct{} // closed when the core ends for good
	control     *control
	controlLn   net.Listener
	dataLn      net.Listener
	tasks       []supervise.Task
	data        *http.Server
	metrics     *metrics.Root
	adminLn     net.Listener
	refusals    *crowd.Refusals
	maxFiles    int
	// term is the highest start time that an entry has reported for this instance
	// from the platform's list of instances; it serves as the fencing number.
	term atomic.Int64
}

// New returns a Sidecar that listens on its configured addresses but does not
// serve yet. The error is a *listen.Error.
func New(f settings.File, d Deps) (*Sidecar, error) {
	cfg := *f.Sidecar
	addrs := []listen.Address{{Setting: "sidecar.controlAddr", HostPort: cfg.ControlAddr}, {Setting: "sidecar.dataAddr", HostPort: cfg.DataAddr}}
	if cfg.AdminAddr != "" {
		addrs = append(addrs, listen.Address{Setting: "sidecar.adminAddr", HostPort: cfg.AdminAddr})
	}
	lns, err := d.Addresses.Listen(addrs...)
	if err != nil {
		return nil, err
	}
	s := &Sidecar{
		name: f.Name, zone: f.Zone, cfg: cfg, incarnation: d.Incarnation,
		log: d.Log.WithField("instance", f.Name), clock: d.Clock, claims: d.Claims, meter: d.Meter, store: d.Store,
		engine:   engine.New(cfg.ServerURL, dialTimeout, max(cfg.Slots*2, minIdleConns), d.Held.Events()),
		service:  service.New(cfg.ServerURL, dialTimeout),
		coreDone: make(chan struct{}),
		tasks:    d.Duties,

		controlLn: lns[0], dataLn: lns[1],
	}
	if len(lns) > 2 {
		s.adminLn = lns[2]
	}
	s.metrics = metrics.New()
	s.data = s.dataServer()
	s.boundClients(crowd.Files(int(f.MaxFiles)))
	s.exchange = dispatch.NewExchange(d.Store, s.log)
	s.core = newCore(slots.New(slotsConfig(cfg, f.Policy)), d.Clock, s.log, d.Store, s.metrics)
	s.control = &control{s: s, links: map[*dispatch.Link]string{}}
	return s, nil
}

// slotsConfig returns the scheduler configuration for the settings.
func slotsConfig(cfg settings.Sidecar, p settings.Policy) slots.Config {
	return slots.Config{
		Slots: cfg.Slots, OfferTimeoutMs: offerTimeout, Order: string(p.Order),
		NoShares: p.NoShares, NoFloors: p.NoFloors, NoShedding: p.NoShedding, NoPreemption: p.NoPreemption,
	}
}

// Close closes the listeners of a sidecar that does not run.
func (s *Sidecar) Close() {
	for _, ln := range []net.Listener{s.controlLn, s.dataLn, s.adminLn} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}

// ControlAddr returns the host and port on which control connections are accepted.
func (s *Sidecar) ControlAddr() string { return s.controlLn.Addr().String() }

// Run serves until ctx ends, then drains: new reservations and attempts are
// refused, and running attempts may take up to the configured drain time to finish.
func (s *Sidecar) Run(ctx context.Context) error {
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	// A core that failed is run again, so its end is that of the sidecar.
	context.AfterFunc(run, func() { close(s.coreDone) })
	cancelDrain := context.AfterFunc(ctx, func() {
		s.drain()
		stop()
	})
	defer cancelDrain()
	s.log.WithFields(logrus.Fields{"event": "start", "role": "sidecar", "control": s.ControlAddr(), "data": s.DataURL()}).Info("sidecar started")
	tasks := append([]supervise.Task{
		{Name: "core", Run: s.core.Run},
		{Name: "control", Run: func(ctx context.Context) error { return s.control.serve(ctx, s.controlLn) }},
		{Name: "data", Run: func(ctx context.Context) error { return supervise.Serve(ctx, s.data, s.dataLn) }},
		{Name: "config", Run: s.watchConfig},
		{Name: "admin", Run: s.serveAdmin},
	}, s.tasks...)
	err := supervise.New(s.name, s.log, s.clock).Run(run, tasks...)
	_ = s.metrics.Close()
	s.log.WithFields(logrus.Fields{"event": "stop", "role": "sidecar"}).Info("sidecar stopped")
	return err
}

// sendEvent sends an event to the core, waiting while its queue is full. The event is
// dropped if the core has stopped.
func (s *Sidecar) sendEvent(e event) {
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

// boundClients bounds what clients of the control and the data address use together, for a number of open files.
func (s *Sidecar) boundClients(files int) {
	s.maxFiles = files
	s.refusals = crowd.NewRefusals(s.log, s.clock, s.metrics)
	s.controlLn = crowd.Listen(s.controlLn, crowd.Limits{Conns: crowd.Strangers(files), Closed: s.refusals.Add})
	most := crowd.Conns(files)
	s.dataLn = crowd.Listen(s.dataLn, crowd.Limits{Conns: most, Total: most, Fields: maxFields, Closed: s.refusals.Add}).Attach(s.data, true)
}

// watchConfig, after each configuration change, stops the work of withdrawn API
// keys and sends the entries the new version.
func (s *Sidecar) watchConfig(ctx context.Context) error {
	changed := s.store.Subscribe()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			s.sendEvent(configEvent{})
			s.control.broadcast()
		}
	}
}

// Leave makes the sidecar refuse new reservations and attempts, as if its backend
// server were draining, and reports this to the entries.
func (s *Sidecar) Leave() {
	done := make(chan struct{})
	s.sendEvent(drainEvent{done})
	select {
	case <-done:
		s.control.broadcast()
	case <-s.coreDone:
	}
}

// drain refuses new work, waits up to the configured time until no attempt is
// running, and closes the data address. The address stays open for at least
// drainGrace to refuse attempts that entries sent before they learned of the drain.
func (s *Sidecar) drain() {
	s.log.WithField("event", "drain").Info("draining: new reservations and attempts are refused")
	s.Leave()
	ctx, cancel := context.WithTimeout(context.Background(), s.cfg.DrainMs.Duration())
	defer cancel()
	graceEnd := s.clock.Now() + drainGrace
	for ctx.Err() == nil && (s.runningAttempts() > 0 || s.clock.Now() < graceEnd) {
		_ = s.clock.Sleep(ctx, drainPollInterval)
	}
	if err := s.data.Shutdown(ctx); err != nil {
		s.log.WithField("event", "drainTimeout").Warn(err)
	}
}

// runningAttempts returns the number of running attempts.
func (s *Sidecar) runningAttempts() int {
	reply := make(chan int, 1)
	s.sendEvent(runningCountEvent{reply})
	select {
	case n := <-reply:
		return n
	case <-s.coreDone:
		return 0
	}
}

// raiseTerm sets the fencing number to term, the start time of this instance that
// the platform lists, unless the current one is higher.
func (s *Sidecar) raiseTerm(term int64) {
	for {
		current := s.term.Load()
		if term <= current || s.term.CompareAndSwap(current, term) {
			return
		}
	}
}

// fencingNumber returns the fencing number to send to the backend server, or 0 if the
// server checks none.
func (s *Sidecar) fencingNumber() int64 {
	if !s.cfg.ChecksFencing {
		return 0
	}
	return s.term.Load()
}

// applyEntryState applies a state received from an entry. It passes the configuration
// version on to the configuration exchange, sets the numbers of sidecars that share the
// append budget of the log, and starts to drain if the platform lists this sidecar's
// instance as leaving.
func (s *Sidecar) applyEntryState(l *dispatch.Link, st dispatch.State) {
	s.exchange.Observe(l, st)
	if st.Services > 0 {
		s.claims.SetPeers(st.Services)
	}
	if st.Servers > 0 {
		s.meter.SetPeers(st.Servers)
	}
	if st.Leaving {
		s.sendEvent(drainEvent{make(chan struct{})})
	}
}

// DataURL returns the base URL to which entries send attempts.
func (s *Sidecar) DataURL() string { return "http://" + s.dataLn.Addr().String() }

// helloReply returns the answer to an entry's hello.
func (s *Sidecar) helloReply(load dispatch.Load) dispatch.HelloReply {
	return dispatch.HelloReply{
		Name: s.name, Incarnation: s.incarnation, Pool: s.cfg.Pool, Zone: s.zone,
		DataURL: s.DataURL(), Slots: s.cfg.Slots, Load: load,
		ProgressTimeoutMs: s.cfg.ProgressTimeoutMs,
		State:             dispatch.State{Config: s.store.Version()},
	}
}
