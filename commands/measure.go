package commands

import (
	"context"

	"github.com/juju/errors"

	"marigoldshed.example/marigoldshed/measure"
)

type measureCommand struct {
	JSON bool   `long:"json" description:"print JSON"`
	Plot string `long:"plot" value-name:"FILE" description:"draw the figures into an image file"`
	Seed uint64 `long:"seed" default:"1" description:"determines the load"`
	measure.ControlOptions
	Args struct {
		Name string `positional-arg-name:"NAME" required:"true" description:"entry, share, buffer, rollout, outage or control"`
	} `positional-args:"true"`
	output
}

// Execute runs one measurement.
func (c *measureCommand) Execute([]string) error {
	result, err := c.measure(context.Background())
	if err != nil {
		return errors.Annotatef(err, "measuring %s", c.Args.Name)
	}
	if c.Plot != "" {
		if err := result.Plot(c.Plot); err != nil {
			return errors.Trace(err)
		}
	}
	if c.JSON {
		return errors.Trace(result.WriteJSON(c.out))
	}
	result.Print(c.out)
	return nil
}

func (c *measureCommand) measure(ctx context.Context) (*measure.Result, error) {
	switch c.Args.Name {
	case "entry":
		return measure.Entry(ctx)
	case "share":
		return measure.Share(ctx, c.Seed)
	case "buffer":
		return measure.Buffer(ctx, c.Seed)
	case "rollout":
		return measure.Rollout(ctx, c.Seed)
	case "outage":
		return measure.Outage(ctx, c.Seed)
	case "control":
		return measure.Control(ctx, c.ControlOptions)
	}
	return nil, errors.NotValidf("measurement %q", c.Args.Name)
}
