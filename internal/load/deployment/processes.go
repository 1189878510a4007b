package deployment

import (
	"context"
	"net/http"
	"sync"

	"github.com/damaskport/damaskport/internal/load/arrivals"
	"github.com/damaskport/damaskport/internal/operator/settings"
	"github.com/damaskport/damaskport/internal/role/process"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/standin/engine"
	"github.com/damaskport/damaskport/internal/standin/platform"
	"github.com/damaskport/damaskport/internal/standin/service"
)

// entryProc is a running entry.
type entryProc struct {
	*process.Entry
	name   string
	cancel context.CancelFunc
	done   chan struct{}
}

// server is a backend server and its sidecar.
type server struct {
	name   string
	zone   string
	url    string
	engine *engine.Engine
	ws     *http.Server
	cancel context.CancelFunc
	done   chan struct{}
	start  clock.Millis
	// end is 0 while the server runs.
	end clock.Millis
}

func (d *Deployment) startServers() error {
	dep := d.scenario.Deployment
	for i := range dep.Engines {
		if err := d.startEngine(i); err != nil {
			return err
		}
	}
	for i := range dep.Services {
		sv := service.New(service.Config{Name: "service"})
		if err := d.startServer("service", arrivals.PoolService, d.zone(i), serviceSlots, sv.Handler(), nil); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) startEngine(i int) error {
	dep := d.scenario.Deployment
	e := engine.New(engine.Config{
		Models: []string{dep.Model}, Slots: dep.Slots, TokenMs: dep.TokenMs,
		LoadLagMs: d.loadLagMs, Seed: uint64(i) + 1,
	})
	return d.startServer("engine", arrivals.PoolModel, d.zone(i), dep.Slots, e.Handler(), e)
}

func (d *Deployment) startServer(kind, pool, zone string, slots int, h http.Handler, e *engine.Engine) error {
	ws, url, err := serve(h)
	if err != nil {
		return err
	}
	f := settings.Defaults(settings.RoleSidecar)
	f.Name, f.Zone, f.Platform, f.Policy = d.nextName(kind), zone, d.platformSettings(), d.policy
	f.Sidecar.ControlAddr, f.Sidecar.DataAddr, f.Sidecar.AdminAddr = loopback, loopback, loopback
	f.Sidecar.Pool, f.Sidecar.ServerURL, f.Sidecar.Slots, f.Sidecar.DrainMs = pool, url, slots, drainMs
	sc, err := process.NewSidecar(f, d.log, nil, nil)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &server{name: f.Name, zone: zone, url: url, engine: e, ws: ws, cancel: cancel, done: make(chan struct{}), start: d.clock.Now()}
	go func() {
		defer close(s.done)
		d.failed(sc.Run(ctx))
	}()
	d.mu.Lock()
	d.servers = append(d.servers, s)
	d.mu.Unlock()
	d.platform.PutInstance(platform.Instance{
		Name: f.Name, Role: "backend", Pool: pool, Zone: zone, Address: sc.ControlAddr(), State: platform.StateLive,
	})
	return nil
}

// startEntries starts an entry in each zone, one after the other, and makes
// them the targets of callers.
func (d *Deployment) startEntries(ctx context.Context) error {
	var entries []*entryProc
	for i := range d.scenario.Deployment.Zones {
		e, err := d.startEntry(i)
		if err != nil {
			return err
		}
		entries = append(entries, e)
		if err := d.waitReady(ctx, e); err != nil {
			return err
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries = entries
	return nil
}

func (d *Deployment) startEntry(i int) (*entryProc, error) {
	f := settings.Defaults(settings.RoleEntry)
	f.Name, f.Zone, f.Platform, f.Policy = d.nextName("entry"), d.zone(i), d.platformSettings(), d.policy
	f.Entry.CallerAddr, f.Entry.AdminAddr, f.Entry.DrainMs = loopback, loopback, drainMs
	f.Entry.Duties = true
	e, err := process.NewEntry(f, d.log, nil, nil)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &entryProc{Entry: e, name: f.Name, cancel: cancel, done: make(chan struct{})}
	var wg sync.WaitGroup
	wg.Go(func() { d.failed(e.Run(ctx)) })
	wg.Go(func() { d.failed(e.Admin.Run(ctx)) })
	go func() {
		defer close(p.done)
		wg.Wait()
	}()
	d.platform.PutInstance(platform.Instance{
		Name: f.Name, Role: "entry", Zone: f.Zone, Address: e.Admin.Addr(), State: platform.StateLive,
	})
	return p, nil
}
