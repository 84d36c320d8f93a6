package commands

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/trial"
)

type tryCommand struct {
	Deployment string        `long:"deployment" default:"tambuli" choice:"tambuli" choice:"tuul" description:"whose fleet and work"`
	Seed       uint64        `long:"seed" default:"1" description:"determines the load"`
	Time       time.Duration `long:"time" default:"20s" description:"length of the load"`
	Faults     []string      `long:"fault" description:"fault to bring about, may be repeated; list names them"`
	Log        string        `long:"log" value-name:"FILE" description:"write the entry instances' logs here"`
	JSON       bool          `long:"json" description:"print the report as JSON"`
	output
}

// leastTrial is the shortest load in which every event has its place.
const leastTrial = 10 * time.Second

// Execute runs a whole fleet in this process and reports how the promises fared.
func (c *tryCommand) Execute([]string) error {
	config := trial.Config{Seed: c.Seed, Length: c.Time, Progress: c.out}
	if c.JSON {
		config.Progress = os.Stderr
	}
	for _, name := range c.Faults {
		if name == "list" {
			c.list()
			return nil
		}
		f, err := trial.FaultOf(name)
		if err != nil {
			return errors.Trace(err)
		}
		config.Faults = append(config.Faults, f)
	}
	if c.Time < leastTrial {
		return errors.NotValidf("--time %s, which is shorter than %s,", c.Time, leastTrial)
	}
	if err := c.openLog(&config); err != nil {
		return err
	}
	var err error
	if config.Deployment, err = trial.DeploymentOf(c.Deployment); err != nil {
		return errors.Trace(err)
	}
	report, err := trial.Run(context.Background(), config)
	if err != nil {
		return errors.Annotate(err, "running the trial")
	}
	if err := c.print(report); err != nil {
		return err
	}
	if !report.Passed() {
		return errors.New("a promise was broken")
	}
	return nil
}

// openLog has the entry instances log to a file if one is asked for.
func (c *tryCommand) openLog(config *trial.Config) error {
	if c.Log == "" {
		return nil
	}
	production := zap.NewProductionConfig()
	production.Sampling = nil
	production.OutputPaths = []string{c.Log}
	var err error
	config.Logger, err = production.Build()
	return errors.Annotatef(err, "opening %s", c.Log)
}

func (c *tryCommand) print(report *trial.Report) error {
	if !c.JSON {
		report.Print(c.out)
		return nil
	}
	encoder := json.NewEncoder(c.out)
	encoder.SetIndent("", "  ")
	return errors.Annotate(encoder.Encode(report), "printing the report")
}

func (c *tryCommand) list() {
	for _, f := range trial.Faults() {
		c.printf("%-18s %s\n", f.Name, f.Help)
	}
}
