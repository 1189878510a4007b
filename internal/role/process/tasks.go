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
	// snapshotsPerRetention is the number of configuration snapshots per log retention period.
	snapshotsPerRetention = 4
	maxSnapshotRecords    = 10_000
	snapshotCheckEvery    = 5 * clock.Second
	reconcileEvery        = 2 * clock.Second
	// countsPerWindow is the number of usage counts that a sidecar appends per usage window.
	countsPerWindow    = 4
	maxCountIntervalMs = 5 * clock.Second
	// graceCounts is how many count intervals after its end a usage window stays open
	// for counts that arrive late.
	graceCounts = 3
)

// entryTasks builds the tasks that an entry runs besides serving requests: reading the
// configuration, and the control tasks that run under a lease.
type entryTasks struct {
	f     settings.File
	store *config.Store
	logs  *logservice.Client
	http  *http.Client
	clock clock.Clock
	log   logrus.FieldLogger
	// author identifies this process, as name/incarnation, in log records, leases and
	// capacity orders.
	author string
}

// reader returns the task that follows the configuration stream.
func (d entryTasks) reader() *config.Reader {
	return &config.Reader{Log: logservice.Hedged{Client: d.logs}, Store: d.store, Clock: d.clock, Logger: d.log, WaitMs: readWait}
}

// leasedTasks returns the control tasks, each of which runs in one entry at a time under a
// lease. It returns none if the settings disable them for this entry.
func (d entryTasks) leasedTasks(e *entry.Entry) []supervise.Task {
	if !d.f.Entry.Duties {
		return nil
	}
	leases := lease.New(lease.Config{Holder: d.author, LengthMs: d.f.Entry.LeaseMs}, d.logs, d.clock, d.log)
	e.ShowLeases(func() []admin.LeaseStatus { return d.leaseStatus(leases) })
	out := []supervise.Task{
		{Name: "leases", Run: leases.Run},
		leases.Duty(snapshotLease, d.snapshots),
		{Name: "capacity", Run: d.reconciler(leases, e).Run},
	}
	for i := range d.f.Platform.UsageShards {
		r := d.reporter(leases, e, i)
		out = append(out, supervise.Task{Name: fmt.Sprintf("usage-%d", i), Run: r.Run})
	}
	return out
}

// leaseStatus returns the held leases, sorted by name, as this process has read them
// from the lease stream.
func (d entryTasks) leaseStatus(leases *lease.Leases) []admin.LeaseStatus {
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

func (d entryTasks) snapshots(ctx context.Context, _ *lease.Tenure) error {
	s := &config.Snapshotter{
		Log: d.logs, Store: d.store, Clock: d.clock, Logger: d.log, Author: d.author,
		MaxAgeMs: d.f.Platform.LogRetentionMs / snapshotsPerRetention, MaxRecords: maxSnapshotRecords,
		CheckMs: min(snapshotCheckEvery, d.f.Platform.LogRetentionMs/snapshotsPerRetention),
	}
	return s.Run(ctx)
}

func (d entryTasks) reporter(leases *lease.Leases, e *entry.Entry, shard int) *usage.Reporter {
	return usage.New(usage.Config{
		Author: d.author, Shard: shard, Shards: d.f.Platform.UsageShards, WindowMs: d.f.Platform.UsageWindowMs,
		GraceMs: graceCounts * countInterval(d.f.Platform),
		Grace: func() clock.Millis {
			return graceCounts * clock.Millis(e.ListedServers()) * clock.Second / usageAppendsPerSecond
		}, RetentionMs: d.f.Platform.LogRetentionMs, TimeoutMs: d.f.Platform.TimeoutMs,
	}, leases, d.logs, platformusage.New(d.f.Platform.UsageURL), d.clock, d.log, e.Scope())
}

func (d entryTasks) reconciler(leases *lease.Leases, e *entry.Entry) *capacity.Reconciler {
	return capacity.New(capacity.Config{
		Author: d.author, CycleMs: reconcileEvery, DrainMs: d.f.Entry.DrainMs,
		RetentionMs: d.f.Platform.LogRetentionMs, TimeoutMs: d.f.Platform.TimeoutMs,
	}, leases, d.logs, platformcapacity.New(d.f.Platform.CapacityURL, d.http), newPools(e, d.store), e, d.clock, d.log)
}

// countInterval returns the time between two appends of usage counts by a sidecar.
func countInterval(p settings.Platform) clock.Millis {
	return min(maxCountIntervalMs, p.UsageWindowMs/countsPerWindow)
}

// mount registers the admin interface of e with the server.
func (a *AdminServer) mount(e *entry.Entry, store *config.Store, logs admin.Appender, log logrus.FieldLogger) {
	a.refused = e.RefusedUnread
	a.mux.Handle("/", admin.New(admin.Deps{
		Store: store, Appender: logs, Spread: e.Spread, Status: e.Status, Ready: e.Ready, Metrics: e.Metrics(), Logger: log,
	}))
}
