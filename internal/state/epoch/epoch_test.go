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
	// The restore lost the records from offset 115 on and began epoch 4.
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

func TestUnknownEpochIsBeforeAll(t *testing.T) {
	var unknown epoch.Epoch
	if unknown.Known() || !epoch.Of(0).After(unknown) || unknown.After(epoch.Of(0)) || unknown.String() != "none" || epoch.Of(0).String() != "0" {
		t.Errorf("the unknown epoch %v must be distinct from epoch %v and before it", unknown, epoch.Of(0))
	}
}

func TestPositionOrder(t *testing.T) {
	var unknown epoch.Position
	a, b := epoch.At(epoch.Of(1), 0), epoch.At(epoch.Of(1), 5)
	c := epoch.At(epoch.Of(2), 3)
	for name, tc := range map[string]struct {
		p, o           epoch.Position
		after, reaches bool
	}{
		"higher offset":                      {b, a, true, true},
		"lower offset":                       {a, b, false, false},
		"equal positions":                    {a, a, false, true},
		"later epoch, lower offset":          {c, b, true, false},
		"earlier epoch, higher offset":       {b, c, false, false},
		"unknown and known position":         {unknown, a, false, false},
		"known and unknown position":         {a, unknown, true, false},
		"two unknown positions":              {unknown, unknown, false, false},
		"higher offset, both epochs unknown": {epoch.At(epoch.Epoch{}, 4), epoch.At(epoch.Epoch{}, 3), true, true},
		"known and unknown epoch":            {c, epoch.At(epoch.Epoch{}, 9), true, false},
		"later epoch, equal offset":          {epoch.At(epoch.Of(2), 5), b, true, false},
	} {
		if got := tc.p.After(tc.o); got != tc.after {
			t.Errorf("%s: After = %t, want the opposite", name, got)
		}
		if got := tc.p.Reaches(tc.o); got != tc.reaches {
			t.Errorf("%s: Reaches = %t, want the opposite", name, got)
		}
	}
	if unknown.Offset() != -1 || a.Offset() != 0 || a.Next().Offset() != 1 || b.Before().Offset() != 4 {
		t.Error("wrong offset of a position, or of the one after or before it")
	}
	if got := epoch.At(epoch.Epoch{}, 7).In(epoch.Of(2)); got != epoch.At(epoch.Of(2), 7) {
		t.Errorf("In, position of unknown epoch: got %v, want offset 7 of epoch 2", got)
	}
	if got := a.In(epoch.Of(2)); got != a {
		t.Errorf("In, position of another known epoch: got %v, want it unchanged", got)
	}
	if unknown.In(epoch.Of(2)).Known() {
		t.Error("In made the unknown position a known one")
	}
}

func TestPositionJSON(t *testing.T) {
	for _, p := range []epoch.Position{{}, epoch.At(epoch.Epoch{}, 0), epoch.At(epoch.Of(0), 0), epoch.At(epoch.Of(7), 123)} {
		data, err := json.Marshal(p)
		if err != nil {
			t.Fatal(err)
		}
		var got epoch.Position
		if err := json.Unmarshal(data, &got); err != nil || got != p {
			t.Errorf("%s decoded to %v with error %v; want %v", data, got, err, p)
		}
	}
	var p epoch.Position
	var badOffset *epoch.OffsetError
	if err := json.Unmarshal([]byte(`{"era":1,"offset":-2}`), &p); !errors.As(err, &badOffset) {
		t.Errorf("offset -2: got error %v, want an OffsetError", err)
	}
	var e epoch.Epoch
	var outOfRange *epoch.RangeError
	err := json.Unmarshal([]byte("1048576"), &e)
	if !errors.As(err, &outOfRange) {
		t.Fatalf("epoch above MaxNumber: got error %v, want a RangeError", err)
	}
	if diff := cmp.Diff(&epoch.RangeError{Value: "1048576"}, outOfRange); diff != "" {
		t.Error(diff)
	}
}
