package routing_test

import (
	"fmt"
	"testing"

	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/state/routing"
)

// priorityOfY returns the priority of account y in sampleConfig.
func priorityOfY() *int { n := 2; return &n }

// sampleConfig returns a configuration with three routes of the same host, two pools and
// accounts x, y and z, of which z has no priority.
func sampleConfig(t *testing.T) *routing.Config {
	t.Helper()
	one := 1
	c, err := routing.New(routing.Config{
		Version: 3,
		Routes: []routing.Route{
			{Name: "root", Host: "Shop.example", PathPrefix: "/", Priority: 2, Split: []routing.Share{{Pool: "p", Weight: 1}}},
			{Name: "deep", Host: "shop.example", PathPrefix: "/a/b/", Priority: 0, Split: []routing.Share{{Pool: "p", Weight: 3}, {Pool: "q", Weight: 1}}},
			{Name: "mid", Host: "shop.example", PathPrefix: "/a/", Priority: 1, Split: []routing.Share{{Pool: "q", Weight: 1}}},
		},
		Pools:    []routing.Pool{{Name: "p"}, {Name: "q"}},
		Accounts: []routing.Account{{Name: "x", Keys: []string{"k1", "k2"}, Priority: &one}, {Name: "y", Keys: []string{"k3"}, Priority: priorityOfY()}, {Name: "z", Keys: []string{"k4"}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestMatchPicksLongestPrefixOfHost(t *testing.T) {
	c := sampleConfig(t)
	for in, want := range map[[2]string]string{
		{"shop.example", "/"}:           "root",
		{"SHOP.example:8080", "/a/b/c"}: "deep",
		{"shop.example", "/a/bc"}:       "mid",
		{"shop.example", "/a"}:          "root",
		{"other.example", "/a/"}:        "",
	} {
		got := ""
		if r := c.Match(in[0], in[1]); r != nil {
			got = r.Name
		}
		if got != want {
			t.Errorf("Match(%q, %q) = %q, want %q", in[0], in[1], got, want)
		}
	}
}

func TestUrgencyIsByAccountThenRoute(t *testing.T) {
	c := sampleConfig(t)
	route := map[string]*routing.Route{}
	for i := range c.Routes {
		route[c.Routes[i].Name] = &c.Routes[i]
	}
	order := []struct{ key, route string }{
		{"k1", "deep"}, {"k1", "mid"}, {"k2", "root"}, {"k3", "deep"}, {"k3", "mid"}, {"k3", "root"}, {"k4", "deep"}, {"k4", "root"},
	}
	last := -1
	for _, o := range order {
		got := c.Urgency(c.AccountByKey(o.key), route[o.route])
		if got <= last {
			t.Errorf("urgency of key %s on route %s is %d, want more than the %d of the pair before", o.key, o.route, got, last)
		}
		last = got
	}
	if c.Urgency(nil, route["deep"]) != c.Urgency(c.AccountByKey("k4"), route["deep"]) {
		t.Error("urgency of a request without an account differs from that of an account without a priority")
	}
}

func TestSplitFollowsTheWeights(t *testing.T) {
	r := sampleConfig(t).Match("shop.example", "/a/b/")
	n := 0
	for i := range 4000 {
		id := fmt.Sprintf("request-%d", i)
		got, again := r.Choose(id), r.Choose(id)
		if got != again {
			t.Fatal("Choose returned different pools for the same id")
		}
		if got == "p" {
			n++
		}
	}
	if n < 2800 || n > 3200 {
		t.Errorf("%d of 4000 requests go to a pool with three quarters of the weight, want 2800 to 3200", n)
	}
}

func TestInvalidConfigurationsAreRejected(t *testing.T) {
	pools := []routing.Pool{{Name: "p"}}
	split := []routing.Share{{Pool: "p", Weight: 1}}
	for name, c := range map[string]routing.Config{
		"no version":   {},
		"prefix":       {Version: 1, Pools: pools, Routes: []routing.Route{{Name: "r", PathPrefix: "/a", Split: split}}},
		"unknown pool": {Version: 1, Routes: []routing.Route{{Name: "r", PathPrefix: "/a/", Split: split}}},
	} {
		_, err := routing.New(c)
		var field *routing.FieldError
		if !errors.As(err, &field) || field.Field == "" || field.Reason == "" {
			t.Errorf("%s: error %v, want a *FieldError", name, err)
		}
	}
}
