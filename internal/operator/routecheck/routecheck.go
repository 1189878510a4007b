// Package routecheck examines a configuration of routes, pools and client accounts before it is sent: what
// can never have an effect, what contradicts itself, and how it differs from the one in force. It performs
// no input or output.
package routecheck

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/damaskport/damaskport/internal/state/routing"
)

// Finding is one doubtful entry of a configuration. The configuration can be put in force with it.
type Finding struct {
	// Entry is the entry that has no effect or contradicts itself, such as `routes[3] "chat"`.
	Entry string `json:"entry"`
	Text  string `json:"text"`
}

// Check returns the findings in the order of the entries: routes, pools, accounts.
func Check(c *routing.Config) []Finding {
	k := checker{c: c}
	k.routes()
	k.pools()
	k.accounts()
	return k.found
}

type checker struct {
	c     *routing.Config
	found []Finding
}

func (k *checker) add(kind string, i int, name, format string, args ...any) {
	k.found = append(k.found, Finding{Entry: fmt.Sprintf("%s[%d] %q", kind, i, name), Text: fmt.Sprintf(format, args...)})
}

func (k *checker) routes() {
	first, names := map[[2]string]int{}, map[string]int{}
	for i, r := range k.c.Routes {
		add := func(format string, args ...any) { k.add("routes", i, r.Name, format, args...) }
		if j, ok := names[r.Name]; ok {
			add("has the name of routes[%d]", j)
		} else {
			names[r.Name] = i
		}
		at := [2]string{strings.ToLower(r.Host), r.PathPrefix}
		if j, ok := first[at]; ok {
			add("never matches: routes[%d] %q has the same host and path prefix and comes first", j, k.c.Routes[j].Name)
		} else {
			first[at] = i
		}
		if r.TimeoutMs > 0 && r.TargetMs > r.TimeoutMs {
			add("its latency target of %d ms is beyond its time limit of %d ms", r.TargetMs, r.TimeoutMs)
		}
		if r.Kind == routing.KindStream && r.TimeoutMs > 0 && r.ITLTargetMs >= r.TimeoutMs {
			add("its target of %d ms between two events is not below its time limit of %d ms", r.ITLTargetMs, r.TimeoutMs)
		}
		if r.Resumable && r.Kind != routing.KindStream {
			add("is resumable, but no stream")
		}
		for _, s := range r.Split {
			p := k.c.Pool(s.Pool)
			switch {
			case s.Weight <= 0:
				add("sends nothing to pool %q: its weight is %v", s.Pool, s.Weight)
			case p != nil && p.Engine != r.Engine:
				add("is for model engines: %v, its pool %q: %v", r.Engine, s.Pool, p.Engine)
			}
		}
	}
}

func (k *checker) pools() {
	names := map[string]int{}
	for i, p := range k.c.Pools {
		if j, ok := names[p.Name]; ok {
			k.add("pools", i, p.Name, "has the name of pools[%d]; which of them counts is not defined", j)
		} else {
			names[p.Name] = i
		}
		if !slices.ContainsFunc(k.c.Routes, func(r routing.Route) bool {
			return slices.ContainsFunc(r.Split, func(s routing.Share) bool { return s.Pool == p.Name })
		}) {
			k.add("pools", i, p.Name, "no route leads to it")
		}
		if p.MaxConns > 0 && p.Engine && p.Slots > p.MaxConns {
			k.add("pools", i, p.Name, "its %d slots need more than its %d connections", p.Slots, p.MaxConns)
		}
	}
}

func (k *checker) accounts() {
	holder, names := map[string]int{}, map[string]int{}
	for i, a := range k.c.Accounts {
		add := func(format string, args ...any) { k.add("accounts", i, a.Name, format, args...) }
		if j, ok := names[a.Name]; ok {
			add("has the name of accounts[%d]", j)
		} else {
			names[a.Name] = i
		}
		if len(a.Keys) == 0 {
			add("has no keys")
		}
		for n, key := range a.Keys {
			j, ok := holder[key]
			switch {
			case routing.IsBlank(key):
				add("keys[%d] is blank and admits nobody", n)
			case ok && j == i:
				add("keys[%d] is held twice", n)
			case ok:
				add("keys[%d] is also held by accounts[%d] %q: the later account gets its requests", n, j, k.c.Accounts[j].Name)
			}
			holder[key] = i
		}
		for _, r := range k.c.Routes {
			if len(a.Homes) > 0 && len(r.Homes) > 0 && !r.Public && !slices.ContainsFunc(a.Homes, func(h string) bool { return slices.Contains(r.Homes, h) }) {
				add("its requests on route %q can run nowhere: no region is a home of both", r.Name)
			}
		}
	}
}

// Kinds of a Change.
const (
	Added   = "added"
	Removed = "removed"
	Changed = "changed"
)

// Change is an entry by which two configurations differ.
type Change struct {
	Kind string `json:"kind"`
	// Entry is the entry by its name, such as `route "chat"`, or "limits".
	Entry string `json:"entry"`
	// Fields are the fields that differ, of a changed entry.
	Fields []Field `json:"fields,omitempty"`
}

// Field is a field that differs. Of API keys it holds the number, not the keys.
type Field struct {
	Name   string `json:"name"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// Diff returns how after differs from before, entry by entry: limits, routes, pools and accounts, each in the
// order of their names. The version is left out.
func Diff(before, after *routing.Config) []Change {
	limits := func(c *routing.Config) any {
		return struct{ MaxBodyBytes, MaxHeaderBytes, HeaderTimeoutMs, IdleTimeoutMs int64 }{
			c.MaxBodyBytes, int64(c.MaxHeaderBytes), int64(c.HeaderTimeoutMs), int64(c.IdleTimeoutMs),
		}
	}
	access := func(c *routing.Config) any { return struct{ KeysNeeded bool }{c.KeysNeeded()} }
	out := compare("", map[string]any{"access": access(before), "limits": limits(before)}, map[string]any{"access": access(after), "limits": limits(after)})
	out = append(out, compare("route", named(before.Routes, func(r routing.Route) string { return r.Name }), named(after.Routes, func(r routing.Route) string { return r.Name }))...)
	out = append(out, compare("pool", named(before.Pools, func(p routing.Pool) string { return p.Name }), named(after.Pools, func(p routing.Pool) string { return p.Name }))...)
	return append(out, compare("account", named(before.Accounts, func(a routing.Account) string { return a.Name }), named(after.Accounts, func(a routing.Account) string { return a.Name }))...)
}

// named returns entries by name. Of several with one name the last one counts.
func named[T any](list []T, name func(T) string) map[string]any {
	out := map[string]any{}
	for _, e := range list {
		out[name(e)] = e
	}
	return out
}

func compare(kind string, before, after map[string]any) []Change {
	var names []string
	for n := range before {
		names = append(names, n)
	}
	for n := range after {
		names = append(names, n)
	}
	slices.Sort(names)
	var out []Change
	for _, n := range slices.Compact(names) {
		entry := n
		if kind != "" {
			entry = fmt.Sprintf("%s %q", kind, n)
		}
		b, had := before[n]
		a, has := after[n]
		switch {
		case !had:
			out = append(out, Change{Kind: Added, Entry: entry})
		case !has:
			out = append(out, Change{Kind: Removed, Entry: entry})
		case !reflect.DeepEqual(a, b):
			out = append(out, Change{Kind: Changed, Entry: entry, Fields: fields(reflect.ValueOf(b), reflect.ValueOf(a))})
		}
	}
	return out
}

// fields returns the fields in which two structs of the same type differ.
func fields(before, after reflect.Value) []Field {
	var out []Field
	for i := range before.NumField() {
		name, b, a := before.Type().Field(i).Name, before.Field(i).Interface(), after.Field(i).Interface()
		if reflect.DeepEqual(a, b) {
			continue
		}
		if name == "Keys" {
			was, is := b.([]string), a.([]string)
			out = append(out, Field{name, fmt.Sprintf("%d keys", len(was)), fmt.Sprintf("%d keys, %d of them new", len(is), missing(was, is))})
			continue
		}
		out = append(out, Field{name, text(b), text(a)})
	}
	return out
}

// missing returns how many of list are not in other.
func missing(other, list []string) int {
	n := 0
	for _, s := range list {
		if !slices.Contains(other, s) {
			n++
		}
	}
	return n
}

// text returns a value as it is shown: pointers by what they point to.
func text(v any) string {
	r := reflect.ValueOf(v)
	if r.Kind() == reflect.Pointer {
		if r.IsNil() {
			return "none"
		}
		v = r.Elem().Interface()
	}
	return fmt.Sprint(v)
}
