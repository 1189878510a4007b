package admin_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/operator/admin"
	"github.com/damaskport/damaskport/internal/peer/config"
	"github.com/damaskport/damaskport/internal/platform/logservice"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/logging"
	"github.com/damaskport/damaskport/internal/state/directory"
)

// fakeLog appends straight into a Store, unless told otherwise.
type fakeLog struct {
	mu      sync.Mutex
	store   *config.Store
	records []logservice.Record
	// hidden keeps appended records from being read.
	hidden bool
	// answer is what the next appends return after taking effect.
	answer error
	// silent lets appends take effect and never answers.
	silent bool
	// refuse is what the next appends return without taking effect.
	refuse error
}

func (l *fakeLog) Append(ctx context.Context, _ string, data []byte) (int64, error) {
	offset, silent, err := l.append(data)
	if silent {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return offset, err
}

func (l *fakeLog) append(data []byte) (offset int64, silent bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refuse != nil {
		return 0, false, l.refuse
	}
	offset = int64(len(l.records) + 1)
	l.records = append(l.records, logservice.Record{Offset: offset, Data: data})
	if !l.hidden {
		_ = l.store.Offer(l.records)
	}
	return offset, l.silent, l.answer
}

func (l *fakeLog) set(f func(*fakeLog)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l)
	if !l.hidden {
		_ = l.store.Offer(l.records)
	}
}

func (l *fakeLog) len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records)
}

// entry is an operators' address with its log.
type entry struct {
	log    *fakeLog
	store  *config.Store
	client *admin.Client
	url    string
	ready  error
	// spread holds the versions sent to peers.
	spread chan int64
}

func newEntry(t *testing.T, timeout clock.Millis) *entry {
	t.Helper()
	e := &entry{store: config.New(0), spread: make(chan int64, 100)}
	e.log = &fakeLog{store: e.store}
	server := httptest.NewServer(admin.New(admin.Deps{
		Store: e.store, Appender: e.log, Logger: logging.Discard(), TimeoutMs: timeout,
		Spread: func(_ context.Context, version int64) int {
			e.spread <- version
			return 2
		},
		Status: func() admin.Status { return admin.Status{Name: "e1", Config: e.store.Version()} },
		Ready:  func() error { return e.ready },
	}))
	t.Cleanup(server.Close)
	e.url = server.URL
	e.client = admin.NewClient(server.URL, server.Client())
	e.mustChange(t, directory.Change{ID: "first", Ops: []directory.Op{
		{SetPool: &directory.Pool{Name: "p", Kind: directory.PoolService, Slots: 1}},
		{SetClass: &directory.Class{Name: "c", Pools: []string{"p"}}},
		account(1),
		{IssueKey: &directory.Key{ID: "k1", Account: "a", Digest: directory.DigestSecret("s")}},
	}})
	<-e.spread
	return e
}

func account(share int) directory.Op {
	return directory.Op{SetAccount: &directory.Account{Name: "a", Share: share, Classes: []string{"c"}}}
}

func (e *entry) mustChange(t *testing.T, c directory.Change) admin.Result {
	t.Helper()
	result, err := e.client.Change(t.Context(), c)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// changeError sends c and returns the refusal.
func (e *entry) changeError(t *testing.T, c directory.Change) *admin.Error {
	t.Helper()
	result, err := e.client.Change(t.Context(), c)
	var refused *admin.Error
	if !errors.As(err, &refused) {
		t.Fatalf("Change(%s) = %+v, %v; want a refusal", c.ID, result, err)
	}
	return refused
}

func TestAcceptanceIsToldAfterReadBackAndSpread(t *testing.T) {
	e := newEntry(t, 0)
	got := e.mustChange(t, directory.Change{ID: "w", BasedOn: 1, Ops: []directory.Op{{WithdrawKey: "k1"}}})
	if diff := cmp.Diff(admin.Result{Offset: 2, Accepted: true, Peers: 2}, got); diff != "" {
		t.Errorf("result (-want +got):\n%s", diff)
	}
	select {
	case version := <-e.spread:
		if version != 2 || !e.store.Current().KeyWithdrawn("k1") {
			t.Errorf("spread version %d, key withdrawn: %v", version, e.store.Current().KeyWithdrawn("k1"))
		}
	default:
		t.Error("acceptance was told before the change was sent to peers")
	}
}

func TestLostAppendAnswerIsFoundByReading(t *testing.T) {
	for name, lose := range map[string]func(*fakeLog){
		"cut":    func(l *fakeLog) { l.answer = io.ErrUnexpectedEOF },
		"silent": func(l *fakeLog) { l.silent = true },
	} {
		e := newEntry(t, 0)
		e.log.set(lose)
		if got := e.mustChange(t, directory.Change{ID: "c1", BasedOn: 1, Ops: []directory.Op{account(2)}}); got.Offset != 2 {
			t.Errorf("%s: result = %+v, want offset 2", name, got)
		}
		if n := e.log.len(); n != 2 {
			t.Errorf("%s: %d records in the log, want 2", name, n)
		}
	}
}

func TestUnconfirmedAppendIsUnknownAndNeverRepeated(t *testing.T) {
	e := newEntry(t, 50)
	change := directory.Change{ID: "c1", BasedOn: 1, Ops: []directory.Op{account(2)}}
	e.log.set(func(l *fakeLog) { l.answer, l.hidden = io.ErrUnexpectedEOF, true })
	for range 2 {
		refused := e.changeError(t, change)
		if refused.Status != http.StatusGatewayTimeout || !refused.Result.Unknown {
			t.Fatalf("refusal = %+v, want unknown", refused)
		}
	}
	e.log.set(func(l *fakeLog) { l.hidden = false })
	if got := e.mustChange(t, change); got.Offset != 2 || !got.Accepted {
		t.Errorf("result = %+v, want accepted at 2", got)
	}
	if n := e.log.len(); n != 2 {
		t.Errorf("%d records in the log, want 2", n)
	}
}

func TestRefusedAppendMayBeSentAgain(t *testing.T) {
	e := newEntry(t, 0)
	change := directory.Change{ID: "c1", BasedOn: 1, Ops: []directory.Op{account(2)}}
	e.log.set(func(l *fakeLog) { l.refuse = &logservice.StatusError{Status: 429, NotAppended: true} })
	if refused := e.changeError(t, change); refused.Status != http.StatusServiceUnavailable || refused.Result.Unknown {
		t.Errorf("refusal = %+v, want 503 and not unknown", refused)
	}
	e.log.set(func(l *fakeLog) { l.refuse = nil })
	if got := e.mustChange(t, change); got.Offset != 2 {
		t.Errorf("result = %+v, want offset 2", got)
	}
}

func TestOneOfRacingChangesIsAccepted(t *testing.T) {
	e := newEntry(t, 0)
	var wg sync.WaitGroup
	var mu sync.Mutex
	accepted := 0
	for i := range 8 {
		wg.Go(func() {
			_, err := e.client.Change(t.Context(), directory.Change{ID: "r" + string(rune('0'+i)), BasedOn: 1, Ops: []directory.Op{account(i + 2)}})
			var refused *admin.Error
			if err != nil && (!errors.As(err, &refused) || refused.Status != http.StatusConflict) {
				t.Errorf("Change error = %v, want a conflict", err)
			}
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				accepted++
			}
		})
	}
	wg.Wait()
	if accepted != 1 {
		t.Errorf("%d changes accepted, want 1", accepted)
	}
}

func TestRejectedChangeSaysWhyAndIsNotAppended(t *testing.T) {
	e := newEntry(t, 50)
	for want, tc := range map[string]struct {
		status int
		change directory.Change
	}{
		"names no class":        {409, directory.Change{ID: "x1", BasedOn: 1, Ops: []directory.Op{{SetAccount: &directory.Account{Name: "b", Share: 1, Classes: []string{"z"}}}}}},
		"changed at version 1":  {409, directory.Change{ID: "x2", BasedOn: 0, Ops: []directory.Op{account(3)}}},
		"belongs to another":    {409, directory.Change{ID: "first", BasedOn: 0, Ops: []directory.Op{account(3)}}},
		"not yet reached":       {503, directory.Change{ID: "x3", BasedOn: 9, Ops: []directory.Op{account(3)}}},
		"ops[0]: account.share": {400, directory.Change{ID: "x4", BasedOn: 1, Ops: []directory.Op{account(0)}}},
		"must not be given":     {400, directory.Change{ID: "x5", BasedOn: 1, Snapshot: &directory.Snapshot{}}},
	} {
		refused := e.changeError(t, tc.change)
		if refused.Status != tc.status || !strings.Contains(refused.Error(), want) {
			t.Errorf("refusal = %v, want %d with %q", refused, tc.status, want)
		}
	}
	if n := e.log.len(); n != 1 {
		t.Errorf("%d records in the log, want 1", n)
	}
}

func TestUndecodableChangeNamesThePlace(t *testing.T) {
	e := newEntry(t, 0)
	body := "{\"id\":\"c\",\n\"ops\":[{\"setAccount\":{\"nmae\":\"a\",\"share\":\"1\"}}]}"
	status, text := post(t, e.url, body)
	var got admin.Result
	if err := json.Unmarshal([]byte(text), &got); err != nil || status != http.StatusBadRequest {
		t.Fatalf("answer %d %s: %v", status, text, err)
	}
	var places []string
	for _, p := range got.Problems {
		places = append(places, p.Path)
		if p.Line != 2 {
			t.Errorf("problem %v, want line 2", p)
		}
	}
	if diff := cmp.Diff([]string{"ops[0].setAccount.nmae", "ops[0].setAccount.share"}, places); diff != "" {
		t.Errorf("places (-want +got):\n%s", diff)
	}
	if status, _ := post(t, e.url, strings.Repeat(" ", 5<<20)); status != http.StatusRequestEntityTooLarge {
		t.Errorf("oversized change answered with %d, want 413", status)
	}
}

func post(t *testing.T, base, body string) (int, string) {
	t.Helper()
	res, err := http.Post(base+"/v1/config/changes", "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res.StatusCode, string(text)
}

func TestConfigAndReadiness(t *testing.T) {
	e := newEntry(t, 0)
	e.ready = errors.New("no configuration")
	snap, err := e.client.Config(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]directory.Key{{ID: "k1", Account: "a"}}, snap.Keys); diff != "" {
		t.Errorf("keys (-want +got):\n%s", diff)
	}
	res, err := http.Get(e.url + "/readyz")
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	text, _ := io.ReadAll(res.Body)
	if res.StatusCode != http.StatusServiceUnavailable || !strings.Contains(string(text), "no configuration") {
		t.Errorf("readyz answered %d %q", res.StatusCode, text)
	}
}
