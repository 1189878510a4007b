// Package deployment runs the system and its stand-ins in one process, at the
// size of a scenario's deployment, and causes the scenario's faults.
//
// Each availability zone has one entry. Callers use the entries in turn.
package deployment

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/load/arrivals"
	"github.com/damaskport/damaskport/internal/operator/settings"
	"github.com/damaskport/damaskport/internal/platform/logservice"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/standin/platform"
	"github.com/damaskport/damaskport/internal/state/directory"
)

const (
	loopback         = "127.0.0.1:0"
	appendsPerSecond = 400
	serviceSlots     = 16
	idBytes          = 4
	secretBytes      = 18
	readyPoll        = 5 * clock.Millisecond
	drainMs          = 15 * clock.Second
)

// Deployment is a running system. It is safe for concurrent use.
type Deployment struct {
	scenario   arrivals.Scenario
	policy     settings.Policy
	log        logrus.FieldLogger
	clock      clock.Clock
	platform   *platform.Platform
	platformAt string
	platformWS *http.Server
	keys       map[string]string
	loadLagMs  clock.Millis

	mu      sync.Mutex
	entries []*entryProc
	servers []*server
	started int
	errs    []error
}

// Start starts the deployment of s with the policy and waits until every entry
// is connected to every backend server.
func Start(ctx context.Context, s arrivals.Scenario, policy settings.Policy, log logrus.FieldLogger) (*Deployment, error) {
	d := &Deployment{
		scenario: s, policy: policy, log: log, clock: clock.System{}, keys: map[string]string{},
		platform: platform.New(platform.Config{AppendsPerSecond: appendsPerSecond}),
	}
	for _, f := range s.Faults {
		if f.Kind == arrivals.FaultStaleReports {
			d.loadLagMs = f.DelayMs
		}
	}
	var err error
	if d.platformWS, d.platformAt, err = serve(d.platform.Handler()); err != nil {
		return nil, err
	}
	if err := d.configure(ctx); err != nil {
		return nil, errors.Wrap(err, "configuration")
	}
	if err := d.startServers(); err != nil {
		return nil, err
	}
	return d, d.startEntries(ctx)
}

// waitReady returns when e is connected to every backend server, or with the
// error of ctx.
func (d *Deployment) waitReady(ctx context.Context, e *entryProc) error {
	d.mu.Lock()
	live := 0
	for _, s := range d.servers {
		if s.end == 0 {
			live++
		}
	}
	d.mu.Unlock()
	for e.Ready() != nil || e.Connected() < live {
		if err := d.clock.Sleep(ctx, readyPoll); err != nil {
			return errors.Wrapf(err, "%s waiting for %d of %d backend servers", e.name, e.Connected(), live)
		}
	}
	return nil
}

// Target returns the base URL of the entry that takes the i-th request.
func (d *Deployment) Target(i int) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entries[i%len(d.entries)].URL()
}

// EngineURL returns the base URL of the i-th engine.
func (d *Deployment) EngineURL(i int) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.servers[i].url
}

// Keys returns a key for each client account.
func (d *Deployment) Keys() map[string]string { return d.keys }

// Generated returns the number of tokens that all engines generated, those of
// requests that were cut or stopped included.
func (d *Deployment) Generated() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	total := int64(0)
	for _, s := range d.servers {
		if s.engine == nil {
			continue
		}
		for _, j := range s.engine.State().Jobs {
			total += int64(j.Generated)
		}
	}
	return total
}

// ServerSeconds returns the time for which model engines were paid.
func (d *Deployment) ServerSeconds() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	total := clock.Millis(0)
	for _, s := range d.servers {
		end := s.end
		if end == 0 {
			end = d.clock.Now()
		}
		if s.engine != nil {
			total += end - s.start
		}
	}
	return float64(total) / float64(clock.Second)
}

// Stop shuts down entries, sidecars and stand-ins, in this order, and returns
// the first error of any of them.
func (d *Deployment) Stop() error {
	d.mu.Lock()
	entries, servers := d.entries, d.servers
	d.mu.Unlock()
	for _, e := range entries {
		e.cancel()
	}
	for _, e := range entries {
		<-e.done
	}
	for _, s := range servers {
		s.cancel()
	}
	for _, s := range servers {
		<-s.done
		_ = s.ws.Close()
	}
	_ = d.platformWS.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.errs) > 0 {
		return d.errs[0]
	}
	return nil
}

func (d *Deployment) failed(err error) {
	if err == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.errs = append(d.errs, err)
}

// configure writes pools, classes, accounts and fresh keys to the log.
func (d *Deployment) configure(ctx context.Context) error {
	dep := d.scenario.Deployment
	ops := []directory.Op{
		{SetPool: &directory.Pool{Name: arrivals.PoolModel, Kind: directory.PoolModel, Model: dep.Model, Slots: dep.Slots, MaxServers: dep.Engines}},
		{SetPool: &directory.Pool{Name: arrivals.PoolService, Kind: directory.PoolService, Slots: serviceSlots, MaxServers: dep.Services}},
		{SetRoute: &directory.Route{PathPrefix: "/" + arrivals.PoolService, Pool: arrivals.PoolService, ProtectedMethods: []string{http.MethodPost}}},
	}
	var classes []string
	for _, c := range d.scenario.Classes {
		ops = append(ops, directory.Op{SetClass: &c.Class})
		classes = append(classes, c.Class.Name)
	}
	for _, a := range d.scenario.Accounts {
		ops = append(ops, directory.Op{SetAccount: &directory.Account{Name: a.Name, Share: a.Share, Classes: classes}})
	}
	for _, a := range d.scenario.Accounts {
		id, secret := randomHex(idBytes), randomHex(secretBytes)
		d.keys[a.Name] = directory.KeyPrefix + id + "_" + secret
		ops = append(ops, directory.Op{IssueKey: &directory.Key{ID: id, Account: a.Name, Digest: directory.DigestSecret(secret)}})
	}
	return d.change(ctx, ops)
}

// change appends a change of configuration to the log.
func (d *Deployment) change(ctx context.Context, ops []directory.Op) error {
	data, err := json.Marshal(directory.Change{ID: "load-" + randomHex(idBytes), Author: "load", Ops: ops})
	if err != nil {
		return err
	}
	_, err = logservice.New(d.platformAt, http.DefaultClient).Append(ctx, logservice.StreamConfig, data)
	return err
}

func (d *Deployment) platformSettings() settings.Platform {
	p := settings.Defaults(settings.RoleEntry).Platform
	p.LogURL, p.CapacityURL, p.UsageURL, p.InstancesURL = d.platformAt, d.platformAt, d.platformAt, d.platformAt
	return p
}

func (d *Deployment) zone(i int) string {
	zones := d.scenario.Deployment.Zones
	return zones[i%len(zones)]
}

// serve starts an HTTP server on loopback.
func serve(h http.Handler) (*http.Server, string, error) {
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, "", err
	}
	ws := &http.Server{Handler: h}
	go func() { _ = ws.Serve(ln) }()
	return ws, "http://" + ln.Addr().String(), nil
}

func randomHex(n int) string {
	b := make([]byte, n)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

func (d *Deployment) nextName(kind string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.started++
	return fmt.Sprintf("%s-%d", kind, d.started)
}
