// Package entry is the role behind the platform's balancer: it authenticates
// callers, classifies and admits their requests, and brings each to a sidecar.
package entry

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/damaskport/damaskport/internal/operator/admin"
	"github.com/damaskport/damaskport/internal/operator/settings"
	"github.com/damaskport/damaskport/internal/peer/config"
	"github.com/damaskport/damaskport/internal/peer/dispatch"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/http1"
	"github.com/damaskport/damaskport/internal/runtime/supervise"
)

const (
	idleConnsPerSidecar = 256
	maxHeaderBytes      = 64 << 10
	idleTimeout         = 2 * time.Minute
	// drainGrace is how long a draining entry takes requests for.
	drainGrace = 500 * clock.Millisecond
	// progressMargin is how much longer an entry waits for a sign of life than
	// the sidecar waits for its server.
	progressMargin = 3 * clock.Second
)

// Deps are the parts that an Entry uses.
type Deps struct {
	Log         logrus.FieldLogger
	Clock       clock.Clock
	Store       *config.Store
	Instances   InstanceLister
	Incarnation string
	// LogRead returns when the log was read last, or 0.
	LogRead func() clock.Millis
	// IssueKey makes the idempotency key of a protected request without one.
	IssueKey func(wall clock.Millis, id string) string
	// Tasks run in the entry's tree beside its own.
	Tasks []supervise.Task
}

// Entry is the role. Create it with New and start it with Run.
type Entry struct {
	name        string
	zone        string
	incarnation string
	cfg         settings.Entry
	policy      settings.Policy
	log         logrus.FieldLogger
	clock       clock.Clock
	store       *config.Store
	exchange    *dispatch.Exchange
	peers       *peers
	router      *router
	waitQueue   *waitQueue
	dispatcher  *dispatcher
	retries     *retries
	active      *active
	confirmed   *notice
	metrics     *metrics
	issueKey    func(clock.Millis, string) string
	logRead     func() clock.Millis
	leaseStatus func() []admin.LeaseStatus
	duties      []supervise.Task
	callerLn    net.Listener
	nextID      atomic.Int64
	draining    atomic.Bool
}

// New opens the entry's address for callers.
func New(f settings.File, d Deps) (*Entry, error) {
	e := &Entry{
		name: f.Name, zone: f.Zone, incarnation: d.Incarnation, cfg: *f.Entry, policy: f.Policy,
		log: d.Log.WithField("instance", f.Name), clock: d.Clock, store: d.Store,
		waitQueue: newWaitQueue(f.Entry.MaxWaiting), active: &active{all: map[*query]struct{}{}}, confirmed: newNotice(),
		metrics: newMetrics(), issueKey: d.IssueKey, logRead: d.LogRead, duties: d.Tasks,
	}
	e.exchange = dispatch.NewExchange(d.Store, e.log)
	e.peers = newPeers(e, d.Instances)
	e.router = newRouter(e)
	e.retries = newRetries(d.Clock)
	e.dispatcher = &dispatcher{e: e, http: dataClient(false), single: dataClient(true)}
	var err error
	if e.callerLn, err = net.Listen("tcp", e.cfg.CallerAddr); err != nil {
		return nil, errors.Wrap(err, "entry.callerAddr")
	}
	return e, nil
}

func dataClient(single bool) *http.Client {
	d := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: http1.Transport(&http.Transport{
		DialContext: d.DialContext, MaxIdleConnsPerHost: idleConnsPerSidecar, DisableCompression: true,
		DisableKeepAlives: single,
	})}
}

// URL returns the base URL for callers.
func (e *Entry) URL() string { return "http://" + e.callerLn.Addr().String() }

// Scope returns the scope of the entry's metrics.
func (e *Entry) Scope() tally.Scope { return e.metrics.root }

// AddTasks adds tasks to the entry's tree. It must be called before Run.
func (e *Entry) AddTasks(ds ...supervise.Task) { e.duties = append(e.duties, ds...) }

// Metrics returns the handler of /metrics.
func (e *Entry) Metrics() http.Handler { return e.metrics.root.Handler }

// Run serves until ctx ends, then shuts down gracefully: it takes no new
// requests and finishes those that it has, within the configured time.
func (e *Entry) Run(ctx context.Context) error {
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	srv := e.server()
	stopDrain := context.AfterFunc(ctx, func() {
		e.drain(srv)
		stop()
	})
	defer stopDrain()
	e.log.WithFields(logrus.Fields{"event": "start", "role": "entry", "url": e.URL()}).Info("entry started")
	duties := append([]supervise.Task{
		{Name: "callers", Run: func(ctx context.Context) error { return supervise.Serve(ctx, srv, e.callerLn) }},
		{Name: "peers", Run: e.peers.Run},
		{Name: "config", Run: e.watchConfig},
	}, e.duties...)
	err := supervise.New(e.name, e.log, e.clock).Run(run, duties...)
	_ = e.metrics.root.Close()
	e.dispatcher.http.CloseIdleConnections()
	e.log.WithFields(logrus.Fields{"event": "stop", "role": "entry"}).Info("entry stopped")
	return err
}

func (e *Entry) server() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	mux.HandleFunc("GET /v1/models", e.serveModels)
	mux.HandleFunc("/v1/chat/completions", e.notAllowed(http.MethodPost))
	mux.HandleFunc("/v1/models", e.notAllowed(http.MethodGet, http.MethodHead))
	mux.HandleFunc("/", e.servePlain)
	return &http.Server{
		Handler: e.closeWhenDraining(mux), ReadHeaderTimeout: e.cfg.HeaderTimeoutMs.Duration(), IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: nil,
	}
}

// closeWhenDraining ends each connection after its request once the entry drains.
func (e *Entry) closeWhenDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// drain finishes the requests in flight. It still takes requests for a short
// while, each as the last one on its connection, since callers and balancers
// may have sent some before they saw that the entry is not ready.
func (e *Entry) drain(srv *http.Server) {
	e.draining.Store(true)
	e.log.WithField("event", "drain").Info("the entry is no longer ready")
	ctx, cancel := context.WithTimeout(context.Background(), e.cfg.DrainMs.Duration())
	defer cancel()
	_ = e.clock.Sleep(ctx, drainGrace)
	if err := srv.Shutdown(ctx); err != nil {
		e.log.WithField("event", "drainTimeout").Warn(err)
	}
}

// watchConfig ends the requests of withdrawn keys and tells the sidecars of
// each new version.
func (e *Entry) watchConfig(ctx context.Context) error {
	changed := e.store.Subscribe()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			e.active.withdraw(e.store.Current())
			for _, p := range e.peers.all() {
				p.beatNow()
			}
		}
	}
}

// Ready reports why the entry cannot serve yet; nil means that it can.
func (e *Entry) Ready() error {
	if e.draining.Load() {
		return errors.New("draining")
	}
	if !e.store.Ready() {
		return errors.New("no configuration yet")
	}
	return nil
}

func (e *Entry) state() dispatch.State {
	return dispatch.State{Config: e.store.Version()}
}

// newID returns an id that no other request of any entry has.
func (e *Entry) newID() string {
	return e.incarnation + "-" + strconv.FormatInt(e.nextID.Add(1), 36)
}
