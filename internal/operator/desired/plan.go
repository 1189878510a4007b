package desired

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/damaskport/damaskport/internal/state/directory"
)

// Plan is the difference between a configuration and the wanted one.
type Plan struct {
	// BasedOn is the version of the configuration.
	BasedOn int64
	Ops     []directory.Op
	// Lines says what changes, one line per subject, starting with "+" for
	// what is new, "~" for what changes and "-" for what goes.
	Lines []string
	// Removed lists the subjects that go.
	Removed []string
}

// NewPlan returns the plan from the current configuration to the wanted one.
// The error says why the fold would reject the plan's change.
func NewPlan(current directory.Snapshot, want State) (Plan, error) {
	p := Plan{BasedOn: current.Version}
	diff(&p, current.Pools, want.Pools, func(v directory.Pool) directory.Op { return directory.Op{SetPool: &v} })
	diff(&p, current.Classes, want.Classes, func(v directory.Class) directory.Op { return directory.Op{SetClass: &v} })
	diff(&p, current.Accounts, want.Accounts, func(v directory.Account) directory.Op { return directory.Op{SetAccount: &v} })
	diff(&p, current.Routes, want.Routes, func(v directory.Route) directory.Op { return directory.Op{SetRoute: &v} })
	if len(p.Ops) == 0 {
		return p, nil
	}
	_, err := directory.FromSnapshot(current).WithChange(p.Change("plan", ""))
	return p, err
}

// Change returns the plan as one change.
func (p Plan) Change(id, author string) directory.Change {
	return directory.Change{ID: id, Author: author, BasedOn: p.BasedOn, Ops: p.Ops}
}

// diff adds what leads from the values in have to those in want. A nil want
// leaves them as they are.
func diff[T any](p *Plan, have, want []T, set func(T) directory.Op) {
	if want == nil {
		return
	}
	old := map[string]T{}
	for _, v := range have {
		old[set(v).Subject()] = v
	}
	for _, v := range want {
		op := set(v)
		subject := op.Subject()
		before, exists := old[subject]
		delete(old, subject)
		switch {
		case !exists:
			p.add(op, "+ "+subject+": "+text(v))
		case text(before) != text(v):
			p.add(op, "~ "+subject+": "+changes(before, v))
		}
	}
	for _, v := range have {
		subject := set(v).Subject()
		if _, gone := old[subject]; gone {
			p.add(removal(subject), "- "+subject)
			p.Removed = append(p.Removed, subject)
		}
	}
}

func (p *Plan) add(op directory.Op, line string) {
	p.Ops = append(p.Ops, op)
	p.Lines = append(p.Lines, line)
}

func removal(subject string) directory.Op {
	kind, name, _ := strings.Cut(subject, "/")
	switch kind {
	case "pool":
		return directory.Op{RemovePool: name}
	case "class":
		return directory.Op{RemoveClass: name}
	case "account":
		return directory.Op{RemoveAccount: name}
	default:
		return directory.Op{RemoveRoute: name}
	}
}

// changes lists the fields that differ, as "share 3 -> 5".
func changes(before, after any) string {
	a, b := reflect.ValueOf(before), reflect.ValueOf(after)
	var out []string
	for i := range a.NumField() {
		name, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("json"), ",")
		x, y := text(a.Field(i).Interface()), text(b.Field(i).Interface())
		if x != y {
			out = append(out, fmt.Sprintf("%s %s -> %s", name, x, y))
		}
	}
	return strings.Join(out, ", ")
}

// text returns v in the form of the configuration file; an absent list is an
// empty one.
func text(v any) string {
	if list, ok := v.([]string); ok {
		return "[" + strings.Join(slices.Clone(list), " ") + "]"
	}
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(data)
}
