// Package solo runs entries, sidecars and the stand-ins of the platform and
// the backend servers in one process, on loopback.
package solo

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"net"
	"net/http"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/damaskport/damaskport/internal/operator/settings"
	"github.com/damaskport/damaskport/internal/platform/logservice"
	"github.com/damaskport/damaskport/internal/role/process"
	"github.com/damaskport/damaskport/internal/role/sidecar"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/listen"
	"github.com/damaskport/damaskport/internal/runtime/supervise"
	"github.com/damaskport/damaskport/internal/standin/engine"
	"github.com/damaskport/damaskport/internal/standin/platform"
	"github.com/damaskport/damaskport/internal/standin/service"
	"github.com/damaskport/damaskport/internal/state/directory"
)

const (
	loopback    = "127.0.0.1:0"
	idBytes     = 4
	secretBytes = 18
)

// Solo is a running deployment. Create it with New and start it with Run.
type Solo struct {
	cfg      Config
	log      logrus.FieldLogger
	platform *platform.Platform
	engines  []*engine.Engine
	services []*service.Service
	entries  []*process.Entry
	sidecars []*sidecar.Sidecar
	servers  []server
	base     string
	keys     map[string]string
}

// server is an HTTP server of a stand-in.
type server struct {
	ln net.Listener
	h  http.Handler
}

// DrainTime returns the longest time for which a deployment goes on after it was stopped.
func DrainTime() clock.Millis {
	return settings.Defaults(settings.RoleEntry).Entry.DrainMs + settings.Defaults(settings.RoleSidecar).Sidecar.DrainMs
}

// New opens all addresses and writes the configuration to the stand-in of the
// platform's log. The error is a *listen.Error if an address cannot be listened on.
func New(cfg Config, log logrus.FieldLogger) (*Solo, error) {
	s := &Solo{cfg: cfg, log: log, keys: map[string]string{}}
	s.platform = platform.New(platform.Config{AppendsPerSecond: 400})
	if err := s.open(); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *Solo) open() error {
	var err error
	if s.base, err = s.listen(s.platform.Handler()); err != nil {
		return err
	}
	s.issueKeys()
	for _, group := range []struct {
		n   int
		add func(i int) error
	}{{s.cfg.Entries, s.addEntry}, {s.cfg.Engines, s.addEngine}, {s.cfg.Services, s.addService}} {
		for i := range group.n {
			if err := group.add(i); err != nil {
				return err
			}
		}
	}
	return nil
}

// close closes the listeners of a deployment that does not run.
func (s *Solo) close() {
	for _, e := range s.entries {
		e.Close()
	}
	for _, sc := range s.sidecars {
		sc.Close()
	}
	for _, srv := range s.servers {
		_ = srv.ln.Close()
	}
}

// URL returns the base URL for callers of the first entry.
func (s *Solo) URL() string { return s.entries[0].URL() }

// URLs returns the base URLs for callers of all entries.
func (s *Solo) URLs() []string {
	var out []string
	for _, e := range s.entries {
		out = append(out, e.URL())
	}
	return out
}

// AdminURL returns the operators' address of the first entry.
func (s *Solo) AdminURL() string { return s.entries[0].Admin.URL() }

// Key returns the demo key of an account.
func (s *Solo) Key(account string) string { return s.keys[account] }

// Engines returns the stand-ins of the model engines.
func (s *Solo) Engines() []*engine.Engine { return s.engines }

// Services returns the stand-ins of the plain services.
func (s *Solo) Services() []*service.Service { return s.services }

// Platform returns the stand-in of the platform.
func (s *Solo) Platform() *platform.Platform { return s.platform }

// EngineURL returns the address of the i-th engine, for callers that go
// straight to it.
func (s *Solo) EngineURL(i int) string { return "http://" + s.servers[1+i].ln.Addr().String() }

// Run serves until ctx ends, then shuts everything down gracefully: entries
// first, then sidecars, then the stand-ins.
func (s *Solo) Run(ctx context.Context) error {
	standins, stopStandins := context.WithCancel(context.Background())
	defer stopStandins()
	side, stopSidecars := context.WithCancel(context.Background())
	defer stopSidecars()
	var bottom, middle, top errgroup.Group
	for _, srv := range s.servers {
		bottom.Go(func() error { return srv.serve(standins) })
	}
	if err := s.configure(ctx); err != nil && ctx.Err() == nil {
		return err
	}
	for _, sc := range s.sidecars {
		middle.Go(func() error { return sc.Run(side) })
	}
	for _, e := range s.entries {
		top.Go(func() error { return e.Run(ctx) })
		top.Go(func() error { return e.Admin.Run(ctx) })
	}
	err := top.Wait()
	stopSidecars()
	if werr := middle.Wait(); err == nil {
		err = werr
	}
	stopStandins()
	if werr := bottom.Wait(); err == nil {
		err = werr
	}
	return err
}

func (srv server) serve(ctx context.Context) error {
	return supervise.Serve(ctx, &http.Server{Handler: srv.h}, srv.ln)
}

func (s *Solo) listen(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", err
	}
	s.servers = append(s.servers, server{ln, h})
	return "http://" + ln.Addr().String(), nil
}

// issueKeys makes a key for each account.
func (s *Solo) issueKeys() {
	for _, a := range s.cfg.Accounts {
		s.keys[a.Name] = directory.KeyPrefix + randomHex(idBytes) + "_" + randomHex(secretBytes)
	}
}

// configure writes the deployment's configuration to the log.
func (s *Solo) configure(ctx context.Context) error {
	ops := s.cfg.operations()
	for account, key := range s.keys {
		id, secret, _ := directory.SplitKey(key)
		ops = append(ops, directory.Op{IssueKey: &directory.Key{ID: id, Account: account, Digest: directory.DigestSecret(secret)}})
	}
	data, err := json.Marshal(directory.Change{ID: "solo-" + randomHex(idBytes), Author: "solo", Ops: ops})
	if err != nil {
		return err
	}
	if _, verdict := directory.New().Apply(1, data); !verdict.Accepted {
		return errors.Errorf("configuration of the deployment: %s", verdict.Reason)
	}
	_, err = logservice.New(s.base, http.DefaultClient).Append(ctx, logservice.StreamConfig, data)
	return err
}

func randomHex(n int) string {
	b := make([]byte, n)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

func (s *Solo) platformSettings() settings.Platform {
	p := settings.Defaults(settings.RoleEntry).Platform
	p.LogURL, p.CapacityURL, p.UsageURL, p.InstancesURL = s.base, s.base, s.base, s.base
	if s.cfg.UsageWindowMs > 0 {
		p.UsageWindowMs = s.cfg.UsageWindowMs
	}
	return p
}

func (s *Solo) addEngine(i int) error {
	e := engine.New(engine.Config{
		Name: engineName(i), Models: []string{Model}, Slots: s.cfg.Slots, TokenMs: s.cfg.TokenMs,
		PrefillMsPerKToken: s.cfg.PrefillMsPerKToken, LoadLagMs: s.cfg.LoadLagMs, Seed: uint64(i) + 1,
	})
	s.engines = append(s.engines, e)
	return s.addSidecar(engineName(i), ModelPool, s.cfg.zone(i), s.cfg.Slots, e.Handler())
}

func (s *Solo) addService(i int) error {
	sv := service.New(service.Config{Name: serviceName(i), WorkMs: s.cfg.WorkMs})
	s.services = append(s.services, sv)
	return s.addSidecar(serviceName(i), ServicePool, s.cfg.zone(i), s.cfg.ServiceSlots, sv.Handler())
}

func (s *Solo) addSidecar(name, pool, zone string, slots int, h http.Handler) error {
	url, err := s.listen(h)
	if err != nil {
		return err
	}
	f := settings.Defaults(settings.RoleSidecar)
	f.Name, f.Zone, f.Platform, f.Policy = name, zone, s.platformSettings(), s.cfg.Policy
	f.Sidecar.ControlAddr, f.Sidecar.DataAddr, f.Sidecar.AdminAddr = loopback, loopback, loopback
	f.Sidecar.Pool, f.Sidecar.ServerURL, f.Sidecar.Slots = pool, url, slots
	sc, err := process.NewSidecar(f, s.log, nil, s.cfg.Held)
	if err != nil {
		return err
	}
	s.sidecars = append(s.sidecars, sc)
	s.platform.PutInstance(platform.Instance{
		Name: name, Role: "backend", Pool: pool, Zone: zone, Address: sc.ControlAddr(), State: platform.StateLive,
	})
	return nil
}

func (s *Solo) addEntry(i int) error {
	f := settings.Defaults(settings.RoleEntry)
	f.Name, f.Zone, f.Platform, f.Policy = entryName(i), s.cfg.zone(i), s.platformSettings(), s.cfg.Policy
	f.Entry.CallerAddr, f.Entry.AdminAddr = loopback, loopback
	var addrs *listen.Reserved
	if i == 0 {
		f.Entry.CallerAddr, f.Entry.AdminAddr = s.cfg.CallerAddr, s.cfg.AdminAddr
		addrs = s.cfg.Addresses
	}
	f.Entry.Duties = true
	if s.cfg.BodyTimeoutMs > 0 {
		f.Entry.BodyTimeoutMs = s.cfg.BodyTimeoutMs
	}
	if s.cfg.MaxWaiting > 0 {
		f.Entry.MaxWaiting = s.cfg.MaxWaiting
	}
	e, err := process.NewEntry(f, s.log, addrs, s.cfg.Held)
	if err != nil {
		return err
	}
	s.entries = append(s.entries, e)
	s.platform.PutInstance(platform.Instance{
		Name: f.Name, Role: "entry", Zone: f.Zone, Address: e.Admin.Addr(), State: platform.StateLive,
	})
	return nil
}
