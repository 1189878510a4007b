package commands

import (
	"context"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/operator/desired"
	"github.com/damaskport/damaskport/internal/operator/settings"
	"github.com/damaskport/damaskport/internal/operator/strictjson"
	"github.com/damaskport/damaskport/platform"
)

func addConfig(p *flags.Parser, o output) error {
	c, err := p.AddCommand("config", "check, show and change the configuration",
		"Checks settings and configuration files, and shows or changes the fleet's configuration.", &struct{}{})
	if err != nil {
		return err
	}
	return addAll(c, []subcommand{
		{"check", "check a settings or configuration file", "Checks a file of settings, of the wanted configuration or of gateways' configuration, and names every problem.", &configCheck{o: o}},
		{"diff", "show what a file would change", "Shows the difference between the current configuration and the file.", &diffCommand{load: desired.Load, o: o}},
		{"apply", "apply a file as one change", "Shows the difference and applies it as one change.", &applyCommand{load: desired.Load, o: o}},
		{"show", "print the current configuration", "Prints the current configuration as a file that config apply takes.", &configShow{o: o}},
	})
}

// subcommand is one command below another.
type subcommand struct {
	name  string
	short string
	long  string
	data  flags.Commander
}

func addAll(c *flags.Command, subs []subcommand) error {
	for _, s := range subs {
		if _, err := c.AddCommand(s.name, s.short, s.long, s.data); err != nil {
			return err
		}
	}
	return nil
}

type configCheck struct {
	routeCheckOptions
	fileArgument
	o output
}

// Execute checks the file and prints every problem.
func (c *configCheck) Execute([]string) error {
	data, err := os.ReadFile(c.Args.File)
	if err != nil {
		return errors.Wrap(err, "read the file")
	}
	if platform.IsConfig(data) {
		return c.check(c.o, c.Args.File, data)
	}
	kind, err := checkFile(c.Args.File, data)
	if err != nil {
		return c.o.problems(c.Args.File, err)
	}
	fmt.Fprintf(c.o.out, "%s: %s, no problem\n", c.Args.File, kind)
	return nil
}

// checkFile checks a wanted configuration, or settings, and returns which.
func checkFile(name string, data []byte) (string, error) {
	doc, err := strictjson.Parse(name, data)
	if err != nil {
		return "", err
	}
	for _, field := range []string{"pools", "classes", "accounts", "routes"} {
		if doc.Has(field) && !doc.Has("role") {
			_, err := desired.Parse(name, data)
			return "configuration", err
		}
	}
	if settings.Role(doc.Text("role")) == settings.RoleGateway {
		_, err := settings.ParseGateway(name, data)
		return "settings", err
	}
	_, err = settings.Parse(name, data)
	return "settings", err
}

type configShow struct {
	adminOptions
	o output
}

// Execute prints the current configuration.
func (c *configShow) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	snap, err := c.client().Config(ctx)
	if err != nil {
		return err
	}
	data, err := desired.FromSnapshot(snap).MarshalIndent()
	if err != nil {
		return err
	}
	fmt.Fprintf(c.o.out, "// version %d, digest %016x\n%s\n", snap.Version, snap.Digest, data)
	return nil
}
