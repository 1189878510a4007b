// Package entry implements the entry role, the HTTP server behind the platform's load
// balancer. It authenticates callers, assigns each request to a class and a pool,
// and forwards it to the sidecar of a backend server of that pool.
package entry

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/damaskport/damaskport/internal/caller/callerconn"
	"github.com/damaskport/damaskport/internal/operator/admin"
	"github.com/damaskport/damaskport/internal/operator/settings"
	"github.com/damaskport/damaskport/internal/peer/config"
	"github.com/damaskport/damaskport/internal/peer/dispatch"
	"github.com/damaskport/damaskport/internal/policy/budget"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/crowd"
	"github.com/damaskport/damaskport/internal/runtime/http1"
	"github.com/damaskport/damaskport/internal/runtime/listen"
	"github.com/damaskport/damaskport/internal/runtime/supervise"
	"github.com/damaskport/damaskport/internal/runtime/tcp"
)

const (
	idleConnsPerSidecar = 256
	maxHeaderBytes      = 64 << 10
	idleTimeout         = 2 * clock.Minute
	// drainGrace is how long a draining entry still accepts requests, until load
	// balancers have seen that it is not ready.
	drainGrace = 500 * clock.Millisecond
	// progressMargin is added to the progress timeout of a sidecar, so that the
	// sidecar detects a stalled server before the entry gives up on the sidecar.
	progressMargin = 3 * clock.Second
)

// Deps are the dependencies of an Entry.
type Deps struct {
	Log       logrus.FieldLogger
	Clock     clock.Clock
	Store     *config.Store
	Instances InstanceLister
	// Callers is the listener for callers; nil has New listen on the address in the settings.
	Callers net.Listener
	// Incarnation is an id of this start of the process, unique among all entries.
	Incarnation string
	// LogRead returns the time of the last read of the configuration log, or 0.
	LogRead func() clock.Millis
	// IssueKey returns an idempotency key, from the wall-clock time and the request
	// id, for a protected request that came without one.
	IssueKey func(wall clock.Millis, id string) string
	// Held bounds the memory held for callers; nil for no bound.
	Held *budget.Held
	// Tasks are further tasks that run under the entry's supervisor.
	Tasks []supervise.Task
}

// Entry is a running entry. Create it with New and start it with Run.
type Entry struct {
	name           string
	zone           string
	incarnation    string
	cfg            settings.Entry
	policy         settings.Policy
	log            logrus.FieldLogger
	clock          clock.Clock
	store          *config.Store
	exchange       *dispatch.Exchange
	peers          *peers
	router         *router
	waitQueue      *waitQueue
	dispatcher     *dispatcher
	retries        *retryBudgets
	active         *activeRequests
	configReported *changeNotifier
	metrics        *metrics
	issueKey       func(clock.Millis, string) string
	logRead        func() clock.Millis
	leaseStatus    func() []admin.LeaseStatus
	tasks          []supervise.Task
	callerLn       *callerconn.Listener
	nextID         atomic.Int64
	draining       atomic.Bool
	held           *budget.Held
	refusals       *crowd.Refusals
}

// New returns an Entry that listens on the address for callers but does not serve
// yet. The error is a *listen.Error.
func New(f settings.File, d Deps) (*Entry, error) {
	if d.Callers == nil {
		lns, err := listen.All(listen.Address{Setting: "entry.callerAddr", HostPort: f.Entry.CallerAddr})
		if err != nil {
			return nil, err
		}
		d.Callers = lns[0]
	}
	limits := callerconn.Limits{IdleMs: idleTimeout, HeadMs: f.Entry.HeaderTimeoutMs, HeadBytes: maxHeaderBytes}
	e := &Entry{
		name: f.Name, zone: f.Zone, incarnation: d.Incarnation, cfg: *f.Entry, policy: f.Policy,
		log: d.Log.WithField("instance", f.Name), clock: d.Clock, store: d.Store,
		waitQueue: newWaitQueue(f.Entry.MaxWaiting), active: &activeRequests{all: map[*callerRequest]struct{}{}}, configReported: newChangeNotifier(),
		metrics: newMetrics(), issueKey: d.IssueKey, logRead: d.LogRead, tasks: d.Tasks,
		callerLn: callerconn.NewListener(d.Callers, d.Clock, func() callerconn.Limits { return limits }),
	}
	e.held = d.Held.WithConns(e.callerLn.Open)
	e.refusals = crowd.NewRefusals(e.log, d.Clock, e.metrics.root)
	maxConns := crowd.Conns(crowd.Files(int(f.MaxFiles)))
	e.callerLn.Bound(callerconn.Bounds{Held: e.held, MaxConns: func() int { return maxConns }, Refused: e.refusals.Add})
	e.exchange = dispatch.NewExchange(d.Store, e.log)
	e.peers = newPeers(e, d.Instances)
	e.router = newRouter(e)
	e.retries = newRetryBudgets(d.Clock)
	e.dispatcher = &dispatcher{e: e, http: newDataClient(false), singleUse: newDataClient(true)}
	return e, nil
}

// newDataClient returns a client for the data connections to sidecars; if single is
// true, each request opens a new connection. Nothing of a request that was given up is
// sent later.
func newDataClient(single bool) *http.Client {
	d := tcp.NewDialer(dialTimeout)
	return &http.Client{Transport: http1.Transport(&http.Transport{
		DialContext: tcp.DialUnanswered(d.DialContext), MaxIdleConnsPerHost: idleConnsPerSidecar, DisableCompression: true,
		DisableKeepAlives: single,
	})}
}

// Close closes the listener of an entry that does not run.
func (e *Entry) Close() { _ = e.callerLn.Close() }

// URL returns the base URL for callers.
func (e *Entry) URL() string { return "http://" + e.callerLn.Addr().String() }

// Scope returns the metrics scope to which other components of the entry report.
func (e *Entry) Scope() tally.Scope { return e.metrics.root }

// AddTasks adds tasks that run under the entry's supervisor. It must be called
// before Run.
func (e *Entry) AddTasks(ds ...supervise.Task) { e.tasks = append(e.tasks, ds...) }

// RefusedUnread counts a request or connection that was refused unread at another address of the process.
func (e *Entry) RefusedUnread(reason string) { e.refusals.Add(reason) }

// Metrics returns the handler of /metrics.
func (e *Entry) Metrics() http.Handler { return e.metrics.root.Handler }

// Run serves until ctx ends, then drains: after drainGrace it accepts no new
// requests, and requests in flight may take up to the configured drain time to
// finish.
func (e *Entry) Run(ctx context.Context) error {
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	srv := e.server()
	stopDrain := context.AfterFunc(ctx, func() {
		e.drain()
		stop()
	})
	defer stopDrain()
	e.log.WithFields(logrus.Fields{"event": "start", "role": "entry", "url": e.URL()}).Info("entry started")
	tasks := append([]supervise.Task{
		{Name: "callers", Run: func(ctx context.Context) error { return supervise.Serve(ctx, srv, e.callerLn) }},
		{Name: "peers", Run: e.peers.Run},
		{Name: "config", Run: e.watchConfig},
	}, e.tasks...)
	err := supervise.New(e.name, e.log, e.clock).Run(run, tasks...)
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
	srv := &http.Server{Handler: mux, ErrorLog: nil}
	e.callerLn.Attach(srv)
	return srv
}

// drain reports the entry as not ready and waits for the requests in flight. For
// drainGrace it still accepts requests, each as the last one on its connection, since
// callers and load balancers may send some before they see that it is not ready.
func (e *Entry) drain() {
	e.draining.Store(true)
	e.callerLn.CloseAfterAnswers()
	e.log.WithField("event", "drain").Info("draining: the entry reports not ready")
	ctx, cancel := context.WithTimeout(context.Background(), e.cfg.DrainMs.Duration())
	defer cancel()
	_ = e.clock.Sleep(ctx, drainGrace)
	if err := e.callerLn.Shutdown(ctx); err != nil {
		e.log.WithField("event", "drainTimeout").Warn(err)
	}
	e.callerLn.Wait(ctx)
	e.callerLn.Cut()
}

// watchConfig, after each configuration change, ends the requests of withdrawn API
// keys and sends the sidecars the new version.
func (e *Entry) watchConfig(ctx context.Context) error {
	changed := e.store.Subscribe()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			e.active.withdraw(e.store.Current())
			for _, p := range e.peers.all() {
				p.sendHeartbeatNow()
			}
		}
	}
}

// Ready returns nil if the entry can serve requests, or the reason why it cannot.
func (e *Entry) Ready() error {
	if e.draining.Load() {
		return errors.New("draining")
	}
	if !e.store.Ready() {
		return errors.New("no configuration yet")
	}
	return nil
}

// state returns the part of the entry's state that is the same for all sidecars.
func (e *Entry) state() dispatch.State {
	return dispatch.State{Config: e.store.Version()}
}

// newID returns a request id that is unique among the requests of all entries.
func (e *Entry) newID() string {
	return e.incarnation + "-" + strconv.FormatInt(e.nextID.Add(1), 36)
}
