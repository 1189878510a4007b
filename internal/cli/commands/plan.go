package commands

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/operator/desired"
)

// fileArgument is the one argument of commands that read a file.
type fileArgument struct {
	Args struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

// loader reads and checks a file of the wanted configuration.
type loader func(path string) (desired.State, error)

// diffCommand shows what a file would change.
type diffCommand struct {
	adminOptions
	fileArgument
	load loader
	o    output
}

// Execute prints the plan.
func (c *diffCommand) Execute([]string) error {
	_, err := c.o.showPlan(c.adminOptions, c.Args.File, c.load)
	return err
}

// applyCommand applies a file as one change.
type applyCommand struct {
	changeOptions
	fileArgument
	Remove  bool  `long:"remove" description:"allow the removal of what the file does not hold; the keys of a removed client account are withdrawn"`
	BasedOn int64 `long:"based-on" default:"-1" default-mask:"the current version" value-name:"VERSION" description:"refuse the change if what it touches has changed after this version"`
	load    loader
	o       output
}

// Execute prints the plan and sends its change.
func (c *applyCommand) Execute([]string) error {
	plan, err := c.o.showPlan(c.adminOptions, c.Args.File, c.load)
	if err != nil || len(plan.Ops) == 0 {
		return err
	}
	if len(plan.Removed) > 0 && !c.Remove {
		return errors.Errorf("nothing was changed: the file does not hold %d subjects marked - above; give --remove to remove them", len(plan.Removed))
	}
	if c.BasedOn > plan.BasedOn {
		return errors.Errorf("nothing was changed: --based-on %d is above the current version %d", c.BasedOn, plan.BasedOn)
	}
	if c.BasedOn >= 0 {
		plan.BasedOn = c.BasedOn
	}
	result, err := c.submit(c.o, plan.Change("", ""))
	if err != nil {
		return err
	}
	c.o.accepted(result)
	return nil
}

// showPlan prints what leads from the current configuration to the file's.
func (o output) showPlan(a adminOptions, file string, load loader) (desired.Plan, error) {
	want, err := load(file)
	if err != nil {
		return desired.Plan{}, o.problems(file, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	current, err := a.client().Config(ctx)
	if err != nil {
		return desired.Plan{}, errors.Wrap(err, "read the current configuration")
	}
	plan, err := desired.NewPlan(current, want)
	for _, line := range plan.Lines {
		fmt.Fprintln(o.out, line)
	}
	fmt.Fprintf(o.err, "%d changes against version %d\n", len(plan.Lines), plan.BasedOn)
	return plan, errors.Wrapf(err, "%s would be rejected", file)
}
