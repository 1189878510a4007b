package settings_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/operator/settings"
)

const soundGateway = `{
  "role": "gateway", "name": "g1", "zone": "a",
  "callerAddr": "127.0.0.1:1", "readyAddr": "127.0.0.1:2", "controlAddr": "127.0.0.1:3", "metricsAddr": "127.0.0.1:4",
  "store": {"addr": "10.0.0.1:5"}, "duties": {"addr": "10.0.0.1:6", "windowS": 2.5},
}`

func TestGatewayDefaultsWhatIsNotGiven(t *testing.T) {
	got, err := settings.ParseGateway("g.json", []byte(soundGateway))
	if err != nil {
		t.Fatal(err)
	}
	want := settings.DefaultGateway()
	want.Name, want.Zone = "g1", "a"
	want.CallerAddr, want.ReadyAddr, want.ControlAddr, want.MetricsAddr = "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4"
	want.Store.Addr, want.Duties.Addr, want.Duties.WindowS = "10.0.0.1:5", "10.0.0.1:6", 2.5
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("settings (-want +got):\n%s", diff)
	}
}

// TestGatewayReportsEveryProblem has wrong values in all places at once.
func TestGatewayReportsEveryProblem(t *testing.T) {
	_, err := settings.ParseGateway("g.json", []byte(`{
  "role": "gate", "name": "", "zone": "a b", "logLevel": "loud", "logLinesPerS": 0,
  "callerAddr": "nowhere", "readyAddr": "127.0.0.1:2", "controlAddr": "127.0.0.1:2", "metricsAddr": "127.0.0.1:4",
  "memoryMb": -1, "linkMbps": -10, "store": {"addr": "store:5"}, "duties": {"addr": "10.0.0.1", "leaseMs": "3 s"},
  "bounds": {"retryRatio": -0.1, "graceS": 0, "unknown": 1},
}`))
	var bad *settings.Errors
	if !errors.As(err, &bad) {
		t.Fatalf("error = %v, want *settings.Errors", err)
	}
	got := map[string]int{}
	for _, p := range bad.Problems {
		got[p.Path] = p.Line
		if p.File != "g.json" || p.Want == "" {
			t.Errorf("problem without file or remedy: %+v", p)
		}
	}
	want := map[string]int{
		"role": 2, "name": 2, "zone": 2, "logLevel": 2, "logLinesPerS": 2, "callerAddr": 3, "controlAddr": 3,
		"memoryMb": 4, "linkMbps": 4, "store.addr": 4, "duties.addr": 4, "duties.leaseMs": 4, "bounds.retryRatio": 5, "bounds.graceS": 5, "bounds.unknown": 5,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("lines of problems by path (-want +got):\n%s", diff)
	}
}
