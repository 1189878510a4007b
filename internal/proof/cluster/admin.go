package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/damaskport/damaskport/internal/operator/admin"
	"github.com/damaskport/damaskport/internal/operator/settings"
	"github.com/damaskport/damaskport/internal/standin/backend"
	"github.com/damaskport/damaskport/internal/standin/platform"
	"github.com/damaskport/damaskport/internal/state/directory"
)

// Operator returns a client of the operators' address of e.
func (e *Entry) Operator() *admin.Client {
	return admin.NewClient(e.AdminURL, adminClient)
}

// Change applies ops at e, based on the version that e has.
func (c *Cluster) Change(e *Entry, ops ...directory.Op) (admin.Result, error) {
	c.t.Helper()
	snap, err := e.Operator().Config(context.Background())
	if err != nil {
		return admin.Result{}, err
	}
	return e.Operator().Change(context.Background(), c.NewChange(snap.Version, ops...))
}

// NewChange returns a change with an id of its own.
func (c *Cluster) NewChange(basedOn int64, ops ...directory.Op) directory.Change {
	return directory.Change{ID: fmt.Sprintf("change-%d", c.nonces.Add(1)), Author: "test", BasedOn: basedOn, Ops: ops}
}

// Seen returns the requests that the backend server of s received.
func (c *Cluster) Seen(s *Sidecar) []backend.SeenRequest {
	c.t.Helper()
	var report backend.SeenReport
	c.Get(s.Server.URL+"/admin/seen", &report)
	if report.Dropped > 0 {
		c.t.Fatalf("%s dropped %d requests from its record", s.Name, report.Dropped)
	}
	return report.Requests
}

// RestartSidecar ends the sidecar's process, if it still runs, and starts
// another one at the same control address.
func (c *Cluster) RestartSidecar(s *Sidecar) {
	c.t.Helper()
	s.Kill()
	s.Proc = c.restart(s.Name, func(f *settings.File) { f.Sidecar.ControlAddr = s.ControlRelay.target })
	c.List(s, platform.StateLive)
}

// RestartEntry ends the entry's process, if it still runs, and starts another
// one at the same addresses.
func (c *Cluster) RestartEntry(e *Entry) {
	c.t.Helper()
	e.Kill()
	e.Proc = c.restart(e.Name, func(f *settings.File) {
		f.Entry.CallerAddr, f.Entry.AdminAddr = hostPort(e.CallerURL), hostPort(e.AdminURL)
	})
}

// restart starts the process with the settings that it had, edited by pin.
func (c *Cluster) restart(name string, pin func(*settings.File)) *Proc {
	c.t.Helper()
	path := filepath.Join(c.dir, name+".json")
	f, err := settings.Load(path)
	if err != nil {
		c.t.Fatal(err)
	}
	pin(&f)
	data, err := json.Marshal(f)
	if err != nil {
		c.t.Fatal(err)
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		c.t.Fatal(err)
	}
	return startProc(c.t, name, binaries.damaskport, string(f.Role), "--settings", path)
}
