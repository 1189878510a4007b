package epoch_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/damaskport/damaskport/internal/state/epoch"
)

func ExamplePosition_After() {
	before := epoch.At(epoch.Of(3), 120)
	after := epoch.At(epoch.Of(4), 115)
	fmt.Println(after.After(before), after.Reaches(before), before.Reaches(after))
	// Output: true false false
}

func TestParse(t *testing.T) {
	for in, want := range map[string]epoch.Reported{
		"":                     {},
		"  ":                   {},
		"0":                    {Epoch: epoch.Of(0)},
		" 17 ":                 {Epoch: epoch.Of(17)},
		"1048575":              {Epoch: epoch.Of(epoch.MaxNumber)},
		"1048576":              {Malformed: "1048576"},
		"-1":                   {Malformed: "-1"},
		"four":                 {Malformed: "four"},
		"4.0":                  {Malformed: "4.0"},
		"99999999999999999999": {Malformed: "99999999999999999999"},
	} {
		if got := epoch.Parse(in); got != want {
			t.Errorf("Parse(%q) = %+v, want %+v", in, got, want)
		}
	}
}

func TestEraWithoutNumberIsBeforeAll(t *testing.T) {
	var none epoch.Epoch
	if none.Known() || !epoch.Of(0).After(none) || none.After(epoch.Of(0)) || none.String() != "none" || epoch.Of(0).String() != "0" {
		t.Errorf("no era and era 0 are not told apart: %v, %v", none, epoch.Of(0))
	}
}

func TestPositions(t *testing.T) {
	var nowhere epoch.Position
	a, b := epoch.At(epoch.Of(1), 0), epoch.At(epoch.Of(1), 5)
	c := epoch.At(epoch.Of(2), 3)
	for name, tc := range map[string]struct {
		p, o           epoch.Position
		after, reaches bool
	}{
		"behind":                   {b, a, true, true},
		"before":                   {a, b, false, false},
		"the same":                 {a, a, false, true},
		"a later era":              {c, b, true, false},
		"an earlier era":           {b, c, false, false},
		"nowhere":                  {nowhere, a, false, false},
		"after nowhere":            {a, nowhere, true, false},
		"nowhere and nowhere":      {nowhere, nowhere, false, false},
		"without an era":           {epoch.At(epoch.Epoch{}, 4), epoch.At(epoch.Epoch{}, 3), true, true},
		"with and without an era":  {c, epoch.At(epoch.Epoch{}, 9), true, false},
		"offsets of two eras meet": {epoch.At(epoch.Of(2), 5), b, true, false},
	} {
		if got := tc.p.After(tc.o); got != tc.after {
			t.Errorf("%s: After = %t", name, got)
		}
		if got := tc.p.Reaches(tc.o); got != tc.reaches {
			t.Errorf("%s: Reaches = %t", name, got)
		}
	}
	if nowhere.Offset() != -1 || a.Offset() != 0 || a.Next().Offset() != 1 || b.Before().Offset() != 4 {
		t.Error("offsets are off")
	}
	if got := epoch.At(epoch.Epoch{}, 7).In(epoch.Of(2)); got != epoch.At(epoch.Of(2), 7) {
		t.Errorf("In = %v", got)
	}
	if got := a.In(epoch.Of(2)); got != a {
		t.Errorf("In moves a position of another era: %v", got)
	}
	if nowhere.In(epoch.Of(2)).Known() {
		t.Error("nowhere is somewhere in an era")
	}
}

func TestPositionsSurviveTheWire(t *testing.T) {
	for _, p := range []epoch.Position{{}, epoch.At(epoch.Epoch{}, 0), epoch.At(epoch.Of(0), 0), epoch.At(epoch.Of(7), 123)} {
		data, err := json.Marshal(p)
		if err != nil {
			t.Fatal(err)
		}
		var got epoch.Position
		if err := json.Unmarshal(data, &got); err != nil || got != p {
			t.Errorf("%s decodes as %v, %v; want %v", data, got, err, p)
		}
	}
	var p epoch.Position
	var offset *epoch.OffsetError
	if err := json.Unmarshal([]byte(`{"era":1,"offset":-2}`), &p); !errors.As(err, &offset) {
		t.Errorf("an offset of -2: %v", err)
	}
	var e epoch.Epoch
	var rng *epoch.RangeError
	err := json.Unmarshal([]byte("1048576"), &e)
	if !errors.As(err, &rng) {
		t.Fatalf("a huge era: %v", err)
	}
	if diff := cmp.Diff(&epoch.RangeError{Value: "1048576"}, rng); diff != "" {
		t.Error(diff)
	}
}
