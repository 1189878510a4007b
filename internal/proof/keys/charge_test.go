package keys_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/damaskport/damaskport/internal/operator/settings"
	"github.com/damaskport/damaskport/internal/proof/cluster"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/directory"
)

const (
	chargeWindowMs = 1 * clock.Second
	// refusedCalls run when their key is withdrawn, refusedTokens long.
	refusedCalls  = 6
	refusedTokens = 200
	paidTokens    = 9
)

// TestRefusedAnswersAreNotCharged withdraws a key while its engine is at work on
// answers that their callers take whole: they get nothing, and pay nothing.
func TestRefusedAnswersAreNotCharged(t *testing.T) {
	c := cluster.Start(t, cluster.Options{
		Entries: 1, Engines: 1, EngineArgs: []string{"--token-ms", "10", "--prefill-ms-per-ktoken", "0"},
		Edit: func(f *settings.File) { f.Platform.UsageWindowMs = chargeWindowMs },
	})
	e := c.Entries[0]
	replies := make([]cluster.Reply, refusedCalls)
	var wg sync.WaitGroup
	for i := range replies {
		wg.Go(func() {
			req := cluster.ChatRequest(fmt.Sprint("refused", i), refusedTokens, false)
			req.Key = cluster.OtherKey
			replies[i] = c.Call(e, req)
		})
	}
	time.Sleep(refusedTokens / 4 * 10 * time.Millisecond)
	if res, err := c.Change(e, directory.Op{WithdrawKey: "k2"}); err != nil || !res.Accepted {
		t.Fatalf("withdraw: %+v, %v", res, err)
	}
	wg.Wait()
	for i, r := range replies {
		if r.Code != "invalidKey" {
			t.Errorf("answer %d, whose key was withdrawn: %v", i, r)
		}
	}
	if r := c.Call(e, cluster.ChatRequest("paid", paidTokens, false)); r.Status != http.StatusOK {
		t.Fatalf("an answer with another key: %v", r)
	}
	var paid, reported int64
	worked := 0
	for _, j := range c.EngineState(c.Sidecars[0]).Jobs {
		t.Logf("nonce %s: %d tokens generated, ended as %s", j.Nonce, j.Generated, j.End)
		switch {
		case !strings.HasPrefix(j.Nonce, "refused"):
			paid += int64(j.Generated + j.PromptTokens)
		case j.Generated > 0:
			worked++
		}
	}
	if worked == 0 {
		t.Error("the engine worked on none of the answers that were refused")
	}
	report := func() {
		reported = 0
		for _, u := range c.State().Usage {
			reported += u.PromptTokens + u.OutputTokens + u.CorrectionTokens
		}
	}
	c.Until("the usage is reported", func() bool {
		report()
		return reported >= paid
	})
	time.Sleep(2 * chargeWindowMs.Duration())
	report()
	if diff := cmp.Diff(paid, reported); diff != "" {
		t.Errorf("tokens reported (-want +got):\n%s", diff)
	}
}
