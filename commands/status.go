package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"text/tabwriter"

	"github.com/juju/errors"

	"marigoldshed.example/marigoldshed/entry"
)

type statusCommand struct {
	remoteOptions
	JSON bool `long:"json" description:"print JSON"`
	output
}

// Execute prints the state of the system as one entry instance knows it.
func (c *statusCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	status, err := client.Status(context.Background())
	if err != nil {
		return errors.Trace(err)
	}
	if c.JSON {
		encoder := json.NewEncoder(c.out)
		encoder.SetIndent("", "  ")
		return errors.Annotate(encoder.Encode(status), "printing the status")
	}
	c.print(status)
	return nil
}

func (c *statusCommand) print(s entry.Status) {
	c.printf("instance %s, rules version %d, log offset %d, log read %.1fs ago\n", s.Member, s.Version, s.Offset, s.Age)
	if s.Fenced != "" {
		c.printf("%s\n", s.Fenced)
	}
	c.table("MEMBER\tDC\tVERSION\tOFFSET\tHEARD", func(row func(string, ...any)) {
		for _, m := range s.Members {
			row("%s\t%s\t%d\t%d\t%s", m.Member, m.DataCentre, m.Version, m.Offset, lastHeard(m))
		}
	})
	c.table("POOL\tSIZE\tBUDGET\tSERVING\tDEMAND", func(row func(string, ...any)) {
		for _, p := range s.Pools {
			row("%s\t%d\t%d\t%d\t%d", p.Pool, p.Size, p.Budget, p.Serving, p.Demand)
		}
	})
	c.table("TEAM\tSHARE\tLIMIT\tRUNNING\tWAITING", func(row func(string, ...any)) {
		for _, t := range s.Teams {
			row("%s\t%d\t%d\t%d\t%d", t.Team, t.Share, t.Limit, t.Running, t.Waiting)
		}
	})
	c.table("INSTANCE\tDC\tRACK\tPOOL\tSTATE\tWAITS FOR", func(row func(string, ...any)) {
		for _, i := range s.Instances {
			row("%s\t%s\t%s\t%s\t%s\t%v", i.Instance, i.DataCentre, i.Rack, i.Pool, i.State, i.UnconfirmedMembers)
		}
	})
	for _, p := range s.Pending {
		c.printf("pending for %.1fs: %s by %s, not shown by %v\n", p.Age, p.ID, p.By, p.Unaware)
	}
}

func lastHeard(m entry.MemberStatus) string {
	switch {
	case m.Lapsed:
		return "lapsed"
	case m.SinceHeartbeat < 0:
		return "never"
	}
	return fmt.Sprintf("%.1fs ago", m.SinceHeartbeat)
}

func (c *statusCommand) table(header string, writeRows func(writeRow func(string, ...any))) {
	w := tabwriter.NewWriter(c.out, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "\n"+header)
	writeRows(func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) })
	_ = w.Flush()
}
