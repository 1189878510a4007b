package claims_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/damaskport/damaskport/internal/proof/cluster"
)

// replacedSteps are those at which a sidecar waits and can be frozen.
var replacedSteps = []string{"beforeClaim", "claimed", "handedOver", "executed"}

// TestFrozenSidecarWithItsReplacement freezes the sidecar of a service while a
// protected request is on its way through it. The platform lists another one
// beside the same service, which takes new requests; then the first one wakes.
func TestFrozenSidecarWithItsReplacement(t *testing.T) {
	const others = 6
	for _, s := range steps {
		if !slices.Contains(replacedSteps, s.name) {
			continue
		}
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			c := cluster.Start(t, cluster.Options{Entries: 2, Services: 1})
			w := &world{Cluster: c, entry: c.Entries[0], other: c.Entries[1], sidecar: c.Sidecars[0], leave: func() {}}
			s.arm(w)
			var first cluster.Reply
			var wg sync.WaitGroup
			wg.Go(func() { first = w.deposit(t.Context(), w.entry, "K", "K.1") })
			w.Until("step "+s.name, func() bool { return s.reached(w) })
			w.sidecar.Freeze()
			r := c.Replace(w.sidecar, "s9")
			for _, e := range c.Entries {
				c.WaitConnected(e, r)
			}
			if s.name == "claimed" {
				// The replacement reads the log as it is.
				s.release(w)
			}
			var second cluster.Reply
			wg.Go(func() { second = w.deposit(t.Context(), w.other, "K", "K.2") })
			replies := make([]cluster.Reply, others)
			for i := range others {
				replies[i] = w.deposit(t.Context(), c.Entries[i%2], fmt.Sprint("N", i), fmt.Sprintf("N%d.1", i))
			}
			s.release(w)
			w.sidecar.Thaw()
			wg.Wait()
			third := w.settled(t, "K", "K.3")
			time.Sleep(watchTime)
			check(t, executionsOf(w.protected(), "K"), []cluster.Reply{first, second, third})
			served := 0
			for i, rep := range replies {
				key := fmt.Sprint("N", i)
				checkKey(t, key, executionsOf(w.protected(), key), []cluster.Reply{rep})
				if rep.Status == http.StatusOK && rep.Err == nil {
					served++
				}
			}
			if served == 0 {
				t.Errorf("the replacement served none of %d requests: %v", others, replies[0])
			}
		})
	}
}
