package commands

import (
	"encoding/json"
	"io"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/report/timeline"
)

type explainCommand struct {
	JSON bool `long:"json" description:"print JSON"`
	Args struct {
		Request string   `positional-arg-name:"REQUEST-ID" required:"yes"`
		Files   []string `positional-arg-name:"FILE" description:"logs of any processes; standard input if none is given"`
	} `positional-args:"yes"`
	o output
}

func addExplain(p *flags.Parser, o output) error {
	_, err := p.AddCommand("explain", "Tell what happened to a request",
		"Reads the logs of any processes and prints the steps of one request in their order.", &explainCommand{o: o})
	return err
}

// Execute prints the request's timeline.
func (c *explainCommand) Execute([]string) error {
	var logs []io.Reader
	for _, name := range c.Args.Files {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		defer f.Close()
		logs = append(logs, f)
	}
	if len(logs) == 0 {
		logs = append(logs, os.Stdin)
	}
	t, err := timeline.Read(c.Args.Request, logs...)
	if err != nil {
		return err
	}
	if c.JSON {
		enc := json.NewEncoder(c.o.out)
		enc.SetIndent("", "  ")
		return enc.Encode(t)
	}
	if err := t.WriteText(c.o.out); err != nil {
		return err
	}
	if len(t.Steps) == 0 {
		return errors.Errorf("no line names the request %q", c.Args.Request)
	}
	return nil
}
