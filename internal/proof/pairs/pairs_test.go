// Package pairs_test lets random pairs of failures strike one small cluster of
// real processes under a mixed load, and checks what must always hold: a
// protected request runs at most once, answers are whole and their caller's
// own, keys stay with the entries and stop when withdrawn, and versions of
// the configuration only rise and reach every process.
package pairs_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/operator/admin"
	"github.com/damaskport/damaskport/internal/operator/settings"
	"github.com/damaskport/damaskport/internal/proof/cluster"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/standin/fault"
	"github.com/damaskport/damaskport/internal/state/directory"
)

const (
	seedVariable  = "PROOF_PAIR_SEED"
	pairsVariable = "PROOF_PAIRS"
	defaultSeed   = 1
	defaultPairs  = 3
	// maxGap is the longest time between the two failures of a pair, and
	// between the second one and the mending.
	maxGap = 700 * time.Millisecond
	// forceTime is the time within which a configuration is in force once all
	// is mended.
	forceTime       = 4 * time.Second
	progressTimeout = clock.Second
)

func TestMain(m *testing.M) { os.Exit(cluster.Main(m)) }

// failure strikes one process or connection, chosen by n.
type failure struct {
	name         string
	strike, mend func(w *world, n int)
}

func (w *world) sidecar(n int) *cluster.Sidecar { return w.Sidecars[n%len(w.Sidecars)] }
func (w *world) entryAt(n int) *cluster.Entry   { return w.Entries[n%len(w.Entries)] }

// engine returns a sidecar of a model engine; those come after the services'.
func (w *world) engine(n int) *cluster.Sidecar {
	half := len(w.Sidecars) / 2
	return w.Sidecars[half+n%half]
}

func onLog(kind fault.Kind) failure {
	return failure{"log:" + string(kind),
		func(w *world, n int) {
			w.SetFault(w.Platform, fault.Fault{Path: "/v1/", Kind: kind, DelayMs: clock.Millis(50 + n%500)})
		},
		func(w *world, _ int) { w.ClearFaults(w.Platform) }}
}

func nothing(*world, int) {}

var failures = []failure{
	{"killEntry", func(w *world, n int) { w.entryAt(n).Kill() }, func(w *world, n int) { w.RestartEntry(w.entryAt(n)) }},
	{"freezeEntry", func(w *world, n int) { w.entryAt(n).Freeze() }, func(w *world, n int) { w.entryAt(n).Thaw() }},
	{"killSidecar", func(w *world, n int) { w.sidecar(n).Kill() }, func(w *world, n int) { w.RestartSidecar(w.sidecar(n)) }},
	{"freezeSidecar", func(w *world, n int) { w.sidecar(n).Freeze() }, func(w *world, n int) { w.sidecar(n).Thaw() }},
	{"freezeServer", func(w *world, n int) { w.sidecar(n).Server.Freeze() }, func(w *world, n int) { w.sidecar(n).Server.Thaw() }},
	{"cutServer", func(w *world, n int) { w.sidecar(n).ServerRelay.Cut() }, func(w *world, n int) { w.sidecar(n).ServerRelay.Restore() }},
	{"silentEngine", func(w *world, n int) { w.engine(n).ServerRelay.Silence() }, nothing},
	{"cutControl", func(w *world, n int) { w.sidecar(n).ControlRelay.Cut() }, func(w *world, n int) { w.sidecar(n).ControlRelay.Restore() }},
	{"silentControl", func(w *world, n int) { w.sidecar(n).ControlRelay.Blackhole() }, func(w *world, n int) { w.sidecar(n).ControlRelay.Restore() }},
	{"cutEntryFromPlatform", func(w *world, n int) { w.entryAt(n).PlatformRelay.Cut() }, func(w *world, n int) { w.entryAt(n).PlatformRelay.Restore() }},
	{"silentEntryToPlatform", func(w *world, n int) { w.entryAt(n).PlatformRelay.Blackhole() }, func(w *world, n int) { w.entryAt(n).PlatformRelay.Restore() }},
	{"cutSidecarFromPlatform", func(w *world, n int) { w.sidecar(n).PlatformRelay.Cut() }, func(w *world, n int) { w.sidecar(n).PlatformRelay.Restore() }},
	{"silentSidecarToPlatform", func(w *world, n int) { w.sidecar(n).PlatformRelay.Blackhole() }, func(w *world, n int) { w.sidecar(n).PlatformRelay.Restore() }},
	onLog(fault.KindFail), onLog(fault.KindDelay), onLog(fault.KindLoseAnswer), onLog(fault.KindFreeze), onLog(fault.KindLateAnswer),
}

func fromEnvironment(name string, otherwise uint64) uint64 {
	n, err := strconv.ParseUint(os.Getenv(name), 10, 64)
	if err != nil {
		return otherwise
	}
	return n
}

// TestPairs strikes PROOF_PAIRS pairs of failures from the seed PROOF_PAIR_SEED.
func TestPairs(t *testing.T) {
	seed := fromEnvironment(seedVariable, defaultSeed)
	pairs := int(fromEnvironment(pairsVariable, defaultPairs))
	t.Logf("%s=%d %s=%d", seedVariable, seed, pairsVariable, pairs)
	w := &world{t: t, replies: map[string][]cluster.Reply{}}
	w.Cluster = cluster.Start(t, cluster.Options{
		Entries: 2, Services: 2, Engines: 2,
		EngineArgs: []string{"--token-ms", "5", "--prefill-ms-per-ktoken", "0"},
		Edit: func(f *settings.File) {
			if f.Sidecar != nil {
				f.Sidecar.ProgressTimeoutMs = progressTimeout
			}
		},
	})
	w.load(seed)
	for _, e := range w.Entries {
		w.watch(e)
	}
	for i := 0; i < pairs && !t.Failed(); i++ {
		w.pair(rand.New(rand.NewPCG(seed, uint64(i))), i)
	}
	w.stop.Store(true)
	w.wg.Wait()
	w.checkDeposits()
	w.checkSeen()
	t.Logf("chats %d (%d whole), deposits %d (%d confirmed), calls with withdrawn keys %d (%d refused by name)",
		w.chats.Load(), w.whole.Load(), w.deposits.Load(), w.confirmed.Load(), w.probes.Load(), w.refused.Load())
}

// pair lets two failures strike, withdraws a key between them, and waits
// until all is well again.
func (w *world) pair(rnd *rand.Rand, i int) {
	a, b := failures[rnd.IntN(len(failures))], failures[rnd.IntN(len(failures))]
	n, m := rnd.IntN(1<<16), rnd.IntN(1<<16)
	gap := func() { time.Sleep(time.Duration(rnd.Int64N(int64(maxGap)))) }
	at := time.Now()
	id := fmt.Sprintf("p%d", i)
	key := directory.KeyPrefix + id + "_secret" + id
	issue := w.newChange(directory.Op{IssueKey: &directory.Key{ID: id, Account: cluster.OtherAccount, Digest: directory.DigestSecret("secret" + id)}})
	issued := w.insist(issue)
	a.strike(w, n)
	gap()
	withdraw := directory.Change{ID: "withdraw-" + id, Author: "test", BasedOn: issued, Ops: []directory.Op{{WithdrawKey: id}}}
	told := make(chan time.Time, 1)
	go func() {
		_, ok := w.send(w.entryAt(i), withdraw)
		if ok {
			told <- time.Now()
		}
		close(told)
	}()
	b.strike(w, m)
	gap()
	if rnd.IntN(2) == 0 {
		a.mend(w, n)
		b.mend(w, m)
	} else {
		b.mend(w, m)
		a.mend(w, n)
	}
	w.t.Logf("%d: %s(%d) + %s(%d)", i, a.name, n%4, b.name, m%4)
	accepted, ok := <-told
	version := w.insist(withdraw)
	if !ok {
		accepted = time.Now()
	}
	w.mu.Lock()
	w.withdrawn = append(w.withdrawn, withdrawn{key, accepted})
	w.mu.Unlock()
	w.recover(version)
	w.t.Logf("%d: well after %v", i, time.Since(at).Round(time.Millisecond))
}

func (w *world) newChange(ops ...directory.Op) directory.Change {
	var version int64
	w.Until("an entry tells its version", func() bool {
		s, err := w.Entries[0].Operator().Status(context.Background())
		version = s.Config.Number
		return err == nil && s.Ready
	})
	return w.NewChange(version, ops...)
}

// send applies a change and returns its version if it was accepted. It fails
// the test if the change was refused for good.
func (w *world) send(e *cluster.Entry, c directory.Change) (int64, bool) {
	r, err := e.Operator().Change(context.Background(), c)
	var refused *admin.Error
	if errors.As(err, &refused) && refused.Status == http.StatusConflict {
		w.t.Errorf("%s: change %s was refused: %v", e.Name, c.ID, err)
	}
	return r.Offset, err == nil && r.Accepted
}

// insist sends a change at one entry after the other until it is accepted.
func (w *world) insist(c directory.Change) (version int64) {
	n := 0
	w.Until(c.ID+" is accepted", func() bool {
		n++
		var ok bool
		version, ok = w.send(w.entryAt(n), c)
		return ok || w.t.Failed()
	})
	return version
}

// recover waits until every process has the version and every entry serves
// both kinds of requests.
func (w *world) recover(version int64) {
	at := time.Now()
	for _, e := range w.Entries {
		behind := "nothing"
		for behind != "" && time.Since(at) < 3*forceTime {
			time.Sleep(thinkTime)
			behind = w.behind(e, version)
		}
		if behind != "" {
			w.t.Errorf("not recovered at version %d after %v: %s", version, time.Since(at), behind)
			return
		}
	}
	if took := time.Since(at); took > forceTime {
		w.t.Errorf("version %d was in force everywhere %v after all was mended, want at most %v", version, took, forceTime)
	}
	for _, e := range w.Entries {
		w.Until(e.Name+" serves", func() bool {
			return w.Call(e, cluster.ChatRequest("ready", 1, false)).Status == http.StatusOK &&
				w.Call(e, cluster.Request{Method: http.MethodGet, Path: cluster.ServicePath + "/ready"}).Status == http.StatusOK
		})
	}
}

// behind says what keeps e from the version or from its sidecars, or "".
func (w *world) behind(e *cluster.Entry, version int64) string {
	s, err := e.Operator().Status(context.Background())
	if err != nil {
		return err.Error()
	}
	if !s.Ready || s.Config.Number < version || len(s.Instances) < 1+len(w.Sidecars) {
		return fmt.Sprintf("%+v", s)
	}
	for _, in := range s.Instances {
		if in.State != "live" || in.Version < version {
			return fmt.Sprintf("%s sees %+v", e.Name, in)
		}
	}
	return ""
}
