package directory_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/damaskport/damaskport/internal/state/directory"
)

// TestMain sets a fixed seed for the property tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	fmt.Println("rapid.seed:", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

// drawOp draws a random operation. There are only a few names, so that
// operations often have the same subject.
func drawOp(t *rapid.T) directory.Op {
	name := func(prefix string) string {
		return prefix + rapid.SampledFrom([]string{"0", "1", "2"}).Draw(t, prefix)
	}
	key := rapid.SampledFrom([]string{"k0", "k1", "k2", "k3"}).Draw(t, "key")
	switch rapid.IntRange(0, 8).Draw(t, "kind") {
	case 0:
		return directory.Op{SetPool: &directory.Pool{Name: name("p"), Kind: directory.PoolService, Slots: 1}}
	case 1:
		return directory.Op{SetClass: &directory.Class{Name: name("c"), Pools: []string{name("p")}, FloorPercent: rapid.IntRange(0, 20).Draw(t, "floor")}}
	case 2:
		return directory.Op{SetAccount: &directory.Account{Name: name("a"), Share: 1, Classes: []string{name("c")}}}
	case 3:
		return directory.Op{SetRoute: &directory.Route{PathPrefix: "/" + name("r"), Pool: name("p"), Accounts: []string{name("a")}}}
	case 4:
		return directory.Op{IssueKey: &directory.Key{ID: key, Account: name("a"), Digest: directory.DigestSecret("s" + key)}}
	case 5:
		return directory.Op{WithdrawKey: key}
	case 6:
		return directory.Op{RemoveAccount: name("a")}
	case 7:
		return directory.Op{RemoveClass: name("c")}
	default:
		return directory.Op{RemoveRoute: "/" + name("r")}
	}
}

// drawRecords draws the encoded records of a configuration stream. The first one
// creates a pool, a class and an account.
func drawRecords(t *rapid.T) [][]byte {
	records := [][]byte{[]byte(`{"id":"first","ops":[
		{"setPool":{"name":"p0","kind":"service","slots":1}},
		{"setClass":{"name":"c0","pools":["p0"]}},
		{"setAccount":{"name":"a0","share":1,"classes":["c0"]}}]}`)}
	for i := range rapid.IntRange(1, 40).Draw(t, "changes") {
		c := directory.Change{ID: fmt.Sprint(i), BasedOn: int64(max(0, len(records)-rapid.IntRange(0, 3).Draw(t, "behind")))}
		for range rapid.IntRange(1, 3).Draw(t, "ops") {
			c.Ops = append(c.Ops, drawOp(t))
		}
		records = append(records, mustMarshal(t, c))
	}
	return records
}

// TestFoldIsDeterministicAndLeavesOldVersionsUnchanged applies random changes. It
// checks that a directory restored from a snapshot reaches the same state as one that
// applied all records, that a rejected change has no effect, and that applying records
// modifies no earlier version.
func TestFoldIsDeterministicAndLeavesOldVersionsUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := drawRecords(t)
		cut := rapid.IntRange(0, len(records)-1).Draw(t, "cut")
		versions := []*directory.Directory{directory.New()}
		states := []directory.Snapshot{directory.New().ToSnapshot()}
		var resumed *directory.Directory
		for i, data := range records {
			d := versions[i]
			next, v := d.Apply(int64(i+1), data)
			if !v.Accepted {
				checkStateUnchanged(t, d, next)
			}
			checkReferences(t, next)
			if i == cut {
				resumed = directory.FromSnapshot(encodeAndDecode(t, d.ToSnapshot()))
			}
			if resumed != nil {
				// Different white space must not change the digest: processes may
				// receive the same record formatted differently.
				resumed, _ = resumed.Apply(int64(i+1), append([]byte("  "), data...))
			}
			versions = append(versions, next)
			states = append(states, next.ToSnapshot())
		}
		for i, d := range versions {
			if diff := cmp.Diff(states[i], d.ToSnapshot()); diff != "" {
				t.Fatalf("directory at version %d was modified by later records (-before +after):\n%s", i, diff)
			}
		}
		if diff := cmp.Diff(states[len(states)-1], resumed.ToSnapshot()); diff != "" {
			t.Fatalf("state differs after resuming from the snapshot at version %d (-from start +from snapshot):\n%s", cut, diff)
		}
	})
}

// encodeAndDecode encodes s in a record and returns the snapshot decoded from it.
func encodeAndDecode(t *rapid.T, s directory.Snapshot) directory.Snapshot {
	var c directory.Change
	if err := c.UnmarshalJSON(mustMarshal(t, directory.Change{ID: "s", Snapshot: &s})); err != nil {
		t.Fatal(err)
	}
	return *c.Snapshot
}

// checkStateUnchanged checks that a rejected record changed nothing but version
// and digest.
func checkStateUnchanged(t *rapid.T, before, after *directory.Directory) {
	a, b := before.ToSnapshot(), after.ToSnapshot()
	b.Version, b.Digest = a.Version, a.Digest
	if diff := cmp.Diff(a, b); diff != "" {
		t.Fatalf("a rejected change modified the directory:\n%s", diff)
	}
}

// checkReferences checks that accounts, routes and keys refer only to subjects
// that exist, and that Authenticate rejects exactly the withdrawn keys.
func checkReferences(t *rapid.T, d *directory.Directory) {
	for _, a := range d.Accounts() {
		for _, c := range a.Classes {
			if _, ok := d.Class(c); !ok {
				t.Fatalf("account %s names class %s, which is missing", a.Name, c)
			}
		}
	}
	for _, r := range d.ToSnapshot().Routes {
		if _, ok := d.Account(r.Accounts[0]); !ok {
			t.Fatalf("route %s names account %s, which is missing", r.PathPrefix, r.Accounts[0])
		}
	}
	for _, k := range d.Keys() {
		_, valid := d.Authenticate("dk_" + k.ID + "_s" + k.ID)
		if valid == k.Withdrawn || valid != (k.Digest != "") {
			t.Fatalf("key %+v: authenticated = %v, want true only if it is not withdrawn and has a digest", k, valid)
		}
	}
}

// TestWithdrawnKeyStaysWithdrawn: a key that was withdrawn, alone or by the removal of
// its account, does not become valid when the account is set again, and cannot be
// issued a second time.
func TestWithdrawnKeyStaysWithdrawn(t *testing.T) {
	digest := directory.DigestSecret("s")
	account := &directory.Account{Name: "account-0000", Share: 1, Classes: []string{"chat"}}
	for name, withdraw := range map[string]directory.Op{
		"withdrawn":       {WithdrawKey: "k0000"},
		"account removed": {RemoveAccount: "account-0000"},
	} {
		d := populated(t, 2)
		d = mustApply(t, d, directory.Change{ID: "w", BasedOn: d.Version(), Ops: []directory.Op{withdraw}})
		d = mustApply(t, d, directory.Change{ID: "a", BasedOn: d.Version(), Ops: []directory.Op{{SetAccount: account}}})
		if !d.KeyWithdrawn("k0000") {
			t.Errorf("%s: key k0000 is valid again after its account was set", name)
		}
		again := directory.Op{IssueKey: &directory.Key{ID: "k0000", Account: "account-0000", Digest: digest}}
		if _, err := d.WithChange(directory.Change{ID: "i", BasedOn: d.Version(), Ops: []directory.Op{again}}); err == nil {
			t.Errorf("%s: key k0000 was issued a second time", name)
		}
	}
}

// TestDroppedKeyIsNotReissuedByOutdatedChange: once a withdrawn key has been dropped,
// the directory does not know that its id was issued before. A delayed duplicate of
// the change that issued it must still be rejected, because of its BasedOn.
func TestDroppedKeyIsNotReissuedByOutdatedChange(t *testing.T) {
	d := populated(t, 1)
	issue := directory.Change{ID: "i", BasedOn: d.Version(), Ops: []directory.Op{
		{IssueKey: &directory.Key{ID: "first", Account: "account-0000", Digest: directory.DigestSecret("s")}},
	}}
	d = mustApply(t, d, issue)
	d = mustApply(t, d, directory.Change{ID: "w", BasedOn: d.Version(), Ops: []directory.Op{{WithdrawKey: "first"}}})
	many := directory.Change{ID: "m", BasedOn: d.Version()}
	for i := range 13000 {
		id := fmt.Sprintf("m%d", i)
		many.Ops = append(many.Ops, directory.Op{IssueKey: &directory.Key{ID: id, Account: "account-0000", Digest: directory.DigestSecret(id)}},
			directory.Op{WithdrawKey: id})
	}
	d = mustApply(t, d, many)
	if n := len(d.Keys()); n > 9000 {
		t.Errorf("%d keys are kept, want at most 9000", n)
	}
	if _, v := d.Apply(d.Version()+1, mustMarshal(t, issue)); v.Accepted {
		t.Error("a change based on an outdated version issued a dropped key again")
	}
	issue.BasedOn = d.Version() + 1
	if _, v := d.Apply(d.Version()+1, mustMarshal(t, issue)); v.Accepted {
		t.Error("a change based on its own version was accepted")
	}
}

// TestRejectionNamesFieldAndReason maps a text that the reason for a rejection must
// contain to the operation that is rejected.
func TestRejectionNamesFieldAndReason(t *testing.T) {
	d := populated(t, 2)
	pool := directory.Pool{Name: "assistant", Kind: directory.PoolService, Slots: 8}
	for want, op := range map[string]directory.Op{
		"account.name":              {SetAccount: &directory.Account{Name: "a\r\nX: 1", Share: 1, Classes: []string{"chat"}}},
		"account/a.classes":         {SetAccount: &directory.Account{Name: "a", Share: 1, Classes: []string{"none"}}},
		"account/account-0000":      {RemoveClass: "chat"},
		"class/chat.pools":          {RemovePool: "assistant"},
		"route.protectedMethods":    {SetRoute: &directory.Route{PathPrefix: "/b", Pool: "p", ProtectedMethods: []string{"post"}}},
		"route.accounts":            {SetRoute: &directory.Route{PathPrefix: "/b", Pool: "p", Accounts: []string{}}},
		"route.pathPrefix":          {SetRoute: &directory.Route{PathPrefix: "/b/../c", Pool: "p"}},
		"route//b.pool":             {SetRoute: &directory.Route{PathPrefix: "/b", Pool: "assistant"}},
		"key/new.account":           {IssueKey: &directory.Key{ID: "new", Account: "none", Digest: directory.DigestSecret("s")}},
		"withdrawKey":               {WithdrawKey: "none"},
		"op: 2":                     {SetPool: &pool, RemovePool: "x"},
		"changed at version 1, aft": {SetPool: &pool},
	} {
		c := directory.Change{ID: "c", BasedOn: d.Version(), Ops: []directory.Op{op}}
		if strings.HasPrefix(want, "changed") {
			c.BasedOn = 0
		}
		_, v := d.Apply(d.Version()+1, mustMarshal(t, c))
		if v.Accepted || !strings.Contains(v.Reason, want) {
			t.Errorf("verdict = %+v, want rejected with %q", v, want)
		}
	}
}
