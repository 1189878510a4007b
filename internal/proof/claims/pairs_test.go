package claims_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/damaskport/damaskport/internal/proof/cluster"
)

const (
	defaultPairSeed  = 1
	defaultPairCases = 12
	pairSeedVariable = "PROOF_PAIR_SEED"
	pairsVariable    = "PROOF_PAIRS"
	maxSecondDelay   = 600 * time.Millisecond
	maxPairTime      = 1200 * time.Millisecond
)

// TestPairsOfFailures lets two random failures strike one after the other at a
// random step, while the request is also sent to the other entry.
func TestPairsOfFailures(t *testing.T) {
	seed := fromEnvironment(pairSeedVariable, defaultPairSeed)
	cases := int(fromEnvironment(pairsVariable, defaultPairCases))
	t.Logf("%s=%d %s=%d", pairSeedVariable, seed, pairsVariable, cases)
	for i := range cases {
		rnd := rand.New(rand.NewPCG(seed, uint64(i)))
		s := steps[rnd.IntN(len(steps))]
		a, b := failures[rnd.IntN(len(failures))], failures[rnd.IntN(len(failures))]
		t.Run(fmt.Sprintf("%d.%d/%s/%s+%s", seed, i, s.name, a.name, b.name), func(t *testing.T) {
			t.Parallel()
			runPair(t, rnd, s, a, b)
		})
	}
}

func runPair(t *testing.T, rnd *rand.Rand, s step, a, b failure) {
	w := newWorld(t)
	ctx, leave := context.WithCancel(t.Context())
	w.leave = leave
	defer leave()
	s.arm(w)
	var first, second cluster.Reply
	var wg sync.WaitGroup
	wg.Go(func() { first = w.deposit(ctx, w.entry, "K", "K.1") })
	w.Until("step "+s.name, func() bool { return s.reached(w) })
	a.inject(w)
	wg.Go(func() { second = w.deposit(t.Context(), w.other, "K", "K.2") })
	time.Sleep(time.Duration(rnd.Int64N(int64(maxSecondDelay))))
	b.inject(w)
	time.Sleep(time.Duration(rnd.Int64N(int64(maxPairTime))))
	mends := []func(*world){s.release, a.mend, b.mend}
	rnd.Shuffle(len(mends), func(i, j int) { mends[i], mends[j] = mends[j], mends[i] })
	for _, mend := range mends {
		mend(w)
	}
	wg.Wait()
	third := w.settled(t, "K", "K.3")
	time.Sleep(watchTime)
	check(t, executionsOf(w.protected(), "K"), []cluster.Reply{first, second, third})
}
