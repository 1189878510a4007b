package cluster

import (
	"context"
	"fmt"

	"github.com/damaskport/damaskport/internal/operator/admin"
	"github.com/damaskport/damaskport/internal/standin/backend"
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
