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

// minTrialTime is the shortest load in which all events of a trial can take place.
const minTrialTime = 10 * time.Second

// Execute runs a whole fleet in this process and reports whether each guarantee held.
func (c *tryCommand) Execute([]string) error {
	config := trial.Config{Seed: c.Seed, Length: c.Time, Progress: c.out}
	if c.JSON {
		config.Progress = os.Stderr
	}
	for _, name := range c.Faults {
		if name == "list" {
			c.listFaults()
			return nil
		}
		f, err := trial.FaultOf(name)
		if err != nil {
			return errors.Trace(err)
		}
		config.Faults = append(config.Faults, f)
	}
	if c.Time < minTrialTime {
		return errors.NotValidf("--time %s, which is shorter than %s,", c.Time, minTrialTime)
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
		return errors.New("a guarantee was violated")
	}
	return nil
}

// openLog makes the entry instances log to the file that --log names, if any.
func (c *tryCommand) openLog(config *trial.Config) error {
	if c.Log == "" {
		return nil
	}
	logConfig := zap.NewProductionConfig()
	logConfig.Sampling = nil
	logConfig.OutputPaths = []string{c.Log}
	var err error
	config.Logger, err = logConfig.Build()
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

func (c *tryCommand) listFaults() {
	for _, f := range trial.Faults() {
		c.printf("%-18s %s\n", f.Name, f.Help)
	}
}
