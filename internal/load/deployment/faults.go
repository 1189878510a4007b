package deployment

import (
	"bytes"
	"context"
	"fmt"
	"net/http"

	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/load/arrivals"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// Inject causes the scenario's faults at their times within the duration,
// which begins now. It returns after the last one or when ctx ends.
func (d *Deployment) Inject(ctx context.Context, duration clock.Millis) error {
	begin := d.clock.Now()
	for _, f := range d.scenario.Faults {
		at := begin + clock.Millis(f.AtPercent/100*float64(duration))
		if d.clock.Sleep(ctx, at-d.clock.Now()) != nil {
			return nil
		}
		if err := d.cause(ctx, f); err != nil {
			return errors.Wrapf(err, "fault %s", f.Kind)
		}
	}
	return nil
}

func (d *Deployment) cause(ctx context.Context, f arrivals.Fault) error {
	switch f.Kind {
	case arrivals.FaultStraggler:
		return d.slowDown(f.Server, f.Factor)
	case arrivals.FaultCrashedZone:
		d.crash(func(s *server) bool { return s.zone == f.Zone })
	case arrivals.FaultColdStart:
		return d.replaceAll(ctx, f.DelayMs)
	case arrivals.FaultStaleReports: // set when the engines start
	}
	return nil
}

// slowDown multiplies the time per token of the i-th engine.
func (d *Deployment) slowDown(i int, factor float64) error {
	body := fmt.Sprintf(`{"tokenMs":%g}`, d.scenario.Deployment.TokenMs*factor)
	req, err := http.NewRequest(http.MethodPut, d.EngineURL(i)+"/admin/pace", bytes.NewReader([]byte(body)))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusNoContent {
		return errors.Errorf("pace of engine %d: status %d", i, resp.StatusCode)
	}
	return nil
}

// crash ends backend servers at once; their sidecars then end as well, and the
// platform's list no longer holds them.
func (d *Deployment) crash(which func(*server) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.servers {
		if s.end != 0 || !which(s) {
			continue
		}
		s.end = d.clock.Now()
		_ = s.ws.Close()
		s.cancel()
		d.platform.DeleteInstance(s.name)
	}
}

// replaceAll crashes every backend server, starts new entries and, after
// delay, new backend servers. The old entries shut down gracefully.
func (d *Deployment) replaceAll(ctx context.Context, delay clock.Millis) error {
	d.crash(func(*server) bool { return true })
	d.mu.Lock()
	old := d.entries
	d.mu.Unlock()
	if err := d.startEntries(ctx); err != nil {
		return err
	}
	for _, e := range old {
		e.cancel()
		d.platform.DeleteInstance(e.name)
	}
	if d.clock.Sleep(ctx, delay) != nil {
		return nil
	}
	if err := d.startServers(); err != nil {
		return err
	}
	for _, e := range old {
		<-e.done
	}
	return nil
}
