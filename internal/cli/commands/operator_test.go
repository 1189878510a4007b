package commands_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/damaskport/damaskport/internal/cli/commands"
	"github.com/damaskport/damaskport/internal/operator/admin"
	"github.com/damaskport/damaskport/internal/peer/config"
	"github.com/damaskport/damaskport/internal/platform/logservice"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/logging"
	"github.com/damaskport/damaskport/internal/standin/fault"
	"github.com/damaskport/damaskport/internal/standin/platform"
)

// site is an operators' address before the stand-in of the platform.
type site struct {
	platform *platform.Platform
	store    *config.Store
	url      string
}

func newSite(t *testing.T) *site {
	t.Helper()
	s := &site{platform: platform.New(platform.Config{}), store: config.New(0)}
	server := httptest.NewServer(s.platform.Handler())
	logs := logservice.New(server.URL, &http.Client{Timeout: 2 * time.Second})
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	r := &config.Reader{Log: logs, Store: s.store, Clock: clock.System{}, Logger: logging.Discard(), WaitMs: clock.Second}
	g.Go(func() error {
		_ = r.Run(ctx)
		return nil
	})
	entry := httptest.NewServer(admin.New(admin.Deps{
		Store: s.store, Appender: logs, Logger: logging.Discard(), TimeoutMs: 300,
		Ready: func() error { return nil },
		Status: func() admin.Status {
			return admin.Status{Name: "e1", Zone: "a", Ready: true, Config: s.store.Version(),
				Classes: []admin.ClassStatus{{Name: "chat", Waiting: 7, Attainment: 0.5}}}
		},
	}))
	s.url = entry.URL
	t.Cleanup(func() {
		entry.Close()
		cancel()
		_ = g.Wait()
		server.Close()
	})
	return s
}

// run runs a command with --admin and returns its exit code and output.
func (s *site) run(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = commands.Execute(append(args, "--admin", s.url), &o, &e)
	return code, o.String(), e.String()
}

func (s *site) must(t *testing.T, args ...string) string {
	t.Helper()
	code, out, errOut := s.run(args...)
	if code != 0 {
		t.Fatalf("%v: exit code %d\n%s%s", args, code, out, errOut)
	}
	return out
}

// refused runs a command that must fail with text and change nothing.
func (s *site) refused(t *testing.T, text string, args ...string) {
	t.Helper()
	before := len(s.platform.State().Streams[logservice.StreamConfig].Records)
	code, out, errOut := s.run(args...)
	if code != 1 || !strings.Contains(errOut, text) {
		t.Errorf("%v: exit code %d, want 1 with %q\n%s%s", args, code, text, out, errOut)
	}
	if after := len(s.platform.State().Streams[logservice.StreamConfig].Records); after != before {
		t.Errorf("%v: %d records were appended", args, after-before)
	}
}

func write(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const (
	configFile = `{"pools": [{"name": "app", "kind": "service", "slots": 4}],
		"classes": [{"name": "chat", "tier": 0, "pools": ["app"]}],
		"accounts": [{"name": "jump", "share": 1, "classes": ["chat"]}, {"name": "hop", "share": 1, "classes": ["chat"]}]}`
	sheetHead = "kind,name,share,classes\n"
	sheetBoth = sheetHead + "account,jump,3,chat\naccount,hop,1,chat\n"
	sheetBad  = sheetHead + "account,jump,5,chat\naccount,hop,none,chat\n"
	sheetOne  = sheetHead + "account,hop,1,chat\n"
)

func TestOperatorsDay(t *testing.T) {
	s := newSite(t)
	s.must(t, "config", "apply", write(t, "config.json", configFile))
	key := strings.TrimPrefix(strings.TrimSpace(s.must(t, "key", "issue", "--account", "jump")), "key=")
	if k, ok := s.store.Current().Authenticate(key); !ok || k.Account != "jump" {
		t.Fatalf("the printed key is not valid: %+v", k)
	}
	if out := s.must(t, "sheet", "diff", write(t, "both.csv", sheetBoth)); out != "~ account/jump: share 1 -> 3\n" {
		t.Errorf("diff = %q", out)
	}
	s.refused(t, `bad.csv:3: column 3 (share): "none": must be a whole number`, "sheet", "apply", write(t, "bad.csv", sheetBad))
	s.refused(t, "give --remove", "sheet", "apply", write(t, "one.csv", sheetOne))
	s.must(t, "sheet", "apply", write(t, "both.csv", sheetBoth))
	s.refused(t, "changed at version 3, after version 2", "sheet", "apply", "--based-on", "2", write(t, "old.csv", strings.ReplaceAll(sheetBoth, "3", "4")))
	s.must(t, "key", "withdraw", key)
	s.must(t, "sheet", "apply", "--remove", write(t, "one.csv", sheetOne))
	s.must(t, "sheet", "apply", write(t, "both.csv", sheetBoth))
	if _, ok := s.store.Current().Authenticate(key); ok {
		t.Error("a later sheet brought the withdrawn key back")
	}
	if out := s.must(t, "key", "list"); !strings.Contains(out, "withdrawn at version 4") || strings.Contains(out, key) {
		t.Errorf("key list = %q", out)
	}
	shown := write(t, "shown.json", s.must(t, "config", "show"))
	if out := s.must(t, "config", "diff", shown); out != "" {
		t.Errorf("the shown configuration differs from the current one: %s", out)
	}
}

func TestChangeInLogFaults(t *testing.T) {
	s := newSite(t)
	s.must(t, "config", "apply", write(t, "config.json", configFile))
	appends := fault.Fault{Path: "/v1/streams", Method: http.MethodPost, Kind: "loseAnswer", Count: 1}
	s.platform.Faults().Add(appends)
	s.must(t, "sheet", "apply", write(t, "both.csv", sheetBoth))
	if n := len(s.platform.State().Streams[logservice.StreamConfig].Records); n != 2 {
		t.Errorf("%d records after a lost answer, want 2", n)
	}
	appends.Kind, appends.Count = "fail", 0
	s.platform.Faults().Add(appends)
	code, out, errOut := s.run("key", "issue", "--account", "jump", "--wait", "1s")
	if code != 1 || out != "" || !strings.Contains(errOut, "the outcome is not known") {
		t.Errorf("key issue in an outage: exit code %d, output %q\n%s", code, out, errOut)
	}
	s.platform.Faults().Clear()
	s.must(t, "key", "issue", "--account", "jump")
	s.url = "http://127.0.0.1:1"
	if _, _, errOut := s.run("key", "withdraw", "k1", "--wait", "1s"); !strings.Contains(errOut, "connection refused") || strings.Contains(errOut, "not known") {
		t.Errorf("key withdraw without an entry: %s", errOut)
	}
}

func TestStatusForPeopleAndPrograms(t *testing.T) {
	s := newSite(t)
	if out := s.must(t, "status"); !strings.Contains(out, "chat   0     7        0        0     50.0%") {
		t.Errorf("status:\n%s", out)
	}
	var got admin.Status
	if err := json.Unmarshal([]byte(s.must(t, "status", "--json")), &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]admin.ClassStatus{{Name: "chat", Waiting: 7, Attainment: 0.5}}, got.Classes); diff != "" {
		t.Errorf("classes (-want +got):\n%s", diff)
	}
}

func TestUsageErrorsEndWithTwo(t *testing.T) {
	t.Setenv("DAMASKPORT_ADMIN", "")
	for _, args := range [][]string{{"config"}, {"config", "show"}, {"key", "issue", "--admin", "http://127.0.0.1:1"}, {"sheet", "check"}} {
		var out, errOut bytes.Buffer
		if code := commands.Execute(args, &out, &errOut); code != 2 || errOut.Len() == 0 {
			t.Errorf("%v: exit code %d, want 2\n%s", args, code, errOut.String())
		}
	}
}
