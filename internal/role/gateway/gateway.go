// Package gateway implements the gateway: a reverse proxy that sends callers'
// requests to backend servers directly, without sidecars. The platform's store
// holds the configuration, the list of servers and all other durable state.
//
// A gateway can serve a request end to end without any other gateway. Connected
// gateways cooperate: they share the limit on retries, agree on the affinity
// server of a shared prompt prefix, run each model engine's queue on one of them
// (the queue owner), and elect a leader for the tasks that only one of them may
// run.
package gateway

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/caller/callerconn"
	host "github.com/damaskport/damaskport/internal/control/enginequeue"
	"github.com/damaskport/damaskport/internal/operator/settings"
	"github.com/damaskport/damaskport/internal/peer/enginequeue"
	"github.com/damaskport/damaskport/internal/policy/budget"
	"github.com/damaskport/damaskport/internal/policy/drain"
	"github.com/damaskport/damaskport/internal/policy/retry"
	"github.com/damaskport/damaskport/internal/policy/socketbuffer"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/crowd"
	"github.com/damaskport/damaskport/internal/runtime/listen"
	"github.com/damaskport/damaskport/internal/runtime/supervise"
	"github.com/damaskport/damaskport/internal/runtime/tcp"
)

const (
	// maxHeaderBytes, idleTimeout and headerTimeout are the limits of callers' connections that
	// the configuration does not set, or is not known to.
	maxHeaderBytes = 64 << 10
	idleTimeout    = 2 * clock.Minute
	headerTimeout  = 10 * clock.Second
	sweepEvery     = 500 * clock.Millisecond
	// callerFileShare is the share of the open-file limit (the setting maxFiles)
	// that callers' connections may use before they are closed after each answer.
	// The rest is for connections to servers, of which each caller's connection
	// may need one, to the store and to the other gateways.
	callerFileShare = 0.4
)

// Deps holds the dependencies of a Gateway.
type Deps struct {
	Log           logrus.FieldLogger
	Clock         clock.Clock
	Codec         Codec
	Store         Store
	UsageReporter UsageReporter
	Decoder       Decoder
	// Dropped returns the number of log lines dropped so far; nil if that is not
	// known.
	Dropped func() int64
	// Addresses keeps addresses over several calls of New; nil keeps none.
	Addresses *listen.Reserved
	// Buffers gives connections the sizes of their buffers; nil for NewBuffers of the settings.
	Buffers *tcp.Buffers
	// Held bounds the memory held for callers; nil for no bound.
	Held *budget.Held
	// BeganMs is the monotonic time of the first attempt to start; 0 if that is not known.
	BeganMs clock.Millis
	// ProcessID identifies the process: it differs for each start of an instance.
	ProcessID string
}

// Gateway is one instance of the gateway role. Create it with New and start it
// with Run.
type Gateway struct {
	name          string
	processID     string
	dropped       func() int64
	startMs       clock.Millis // wall-clock time of the start
	startMonoMs   clock.Millis // monotonic time of the start
	cfg           atomic.Pointer[settings.Gateway]
	log           logrus.FieldLogger
	clock         clock.Clock
	wall          *clock.Voted // the value of clock; corrects the wall time to the median of the gateways
	codec         Codec
	store         *epochStore
	usageReporter UsageReporter
	decoder       Decoder
	fleet         *fleetView
	config        configDocument
	usage         *usageCounts
	metrics       *gatewayMetrics
	buffers       *tcp.Buffers

	callerLn                      *callerconn.Listener
	readyLn, controlLn, metricsLn net.Listener // metricsLn is nil if something else has metricsAddr
	metricsAddr                   string

	// draining is set when the shutdown signal arrives, at the monotonic time
	// drainMs. From then on the gateway reports that it is not ready and closes
	// each connection after its answer.
	draining atomic.Bool
	drainMs  atomic.Int64
	// ending is cancelled shortly before the process exits. Requests whose answer
	// has not begun are then abandoned.
	ending           context.Context
	cancelUnanswered context.CancelFunc
	// cut is set when the process closes the connections of callers that still wait, and serving
	// holds the requests that have been admitted and not ended, as keys of type *job.
	cut          atomic.Bool
	serving      sync.Map
	gatewayCount atomic.Int32 // known gateways, including this one
	// membersRead is set once the records of the other gateways have been read
	// from the store. settled is set once the configuration is known to be as new
	// as theirs, or they did not answer in time; until then requests are refused.
	membersRead, settled atomic.Bool
	// memberWritten is set once the store has the member record of this process, and memberLost
	// gets a value when the record is found to be missing.
	memberWritten atomic.Bool
	memberLost    chan struct{}
	epochAge      *epochAge
	join          joinState
	// latestSeal is the newest sealed usage window that this gateway knows; nil
	// if it knows none.
	latestSeal atomic.Pointer[Usage]
	// membersDigest is a digest of the names and addresses of all known gateways,
	// equal in gateways that know the same ones.
	membersDigest atomic.Uint64
	outage        *outage
	gate          *overloadGate
	held          *budget.Held
	refusals      *crowd.Refusals

	mu sync.Mutex
	// streamDurations holds the durations of streamed answers from the first
	// event to the end, by route. It is guarded by mu.
	streamDurations *drain.AnswerDurations
	peers           *peerTable
	queueHost       *host.Host
	updates         *storeUpdates
	drainNotices    *drainNotices
	permits         *permitIssuer
	endings         *endings
	suspects        *suspects
	streams         *streams
	zones           *evacuatedZones
}

// New creates a gateway and opens its listeners. The error is a *listen.Error if an address cannot
// be listened on.
func New(cfg settings.Gateway, d Deps) (*Gateway, error) {
	floor := socketbuffer.Floor()
	lns, err := d.Addresses.Listen(
		listen.Address{Setting: "controlAddr", HostPort: cfg.ControlAddr, Buffers: floor},
		listen.Address{Setting: metricsSetting, HostPort: cfg.MetricsAddr, Optional: true, Buffers: floor},
		listen.Address{Setting: "readyAddr", HostPort: cfg.ReadyAddr, Buffers: floor}, listen.Address{Setting: "callerAddr", HostPort: cfg.CallerAddr, Buffers: floor},
	)
	if err != nil {
		return nil, err
	}
	gate, err := newOverloadGate(cfg.LinkMbps)
	if err != nil {
		listen.Close(lns)
		return nil, err
	}
	wall := clock.NewVoted(d.Clock)
	g := &Gateway{
		name: cfg.Name, processID: d.ProcessID, dropped: d.Dropped, startMs: wall.Wall(), startMonoMs: wall.Now(), log: d.Log, clock: wall, wall: wall, codec: d.Codec, store: newEpochStore(d.Store, d.Log, d.Clock),
		usageReporter: d.UsageReporter, decoder: d.Decoder, metrics: newMetrics(), streamDurations: drain.NewAnswerDurations(),
		gate: gate, buffers: d.Buffers, metricsAddr: cfg.MetricsAddr, memberLost: make(chan struct{}, 1), epochAge: newEpochAge(),
	}
	if g.buffers == nil {
		g.buffers = NewBuffers(cfg, d.Log)
	}
	g.limitBuffers(lns, d.Clock)
	g.held = d.Held.WithConns(g.callerLn.Open)
	if d.BeganMs > 0 {
		g.metrics.root.Gauge("start_wait_ms").Update(float64(d.Clock.Now() - d.BeganMs))
	}
	g.ending, g.cancelUnanswered = context.WithCancel(context.Background())
	g.cfg.Store(&cfg)
	g.boundClients()
	g.fleet = newFleetView(cfg.Zone, d.Clock, d.Log, retryLimitOf(cfg))
	g.fleet.dialed, g.fleet.buffers = g.metrics.dialed, g.buffers
	g.zones = newEvacuatedZones()
	g.fleet.evacuated, g.zones.returned = g.zones.evacuated, g.fleet.zoneReturned
	g.fleet.gateways = func() int { return int(g.gatewayCount.Load()) }
	g.peers = newPeerTable(g)
	g.queueHost = host.NewHost(d.Log, d.Clock, g.metrics.root)
	g.updates = newStoreUpdates(d.Clock)
	g.drainNotices = newDrainNotices()
	g.permits = newPermitIssuer()
	g.endings = newEndings()
	g.suspects = newSuspects(g)
	g.streams = newStreams(g)
	g.outage = newOutage()
	g.store.onNewEpoch = g.epochChanged
	g.queueHost.Overloaded = g.overloaded
	g.queueHost.Zone = cfg.Zone
	g.queueHost.On = map[string]func(entry string, params json.RawMessage) error{
		enginequeue.MethodCounts: g.receiveCounts, enginequeue.MethodCollect: g.answerCollect,
		enginequeue.MethodHint: g.receiveUpdate, enginequeue.MethodConfig: g.receiveConfig, enginequeue.MethodLeaving: g.receiveDraining,
		enginequeue.MethodSeal: g.receiveSeal, enginequeue.MethodLimit: g.receiveLimitReport, enginequeue.MethodLimits: g.receiveLimits,
		enginequeue.MethodPermit: g.answerPermit, enginequeue.MethodEvidence: g.receiveEvidence,
		enginequeue.MethodTrial: g.answerTrial, enginequeue.MethodTrialEnd: g.receiveTrialEnd,
		enginequeue.MethodVersions: g.receiveVersions, enginequeue.MethodZones: g.receiveZones,
	}
	g.queueHost.OnHello = g.gatewayConnected
	g.queueHost.OnFetch = func() any { return g.config.full() }
	g.queueHost.OnBeat = g.receiveHeartbeat
	g.usage = newUsageCounts(clock.FromSeconds(cfg.Duties.WindowS), clock.FromSeconds(cfg.Duties.ReportWithinS))
	return g, nil
}

func retryLimitOf(cfg settings.Gateway) retry.WindowLimit {
	return retry.WindowLimit{
		Ratio: cfg.Bounds.RetryRatio, Slack: cfg.Bounds.RetrySlack,
		WindowMs: clock.FromSeconds(cfg.Bounds.RetryWindowS),
	}
}

// Configure applies changed settings. The listeners keep their addresses.
func (g *Gateway) Configure(cfg settings.Gateway) {
	g.cfg.Store(&cfg)
	g.fleet.setRetryLimit(retryLimitOf(cfg))
	g.gate.setLinkMbps(cfg.LinkMbps)
}

// Settings returns the current settings.
func (g *Gateway) Settings() settings.Gateway { return *g.cfg.Load() }

// URL returns the base URL for callers.
func (g *Gateway) URL() string { return "http://" + g.callerLn.Addr().String() }

// ReadyURL returns the URL of the readiness check.
func (g *Gateway) ReadyURL() string { return "http://" + g.readyLn.Addr().String() + "/readyz" }

// MetricsURL returns the URL of the metrics endpoint.
func (g *Gateway) MetricsURL() string { return "http://" + g.metricsAddr + "/metrics" }

// retrySharers returns the number of gateways that share the retry limit: the
// known gateways, but at least minRetrySharers.
func (g *Gateway) retrySharers() int { return max(int(g.gatewayCount.Load()), minRetrySharers) }

// Run serves requests until ctx is cancelled, then drains and returns.
func (g *Gateway) Run(ctx context.Context) error {
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	// After a drain, the connections of callers outlive the other tasks; see finishAnswers.
	serveCtx, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	defer g.callerLn.Cut()
	serveCallers := func(ctx context.Context, srv *http.Server) error {
		defer context.AfterFunc(ctx, func() {
			if !g.draining.Load() {
				g.callerLn.Cut()
				stopServing()
			}
		})()
		return supervise.Serve(serveCtx, srv, g.callerLn)
	}
	srv := &http.Server{Handler: g, ErrorLog: nil}
	g.callerLn.Attach(srv)
	stopDrain := context.AfterFunc(ctx, func() {
		g.drain()
		stop()
		g.finishAnswers()
		g.callerLn.Cut()
		stopServing()
	})
	defer stopDrain()
	g.log.WithFields(logrus.Fields{"event": "start", "role": "gateway", "process": g.processID, "url": g.URL()}).Info("gateway started")
	err := supervise.New(g.name, g.log, g.clock).Run(run,
		supervise.Task{Name: "config", Run: g.followConfig},
		supervise.Task{Name: "servers", Run: g.followServers},
		supervise.Task{Name: "usage", Run: g.publishUsage},
		supervise.Task{Name: "copies", Run: g.sendCopies},
		supervise.Task{Name: "duties", Run: g.runLeaderTasks},
		supervise.Task{Name: "sweep", Run: g.sweep},
		supervise.Task{Name: "probe", Run: g.probe},
		supervise.Task{Name: "measure", Run: g.measure},
		supervise.Task{Name: "host", Run: g.queueHost.Run},
		supervise.Task{Name: "accept", Run: func(ctx context.Context) error { return g.queueHost.Accept(ctx, g.controlLn) }},
		supervise.Task{Name: "member", Run: g.publishMember},
		supervise.Task{Name: "settle", Run: g.waitUntilSettled},
		supervise.Task{Name: "evidence", Run: g.keepEvidence},
		supervise.Task{Name: "versions", Run: g.keepVersions},
		supervise.Task{Name: "streams", Run: g.keepStreams},
		supervise.Task{Name: "behind", Run: g.reportBehind},
		supervise.Task{Name: "peers", Run: g.followPeers},
		supervise.Task{Name: "beats", Run: g.peers.sendHeartbeats},
		supervise.Task{Name: "ready", Run: func(ctx context.Context) error {
			return g.serveOperators(ctx, g.readyHandler(), g.readyLn)
		}},
		supervise.Task{Name: "metrics", Run: g.serveMetrics},
		supervise.Task{Name: "callers", Run: func(ctx context.Context) error { return serveCallers(ctx, srv) }},
	)
	_ = g.metrics.root.Close()
	g.log.WithFields(logrus.Fields{"event": "stop", "role": "gateway"}).Info("gateway stopped")
	return err
}

// connLimits returns the limits of callers' connections.
func (g *Gateway) connLimits() callerconn.Limits {
	l := callerconn.Limits{IdleMs: idleTimeout, HeadMs: headerTimeout, HeadBytes: maxHeaderBytes}
	cfg := g.fleet.config()
	if cfg == nil {
		return l
	}
	if cfg.IdleTimeoutMs > 0 {
		l.IdleMs = cfg.IdleTimeoutMs
	}
	if cfg.HeaderTimeoutMs > 0 {
		l.HeadMs = cfg.HeaderTimeoutMs
	}
	if cfg.MaxHeaderBytes > 0 {
		l.HeadBytes = cfg.MaxHeaderBytes
	}
	return l
}

// tooManyConns reports whether callers' connections exceed callerFileShare of the
// open-file limit. Each further answer then closes its connection, so that enough
// files remain for connections to servers.
func (g *Gateway) tooManyConns() bool {
	return float64(g.callerLn.Open()) > callerFileShare*g.Settings().MaxFiles
}

// overloaded reports whether this gateway's processor or network link is
// overloaded, so that callers and other gateways are advised to use another
// gateway.
func (g *Gateway) overloaded() bool { return g.gate.overloaded.Load() }

// updateGauges sets the metrics that show a current state.
func (g *Gateway) updateGauges() {
	m := g.metrics.root
	m.Gauge("config_version").Update(float64(g.configVersion()))
	m.Gauge("store_era").Update(float64(g.store.currentEpoch().Number()))
	m.Gauge("config_age_ms").Update(float64(g.fleet.configAge()))
	parts, requests, endings := g.suspects.counts()
	m.Gauge("held_bytes").Update(float64(g.held.Bytes()))
	m.Gauge("event_bytes").Update(float64(g.held.Events().Bytes()))
	m.Gauge("quarantined_parts").Update(float64(parts))
	m.Gauge("quarantined_requests").Update(float64(requests))
	m.Gauge("suspect_endings").Update(float64(endings))
	m.Gauge("evacuated_zones").Update(float64(g.zones.count()))
	m.Gauge("server_limits").Update(float64(g.fleet.limitCount()))
	m.Gauge("servers_warming").Update(float64(g.fleet.warmingCount()))
	m.Gauge("servers_paced").Update(float64(g.fleet.pacedCount()))
	for name, left := range g.fleet.retriesLeft(g.clock.Now(), g.retrySharers()) {
		m.Tagged(map[string]string{"pool": name}).Gauge("retries_left").Update(float64(left))
	}
	if g.dropped != nil {
		m.Gauge("log_dropped").Update(float64(g.dropped()))
	}
}

// sweep closes expired idle connections to servers and updates the gauges, every
// sweepEvery until ctx is cancelled.
func (g *Gateway) sweep(ctx context.Context) error {
	for g.clock.Sleep(ctx, sweepEvery) == nil {
		g.fleet.sweep()
		g.sweepPermits()
		g.sweepZones()
		g.updateGauges()
	}
	return nil
}
