// Package drain_test proves on real processes that a planned stop cuts no
// request in flight and that a leaving server gets no new work.
package drain_test

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/damaskport/damaskport/internal/proof/cluster"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/standin/platform"
)

const (
	callers = 8
	tokens  = 40
	// leaveTime is the time after which a leaving server gets no new work.
	leaveTime = 3 * clock.Second
	// watchTime is how long new work that should not come is watched for.
	watchTime = 2 * time.Second
)

func TestMain(m *testing.M) { os.Exit(cluster.Main(m)) }

// load sends requests to entries until it is stopped.
type load struct {
	t     *testing.T
	c     *cluster.Cluster
	stop  atomic.Bool
	calls atomic.Int64
	wg    sync.WaitGroup
}

// startLoad runs callers at e, each with one chat or protected request at a time.
func startLoad(t *testing.T, c *cluster.Cluster, e *cluster.Entry) *load {
	l := &load{t: t, c: c}
	for i := range callers {
		l.wg.Go(func() {
			for n := 0; !l.stop.Load(); n++ {
				l.call(e, fmt.Sprintf("%s.%d.%d", e.Name, i, n), i%4)
			}
		})
	}
	return l
}

func (l *load) call(e *cluster.Entry, nonce string, kind int) {
	l.calls.Add(1)
	if kind == 3 {
		r := l.c.Call(e, cluster.Request{Path: cluster.ServicePath + "/slots", Body: "nonce:" + nonce + " workMs:200"})
		if r.Err != nil || r.Status != http.StatusOK || !strings.Contains(string(r.Body), nonce) {
			l.fail("%s: %v", nonce, r)
		}
		return
	}
	r := l.c.Call(e, cluster.ChatRequest(nonce, tokens, kind != 0))
	parse := cluster.ParseStream
	if kind == 0 {
		parse = cluster.ParseWhole
	}
	a, err := parse(r.Body)
	if r.Err != nil || err != nil || r.Status != http.StatusOK || !a.Whole() || a.Text != cluster.WantText(nonce, tokens) {
		l.fail("%s: cut or wrong: %v, %v", nonce, err, r)
	}
}

// fail reports a request that failed and stops the load.
func (l *load) fail(format string, args ...any) {
	l.t.Errorf(format, args...)
	l.stop.Store(true)
}

// warm waits until every caller is at least at its second request.
func (l *load) warm() {
	l.c.Until("load", func() bool { return l.calls.Load() >= 2*callers })
}

func (l *load) end() {
	l.stop.Store(true)
	l.wg.Wait()
}

func start(t *testing.T, instances func(string, []platform.Instance) []platform.Instance) *cluster.Cluster {
	t.Helper()
	return cluster.Start(t, cluster.Options{
		Entries: 2, Engines: 2, Services: 2, Instances: instances,
		EngineArgs: []string{"--token-ms", "10", "--prefill-ms-per-ktoken", "0"},
	})
}

func TestStoppedSidecarsCutNothing(t *testing.T) {
	t.Parallel()
	c := start(t, nil)
	a, b := startLoad(t, c, c.Entries[0]), startLoad(t, c, c.Entries[1])
	a.warm()
	b.warm()
	for _, i := range []int{0, 2} { // the first service and the first engine
		s := c.Sidecars[i]
		s.Signal(syscall.SIGTERM)
		if code := s.WaitExit(); code != 0 {
			t.Errorf("%s ended with code %d", s.Name, code)
		}
	}
	n := a.calls.Load() + b.calls.Load()
	c.Until("load goes on", func() bool { return a.calls.Load()+b.calls.Load() > n+2*callers })
	a.end()
	b.end()
}

func TestStoppedEntryCutsNothing(t *testing.T) {
	t.Parallel()
	c := start(t, nil)
	l := startLoad(t, c, c.Entries[0])
	l.warm()
	l.stop.Store(true)
	c.Entries[0].Signal(syscall.SIGTERM)
	l.wg.Wait()
	if code := c.Entries[0].WaitExit(); code != 0 {
		t.Errorf("the entry ended with code %d", code)
	}
}

func TestLeavingServersGetNoNewWork(t *testing.T) {
	for _, deaf := range []bool{false, true} {
		t.Run(fmt.Sprintf("oneEntryDoesNotHear=%v", deaf), func(t *testing.T) {
			t.Parallel()
			leaving(t, deaf)
		})
	}
}

func leaving(t *testing.T, deaf bool) {
	c := start(t, func(entry string, all []platform.Instance) []platform.Instance {
		if !deaf || entry != "e1" {
			return all
		}
		for i := range all {
			all[i].State = platform.StateLive
		}
		return all
	})
	a, b := startLoad(t, c, c.Entries[0]), startLoad(t, c, c.Entries[1])
	a.warm()
	b.warm()
	srv, eng := c.Sidecars[0], c.Sidecars[2]
	at := clock.System{}.Wall()
	c.List(srv, platform.StateLeaving)
	c.List(eng, platform.StateLeaving)
	time.Sleep(leaveTime.Duration() + watchTime)
	a.end()
	b.end()
	jobs, late := 0, 0
	for _, j := range c.EngineState(eng).Jobs {
		jobs++
		if j.StartedMs > at+leaveTime {
			late++
		}
	}
	for _, e := range c.Executions() {
		if strings.HasPrefix(e.Path, cluster.ServicePath) && e.Server == srv.Name {
			jobs++
			if e.AtMs > at+leaveTime {
				late++
			}
		}
	}
	if jobs == 0 || late > 0 {
		t.Errorf("%d of %d requests began at leaving servers more than %d ms after they left", late, jobs, leaveTime)
	}
}
