package process

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/control/capacity"
	"github.com/damaskport/damaskport/internal/control/lease"
	"github.com/damaskport/damaskport/internal/control/usage"
	"github.com/damaskport/damaskport/internal/operator/admin"
	"github.com/damaskport/damaskport/internal/operator/settings"
	"github.com/damaskport/damaskport/internal/peer/config"
	platformcapacity "github.com/damaskport/damaskport/internal/platform/capacity"
	"github.com/damaskport/damaskport/internal/platform/logservice"
	platformusage "github.com/damaskport/damaskport/internal/platform/usage"
	"github.com/damaskport/damaskport/internal/role/entry"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/supervise"
)

const (
	snapshotLease = "configSnapshot"
	// snapshotParts is the number of snapshots in the time of the log's retention.
	snapshotParts      = 4
	maxSnapshotRecords = 10_000
	snapshotCheck      = 5 * clock.Second
	capacityCycle      = 2 * clock.Second
	// countParts is the number of counts that a sidecar records in one window.
	countParts       = 4
	maxCountInterval = 5 * clock.Second
	// graceCounts is the number of missed counts for which a window waits.
	graceCounts = 3
)

// duties builds the duties of one entry beside those of its role.
type duties struct {
	f     settings.File
	store *config.Store
	logs  *logservice.Client
	http  *http.Client
	clock clock.Clock
	log   logrus.FieldLogger
	// author names the process in its records, leases and orders.
	author string
}

// reader returns the reader of the configuration stream.
func (d duties) reader() *config.Reader {
	return &config.Reader{Log: logservice.Hedged{Client: d.logs}, Store: d.store, Clock: d.clock, Logger: d.log, WaitMs: readWait}
}

// leased returns the control duties, each of which runs in one entry at a time.
func (d duties) leased(e *entry.Entry) []supervise.Duty {
	if !d.f.Entry.Duties {
		return nil
	}
	leases := lease.New(lease.Config{Holder: d.author, LengthMs: d.f.Entry.LeaseMs}, d.logs, d.clock, d.log)
	e.ShowLeases(func() []admin.LeaseStatus { return d.leaseStatus(leases) })
	out := []supervise.Duty{
		{Name: "leases", Run: leases.Run},
		leases.Duty(snapshotLease, d.snapshots),
		{Name: "capacity", Run: d.reconciler(leases, e).Run},
	}
	for i := range d.f.Platform.UsageShards {
		r := d.reporter(leases, e, i)
		out = append(out, supervise.Duty{Name: fmt.Sprintf("usage-%d", i), Run: r.Run})
	}
	return out
}

// leaseStatus returns the leases as this process sees them in the stream.
func (d duties) leaseStatus(leases *lease.Leases) []admin.LeaseStatus {
	var out []admin.LeaseStatus
	for name, s := range leases.States() {
		if s.Holder == "" {
			continue
		}
		out = append(out, admin.LeaseStatus{
			Duty: name, Holder: s.Holder, Term: s.Term, RemainingMs: s.AtMs + d.f.Entry.LeaseMs - d.clock.Wall(),
		})
	}
	slices.SortFunc(out, func(a, b admin.LeaseStatus) int { return strings.Compare(a.Duty, b.Duty) })
	return out
}

func (d duties) snapshots(ctx context.Context, _ *lease.Tenure) error {
	s := &config.Snapshotter{
		Log: d.logs, Store: d.store, Clock: d.clock, Logger: d.log, Author: d.author,
		MaxAgeMs: d.f.Platform.LogRetentionMs / snapshotParts, MaxRecords: maxSnapshotRecords,
		CheckMs: min(snapshotCheck, d.f.Platform.LogRetentionMs/snapshotParts),
	}
	return s.Run(ctx)
}

func (d duties) reporter(leases *lease.Leases, e *entry.Entry, shard int) *usage.Reporter {
	return usage.New(usage.Config{
		Author: d.author, Shard: shard, Shards: d.f.Platform.UsageShards, WindowMs: d.f.Platform.UsageWindowMs,
		GraceMs: graceCounts * countInterval(d.f.Platform),
		Grace: func() clock.Millis {
			return graceCounts * clock.Millis(e.ListedServers()) * clock.Second / usageAppendsPerSecond
		}, RetentionMs: d.f.Platform.LogRetentionMs, TimeoutMs: d.f.Platform.TimeoutMs,
	}, leases, d.logs, platformusage.New(d.f.Platform.UsageURL), d.clock, d.log, e.Scope())
}

func (d duties) reconciler(leases *lease.Leases, e *entry.Entry) *capacity.Reconciler {
	return capacity.New(capacity.Config{
		Author: d.author, CycleMs: capacityCycle, DrainMs: d.f.Entry.DrainMs,
		RetentionMs: d.f.Platform.LogRetentionMs, TimeoutMs: d.f.Platform.TimeoutMs,
	}, leases, d.logs, platformcapacity.New(d.f.Platform.CapacityURL, d.http), newPools(e, d.store), e, d.clock, d.log)
}

// countInterval returns the time between two records of a sidecar's counts.
func countInterval(p settings.Platform) clock.Millis {
	return min(maxCountInterval, p.UsageWindowMs/countParts)
}

// mount puts the operators' interface of e on the server.
func (a *AdminServer) mount(e *entry.Entry, store *config.Store, logs admin.Appender, log logrus.FieldLogger) {
	a.mux.Handle("/", admin.New(admin.Deps{
		Store: store, Appender: logs, Spread: e.Spread, Status: e.Status, Ready: e.Ready, Metrics: e.Metrics(), Logger: log,
	}))
}
