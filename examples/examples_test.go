// Package examples_test checks the example sites with the commands that
// operators use.
package examples_test

import (
	"bytes"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/damaskport/damaskport/internal/cli/commands"
	"github.com/damaskport/damaskport/internal/operator/desired"
	"github.com/damaskport/damaskport/internal/operator/settings"
	"github.com/damaskport/damaskport/internal/operator/sheet"
	"github.com/damaskport/damaskport/internal/state/directory"
)

// size counts what a site has.
type size struct {
	Zones, Models, Services, Accounts int
}

var sites = map[string]size{
	"colombo": {Zones: 4, Models: 9, Services: 4, Accounts: 10},
	"vienna":  {Zones: 3, Models: 9, Services: 3, Accounts: 10},
}

func TestExamplesPassTheirChecks(t *testing.T) {
	for site := range sites {
		for _, pattern := range []string{"config.json", "entries/*.json", "sidecars/*.json"} {
			for _, file := range glob(t, site, pattern) {
				check(t, "config", "check", file)
			}
		}
		check(t, "sheet", "check", filepath.Join(site, "sheet.csv"))
	}
}

func check(t *testing.T, args ...string) {
	t.Helper()
	var out, errOut bytes.Buffer
	if code := commands.Execute(args, &out, &errOut); code != 0 {
		t.Errorf("%v: exit code %d\n%s", args, code, errOut.String())
	}
}

func glob(t *testing.T, site, pattern string) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(site, filepath.FromSlash(pattern)))
	if err != nil || len(files) == 0 {
		t.Fatalf("%s has no %s: %v", site, pattern, err)
	}
	return files
}

func TestSheetFollowsConfiguration(t *testing.T) {
	for site, want := range sites {
		first, err := desired.Load(filepath.Join(site, "config.json"))
		if err != nil {
			t.Fatal(err)
		}
		d := applied(t, directory.New(), first)
		today, err := sheet.Load(filepath.Join(site, "sheet.csv"))
		if err != nil {
			t.Fatal(err)
		}
		d = applied(t, d, today)
		got := size{Accounts: len(d.Accounts())}
		zones := map[string]bool{}
		for _, file := range glob(t, site, "sidecars/*.json") {
			s, err := settings.Load(file)
			if err != nil {
				t.Fatal(err)
			}
			zones[s.Zone] = true
			switch pool, _ := d.Pool(s.Sidecar.Pool); {
			case pool.Slots != s.Sidecar.Slots:
				t.Errorf("%s: %d slots, its pool has %d", file, s.Sidecar.Slots, pool.Slots)
			case pool.Kind == directory.PoolModel:
				got.Models++
			default:
				got.Services++
			}
		}
		got.Zones = len(zones)
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", site, diff)
		}
	}
}

// applied applies the wanted state, which must change something and remove nothing.
func applied(t *testing.T, d *directory.Directory, want desired.State) *directory.Directory {
	t.Helper()
	plan, err := desired.NewPlan(d.ToSnapshot(), want)
	if err != nil {
		t.Fatal(err)
	}
	if len(plan.Ops) == 0 || len(plan.Removed) > 0 {
		t.Errorf("plan: %d operations, removed: %v", len(plan.Ops), plan.Removed)
	}
	next, err := d.WithChange(plan.Change("c", ""))
	if err != nil {
		t.Fatal(err)
	}
	return next
}
