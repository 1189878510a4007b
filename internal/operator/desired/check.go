package desired

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/state/directory"
)

// Reject takes one problem: the field's path, such as "accounts[3].share", the
// value, and what would be right.
type Reject func(path string, value any, want string)

// validator is implemented by the directory's types.
type validator interface {
	Validate() error
}

// Check passes every problem of the state to reject: values that are not
// sound, names given twice, and names of classes and pools that the state
// does not hold although it holds others of their kind.
func (s State) Check(reject Reject) {
	pools := checkEach(reject, "pools", s.Pools, func(p directory.Pool) string { return p.Name })
	classes := checkEach(reject, "classes", s.Classes, func(c directory.Class) string { return c.Name })
	accounts := checkEach(reject, "accounts", s.Accounts, func(a directory.Account) string { return a.Name })
	checkEach(reject, "routes", s.Routes, func(r directory.Route) string { return r.PathPrefix })
	for i, c := range s.Classes {
		checkNames(reject, fmt.Sprintf("classes[%d].pools", i), c.Pools, pools, "pool")
	}
	for i, a := range s.Accounts {
		checkNames(reject, fmt.Sprintf("accounts[%d].classes", i), a.Classes, classes, "class")
	}
	for i, r := range s.Routes {
		checkNames(reject, fmt.Sprintf("routes[%d].accounts", i), r.Accounts, accounts, "client account")
		s.checkRoutePool(reject, i, r.Pool)
	}
	s.checkFloors(reject)
}

// checkEach checks each value on its own and that no name comes twice. It
// returns the names, or nil when the kind is not given.
func checkEach[T validator](reject Reject, kind string, values []T, name func(T) string) map[string]bool {
	if values == nil {
		return nil
	}
	names := map[string]bool{}
	for i, v := range values {
		at := fmt.Sprintf("%s[%d]", kind, i)
		var bad *directory.FieldError
		if err := v.Validate(); errors.As(err, &bad) {
			_, field, _ := strings.Cut(bad.Field, ".")
			reject(at+"."+field, bad.Value, bad.Reason)
		}
		if names[name(v)] {
			reject(at, name(v), "is given twice; must be given once")
		}
		names[name(v)] = true
	}
	return names
}

func checkNames(reject Reject, path string, given []string, known map[string]bool, what string) {
	if known == nil {
		return
	}
	for _, name := range given {
		if !known[name] {
			reject(path, name, "must name a "+what+" that is given here")
		}
	}
}

func (s State) checkRoutePool(reject Reject, i int, name string) {
	if s.Pools == nil {
		return
	}
	for _, p := range s.Pools {
		if p.Name == name && p.Kind == directory.PoolService {
			return
		}
	}
	reject(fmt.Sprintf("routes[%d].pool", i), name, "must name a pool of plain services that is given here")
}

func (s State) checkFloors(reject Reject) {
	floors := map[string]int{}
	for i, c := range s.Classes {
		for _, p := range c.Pools {
			floors[p] += c.FloorPercent
			if c.FloorPercent > 0 && floors[p] > directory.MaxFloorPercent {
				want := fmt.Sprintf("the floors of the classes that use pool %s must be at most %d together", p, directory.MaxFloorPercent)
				reject(fmt.Sprintf("classes[%d].floorPercent", i), c.FloorPercent, want)
			}
		}
	}
}
