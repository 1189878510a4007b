package commands

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/state/directory"
)

const (
	keyIDBytes  = 8
	secretBytes = 32
)

func addKey(p *flags.Parser, o output) error {
	c, err := p.AddCommand("key", "issue and withdraw callers' keys",
		"Issues, withdraws and lists the keys of client accounts.", &struct{}{})
	if err != nil {
		return err
	}
	return addAll(c, []subcommand{
		{"issue", "issue a key", "Issues a key for a client account and prints it once; only its digest is stored.", &keyIssue{o: o}},
		{"withdraw", "withdraw a key for good", "Withdraws a key by its id. Requests with it are refused and running ones end within seconds.", &keyWithdraw{o: o}},
		{"list", "list the keys", "Lists the ids of all keys with their client accounts.", &keyList{o: o}},
	})
}

type keyIssue struct {
	changeOptions
	Account string `long:"account" required:"true" value-name:"NAME" description:"client account that the key is for"`
	o       output
}

// Execute issues a key and prints it when the change was accepted.
func (c *keyIssue) Execute([]string) error {
	version, err := c.version()
	if err != nil {
		return err
	}
	id, secret := randomHex(keyIDBytes), randomHex(secretBytes)
	key := directory.Key{ID: id, Account: c.Account, Digest: directory.DigestSecret(secret)}
	result, err := c.submit(c.o, directory.Change{BasedOn: version, Ops: []directory.Op{{IssueKey: &key}}})
	var open *outcomeError
	if errors.As(err, &open) {
		return errors.Wrapf(err, "key %s was not printed; withdraw it if key list shows it", id)
	}
	if err != nil {
		return err
	}
	c.o.accepted(result)
	fmt.Fprintf(c.o.out, "key=%s%s_%s\n", directory.KeyPrefix, id, secret)
	return nil
}

// version returns the entry's configuration version.
func (a adminOptions) version() (int64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	snap, err := a.client().Config(ctx)
	return snap.Version, errors.Wrap(err, "read the current configuration")
}

type keyWithdraw struct {
	changeOptions
	Args struct {
		ID string `positional-arg-name:"ID" required:"true"`
	} `positional-args:"true"`
	o output
}

// Execute withdraws the key.
func (c *keyWithdraw) Execute([]string) error {
	id := c.Args.ID
	if shown, _, ok := directory.SplitKey(id); ok {
		id = shown
	}
	version, err := c.version()
	if err != nil {
		return err
	}
	result, err := c.submit(c.o, directory.Change{BasedOn: version, Ops: []directory.Op{{WithdrawKey: id}}})
	if err != nil {
		return err
	}
	c.o.accepted(result)
	return nil
}

type keyList struct {
	adminOptions
	Account string `long:"account" value-name:"NAME" description:"only keys of this client account"`
	o       output
}

// Execute prints a table of the keys.
func (c *keyList) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	snap, err := c.client().Config(ctx)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(c.o.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "ID\tACCOUNT\tSTATE")
	for _, k := range snap.Keys {
		state := "valid"
		if k.Withdrawn {
			state = fmt.Sprintf("withdrawn at version %d", k.WithdrawnAt)
		}
		if c.Account == "" || c.Account == k.Account {
			fmt.Fprintf(w, "%s\t%s\t%s\n", k.ID, k.Account, state)
		}
	}
	return w.Flush()
}
