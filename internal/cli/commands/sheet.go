package commands

import (
	"fmt"

	"github.com/jessevdk/go-flags"

	"github.com/damaskport/damaskport/internal/operator/sheet"
)

func addSheet(p *flags.Parser, o output) error {
	c, err := p.AddCommand("sheet", "check and apply the planners' sheet",
		"Checks, compares and applies the planners' CSV file.", &struct{}{})
	if err != nil {
		return err
	}
	return addAll(c, []subcommand{
		{"check", "check a sheet", "Checks a sheet and names every bad row by line and column.", &sheetCheck{o: o}},
		{"diff", "show what a sheet would change", "Shows the difference between the current configuration and the sheet.", &diffCommand{load: sheet.Load, o: o}},
		{"apply", "apply a sheet as one change", "Shows the difference and applies it as one change. A sheet with a bad row changes nothing.", &applyCommand{load: sheet.Load, o: o}},
	})
}

type sheetCheck struct {
	fileArgument
	o output
}

// Execute checks the sheet and prints every problem.
func (c *sheetCheck) Execute([]string) error {
	state, err := sheet.Load(c.Args.File)
	if err != nil {
		return c.o.problems(c.Args.File, err)
	}
	fmt.Fprintf(c.o.out, "%s: %d pools, %d classes, %d client accounts, no problem\n",
		c.Args.File, len(state.Pools), len(state.Classes), len(state.Accounts))
	return nil
}
