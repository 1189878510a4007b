package claims_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/damaskport/damaskport/internal/operator/settings"
	"github.com/damaskport/damaskport/internal/proof/cluster"
	"github.com/damaskport/damaskport/internal/standin/platform"
)

const (
	retentionMs = 12000
	claimStream = "claims-0"
)

// TestClaimsOutliveRetentionAndSidecars repeats a request after its claim has
// left the log and after all sidecars that knew of it were replaced.
func TestClaimsOutliveRetentionAndSidecars(t *testing.T) {
	t.Parallel()
	c := cluster.Start(t, cluster.Options{
		Entries: 2, Services: 2,
		PlatformArgs: []string{"--retention-ms", fmt.Sprint(retentionMs)},
		Edit: func(f *settings.File) {
			f.Platform.ClaimShards = 1
			f.Platform.LogRetentionMs = retentionMs
		},
	})
	w := &world{Cluster: c, entry: c.Entries[0], other: c.Entries[1], sidecar: c.Sidecars[0]}
	first := w.deposit(t.Context(), w.entry, "K", "K.1")
	if first.Status != http.StatusOK {
		t.Fatalf("first: %v", first)
	}
	c.Until("the claim is past retention", func() bool { return c.State().Streams[claimStream].FirstOffset > 1 })
	second := w.deposit(t.Context(), w.other, "K", "K.2")
	old := c.Sidecars
	for _, s := range old {
		s.Kill()
		c.List(s, platform.StateLeaving)
	}
	c.AddSidecar("s3", w.sidecar.Pool)
	c.AddSidecar("s4", w.sidecar.Pool)
	third := w.settled(t, "K", "K.3")
	check(t, executionsOf(w.protected(), "K"), []cluster.Reply{first, second, third})
}
