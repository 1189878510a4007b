// Package process builds an entry or a sidecar from its settings: it creates the
// clients of the platform and wires the role to its supervised tasks.
package process

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/control/claims"
	"github.com/damaskport/damaskport/internal/control/usage"
	"github.com/damaskport/damaskport/internal/operator/settings"
	"github.com/damaskport/damaskport/internal/peer/config"
	"github.com/damaskport/damaskport/internal/platform/logservice"
	"github.com/damaskport/damaskport/internal/platform/membership"
	"github.com/damaskport/damaskport/internal/policy/budget"
	"github.com/damaskport/damaskport/internal/role/entry"
	"github.com/damaskport/damaskport/internal/role/sidecar"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/crowd"
	"github.com/damaskport/damaskport/internal/runtime/http1"
	"github.com/damaskport/damaskport/internal/runtime/listen"
	"github.com/damaskport/damaskport/internal/runtime/supervise"
	"github.com/damaskport/damaskport/internal/runtime/tcp"
	"github.com/damaskport/damaskport/internal/state/claim"
	"github.com/damaskport/damaskport/internal/state/directory"
)

const (
	incarnationBytes = 6
	// readWait is the long-poll timeout of a read of the log that finds no new record.
	readWait = 10 * clock.Second
	// usageAppendsPerSecond bounds the appends of usage counts, summed over all sidecars.
	usageAppendsPerSecond = 40
)

// NewIncarnation returns a random id, in hexadecimal, that identifies this run of the
// process.
func NewIncarnation() string {
	b := make([]byte, incarnationBytes)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// platformDialer opens connections that send nothing of a call that was given up. On those of a frozen process,
// a call is not sent for longer than timeout.
func platformDialer(timeout clock.Millis) tcp.DialFunc {
	d := tcp.NewDialer(timeout.Duration(), tcp.UnackedTimeout(timeout.Duration()))
	return tcp.DialUnanswered(d.DialContext)
}

// platformHTTP returns a client with keep-alive connections and limits that leave room
// for a long poll of readWait; callers set shorter deadlines where they need them.
func platformHTTP(timeout clock.Millis) *http.Client {
	return &http.Client{
		Transport: http1.Transport(&http.Transport{DialContext: platformDialer(timeout), MaxIdleConnsPerHost: 16, ResponseHeaderTimeout: (readWait + timeout).Duration()}),
		Timeout:   (readWait + 2*timeout).Duration(),
	}
}

// singleHTTP returns a client that opens a connection for each call, so that a
// connection that no longer responds is never reused.
func singleHTTP(timeout clock.Millis) *http.Client {
	return &http.Client{Transport: http1.Transport(&http.Transport{DialContext: platformDialer(timeout), DisableKeepAlives: true})}
}

// Entry is an entry together with its admin server.
type Entry struct {
	*entry.Entry
	Admin *AdminServer
}

// NewEntry creates an entry and listens on its addresses; Run serves them. addrs, unless it is nil,
// keeps addresses over several calls. mem bounds the memory held for callers; nil for no bound. The
// error is a *listen.Error if an address cannot be listened on.
func NewEntry(f settings.File, log logrus.FieldLogger, addrs *listen.Reserved, mem *budget.Held) (*Entry, error) {
	if f.Entry == nil {
		return nil, errors.New("the settings have no section entry")
	}
	clk := clock.System{}
	store := config.New(0)
	h := platformHTTP(f.Platform.TimeoutMs)
	logs := logservice.New(f.Platform.LogURL, h)
	lns, err := addrs.Listen(
		listen.Address{Setting: "entry.adminAddr", HostPort: f.Entry.AdminAddr}, listen.Address{Setting: "entry.callerAddr", HostPort: f.Entry.CallerAddr},
	)
	if err != nil {
		return nil, err
	}
	admin := newAdminServer(lns[0])
	admin.maxFiles = crowd.Files(int(f.MaxFiles))
	inc := NewIncarnation()
	d := entryTasks{f: f, store: store, logs: logs, http: h, clock: clk, log: log, author: f.Name + "/" + inc}
	reader := d.reader()
	e, err := entry.New(f, entry.Deps{
		Log: log, Clock: clk, Store: store, Incarnation: inc, Callers: lns[1],
		Instances: boundedLister{membership.New(f.Platform.InstancesURL, h), f.Platform.TimeoutMs},
		Held:      mem,
		IssueKey:  claim.IssueKey,
		LogRead:   reader.LastRead,
		Tasks:     []supervise.Task{{Name: "configReader", Run: reader.Run}},
	})
	if err != nil {
		_ = lns[0].Close()
		_ = lns[1].Close()
		return nil, err
	}
	e.AddTasks(d.leasedTasks(e)...)
	admin.mount(e, store, logservice.New(f.Platform.LogURL, singleHTTP(f.Platform.TimeoutMs)), log)
	return &Entry{Entry: e, Admin: admin}, nil
}

// Close closes the listeners of an entry that does not run.
func (e *Entry) Close() {
	e.Entry.Close()
	_ = e.Admin.ln.Close()
}

// boundedLister lists the instances with a timeout on each call.
type boundedLister struct {
	c       *membership.Client
	timeout clock.Millis
}

// List returns the instances, or an error after the timeout.
func (l boundedLister) List(ctx context.Context) (membership.List, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout.Duration())
	defer cancel()
	return l.c.List(ctx)
}

// NewSidecar creates a sidecar and listens on its addresses. held, unless it is nil, keeps addresses
// over several calls. mem bounds the memory held for events; nil for no bound. The error is a *listen.Error
// if an address cannot be listened on.
func NewSidecar(f settings.File, log logrus.FieldLogger, held *listen.Reserved, mem *budget.Held) (*sidecar.Sidecar, error) {
	if f.Sidecar == nil {
		return nil, errors.New("the settings have no section sidecar")
	}
	clk := clock.System{}
	inc := NewIncarnation()
	logs := logservice.New(f.Platform.LogURL, platformHTTP(f.Platform.TimeoutMs))
	c := claims.New(claims.Config{
		Incarnation: inc, Shards: f.Platform.ClaimShards, WindowMs: f.Platform.ClaimWindowMs,
		TimeoutMs: f.Platform.TimeoutMs, RetentionMs: f.Platform.LogRetentionMs,
	}, logs, clk, log)
	store := config.New(0)
	m := usage.NewCounter(usage.CounterConfig{
		Incarnation: inc, WindowMs: f.Platform.UsageWindowMs, IntervalMs: countInterval(f.Platform), AppendsPerSecond: usageAppendsPerSecond,
		TimeoutMs: f.Platform.TimeoutMs,
	}, logs, clk, log)
	claimsTask := supervise.Task{Name: "claims", Run: func(ctx context.Context) error {
		if err := waitForService(ctx, store, f.Sidecar.Pool); err != nil {
			return nil
		}
		return supervise.New(f.Name+"/claims", log, clk).Run(ctx, c.Tasks()...)
	}}
	return sidecar.New(f, sidecar.Deps{
		Log: log, Clock: clk, Store: store, Claims: c, Meter: m, Addresses: held, Incarnation: inc, Held: mem, Duties: []supervise.Task{claimsTask, {Name: "usage", Run: m.Run}},
	})
}

// waitForService returns nil once the configuration lists the pool as one of plain
// services, the only kind that needs claims, or the error of ctx when it ends first.
func waitForService(ctx context.Context, store *config.Store, pool string) error {
	changed := store.Subscribe()
	for {
		if p, ok := store.Current().Pool(pool); ok && p.Kind == directory.PoolService {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}
