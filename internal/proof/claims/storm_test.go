package claims_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/damaskport/damaskport/internal/proof/cluster"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/standin/fault"
)

const (
	defaultStormSeed = 1
	stormKeys        = 60
	callsPerKey      = 3
	// keysAtOnce is the number of requests whose calls are in flight together.
	keysAtOnce     = 6
	maxStormDelay  = 400
	stormFaultsMin = 20 * time.Millisecond
	seedVariable   = "PROOF_SEED"
	keysVariable   = "PROOF_KEYS"
)

func fromEnvironment(name string, otherwise uint64) uint64 {
	n, err := strconv.ParseUint(os.Getenv(name), 10, 64)
	if err != nil {
		return otherwise
	}
	return n
}

// TestSimultaneousRetries sends every request several times at the same
// moment, at both entries, while the log and the services fail at random.
func TestSimultaneousRetries(t *testing.T) {
	seed := fromEnvironment(seedVariable, defaultStormSeed)
	keys := int(fromEnvironment(keysVariable, stormKeys))
	t.Logf("%s=%d %s=%d", seedVariable, seed, keysVariable, keys)
	c := cluster.Start(t, cluster.Options{Entries: 2, Services: 2, Slots: 32})
	w := &world{Cluster: c, entry: c.Entries[0], other: c.Entries[1], sidecar: c.Sidecars[0]}
	stop := make(chan struct{})
	var faults sync.WaitGroup
	faults.Go(func() { w.misbehave(rand.New(rand.NewPCG(seed, 0)), stop) })
	replies := make([][]cluster.Reply, keys)
	limit := make(chan struct{}, keysAtOnce)
	var wg sync.WaitGroup
	for k := range keys {
		limit <- struct{}{}
		replies[k] = make([]cluster.Reply, callsPerKey)
		wg.Go(func() {
			defer func() { <-limit }()
			w.storm(t, k, replies[k])
		})
	}
	wg.Wait()
	close(stop)
	faults.Wait()
	w.ClearFaults(w.Platform)
	for _, s := range w.Sidecars {
		w.ClearFaults(s.Server)
	}
	for k, key := range stormKeyNames(keys) {
		replies[k] = append(replies[k], w.settled(t, key, fmt.Sprintf("%s.%d", key, callsPerKey+1)))
	}
	time.Sleep(watchTime)
	all := w.protected()
	for k, key := range stormKeyNames(keys) {
		checkKey(t, key, executionsOf(all, key), replies[k])
	}
}

func stormKeyNames(n int) []string {
	names := make([]string, n)
	for k := range names {
		names[k] = stormKey(k)
	}
	return names
}

func stormKey(k int) string { return fmt.Sprintf("key%d", k) }

// storm sends all calls of one request together.
func (w *world) storm(t *testing.T, k int, replies []cluster.Reply) {
	var wg sync.WaitGroup
	for i := range replies {
		wg.Go(func() {
			e := w.Entries[i%len(w.Entries)]
			replies[i] = w.deposit(t.Context(), e, stormKey(k), fmt.Sprintf("%s.%d", stormKey(k), i+1))
		})
	}
	wg.Wait()
}

// misbehave sets one fault after the other until stop is closed.
func (w *world) misbehave(rnd *rand.Rand, stop <-chan struct{}) {
	kinds := []fault.Kind{fault.KindFail, fault.KindDelay, fault.KindLoseAnswer, fault.KindFreeze, fault.KindLateAnswer}
	for {
		f := fault.Fault{
			Path: claimsPath, Method: http.MethodPost, Kind: kinds[rnd.IntN(len(kinds))], Status: http.StatusServiceUnavailable,
			Count: 1 + rnd.IntN(3), DelayMs: clock.Millis(1 + rnd.IntN(maxStormDelay)),
		}
		target := w.Platform
		if rnd.IntN(3) == 0 {
			f.Path = path
			target = w.Sidecars[rnd.IntN(len(w.Sidecars))].Server
		}
		w.SetFault(target, f)
		select {
		case <-stop:
			return
		case <-time.After(stormFaultsMin + time.Duration(rnd.IntN(100))*time.Millisecond):
		}
	}
}
