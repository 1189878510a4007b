// Package regions_test proves on real processes what docs/CAPACITY.md says of two
// regions that lose each other: the platform's log is in one of them.
//
//	go test ./internal/proof/regions -apart 1h -timeout 80m
package regions_test

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/damaskport/damaskport/internal/operator/settings"
	"github.com/damaskport/damaskport/internal/proof/cluster"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/standin/platform"
	"github.com/damaskport/damaskport/internal/standin/service"
	"github.com/damaskport/damaskport/internal/state/directory"
)

const (
	leaseMs  = 1 * clock.Second
	windowMs = 2 * clock.Second
	tokens   = 7
	path     = cluster.ServicePath + "/deposits"
	pool     = "assistant"
	// rounds is about how often each region is called while they are apart.
	rounds = 2000
	// shortPause is the least pause between two calls of each region.
	shortPause = 50 * time.Millisecond
	// stopTime is the time after which a withdrawn key must not work in the
	// region of the log, and in the other one once they meet again.
	stopTime = 3 * time.Second
	// apartTimeout bounds the operator's calls of the region without the log.
	apartTimeout = 5 * time.Second
	// meetTime is the time to find the log again, longest pauses included.
	meetTime = 10 * time.Second
)

// apartFor is how long the regions are apart: by default several leases and usage
// windows.
var apartFor = flag.Duration("apart", 6*time.Second, "time without the log")

func TestMain(m *testing.M) { os.Exit(cluster.Main(m)) }

// regions are an entry, a service and an engine in each of two regions. Without
// the log nothing joins them.
type regions struct {
	*cluster.Cluster
	t           *testing.T
	near, far   *cluster.Entry // near is in the region of the log
	farRelays   []*cluster.Relay
	sent, whole int
	keyCalls    int
	// refused are the nonces of requests that ended with their withdrawn key.
	refused map[string]bool
}

func start(t *testing.T) *regions {
	t.Helper()
	c := cluster.Start(t, cluster.Options{
		Entries: 2, Services: 2, Engines: 2, PlatformArgs: []string{"--price", "a:" + pool + ":2.5", "--start-up-ms", "100"},
		EngineArgs: []string{"--token-ms", "5", "--prefill-ms-per-ktoken", "0"},
		Instances: func(entry string, all []platform.Instance) []platform.Instance {
			var own []platform.Instance
			for _, in := range all {
				if in.Name[1:] == entry[1:] {
					own = append(own, in)
				}
			}
			return own
		},
		Edit: func(f *settings.File) {
			f.Platform.UsageWindowMs = windowMs
			if f.Entry != nil {
				f.Entry.LeaseMs = leaseMs
			}
		},
	})
	r := &regions{Cluster: c, t: t, refused: map[string]bool{}, near: c.Entries[0], far: c.Entries[1]}
	r.farRelays = []*cluster.Relay{r.far.PlatformRelay}
	for _, s := range c.Sidecars {
		if strings.HasSuffix(s.Name, "2") {
			r.farRelays = append(r.farRelays, s.PlatformRelay)
		}
	}
	return r
}

// chat streams an answer at e and checks that it is whole.
func (r *regions) chat(e *cluster.Entry) {
	r.t.Helper()
	r.sent++
	nonce := fmt.Sprint("chat", r.sent)
	res := r.Call(e, cluster.ChatRequest(nonce, tokens, true))
	a, err := cluster.ParseStream(res.Body)
	if err != nil || !a.Whole() || a.Text != cluster.WantText(nonce, tokens) {
		r.t.Errorf("%s: %v, %v", e.Name, err, res)
		return
	}
	r.whole++
}

func (r *regions) deposit(e *cluster.Entry, key string) cluster.Reply {
	return r.Call(e, cluster.Request{Path: path, IdempotencyKey: key, Body: `{"text":"nonce:` + key + `"}`})
}

func (r *regions) withKey(e *cluster.Entry, key string) cluster.Reply {
	r.keyCalls++
	nonce := fmt.Sprint("key", r.keyCalls)
	req := cluster.ChatRequest(nonce, 1, false)
	req.Key = key
	res := r.Call(e, req)
	if res.Code == "invalidKey" {
		r.refused[nonce] = true
	}
	return res
}

// runs returns the executions of a protected request.
func (r *regions) runs(key string) []service.Execution {
	var out []service.Execution
	for _, e := range r.Executions() {
		if e.Method == http.MethodPost && e.IdempotencyKey == key {
			out = append(out, e)
		}
	}
	return out
}

func TestRegionsApart(t *testing.T) {
	for name, cut := range map[string]func(*cluster.Relay){"cut": (*cluster.Relay).Cut, "silent": (*cluster.Relay).Blackhole} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := start(t)
			for _, e := range r.Entries {
				r.chat(e)
			}
			if res := r.deposit(r.far, "before"); res.Status != http.StatusOK {
				t.Fatalf("before the cut: %v", res)
			}
			for _, relay := range r.farRelays {
				cut(relay)
			}
			r.apart()
			for _, relay := range r.farRelays {
				relay.Restore()
			}
			r.together()
		})
	}
}

// apart checks what each region does alone.
func (r *regions) apart() {
	t, began := r.t, time.Now()
	if res, err := r.Change(r.near, directory.Op{WithdrawKey: "k2"}); err != nil || !res.Accepted {
		t.Fatalf("withdraw in the region of the log: %+v, %v", res, err)
	}
	if _, err := r.Change(r.near, directory.Op{SetPool: &directory.Pool{
		Name: pool, Kind: directory.PoolModel, Model: cluster.Model, Slots: 8, MinServers: 3, MaxServers: 3,
	}}); err != nil {
		t.Fatalf("more servers: %v", err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), min(*apartFor/4, apartTimeout))
	defer cancel()
	if snap, err := r.far.Operator().Config(ctx); err != nil {
		t.Errorf("the configuration of the region without the log: %v", err)
	} else if res, err := r.far.Operator().Change(ctx, r.NewChange(snap.Version, directory.Op{WithdrawKey: "k1"})); err == nil && res.Accepted {
		t.Errorf("a change was accepted without the log: %+v", res)
	}
	if res := r.deposit(r.near, "nearApart"); res.Status != http.StatusOK {
		t.Errorf("a protected request in the region of the log: %v", res)
	}
	if res := r.deposit(r.far, "farApart"); !res.NotRun || res.Status != http.StatusServiceUnavailable {
		t.Errorf("a protected request without the log: %v, want a refusal as not run", res)
	}
	for time.Since(began) < *apartFor {
		for _, e := range r.Entries {
			r.chat(e)
			if res := r.Call(e, cluster.Request{Method: http.MethodGet, Path: cluster.ServicePath + "/state"}); res.Status != http.StatusOK {
				t.Errorf("%s: a request that may be repeated: %v", e.Name, res)
			}
		}
		if res := r.withKey(r.near, cluster.OtherKey); time.Since(began) > stopTime && res.Code != "invalidKey" {
			t.Errorf("the withdrawn key works in the region of the log: %v", res)
		}
		time.Sleep(max(shortPause, *apartFor/rounds))
	}
	if n := len(r.runs("farApart")); n > 0 {
		t.Errorf("a request that was said not to have run ran %d times", n)
	}
}

// together checks what holds once the regions have met again.
func (r *regions) together() {
	t := r.t
	r.Within(meetTime, "the withdrawn key stops in both regions", func() bool {
		return r.withKey(r.far, cluster.OtherKey).Code == "invalidKey" && r.withKey(r.near, cluster.OtherKey).Code == "invalidKey"
	})
	r.Within(meetTime, "a protected request runs in the region that was apart", func() bool {
		return r.deposit(r.far, "farApart").Status == http.StatusOK || len(r.runs("farApart")) > 0
	})
	for _, key := range []string{"before", "nearApart", "farApart"} {
		_ = r.deposit(r.near, key)
		_ = r.deposit(r.far, key)
		if n := len(r.runs(key)); n != 1 {
			t.Errorf("protected request %s ran %d times", key, n)
		}
	}
	for _, e := range r.Entries {
		r.chat(e)
	}
	if r.whole != r.sent {
		t.Errorf("%d of %d answers were whole", r.whole, r.sent)
	}
	r.Until("all tokens are reported", func() bool { return reported(r.State()) >= r.charged() })
	time.Sleep(2 * leaseMs.Duration())
	st := r.State()
	if diff := cmp.Diff(r.charged(), reported(st)); diff != "" {
		t.Errorf("tokens reported: %s", diff)
	}
	started := 0
	for _, o := range st.Orders {
		if o.Action == platform.ActionStart && o.Result == platform.ResultDone {
			started++
		}
	}
	if started != 1 {
		t.Errorf("%d servers were started, want 1: %+v", started, st.Orders)
	}
}

// charged sums what the engines read and generated for answers that were not
// refused: one whose key was withdrawn while its engine was at work is not charged.
func (r *regions) charged() int64 {
	var n int64
	for _, s := range r.Sidecars {
		if s.Pool != pool {
			continue
		}
		for _, j := range r.EngineState(s).Jobs {
			if !r.refused[j.Nonce] {
				n += int64(j.Generated + j.PromptTokens)
			}
		}
	}
	return n
}

// reported sums the first report of each account and window, corrections
// included.
func reported(st platform.State) int64 {
	var n int64
	seen := map[string]bool{}
	for _, u := range st.Usage {
		key := fmt.Sprint(u.Account, "/", u.WindowStartMs)
		if !seen[key] {
			seen[key] = true
			n += u.PromptTokens + u.OutputTokens + u.CorrectionTokens
		}
	}
	return n
}
