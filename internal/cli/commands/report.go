package commands

import (
	"encoding/json"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/report/attainment"
	"github.com/damaskport/damaskport/internal/report/burn"
)

// burnCommand reports service-level burn from results of load.
type burnCommand struct {
	In      []string `long:"in" value-name:"FILE" required:"true" description:"result of damaskport load; repeatable"`
	Windows []string `long:"window" value-name:"LONG:SHORT:THRESHOLD" description:"pair of windows and burn rate, such as 1h:5m:14.4; repeatable"`
	JSON    bool     `long:"json" description:"print JSON instead of a table"`
	HTML    string   `long:"html" value-name:"FILE" description:"write a page with plots to this file"`

	o output
}

func addReport(p *flags.Parser, o output) error {
	c, err := p.AddCommand("report", "Report on measurements", "Reports on the results of damaskport load.", &struct{}{})
	if err != nil {
		return err
	}
	_, err = c.AddCommand("burn", "Report service-level burn by class",
		"Reports burn rates over several windows, error budget left, goodput, wasted work, the worst-served account and cost.",
		&burnCommand{o: o})
	if err != nil {
		return err
	}
	_, err = c.AddCommand("compare", "Compare policies over results",
		"Prints one table for each scenario of the given results, with a line for each policy and the spread over seeds.",
		&compareCommand{o: o})
	return err
}

// compareCommand compares the results of several runs.
type compareCommand struct {
	In []string `long:"in" value-name:"FILE" required:"true" description:"result of damaskport load; repeatable"`

	o output
}

// Execute runs the command.
func (c *compareCommand) Execute([]string) error {
	runs, err := readResults(c.In)
	if err != nil {
		return err
	}
	return attainment.Comparison{Runs: runs}.WriteTable(c.o.out)
}

// Execute runs the command.
func (c *burnCommand) Execute([]string) error {
	rep, err := c.report()
	if err != nil {
		return err
	}
	if c.HTML != "" {
		if err := c.page(rep); err != nil {
			return err
		}
	}
	if !c.JSON {
		return rep.WriteTable(c.o.out)
	}
	enc := json.NewEncoder(c.o.out)
	enc.SetIndent("", "  ")
	return enc.Encode(rep)
}

func (c *burnCommand) report() (burn.Report, error) {
	var windows []burn.Window
	for _, text := range c.Windows {
		w, err := burn.ParseWindow(text)
		if err != nil {
			return burn.Report{}, errors.Wrap(err, "--window")
		}
		windows = append(windows, w)
	}
	results, err := readResults(c.In)
	if err != nil {
		return burn.Report{}, err
	}
	return burn.Compute(results, windows), nil
}

func readResults(names []string) ([]attainment.Result, error) {
	var results []attainment.Result
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		runs, err := attainment.Decode(data)
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
		results = append(results, runs...)
	}
	return results, nil
}

func (c *burnCommand) page(rep burn.Report) error {
	f, err := os.Create(c.HTML)
	if err != nil {
		return err
	}
	err = rep.WritePage(f)
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	return err
}
