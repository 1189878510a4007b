package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"

	"github.com/damaskport/damaskport/internal/operator/admin"
)

func addStatus(p *flags.Parser, o output) error {
	_, err := p.AddCommand("status", "show the state of the fleet",
		"Shows instances, leases, configuration versions, backend servers and queues as an entry sees them.", &statusCommand{o: o})
	return err
}

type statusCommand struct {
	adminOptions
	JSON bool `long:"json" description:"print JSON for programs"`
	o    output
}

// Execute prints the status.
func (c *statusCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	status, err := c.client().Status(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		enc := json.NewEncoder(c.o.out)
		enc.SetIndent("", "  ")
		return enc.Encode(status)
	}
	return printStatus(c.o.out, status)
}

func printStatus(out io.Writer, s admin.Status) error {
	ready := "ready"
	if !s.Ready {
		ready = "not ready: " + s.Reason
	}
	age := "never read"
	if s.LogAgeMs >= 0 {
		age = fmt.Sprintf("read %d ms ago", s.LogAgeMs)
	}
	fmt.Fprintf(out, "entry %s, zone %s, %s\n", s.Name, s.Zone, ready)
	fmt.Fprintf(out, "configuration version %d, digest %016x, log %s\n", s.Config.Number, s.Config.Digest, age)
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "\nINSTANCE\tROLE\tZONE\tSTATE\tVERSION")
	for _, i := range s.Instances {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", i.Name, i.Role, i.Zone, i.State, versionText(i))
	}
	fmt.Fprintln(w, "\nDUTY\tHOLDER\tTERM\tREMAINING MS")
	for _, l := range s.Leases {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\n", l.Duty, l.Holder, l.Term, l.RemainingMs)
	}
	fmt.Fprintln(w, "\nSERVER\tPOOL\tZONE\tSTATE\tRUNNING\tSLOTS\tWAITING\tTOKEN MS\tSTRAGGLER")
	for _, v := range s.Servers {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%.1f\t%s\n",
			v.Name, v.Pool, v.Zone, v.State, v.Running, v.Slots, v.Waiting, v.TokenMs, yesNo(v.Straggler))
	}
	fmt.Fprintln(w, "\nCLASS\tTIER\tWAITING\tRUNNING\tSHED\tATTAINMENT")
	for _, c := range s.Classes {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.1f%%\n", c.Name, c.Tier, c.Waiting, c.Running, c.Shed, 100*c.Attainment)
	}
	return w.Flush()
}

func versionText(i admin.InstanceStatus) string {
	if i.Diverged {
		return fmt.Sprintf("%d (diverged)", i.Version)
	}
	return fmt.Sprint(i.Version)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
