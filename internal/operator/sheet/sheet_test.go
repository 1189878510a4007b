package sheet_test

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/operator/desired"
	"github.com/damaskport/damaskport/internal/operator/sheet"
	"github.com/damaskport/damaskport/internal/operator/strictjson"
	"github.com/damaskport/damaskport/internal/state/directory"
)

const sound = `# exported at 06:00
kind,name,share,classes,tier,firstTokenMs,floorPercent,resume,pools,poolKind,model,maxServers,slots
pool,assistant,,,,,,,,model,party-1,4,8
class,chat,,,0,600,10,yes,assistant,,,,
class,bulk,,,2,,5,,assistant,,,,
account,jump,3,chat bulk,,,,,,,,,
`

var wanted = desired.State{
	Pools: []directory.Pool{{Name: "assistant", Kind: directory.PoolModel, Model: "party-1", MaxServers: 4, Slots: 8}},
	Classes: []directory.Class{
		{Name: "chat", Tier: 0, FirstTokenMs: 600, FloorPercent: 10, Resume: true, Pools: []string{"assistant"}},
		{Name: "bulk", Tier: 2, FloorPercent: 5, Pools: []string{"assistant"}},
	},
	Accounts: []directory.Account{{Name: "jump", Share: 3, Classes: []string{"chat", "bulk"}}},
}

func TestParse(t *testing.T) {
	semicolons := "\xef\xbb\xbf" + strings.ReplaceAll(strings.ReplaceAll(sound, ",", ";"), "\n", "\r\n") + ";;;;;;;;;;;;\r\n"
	for name, text := range map[string]string{"commas": sound, "semicolons": semicolons} {
		got, err := sheet.Parse("today.csv", []byte(text))
		if err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if diff := cmp.Diff(wanted, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
}

const unsound = `kind,name,share,classes,tier,floorPercent,resume,pools,poolKind,model,slots
pool,assistant,,,,,,,modell,party-1,8
class,chat,,,high,40,yes,assistant,,,
class,bulk,,,2,5,maybe,asistant,,,
account,jump,0,chat,,,,,,,
account,hop hop,2,chat,,,,,,,
account,jump,1,chat talk,1,,,,,,
tenant,x,1,chat,,,,,,,
account,y,1,chat
`

func TestEveryBadRowIsNamed(t *testing.T) {
	state, err := sheet.Parse("today.csv", []byte(unsound))
	var bad *strictjson.Errors
	if !errors.As(err, &bad) {
		t.Fatalf("Parse error = %v, want *strictjson.Errors", err)
	}
	if diff := cmp.Diff(desired.State{}, state); diff != "" {
		t.Errorf("a sheet with bad rows gave a state:\n%s", diff)
	}
	type place struct {
		Line          int
		Column, Value string
	}
	var got []place
	for _, p := range bad.Problems {
		got = append(got, place{p.Line, p.Path, p.Value})
	}
	want := []place{
		{2, "column 9 (poolKind)", `"modell"`},
		{3, "column 5 (tier)", `"high"`},
		{4, "column 7 (resume)", `"maybe"`}, {4, "column 8 (pools)", `"asistant"`},
		{5, "column 3 (share)", `"0"`}, {6, "column 2 (name)", `"hop hop"`},
		{7, "column 2 (name)", `"jump"`}, {7, "column 4 (classes)", `"talk"`}, {7, "column 5 (tier)", `"1"`},
		{8, "column 1 (kind)", `"tenant"`}, {9, "", ""},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("problems (-want +got):\n%s\n%v", diff, err)
	}
}

func TestHeaderAndSyntaxAreChecked(t *testing.T) {
	for text, want := range map[string]string{
		"":                              "must start with a header row",
		"kind,name\n":                   "must hold at least one row",
		"kind,nmae,kind\naccount,a,b\n": `column 2: "nmae": must be one of`,
		"name,share\na,1\n":             "must have the column kind",
		"kind,name\n\"account,a\n":      "must be CSV",
		"kind,name\naccount,a\n":        "missing column share",
	} {
		_, err := sheet.Parse("f.csv", []byte(text))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("Parse(%q) error = %v, want one with %q", text, err, want)
		}
	}
}

// apply applies the plan from d to want.
func apply(t *testing.T, d *directory.Directory, want desired.State) *directory.Directory {
	t.Helper()
	plan, err := desired.NewPlan(d.ToSnapshot(), want)
	if err != nil {
		t.Fatal(err)
	}
	if len(plan.Ops) == 0 {
		return d
	}
	next, err := d.WithChange(plan.Change("sheet", "planner"))
	if err != nil {
		t.Fatal(err)
	}
	return next
}

func TestWithdrawnKeyStaysWithdrawnUnderLaterSheets(t *testing.T) {
	d := apply(t, directory.New(), wanted)
	issue := directory.Key{ID: "k1", Account: "jump", Digest: directory.DigestSecret("secret")}
	for _, op := range []directory.Op{{IssueKey: &issue}, {WithdrawKey: "k1"}} {
		next, err := d.WithChange(directory.Change{ID: "key", BasedOn: d.Version(), Ops: []directory.Op{op}})
		if err != nil {
			t.Fatal(err)
		}
		d = next
	}
	without := wanted
	without.Accounts = []directory.Account{{Name: "hop", Share: 1, Classes: []string{"chat"}}}
	more := wanted
	more.Accounts = []directory.Account{{Name: "jump", Share: 9, Classes: []string{"chat"}}}
	for i, state := range []desired.State{wanted, more, without, wanted} {
		d = apply(t, d, state)
		if _, valid := d.Authenticate("dk_k1_secret"); valid || !d.KeyWithdrawn("k1") {
			t.Fatalf("after sheet %d the withdrawn key is valid again", i)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(sound))
	f.Add([]byte(unsound))
	f.Fuzz(func(t *testing.T, data []byte) {
		state, err := sheet.Parse("f", data)
		var bad *strictjson.Errors
		if err != nil && !errors.As(err, &bad) {
			t.Fatalf("error = %T %v, want *strictjson.Errors", err, err)
		}
		if err == nil {
			if _, planErr := desired.NewPlan(directory.New().ToSnapshot(), state); planErr != nil && state.Pools != nil && state.Classes != nil {
				t.Fatalf("a checked sheet is rejected by the fold: %v", planErr)
			}
		}
	})
}
