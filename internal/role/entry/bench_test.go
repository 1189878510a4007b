package entry_test

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/damaskport/damaskport/internal/operator/settings"
	"github.com/damaskport/damaskport/internal/peer/config"
	"github.com/damaskport/damaskport/internal/platform/membership"
	"github.com/damaskport/damaskport/internal/role/entry"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/logging"
)

// measureDuration is the duration over which CPU time is measured.
const measureDuration = 3 * time.Second

// staticLister is an InstanceLister that always returns the same list.
type staticLister struct{ list membership.List }

// List returns the list.
func (f staticLister) List(context.Context) (membership.List, error) { return f.list, nil }

// cpuTime returns the user and system CPU time of this process so far.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// fleetList returns a list of 360 entries and n backend servers in 16 pools and 7
// zones. All servers have the given address.
func fleetList(n int, address string) membership.List {
	var l membership.List
	for i := range 360 {
		l.Instances = append(l.Instances, membership.Instance{
			Name: fmt.Sprint("e", i), Role: membership.RoleEntry, Zone: fmt.Sprint("z", i%7), State: membership.StateLive,
		})
	}
	for i := range n {
		l.Instances = append(l.Instances, membership.Instance{
			Name: fmt.Sprint("m", i), Role: membership.RoleBackend, Pool: fmt.Sprint("p", i%16), Zone: fmt.Sprint("z", i%7),
			Address: address, State: membership.StateLive,
		})
	}
	return l
}

// BenchmarkList measures the CPU usage, in percent of one core, of an idle entry
// that periodically reads an unchanging list of 460 to 4600 backend servers.
// Reading the list costs nothing here, and the one server of each pool to which the
// entry connects never answers.
func BenchmarkList(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	for _, n := range []int{460, 1150, 4600} {
		b.Run(fmt.Sprint("servers=", n), func(b *testing.B) {
			f := settings.Defaults(settings.RoleEntry)
			f.Name, f.Zone = "e0", "z0"
			f.Entry.CallerAddr, f.Entry.AdminAddr, f.Entry.PeersPerPool = "127.0.0.1:0", "127.0.0.1:0", 1
			e, err := entry.New(f, entry.Deps{
				Log: logging.Discard(), Clock: clock.System{}, Store: config.New(0),
				Instances: staticLister{fleetList(n, ln.Addr().String())}, Incarnation: "x",
			})
			if err != nil {
				b.Fatal(err)
			}
			ctx, cancel := context.WithCancel(b.Context())
			done := make(chan error, 1)
			go func() { done <- e.Run(ctx) }()
			time.Sleep(clock.Second.Duration())
			before, at := cpuTime(b), time.Now()
			time.Sleep(measureDuration)
			b.ReportMetric(100*float64(cpuTime(b)-before)/float64(time.Since(at)), "%core")
			cancel()
			if err := <-done; err != nil {
				b.Error(err)
			}
		})
	}
}
