package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/policy/quarantine"
	"github.com/damaskport/damaskport/internal/role/gateway"
)

// maxOperatorReply bounds the answer of a gateway's operators' address.
const maxOperatorReply = 4 << 20

func addQuarantine(p *flags.Parser, o output) error {
	c, err := p.AddCommand("quarantine", "list and clear requests and prompt parts that end servers",
		"Shows which requests and prompt parts the gateways keep from servers, and clears them.", &struct{}{})
	if err != nil {
		return err
	}
	return addAll(c, []subcommand{
		{"list", "list what is refused", "Lists the refused requests and prompt parts with the evidence against them.", &quarantineList{o: o}},
		{"clear", "clear a request or part", "Clears a request, or a prompt part with all its requests, at all gateways: they are sent again.", &quarantineClear{o: o}},
	})
}

// gatewayOptions name the gateway to ask; all gateways know the same.
type gatewayOptions struct {
	Gateway string `long:"gateway" required:"true" value-name:"HOST:PORT" description:"metrics address of any gateway"`
}

// call makes one call at path and returns the body of the answer.
func (g gatewayOptions) call(method, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+g.Gateway+path, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "--gateway %q", g.Gateway)
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxOperatorReply))
	if err != nil {
		return nil, err
	}
	if res.StatusCode/100 != 2 {
		return nil, errors.Errorf("gateway %s answered %s: %s", g.Gateway, res.Status, strings.TrimSpace(string(data)))
	}
	return data, nil
}

type quarantineList struct {
	gatewayOptions
	JSON bool `long:"json" description:"print JSON with all evidence"`
	o    output
}

// Execute prints what is refused.
func (c *quarantineList) Execute([]string) error {
	data, err := c.call(http.MethodGet, gateway.QuarantinePath)
	if err != nil {
		return err
	}
	var all []quarantine.Quarantined
	if err := json.Unmarshal(data, &all); err != nil {
		return errors.Wrapf(err, "answer of gateway %s", c.Gateway)
	}
	if c.JSON {
		enc := json.NewEncoder(c.o.out)
		enc.SetIndent("", "  ")
		return enc.Encode(all)
	}
	w := tabwriter.NewWriter(c.o.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "SUBJECTS\tPROMPT\tSINCE\tACCOUNTS\tRETRIALS\tENDED SERVERS")
	for _, q := range all {
		var ended []string
		for _, e := range q.Endings {
			ended = append(ended, e.Server.ID)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\n", strings.Join(q.Subjects, "+"), strings.Join(q.Prompt, "+"), time.UnixMilli(int64(q.SinceMs)).UTC().Format(time.RFC3339),
			strings.Join(q.Accounts, ","), q.Retrials, strings.Join(ended, ","))
	}
	return w.Flush()
}

type quarantineClear struct {
	gatewayOptions
	Args struct {
		Subject string `positional-arg-name:"ID" required:"true"`
	} `positional-args:"true"`
	o output
}

// Execute clears the request or part.
func (c *quarantineClear) Execute([]string) error {
	if _, err := c.call(http.MethodDelete, gateway.QuarantinePath+"/"+url.PathEscape(c.Args.Subject)); err != nil {
		return err
	}
	c.o.line("cleared", c.Args.Subject)
	return nil
}
