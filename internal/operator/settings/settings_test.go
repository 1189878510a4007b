package settings_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/operator/settings"
)

const sound = `{
  // An entry of zone a.
  "role": "entry", "name": "e1", "zone": "a",
  "platform": {
    "logUrl": "http://127.0.0.1:7000", "capacityUrl": "http://127.0.0.1:7000",
    "usageUrl": "http://127.0.0.1:7000", "instancesUrl": "http://127.0.0.1:7000",
  },
  "entry": {"callerAddr": "127.0.0.1:0", "adminAddr": "127.0.0.1:0", "candidates": 2},
}`

func TestParseDefaultsWhatIsNotGiven(t *testing.T) {
	got, err := settings.Parse("e1.json", []byte(sound))
	if err != nil {
		t.Fatal(err)
	}
	want := settings.Defaults(settings.RoleEntry)
	want.Name, want.Zone = "e1", "a"
	base := "http://127.0.0.1:7000"
	want.Platform.LogURL, want.Platform.CapacityURL = base, base
	want.Platform.UsageURL, want.Platform.InstancesURL = base, base
	want.Entry.CallerAddr, want.Entry.AdminAddr, want.Entry.Candidates = "127.0.0.1:0", "127.0.0.1:0", 2
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("settings (-want +got):\n%s", diff)
	}
}

const unsound = `{
  "role": "entry", "name": "e 1", "zone": "a", "logLevel": "loud",
  "platform": {
    "logUrl": "127.0.0.1:7000", "capacityUrl": "ftp://h", "usageUrl": "http://h:1",
    "instancesUrl": "http://h:1", "timeout": 5, "claimShards": 0},
  "policy": {"order": "lifo", "noShares": "yes"},
  "entry": {
    "callerAddr": "127.0.0.1", "adminAddr": "127.0.0.1:70000", "drainMs": 1.5,
    "drainMs": 2,
    "candidates": 8, "peersPerPool": 4,
  },
  "sidecar": {},
}`

func TestParseReportsEveryProblemWithItsLine(t *testing.T) {
	_, err := settings.Parse("e1.json", []byte(unsound))
	var bad *settings.Errors
	if !errors.As(err, &bad) {
		t.Fatalf("Parse error = %v, want *settings.Errors", err)
	}
	type place struct {
		Line        int
		Path, Value string
	}
	var got []place
	for _, p := range bad.Problems {
		if p.File != "e1.json" || p.Want == "" {
			t.Errorf("problem without file or remedy: %+v", p)
		}
		got = append(got, place{p.Line, p.Path, p.Value})
	}
	want := []place{
		{2, "name", `"e 1"`}, {2, "logLevel", `"loud"`},
		{4, "platform.logUrl", `"127.0.0.1:7000"`}, {4, "platform.capacityUrl", `"ftp://h"`},
		{5, "platform.timeout", ""}, {5, "platform.claimShards", "0"},
		{6, "policy.noShares", `"yes"`}, {6, "policy.order", `"lifo"`},
		{8, "entry.drainMs", "1.5"}, {8, "entry.callerAddr", `"127.0.0.1"`}, {8, "entry.adminAddr", `"127.0.0.1:70000"`},
		{9, "entry.drainMs", ""}, {10, "entry.candidates", "8"}, {12, "sidecar", ""},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("problems (-want +got):\n%s", diff)
	}
}

func TestParseReportsSyntaxAndRole(t *testing.T) {
	for name, tc := range map[string]struct {
		text, path string
		line       int
	}{
		"syntax":     {"{\n  \"role\": \"entry\"\n  \"name\": 1}", "", 3},
		"truncated":  {"{\n\"role\": ", "", 2},
		"empty":      {"", "", 1},
		"array":      {"[1]", "", 1},
		"no section": {`{"role":"sidecar","name":"m1","zone":"a","platform":{"logUrl":"http://h:1"}}`, "sidecar", 1},
	} {
		_, err := settings.Parse("f", []byte(tc.text))
		var bad *settings.Errors
		if !errors.As(err, &bad) {
			t.Errorf("%s: error = %v, want *settings.Errors", name, err)
			continue
		}
		if first := bad.Problems[0]; first.Line != tc.line || first.Path != tc.path {
			t.Errorf("%s: first problem = %v, want line %d path %q", name, first, tc.line, tc.path)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(sound))
	f.Add([]byte(unsound))
	f.Add([]byte(`{"entry": null, "platform": [{}], "role": {"a": [1]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := settings.Parse("f", data)
		var bad *settings.Errors
		if err != nil && !errors.As(err, &bad) {
			t.Fatalf("error = %T %v, want *settings.Errors", err, err)
		}
	})
}
