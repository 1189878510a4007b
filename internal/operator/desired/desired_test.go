package desired_test

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/damaskport/damaskport/internal/operator/desired"
	"github.com/damaskport/damaskport/internal/state/directory"
)

const file = `{
  "pools": [{"name": "app", "kind": "service", "slots": 4}],
  "classes": [{"name": "chat", "tier": 0, "pools": ["app"]}],
  "accounts": [{"name": "a", "share": 1, "classes": ["chat"]}, {"name": "b", "share": 2, "classes": ["chat"]}],
  // Deposits may not be repeated.
  "routes": [{"pathPrefix": "/booking", "pool": "app", "protectedMethods": ["POST"]}],
}`

func TestPlanLeadsToTheWantedState(t *testing.T) {
	want, err := desired.Parse("config.json", []byte(file))
	if err != nil {
		t.Fatal(err)
	}
	d := directory.New()
	plan, err := desired.NewPlan(d.ToSnapshot(), want)
	if err != nil {
		t.Fatal(err)
	}
	d, err = d.WithChange(plan.Change("c1", ""))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, desired.FromSnapshot(d.ToSnapshot())); diff != "" {
		t.Errorf("state (-want +got):\n%s", diff)
	}
	want.Accounts = []directory.Account{{Name: "b", Share: 5, Classes: []string{"chat"}}, {Name: "c", Share: 1, Classes: []string{"chat"}}}
	want.Routes = nil
	plan, err = desired.NewPlan(d.ToSnapshot(), want)
	if err != nil {
		t.Fatal(err)
	}
	lines := []string{"~ account/b: share 2 -> 5", `+ account/c: {"name":"c","share":1,"classes":["chat"]}`, "- account/a"}
	if diff := cmp.Diff(lines, plan.Lines); diff != "" {
		t.Errorf("lines (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string{"account/a"}, plan.Removed); diff != "" {
		t.Errorf("removed (-want +got):\n%s", diff)
	}
}

func TestParseNamesEveryProblem(t *testing.T) {
	text := strings.NewReplacer(`"POST"`, `"post"`, `"share": 2`, `"share": 0`, `"tier": 0`, `"tier": 3`, `"name": "b"`, `"name": "a"`).Replace(file)
	_, err := desired.Parse("config.json", []byte(text))
	if err == nil {
		t.Fatal("an unsound configuration was accepted")
	}
	for _, want := range []string{
		"config.json:3: classes[0].tier: 3:", "config.json:4: accounts[1].share: 0:",
		`config.json:4: accounts[1]: "a": is given twice`, `config.json:6: routes[0].protectedMethods: "post":`,
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("errors lack %q:\n%v", want, err)
		}
	}
}
