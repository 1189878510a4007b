package keys_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/damaskport/damaskport/internal/operator/desired"
	"github.com/damaskport/damaskport/internal/operator/sheet"
	"github.com/damaskport/damaskport/internal/proof/cluster"
	"github.com/damaskport/damaskport/internal/standin/fault"
	"github.com/damaskport/damaskport/internal/standin/platform"
	"github.com/damaskport/damaskport/internal/state/directory"
)

const (
	keyID = "k1"
	// stopTime is the time after which a withdrawn key must not work.
	stopTime = 3 * time.Second
	// callPeriod is the time between two new callers at an entry.
	callPeriod = 20 * time.Millisecond
	// longTokens keep an answer running until its key is withdrawn; ownTokens
	// keep one with another key running beyond stopTime.
	longTokens  = 6000
	ownTokens   = 350
	begunTokens = 5
)

// apart shows each entry another engine, so that only the log joins them.
func apart(entry string, all []platform.Instance) []platform.Instance {
	var own []platform.Instance
	for _, in := range all {
		if in.Name[1:] == entry[1:] {
			own = append(own, in)
		}
	}
	return own
}

func logDown(c *cluster.Cluster) {
	c.SetFault(c.Platform, fault.Fault{Path: "/v1/", Kind: fault.KindFail, Status: http.StatusServiceUnavailable})
}

func logSilent(c *cluster.Cluster) {
	c.SetFault(c.Platform, fault.Fault{Path: "/v1/", Kind: fault.KindSilent})
}

func TestWithdrawnKeyStops(t *testing.T) {
	tests := []struct {
		name string
		// apart is set if no sidecar joins the entries.
		apart bool
		// before and after strike before the change and when it is accepted.
		before, after func(c *cluster.Cluster)
	}{
		{name: "noFault"},
		{name: "logDownAfter", after: logDown},
		{name: "logSilentAfter", after: logSilent},
		{name: "entryCutFromLog", before: func(c *cluster.Cluster) { c.Entries[1].PlatformRelay.Cut() }},
		{name: "entrySilentFromLog", before: func(c *cluster.Cluster) { c.Entries[1].PlatformRelay.Blackhole() }},
		{name: "entryCutAndLogDownAfter", before: func(c *cluster.Cluster) { c.Entries[1].PlatformRelay.Cut() }, after: logDown},
		{name: "entryCutFromOthers", apart: true},
		{name: "entryOfChangeKilledAfter", after: func(c *cluster.Cluster) { c.Entries[0].Kill() }},
		{name: "entryCutAndEntryOfChangeKilledAfter", before: func(c *cluster.Cluster) { c.Entries[1].PlatformRelay.Cut() }, after: func(c *cluster.Cluster) { c.Entries[0].Kill() }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			opts := cluster.Options{Entries: 2, Engines: 2, EngineArgs: []string{"--token-ms", "10", "--prefill-ms-per-ktoken", "0"}}
			if tt.apart {
				opts.Instances = apart
			}
			w := &withdrawal{t: t, c: cluster.Start(t, opts)}
			w.start()
			strike(w.c, tt.before)
			result, err := w.c.Change(w.c.Entries[0], directory.Op{WithdrawKey: keyID})
			if err != nil || !result.Accepted {
				t.Fatalf("withdraw: %+v, %v", result, err)
			}
			w.accepted = time.Now()
			strike(w.c, tt.after)
			w.check()
			w.mend()
			w.comeBack()
		})
	}
}

func strike(c *cluster.Cluster, f func(c *cluster.Cluster)) {
	if f != nil {
		f(c)
	}
}

// withdrawal is a key withdrawn while answers run at every entry.
type withdrawal struct {
	t        *testing.T
	c        *cluster.Cluster
	wg       sync.WaitGroup
	accepted time.Time
	// long and own hold the answers with the withdrawn key and with the other
	// one, by entry.
	long, own [2]streamed
}

type streamed struct {
	reply cluster.Reply
	ended time.Time
}

// start opens two streams at each entry and returns when they run.
func (w *withdrawal) start() {
	var begun sync.WaitGroup
	open := func(out *streamed, e *cluster.Entry, key, nonce string, tokens int) {
		var once sync.Once
		begun.Add(1)
		req := cluster.ChatRequest(nonce, tokens, true)
		req.Key = key
		req.OnBytes = func(data []byte) {
			if strings.Contains(string(data), fmt.Sprintf(" %s-%d\"", nonce, begunTokens)) {
				once.Do(begun.Done)
			}
		}
		w.wg.Go(func() {
			out.reply = w.c.Call(e, req)
			out.ended = time.Now()
			once.Do(begun.Done)
		})
	}
	for i, e := range w.c.Entries {
		open(&w.long[i], e, key, "long"+e.Name, longTokens)
		open(&w.own[i], e, otherKey, "own"+e.Name, ownTokens)
	}
	begun.Wait()
}

// check measures when the key stopped working for new and for running callers.
func (w *withdrawal) check() {
	for _, e := range w.c.Entries {
		if e.Exited() {
			continue
		}
		w.wg.Go(func() { w.checkNew(e) })
	}
	w.wg.Wait()
	for i, e := range w.c.Entries {
		if e.Exited() {
			continue
		}
		long, err := cluster.ParseStream(w.long[i].reply.Body)
		if took := w.long[i].ended.Sub(w.accepted); took > stopTime || long.Whole() || long.Error != "invalidKey" {
			w.t.Errorf("%s: the running answer ended %v after the acceptance with error %q, %v, %v", e.Name, took, long.Error, err, w.long[i].reply.Err)
		}
		own, err := cluster.ParseStream(w.own[i].reply.Body)
		if !own.Whole() || own.Text != cluster.WantText("own"+e.Name, ownTokens) {
			w.t.Errorf("%s: the answer with another key was touched: %v, %v", e.Name, err, w.own[i].reply.Err)
		}
	}
}

// checkNew calls with the withdrawn key until stopTime and some time after.
func (w *withdrawal) checkNew(e *cluster.Entry) {
	var last, stopped time.Duration
	calls := 0
	for last < stopTime+stopTime/6 {
		sent := time.Since(w.accepted)
		r := w.c.Call(e, cluster.ChatRequest("new", 1, false))
		last = time.Since(w.accepted)
		calls++
		if r.Code != "invalidKey" {
			stopped = max(stopped, sent)
		}
		time.Sleep(callPeriod)
	}
	w.t.Logf("%s: %d new callers, the last one not refused was sent %v after the acceptance", e.Name, calls, stopped)
	if stopped > stopTime {
		w.t.Errorf("%s: a new caller with the withdrawn key was not refused %v after the acceptance", e.Name, stopped)
	}
}

// mend ends all faults and waits until the entries are up to date.
func (w *withdrawal) mend() {
	w.c.ClearFaults(w.c.Platform)
	for _, e := range w.c.Entries {
		e.PlatformRelay.Restore()
	}
	w.settle()
}

// settle waits until all entries have the configuration that the log holds.
func (w *withdrawal) settle() {
	st := w.c.State().Streams["config"]
	want := st.FirstOffset + int64(len(st.Records)) - 1
	for _, e := range w.live() {
		w.c.Until(fmt.Sprintf("%s has version %d", e.Name, want), func() bool {
			s, err := e.Operator().Status(context.Background())
			return err == nil && s.Config.Number == want
		})
	}
}

func (w *withdrawal) live() []*cluster.Entry {
	var live []*cluster.Entry
	for _, e := range w.c.Entries {
		if !e.Exited() {
			live = append(live, e)
		}
	}
	return live
}

// comeBack tries to bring the withdrawn key back: by sheets, of which one
// removes the client account and the next one sets it up again, and by
// issuing the key again.
func (w *withdrawal) comeBack() {
	const accounts = "kind,name,share,classes\n%saccount,meadow,1,interactive batch\n"
	with := func(rows string) string { return fmt.Sprintf(accounts, rows) }
	e := w.live()[0]
	for _, rows := range []string{with("account,harbour,2,interactive batch\n"), with(""), with("account,harbour,1,interactive batch\n")} {
		w.apply(e, rows)
	}
	issued, err := w.c.Change(e, directory.Op{IssueKey: &directory.Key{ID: keyID, Account: cluster.Account, Digest: directory.DigestSecret("new")}})
	if err == nil || issued.Accepted {
		w.t.Errorf("the withdrawn key was issued again: %+v", issued)
	}
	w.settle()
	for _, e := range w.live() {
		if r := w.c.Call(e, cluster.ChatRequest("back", 1, false)); r.Code != "invalidKey" {
			w.t.Errorf("%s: the key works again after a sheet: %v", e.Name, r)
		}
	}
}

func (w *withdrawal) apply(e *cluster.Entry, rows string) {
	state, err := sheet.Parse("today.csv", []byte(rows))
	if err != nil {
		w.t.Fatal(err)
	}
	snap, err := e.Operator().Config(context.Background())
	if err != nil {
		w.t.Fatal(err)
	}
	plan, err := desired.NewPlan(snap, state)
	if err != nil {
		w.t.Fatal(err)
	}
	result, err := e.Operator().Change(context.Background(), w.c.NewChange(plan.BasedOn, plan.Ops...))
	if err != nil || !result.Accepted {
		w.t.Fatalf("sheet: %+v, %v", result, err)
	}
	snap, err = e.Operator().Config(context.Background())
	if err != nil {
		w.t.Fatal(err)
	}
	if diff := cmp.Diff(state.Accounts, snap.Accounts); diff != "" {
		w.t.Errorf("client accounts after the sheet (-want +got):\n%s", diff)
	}
}
