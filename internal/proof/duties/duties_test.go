// Package duties_test proves on real processes that the leased duties have one
// author at a time: capacity orders and usage reports, with their holders
// frozen past their leases, killed and cut off from the platform.
package duties_test

import (
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
	"github.com/damaskport/damaskport/internal/standin/fault"
	"github.com/damaskport/damaskport/internal/standin/platform"
	"github.com/damaskport/damaskport/internal/state/directory"
)

const (
	leaseMs  = 1 * clock.Second
	windowMs = 2 * clock.Second
	tokens   = 9
	pool     = "assistant"
)

func TestMain(m *testing.M) { os.Exit(cluster.Main(m)) }

func start(t *testing.T) *cluster.Cluster {
	t.Helper()
	t.Parallel()
	return cluster.Start(t, cluster.Options{
		Entries: 3, Engines: 2, PlatformArgs: []string{"--price", "a:" + pool + ":2.5", "--start-up-ms", "100"},
		Edit: func(f *settings.File) {
			f.Platform.UsageWindowMs = windowMs
			if f.Entry != nil {
				f.Entry.LeaseMs = leaseMs
			}
		},
	})
}

// disturb is a fault of one entry: begin makes it, end heals it.
type disturb struct {
	name       string
	begin, end func(e *cluster.Entry)
}

func disturbances() []disturb {
	return []disturb{
		{"frozen", func(e *cluster.Entry) { e.Freeze() }, func(e *cluster.Entry) { e.Thaw() }},
		{"cut", func(e *cluster.Entry) { e.PlatformRelay.Cut() }, func(e *cluster.Entry) { e.PlatformRelay.Restore() }},
		{"silent", func(e *cluster.Entry) { e.PlatformRelay.Silence() }, func(e *cluster.Entry) { e.PlatformRelay.Restore() }},
		{"killed", func(e *cluster.Entry) { e.Kill() }, func(*cluster.Entry) {}},
	}
}

// TestOrdersComeFromOneHolder raises the number of servers while each entry in
// turn, and so the holder, is disturbed for longer than its lease.
func TestOrdersComeFromOneHolder(t *testing.T) {
	for _, d := range disturbances() {
		t.Run(d.name, func(t *testing.T) {
			c := start(t)
			servers := 2
			for i, e := range c.Entries {
				if d.name == "killed" && i == len(c.Entries)-1 {
					break
				}
				d.begin(e)
				servers++
				healthy := c.Entries[(i+1)%len(c.Entries)]
				if _, err := c.Change(healthy, directory.Op{SetPool: &directory.Pool{
					Name: pool, Kind: directory.PoolModel, Model: cluster.Model, Slots: 8, MinServers: servers, MaxServers: servers,
				}}); err != nil {
					t.Fatal(err)
				}
				c.Until(fmt.Sprintf("%d servers are ordered", servers), func() bool { return started(c.State()) >= servers-2 })
				d.end(e)
			}
			// A holder that woke up late must order nothing more.
			time.Sleep(3 * leaseMs.Duration())
			st := c.State()
			if diff := cmp.Diff(servers-2, started(st)); diff != "" {
				t.Errorf("servers started: %s\n%+v", diff, st.Orders)
			}
			checkTerms(t, st.Orders)
		})
	}
}

// started counts the starts that were carried out.
func started(st platform.State) int {
	n := 0
	for _, o := range st.Orders {
		if o.Action == platform.ActionStart && o.Result == platform.ResultDone {
			n++
		}
	}
	return n
}

// checkTerms verifies that terms never go back in the order of arrival, and
// that each term has one author.
func checkTerms(t *testing.T, orders []platform.OrderRecord) {
	t.Helper()
	authors := map[int64]string{}
	var highest int64
	for _, o := range orders {
		if o.Term < highest {
			t.Errorf("an order of term %d arrived after one of term %d", o.Term, highest)
		}
		highest = max(highest, o.Term)
		if a, ok := authors[o.Term]; ok && a != o.Author {
			t.Errorf("term %d has two authors", o.Term)
		}
		authors[o.Term] = o.Author
	}
}

// TestLateCallsOfAFormerHolder holds a holder's call between its last check of
// the lease and its effect, until another entry has taken the duty and made the
// call too. The platform carries out what arrives, whatever its term.
func TestLateCallsOfAFormerHolder(t *testing.T) {
	for call, lease := range map[string]string{"/v1/capacity/orders": "capacity", "/v1/usage": "usage"} {
		t.Run(strings.ReplaceAll(call[1:], "/", "."), func(t *testing.T) {
			c := start(t)
			held := fault.Fault{Path: call, Method: http.MethodPost, Kind: fault.KindFreeze, Count: 1}
			c.SetFault(c.Platform, held)
			for i := range 10 {
				if r := c.Call(c.Entries[i%3], cluster.ChatRequest(fmt.Sprintf("l%d", i), tokens, true)); r.Status != http.StatusOK {
					t.Fatalf("request: %v", r)
				}
			}
			const servers = 4
			if _, err := c.Change(c.Entries[0], directory.Op{SetPool: &directory.Pool{
				Name: pool, Kind: directory.PoolModel, Model: cluster.Model, Slots: 8, MinServers: servers, MaxServers: servers,
			}}); err != nil {
				t.Fatal(err)
			}
			c.Until("a call is held", func() bool { return len(c.Faults(c.Platform)) == 0 })
			frozen := freezeHolder(t, c, lease)
			want := generated(c)
			c.Until("another entry does the duty", func() bool {
				return started(c.State()) >= servers-2 && reported(c.State()) >= want
			})
			c.ClearFaults(c.Platform)
			frozen.Thaw()
			time.Sleep(3 * leaseMs.Duration())
			st := c.State()
			if diff := cmp.Diff(servers-2, started(st)); diff != "" {
				t.Errorf("servers started: %s\n%+v", diff, st.Orders)
			}
			checkReports(t, st.Usage)
			if diff := cmp.Diff(want, reported(st)); diff != "" {
				t.Errorf("tokens reported: %s", diff)
			}
		})
	}
}

// freezeHolder freezes the entry that holds the lease and waits for the answer
// of a held call.
func freezeHolder(t *testing.T, c *cluster.Cluster, lease string) *cluster.Entry {
	t.Helper()
	var holder *cluster.Entry
	for _, e := range c.Entries {
		if strings.Contains(e.Log(), "event=leaseTaken lease="+lease) {
			holder = e
		}
	}
	if holder == nil {
		t.Fatalf("no entry took the lease %s", lease)
	}
	holder.Freeze()
	return holder
}

// TestUsageIsReportedOnce disturbs the reporters while windows end: every
// repeat of a report has the figures of the first, and all tokens are reported.
func TestUsageIsReportedOnce(t *testing.T) {
	for _, d := range disturbances() {
		t.Run(d.name, func(t *testing.T) {
			c := start(t)
			last := c.Entries[len(c.Entries)-1]
			sent := 0
			send := func(n int) {
				for range n {
					r := c.Call(last, cluster.ChatRequest(fmt.Sprintf("u%d", sent), tokens, true))
					if r.Status != http.StatusOK || r.Err != nil {
						t.Fatalf("request: %v", r)
					}
					sent++
				}
			}
			send(10)
			for _, e := range c.Entries[:2] {
				d.begin(e)
				send(10)
				time.Sleep((leaseMs + windowMs).Duration())
				d.end(e)
			}
			want := generated(c)
			c.Until("all usage is reported", func() bool { return reported(c.State()) >= want })
			checkReports(t, c.State().Usage)
			if diff := cmp.Diff(want, reported(c.State())); diff != "" {
				t.Errorf("tokens reported: %s", diff)
			}
		})
	}
}

// generated sums what the engines generated.
func generated(c *cluster.Cluster) int64 {
	var n int64
	for _, s := range c.Sidecars {
		for _, j := range c.EngineState(s).Jobs {
			n += int64(j.Generated)
		}
	}
	return n
}

// reported sums the first report of each account and window.
func reported(st platform.State) int64 {
	var n int64
	seen := map[string]bool{}
	for _, r := range st.Usage {
		if key := window(r); !seen[key] {
			seen[key] = true
			n += r.OutputTokens + r.CorrectionTokens
		}
	}
	return n
}

func window(r platform.UsageReport) string { return fmt.Sprint(r.Account, "/", r.WindowStartMs) }

func checkReports(t *testing.T, reports []platform.UsageReport) {
	t.Helper()
	first := map[string]platform.UsageReport{}
	for _, r := range reports {
		r.ReceivedMs, r.Author, r.Term = 0, "", 0
		key := window(r)
		if have, ok := first[key]; ok {
			if diff := cmp.Diff(have, r); diff != "" {
				t.Errorf("window %s was reported twice with different figures: %s", key, diff)
			}
			continue
		}
		first[key] = r
	}
}

// TestUsageOfKilledSidecar bounds what is lost with a sidecar: at most what
// it counted since its last record.
func TestUsageOfKilledSidecar(t *testing.T) {
	c := start(t)
	send := func(from, to int) {
		for i := from; i < to; i++ {
			if r := c.Call(c.Entries[0], cluster.ChatRequest(fmt.Sprintf("k%d", i), tokens, true)); r.Status != http.StatusOK || r.Err != nil {
				t.Fatalf("request: %v", r)
			}
		}
	}
	send(0, 20)
	recorded := generated(c)
	c.Until("what was recorded is reported", func() bool { return reported(c.State()) >= recorded })
	send(20, 30)
	c.Sidecars[0].Kill()
	all := generated(c)
	// The counts of the sidecar that lives come with the next window.
	time.Sleep((3 * windowMs).Duration())
	got := reported(c.State())
	t.Logf("%d of %d tokens reported, %d lost with the sidecar", got, all, all-got)
	if got < recorded || got > all {
		t.Errorf("%d tokens reported, want from %d to %d", got, recorded, all)
	}
	checkReports(t, c.State().Usage)
}
