// Package gateway is an entry that reaches backend servers without sidecars,
// where the platform's store holds the configuration, the list of servers and
// all that must last.
//
// A gateway alone serves a request from end to end. The other gateways make it
// better: they share the bound on repeated sends, agree on the home of a
// prompt's shared parts, and take over the duties of one holder.
package gateway

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	host "github.com/damaskport/damaskport/internal/control/enginequeue"
	"github.com/damaskport/damaskport/internal/operator/settings"
	"github.com/damaskport/damaskport/internal/peer/enginequeue"
	"github.com/damaskport/damaskport/internal/policy/drain"
	"github.com/damaskport/damaskport/internal/policy/retry"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/supervise"
)

const (
	maxHeaderBytes = 64 << 10
	// idleTimeout is how long a caller's connection may be idle: longer than
	// any configuration lets callers use one.
	idleTimeout   = 2 * time.Minute
	headerTimeout = 10 * time.Second
	sweepEvery    = 500 * clock.Millisecond
	// callerFileShare is the part of the open files up to which callers keep their
	// connections: each may need one to a server, and the store and the other
	// gateways some.
	callerFileShare = 0.4
)

// Deps are the parts that a Gateway uses.
type Deps struct {
	Log     logrus.FieldLogger
	Clock   clock.Clock
	Codec   Codec
	Store   Store
	Duties  UsageReporter
	Decoder Decoder
	// Dropped returns the number of log lines that were dropped; it may be nil.
	Dropped func() int64
	// ProcessID differs for each start of an instance.
	ProcessID string
}

// Gateway is the role. Create it with New and start it with Run.
type Gateway struct {
	name          string
	processID     string
	dropped       func() int64
	startMs       clock.Millis // wall
	startMonoMs   clock.Millis // the same by the steady clock
	cfg           atomic.Pointer[settings.Gateway]
	log           logrus.FieldLogger
	clock         clock.Clock
	wall          *clock.Voted // is clock
	codec         Codec
	store         *epochStore
	usageReporter UsageReporter
	decoder       Decoder
	fleet         *fleetView
	config        configDocument
	usage         *counts
	metrics       *gatewayMetrics

	callerLn, readyLn, controlLn, metricsLn net.Listener

	// draining is set from the signal on, which came at drainMs: the gateway is
	// not ready, and each answer ends its connection.
	draining atomic.Bool
	drainMs  atomic.Int64
	// ending is done when requests without an answer are given up, shortly before
	// the process ends.
	ending           context.Context
	cancelUnanswered context.CancelFunc
	openConns        atomic.Int64 // connections of callers
	gatewayCount     atomic.Int32 // gateways, with this one
	// membersRead tells that the other gateways were read from the store, and settled that
	// this one knows what they know.
	membersRead, settled atomic.Bool
	join                 joinState
	// latestSeal is the newest sealed usage window that is known.
	latestSeal atomic.Pointer[Usage]
	// membersSum is the digest of their names and addresses.
	membersSum atomic.Uint64
	outage     *outage
	gate       *overloadGate

	mu sync.Mutex
	// streamDurations are the times of answers from the first event on.
	streamDurations *drain.AnswerDurations
	peers           *peerTable
	queueHost       *host.Host
	updates         *storeUpdates
	drainNotices    *drainNotices
}

// New opens the gateway's addresses.
func New(cfg settings.Gateway, d Deps) (*Gateway, error) {
	wall := clock.NewVoted(d.Clock)
	g := &Gateway{
		name: cfg.Name, processID: d.ProcessID, dropped: d.Dropped, startMs: wall.Wall(), startMonoMs: wall.Now(), log: d.Log, clock: wall, wall: wall, codec: d.Codec, store: newEpochStore(d.Store, d.Log, d.Clock),
		usageReporter: d.Duties, decoder: d.Decoder, metrics: newMetrics(), streamDurations: drain.NewAnswerDurations(),
	}
	g.ending, g.cancelUnanswered = context.WithCancel(context.Background())
	g.cfg.Store(&cfg)
	g.fleet = newFleetView(cfg.Zone, d.Clock, d.Log, retryBoundOf(cfg))
	g.fleet.dialed = g.metrics.dialed
	g.peers = newPeerTable(g)
	g.queueHost = host.NewHost(d.Log, d.Clock, g.metrics.root)
	g.updates = newStoreUpdates(d.Clock)
	g.drainNotices = newDrainNotices()
	g.outage = newOutage()
	g.store.learned = g.restored
	g.queueHost.Overloaded = g.overloaded
	g.queueHost.Zone = cfg.Zone
	g.queueHost.On = map[string]func(entry string, params json.RawMessage) error{
		enginequeue.MethodCounts: g.receiveCounts, enginequeue.MethodCollect: g.answerCollect,
		enginequeue.MethodHint: g.receiveUpdate, enginequeue.MethodConfig: g.receiveConfig, enginequeue.MethodLeaving: g.receiveDraining,
		enginequeue.MethodSeal: g.receiveSeal,
	}
	g.queueHost.OnHello = g.gatewayConnected
	g.queueHost.OnFetch = func() any { return g.config.full() }
	g.queueHost.OnBeat = g.receiveHeartbeat
	g.usage = newCounts(clock.Millis(cfg.Duties.WindowS*float64(clock.Second)), clock.Millis(cfg.Duties.ReportWithinS*float64(clock.Second)))
	var err error
	if g.gate, err = newOverloadGate(cfg.LinkMbps); err != nil {
		return nil, err
	}
	if g.callerLn, err = net.Listen("tcp", cfg.CallerAddr); err != nil {
		return nil, errors.Wrap(err, "callerAddr")
	}
	if g.readyLn, err = net.Listen("tcp", cfg.ReadyAddr); err != nil {
		return nil, errors.Wrap(err, "readyAddr")
	}
	if g.controlLn, err = net.Listen("tcp", cfg.ControlAddr); err != nil {
		return nil, errors.Wrap(err, "controlAddr")
	}
	if g.metricsLn, err = net.Listen("tcp", cfg.MetricsAddr); err != nil {
		return nil, errors.Wrap(err, "metricsAddr")
	}
	return g, nil
}

func retryBoundOf(cfg settings.Gateway) retry.WindowLimit {
	return retry.WindowLimit{
		Ratio: cfg.Bounds.RetryRatio, Slack: cfg.Bounds.RetrySlack,
		WindowMs: clock.Millis(cfg.Bounds.RetryWindowS * float64(clock.Second)),
	}
}

// Configure puts changed settings in force. Addresses to listen on stay.
func (g *Gateway) Configure(cfg settings.Gateway) {
	g.cfg.Store(&cfg)
	g.fleet.setBound(retryBoundOf(cfg))
	g.gate.setLinkMbps(cfg.LinkMbps)
}

// Settings returns the settings in force.
func (g *Gateway) Settings() settings.Gateway { return *g.cfg.Load() }

// URL returns the base URL for callers.
func (g *Gateway) URL() string { return "http://" + g.callerLn.Addr().String() }

// ReadyURL returns the URL of the liveness check.
func (g *Gateway) ReadyURL() string { return "http://" + g.readyLn.Addr().String() + "/readyz" }

// MetricsURL returns the URL of the metrics.
func (g *Gateway) MetricsURL() string { return "http://" + g.metricsLn.Addr().String() + "/metrics" }

// retrySharers returns how many gateways share the bound on repeated sends.
func (g *Gateway) retrySharers() int { return max(int(g.gatewayCount.Load()), minRetrySharers) }

// Run serves until ctx ends, then shuts down gracefully.
func (g *Gateway) Run(ctx context.Context) error {
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	srv := &http.Server{
		Handler: g, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: nil, ConnState: g.connState,
	}
	stopDrain := context.AfterFunc(ctx, func() {
		g.drain(srv)
		stop()
	})
	defer stopDrain()
	g.log.WithFields(logrus.Fields{"event": "start", "role": "gateway", "process": g.processID, "url": g.URL()}).Info("gateway started")
	err := supervise.New(g.name, g.log, g.clock).Run(run,
		supervise.Task{Name: "config", Run: g.followConfig},
		supervise.Task{Name: "servers", Run: g.followServers},
		supervise.Task{Name: "usage", Run: g.publishUsage},
		supervise.Task{Name: "copies", Run: g.copyUsage},
		supervise.Task{Name: "duties", Run: g.runLeaderTasks},
		supervise.Task{Name: "sweep", Run: g.sweep},
		supervise.Task{Name: "probe", Run: g.probe},
		supervise.Task{Name: "measure", Run: g.measure},
		supervise.Task{Name: "host", Run: g.queueHost.Run},
		supervise.Task{Name: "accept", Run: func(ctx context.Context) error { return g.queueHost.Accept(ctx, g.controlLn) }},
		supervise.Task{Name: "member", Run: g.publishMember},
		supervise.Task{Name: "settle", Run: g.waitUntilSettled},
		supervise.Task{Name: "peers", Run: g.followPeers},
		supervise.Task{Name: "beats", Run: g.peers.sendHeartbeats},
		supervise.Task{Name: "ready", Run: func(ctx context.Context) error { return supervise.Serve(ctx, operators(g.readyHandler()), g.readyLn) }},
		supervise.Task{Name: "metrics", Run: func(ctx context.Context) error {
			return supervise.Serve(ctx, operators(g.metrics.root.Handler), g.metricsLn)
		}},
		supervise.Task{Name: "callers", Run: func(ctx context.Context) error { return supervise.Serve(ctx, srv, g.callerLn) }},
	)
	_ = g.metrics.root.Close()
	g.log.WithFields(logrus.Fields{"event": "stop", "role": "gateway"}).Info("gateway stopped")
	return err
}

// connState counts the connections of callers.
func (g *Gateway) connState(_ net.Conn, st http.ConnState) {
	switch st {
	case http.StateNew:
		g.openConns.Add(1)
	case http.StateClosed, http.StateHijacked:
		g.openConns.Add(-1)
	}
}

// tooManyConns reports whether callers hold more connections than leave files for
// the way to the servers: each further answer ends its connection.
func (g *Gateway) tooManyConns() bool {
	return float64(g.openConns.Load()) > callerFileShare*g.Settings().MaxFiles
}

// overloaded reports whether this gateway's processor or link cannot keep up, so
// that callers and the other gateways had better turn elsewhere.
func (g *Gateway) overloaded() bool { return g.gate.overloaded.Load() }

// operators returns a server for the operators.
func operators(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
}

// updateGauges updates the metrics that tell a state.
func (g *Gateway) updateGauges() {
	m := g.metrics.root
	m.Gauge("config_version").Update(float64(g.configVersion()))
	m.Gauge("store_era").Update(float64(g.store.present().Number()))
	m.Gauge("config_age_ms").Update(float64(g.fleet.configAge()))
	for name, left := range g.fleet.retriesLeft(g.clock.Now(), g.retrySharers()) {
		m.Tagged(map[string]string{"pool": name}).Gauge("retries_left").Update(float64(left))
	}
	if g.dropped != nil {
		m.Gauge("log_dropped").Update(float64(g.dropped()))
	}
}

func (g *Gateway) sweep(ctx context.Context) error {
	for g.clock.Sleep(ctx, sweepEvery) == nil {
		g.fleet.sweep()
		g.updateGauges()
	}
	return nil
}
