package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/operator/routecheck"
	"github.com/damaskport/damaskport/internal/role/gateway"
	"github.com/damaskport/damaskport/internal/state/routing"
	"github.com/damaskport/damaskport/platform"
)

// exitWarnings and exitInvalid are the exit codes of a check of gateways' configuration.
const (
	exitWarnings = 1
	exitInvalid  = 2
)

// codeError is an error that ends the program with an exit code of its own.
type codeError struct {
	error
	code int
}

// routeCheckOptions are the flags of a check of gateways' configuration.
type routeCheckOptions struct {
	Strict  bool   `long:"strict" description:"exit with 1 if there are warnings (gateways' configuration)"`
	JSON    bool   `long:"json" description:"print JSON (gateways' configuration)"`
	Against string `long:"against" value-name:"FILE" description:"show what differs from the configuration in this file (gateways' configuration)"`
	Store   string `long:"store" value-name:"HOST:PORT" description:"show what differs from the configuration in force, read from the store (gateways' configuration)"`
}

// checked is the result of a check, as printed with --json. Error is set if the configuration is invalid.
type checked struct {
	File     string               `json:"file"`
	Version  int64                `json:"version,omitempty"`
	Error    string               `json:"error,omitempty"`
	Warnings []routecheck.Finding `json:"warnings"`
	// Against is the version compared with; 0 for none.
	Against int64               `json:"against,omitempty"`
	Changes []routecheck.Change `json:"changes,omitempty"`
}

// check checks gateways' configuration and prints the result.
func (c routeCheckOptions) check(o output, file string, data []byte) error {
	out := checked{File: file, Warnings: []routecheck.Finding{}}
	cfg, err := platform.DecodeConfig(data)
	if err != nil {
		out.Error = err.Error()
		c.print(o, out)
		return codeError{errors.Errorf("%s: invalid", file), exitInvalid}
	}
	out.Version = cfg.Version
	out.Warnings = append(out.Warnings, routecheck.Check(cfg)...)
	before, err := c.before()
	if err != nil {
		return codeError{err, exitInvalid}
	}
	if before != nil {
		out.Against, out.Changes = before.Version, routecheck.Diff(before, cfg)
		if cfg.Version <= before.Version {
			out.Warnings = append(out.Warnings, routecheck.Finding{Entry: "version", Text: fmt.Sprintf("%d is not above %d: gateways keep the one they have", cfg.Version, before.Version)})
		}
	}
	c.print(o, out)
	if c.Strict && len(out.Warnings) > 0 {
		return codeError{errors.Errorf("%s: %d warnings", file, len(out.Warnings)), exitWarnings}
	}
	return nil
}

// before returns the configuration to compare with; nil if none is asked for.
func (c routeCheckOptions) before() (*routing.Config, error) {
	switch {
	case c.Against != "":
		data, err := os.ReadFile(c.Against)
		if err != nil {
			return nil, errors.Wrap(err, "read the configuration to compare with")
		}
		cfg, err := platform.DecodeConfig(data)
		return cfg, errors.Wrap(err, c.Against)
	case c.Store == "":
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	snap, err := platform.NewStore(func() string { return c.Store }).Newest(ctx, gateway.TopicConfig)
	if err != nil {
		return nil, errors.Wrap(err, "read the configuration in force")
	}
	d := platform.Decoder()
	for _, r := range snap.Records {
		if r.Key == d.ConfigKey {
			cfg, err := d.Config(r.Value)
			return cfg, errors.Wrap(err, "the configuration in force")
		}
	}
	return nil, errors.New("the store holds no configuration")
}

// print prints the result as text, or as JSON.
func (c routeCheckOptions) print(o output, r checked) {
	if c.JSON {
		e := json.NewEncoder(o.out)
		e.SetIndent("", "  ")
		_ = e.Encode(r)
		return
	}
	if r.Error != "" {
		fmt.Fprintf(o.out, "%s: error: %s\n", r.File, r.Error)
		return
	}
	for _, w := range r.Warnings {
		fmt.Fprintf(o.out, "%s: warning: %s: %s\n", r.File, w.Entry, w.Text)
	}
	for _, ch := range r.Changes {
		fmt.Fprintf(o.out, "%s %s\n", ch.Kind, ch.Entry)
		for _, f := range ch.Fields {
			fmt.Fprintf(o.out, "  %s: %s -> %s\n", f.Name, f.Before, f.After)
		}
	}
	fmt.Fprintf(o.out, "%s: configuration version %d, %d warnings", r.File, r.Version, len(r.Warnings))
	if r.Against > 0 {
		fmt.Fprintf(o.out, ", %d changes since version %d", len(r.Changes), r.Against)
	}
	fmt.Fprintln(o.out)
}
