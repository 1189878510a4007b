package commands

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/load/arrivals"
	"github.com/damaskport/damaskport/internal/load/openloop"
	"github.com/damaskport/damaskport/internal/report/attainment"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// loadCommand sends open-loop traffic and measures what came of it.
type loadCommand struct {
	URL        string        `long:"url" description:"base URL of a running entry, or of an engine with --direct; without it the deployment is started in this process"`
	Keys       []string      `long:"key" description:"key of a client account, as ACCOUNT=KEY; repeatable"`
	Scenario   string        `long:"scenario" default:"demo" description:"scenario by name, or a JSON file; without --url also several, or all"`
	Baseline   string        `long:"baseline" default:"ours" description:"policies to compare where the deployment is started here, separated by commas, or all"`
	Seeds      string        `long:"seeds" description:"seeds to compare where the deployment is started here, separated by commas"`
	LogLevel   string        `long:"log-level" default:"error" description:"level of the log of a deployment that is started here"`
	Deployment string        `long:"deployment" default:"colombo" description:"deployment of a named scenario: colombo or vienna"`
	Seed       uint64        `long:"seed" default:"1" description:"seed of the arrivals"`
	Duration   time.Duration `long:"duration" default:"20s" description:"time during which requests are sent"`
	Load       float64       `long:"load" description:"offered load outside phases, in percent of capacity"`
	Model      string        `long:"model" description:"name of the model to ask for"`
	TokenMs    float64       `long:"token-ms" description:"time per token of the engines"`
	Direct     bool          `long:"direct" description:"send to an engine, without key and class"`
	Out        string        `long:"out" description:"write the result as JSON to this file"`
	JSON       bool          `long:"json" description:"print the result as JSON instead of a table"`

	o output
}

func addLoad(p *flags.Parser, o output) error {
	_, err := p.AddCommand("load", "Send open-loop traffic and measure attainment",
		"Sends a scenario's requests at their times, checks every byte of the answers, and reports attainment, goodput and fairness.",
		&loadCommand{o: o})
	return err
}

// Execute runs the command.
func (c *loadCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if c.URL == "" {
		return c.local(ctx)
	}
	s, err := c.scenario(c.Scenario)
	if err != nil {
		return err
	}
	res, err := c.remote(ctx, s)
	if err != nil {
		return err
	}
	return c.write(res)
}

// local measures deployments that are started here. What was measured before
// an error is written as well.
func (c *loadCommand) local(ctx context.Context) error {
	cmp, err := c.measure(ctx)
	if len(cmp.Runs) == 0 {
		return err
	}
	if len(cmp.Runs) == 1 {
		err = errors.Wrap(err, "after one run")
		if werr := c.write(cmp.Runs[0]); err == nil {
			err = werr
		}
		return err
	}
	if werr := c.write(cmp); err == nil {
		err = werr
	}
	return err
}

// remote measures a system that runs already.
func (c *loadCommand) remote(ctx context.Context, s arrivals.Scenario) (attainment.Result, error) {
	keys, err := parseKeys(c.Keys)
	if err != nil {
		return attainment.Result{}, err
	}
	sched := arrivals.Generate(s, c.Seed, clock.FromDuration(c.Duration))
	samples, err := openloop.Run(ctx, sched, openloop.Options{
		URL:      strings.TrimSuffix(c.URL, "/"),
		Keys:     keys,
		Direct:   c.Direct,
		Progress: c.o.err,
	})
	if err != nil {
		return attainment.Result{}, err
	}
	res := attainment.Compute(sched, samples)
	res.Direct = c.Direct
	res.NotInjected = s.Faults
	return res, nil
}

func (c *loadCommand) scenario(name string) (arrivals.Scenario, error) {
	s, err := c.namedOrFile(name)
	if err != nil {
		return s, err
	}
	if c.Load > 0 {
		s = s.WithLoad(c.Load)
	}
	if c.Model != "" {
		s.Deployment.Model = c.Model
	}
	if c.TokenMs > 0 {
		s = s.WithTokenMs(c.TokenMs)
	}
	return s, nil
}

func (c *loadCommand) namedOrFile(name string) (arrivals.Scenario, error) {
	if !strings.ContainsAny(name, "./") {
		return arrivals.Named(name, c.Deployment)
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return arrivals.Scenario{}, err
	}
	var s arrivals.Scenario
	err = json.Unmarshal(data, &s)
	return s, errors.Wrap(err, name)
}

// tabular is a result that can be written as a table.
type tabular interface {
	WriteTable(w io.Writer) error
}

func (c *loadCommand) write(res tabular) error {
	data, err := json.MarshalIndent(res, "", "  ")
	if err != nil {
		return err
	}
	data = append(data, '\n')
	if c.Out != "" {
		if err := os.WriteFile(c.Out, data, 0o644); err != nil {
			return err
		}
	}
	if c.JSON {
		_, err = c.o.out.Write(data)
		return err
	}
	return res.WriteTable(c.o.out)
}

func parseKeys(pairs []string) (map[string]string, error) {
	keys := map[string]string{}
	for _, p := range pairs {
		account, key, ok := strings.Cut(p, "=")
		if !ok || account == "" || key == "" {
			return nil, errors.New("--key: must be ACCOUNT=KEY")
		}
		keys[account] = key
	}
	return keys, nil
}
