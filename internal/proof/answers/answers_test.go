// Package answers_test proves on real processes that a caller gets the whole
// answer to its own request, and that a truncated answer never looks whole.
package answers_test

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/damaskport/damaskport/internal/operator/settings"
	"github.com/damaskport/damaskport/internal/proof/cluster"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/standin/fault"
)

const (
	callers = 6
	tokens  = 60
	// faultAfterTokens is the length of the first answer at which the fault strikes.
	faultAfterTokens = 10
	progressTimeout  = 1 * clock.Second
	// trickle is the time between two bytes of a stalled answer.
	trickle = 200 * time.Millisecond
)

func TestMain(m *testing.M) { os.Exit(cluster.Main(m)) }

// failure strikes while answers are streamed from the first sidecar.
type failure struct {
	name string
	// arm prepares the failure before the requests begin, if set.
	arm    func(c *cluster.Cluster)
	inject func(c *cluster.Cluster, s *cluster.Sidecar)
	mend   func(s *cluster.Sidecar)
	// mayFail is set if the callers' own connections break.
	mayFail bool
	// once is set if nothing keeps what runs from its end: no attempt is made again.
	once bool
}

func nothing(*cluster.Sidecar) {}

var failures = []failure{
	{name: "none", inject: func(*cluster.Cluster, *cluster.Sidecar) {}, mend: nothing, once: true},
	{name: "killEngine", inject: func(_ *cluster.Cluster, s *cluster.Sidecar) { s.Server.Kill() }, mend: nothing},
	{name: "freezeEngine", inject: func(_ *cluster.Cluster, s *cluster.Sidecar) { s.Server.Freeze() }, mend: func(s *cluster.Sidecar) { s.Server.Thaw() }},
	{name: "cutEngine", inject: func(_ *cluster.Cluster, s *cluster.Sidecar) { s.ServerRelay.Cut() }, mend: nothing},
	// trickleEngine is a stream that brings a byte now and then.
	{name: "trickleEngine", inject: func(_ *cluster.Cluster, s *cluster.Sidecar) { s.ServerRelay.Trickle(trickle) }, mend: nothing},
	{name: "silentEngine", inject: func(_ *cluster.Cluster, s *cluster.Sidecar) { s.ServerRelay.Silence() }, mend: nothing},
	// halfEvent cuts one answer within an event.
	{name: "halfEvent", arm: func(c *cluster.Cluster) {
		for _, s := range c.Sidecars {
			c.SetFault(s.Server, fault.Fault{Path: "/v1/chat", Kind: fault.KindCutMidway, AfterTokens: faultAfterTokens, Count: 1})
		}
	}, inject: func(*cluster.Cluster, *cluster.Sidecar) {}, mend: nothing},
	{name: "crossedAnswers", arm: func(c *cluster.Cluster) {
		for _, s := range c.Sidecars {
			c.SetFault(s.Server, fault.Fault{Path: "/v1/chat", Kind: fault.KindCross, Count: 2})
		}
	}, inject: func(*cluster.Cluster, *cluster.Sidecar) {}, mend: nothing},
	{name: "killSidecar", inject: func(_ *cluster.Cluster, s *cluster.Sidecar) { s.Kill() }, mend: nothing},
	{name: "freezeSidecar", inject: func(_ *cluster.Cluster, s *cluster.Sidecar) { s.Freeze() }, mend: func(s *cluster.Sidecar) { s.Thaw() }},
	{name: "cutControl", inject: func(_ *cluster.Cluster, s *cluster.Sidecar) { s.ControlRelay.Cut() }, mend: nothing, once: true},
	{name: "silentControl", inject: func(_ *cluster.Cluster, s *cluster.Sidecar) { s.ControlRelay.Blackhole() }, mend: nothing, once: true},
	{name: "cutData", inject: func(_ *cluster.Cluster, s *cluster.Sidecar) { s.DataRelay.Cut() }, mend: func(s *cluster.Sidecar) { s.DataRelay.Restore() }},
	{name: "silentData", inject: func(_ *cluster.Cluster, s *cluster.Sidecar) { s.DataRelay.Silence() }, mend: nothing},
	{name: "dataOneWay", inject: func(_ *cluster.Cluster, s *cluster.Sidecar) { s.DataRelay.OneWay(cluster.FromTarget) }, mend: func(s *cluster.Sidecar) { s.DataRelay.Restore() }},
	{name: "logDown", inject: func(c *cluster.Cluster, _ *cluster.Sidecar) {
		c.SetFault(c.Platform, fault.Fault{Path: "/v1/", Kind: fault.KindFail, Status: http.StatusServiceUnavailable})
	}, mend: nothing, once: true},
	{name: "killEntry", inject: func(c *cluster.Cluster, _ *cluster.Sidecar) { c.Entries[0].Kill() }, mend: nothing, mayFail: true},
}

func start(t *testing.T) *cluster.Cluster {
	t.Helper()
	return cluster.Start(t, cluster.Options{
		Entries: 1, Engines: 2, RelayData: true,
		EngineArgs: []string{"--token-ms", "10", "--prefill-ms-per-ktoken", "0"},
		Edit: func(f *settings.File) {
			if f.Sidecar != nil {
				f.Sidecar.ProgressTimeoutMs = progressTimeout
			}
		},
	})
}

func TestAnswersAreWholeAndOwn(t *testing.T) {
	for _, f := range failures {
		for _, stream := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/stream=%v", f.name, stream), func(t *testing.T) {
				t.Parallel()
				runCase(t, f, stream)
			})
		}
	}
}

func runCase(t *testing.T, f failure, stream bool) {
	c := start(t)
	jobs := func() (n int) {
		for _, s := range c.Sidecars {
			n += len(c.EngineState(s).Jobs)
		}
		return n
	}
	first := jobs()
	if f.arm != nil {
		f.arm(c)
	}
	replies := make([]cluster.Reply, callers)
	reached := make(chan struct{})
	var once sync.Once
	var wg sync.WaitGroup
	for i := range callers {
		req := cluster.ChatRequest(nonce(i), tokens, stream)
		req.OnBytes = func(data []byte) {
			if stream && strings.Contains(string(data), fmt.Sprintf(" %s-%d", nonce(i), faultAfterTokens)) {
				once.Do(func() { close(reached) })
			}
		}
		wg.Go(func() { replies[i] = c.Call(c.Entries[0], req) })
	}
	if stream {
		<-reached
	}
	running := func(s *cluster.Sidecar) int { return c.EngineState(s).Load.Running }
	c.Until("all callers run", func() bool { return running(c.Sidecars[0])+running(c.Sidecars[1]) == callers })
	struck, other := c.Sidecars[0], c.Sidecars[1]
	if running(other) > running(struck) {
		struck, other = other, struck
	}
	begun := func() int {
		st := c.EngineState(other)
		return st.Load.Running + len(st.Jobs)
	}
	before := begun()
	f.inject(c, struck)
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	c.Until("a caller is retried or all are answered", func() bool {
		select {
		case <-done:
			return true
		default:
			return begun() > before
		}
	})
	f.mend(struck)
	<-done
	if struck.DataRelay.Carried() == 0 {
		t.Error("no request went through the relay of data connections")
	}
	for i, r := range replies {
		check(t, nonce(i), r, stream, f.mayFail)
	}
	if !f.once {
		return
	}
	if n := jobs() - first; n != callers {
		t.Errorf("%d attempts were made for %d requests", n, callers)
	}
}

func nonce(i int) string { return fmt.Sprintf("caller%d", i) }

// check verifies every byte of an answer.
func check(t *testing.T, nonce string, r cluster.Reply, stream, mayFail bool) {
	t.Helper()
	if r.Status != http.StatusOK {
		if !mayFail {
			t.Errorf("%s: %v, want an answer", nonce, r)
		}
		return
	}
	parse := cluster.ParseWhole
	if stream {
		parse = cluster.ParseStream
	}
	a, err := parse(r.Body)
	if err != nil && r.Err == nil {
		t.Errorf("%s: %v", nonce, err)
		return
	}
	want := cluster.WantText(nonce, tokens)
	if !strings.HasPrefix(want, a.Text) {
		t.Errorf("%s: text is no part of its own answer (-want +got):\n%s", nonce, cmp.Diff(want, a.Text))
	}
	if r.Err == nil && a.Whole() && (a.Text != want || a.Finish != "stop") {
		t.Errorf("%s: a truncated answer looks whole: finish %q, text %q", nonce, a.Finish, a.Text)
	}
	if stream && r.Err == nil && !a.Whole() && a.Error == "" {
		t.Errorf("%s: the stream ended without an end mark or an error", nonce)
	}
	if !mayFail && (r.Err != nil || !a.Whole()) {
		t.Errorf("%s: answer is not whole: error %q, %v", nonce, a.Error, r)
	}
}

// TestSlowEngineIsNotCut has a sound engine take longer for each token than most, and
// for the answer many times as long as it may be silent: the answer is whole, and no
// attempt is made again.
func TestSlowEngineIsNotCut(t *testing.T) {
	t.Parallel()
	const few = 5
	c := cluster.Start(t, cluster.Options{
		Entries: 1, Engines: 1,
		EngineArgs: []string{"--token-ms", "700", "--prefill-ms-per-ktoken", "0"},
		Edit: func(f *settings.File) {
			if f.Sidecar != nil {
				f.Sidecar.ProgressTimeoutMs = progressTimeout
			}
		},
	})
	before := len(c.EngineState(c.Sidecars[0]).Jobs)
	r := c.Call(c.Entries[0], cluster.ChatRequest("slow", few, true))
	a, err := cluster.ParseStream(r.Body)
	if err != nil || r.Err != nil || !a.Whole() || a.Text != cluster.WantText("slow", few) {
		t.Errorf("%v: %v, text %q", r, err, a.Text)
	}
	if n := len(c.EngineState(c.Sidecars[0]).Jobs) - before; n != 1 {
		t.Errorf("%d attempts were made", n)
	}
}

// TestTrickleOfAServiceEnds has a plain service's answer come a byte now and then: the
// request ends with the time of an answer, as one whose outcome is not known.
func TestTrickleOfAServiceEnds(t *testing.T) {
	t.Parallel()
	const answerTime, most = 2 * clock.Second, 5 * time.Second
	c := cluster.Start(t, cluster.Options{
		Entries: 1, Services: 1,
		Edit: func(f *settings.File) {
			if f.Sidecar != nil {
				f.Sidecar.AnswerTimeoutMs = answerTime
			}
		},
	})
	c.Sidecars[0].ServerRelay.Trickle(trickle)
	at := time.Now()
	r := c.Call(c.Entries[0], cluster.Request{Path: cluster.ServicePath + "/deposits", IdempotencyKey: "trickle", Body: `{"amount":25}`})
	if took := time.Since(at); took > most || r.Status == http.StatusOK && r.Err == nil {
		t.Errorf("%v after %v, want a failure within %v", r, took, most)
	}
}
